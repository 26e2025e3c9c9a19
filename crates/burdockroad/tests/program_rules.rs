//! Ordering, budgets, history and replay of programs under random interleavings.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use burdockroad::{
    Record,
    program::{
        Action, Budget, CallDecision, CallKind, CallRequest, CallResponse, Event, NewProgram, Outcome,
        Placement, Programs, ProgramsOptions, Refusal, Replay, Shortage, Tree,
    },
};
use proptest::prelude::*;

const ROOT: &str = "p-0001-root";
const CHILD: &str = "p-0001-child";
const ACCOUNT: &str = "trust";

fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1)
}

fn budget() -> Budget {
    Budget {
        max_tokens: 100,
        max_calls: 5,
        max_duration: Duration::from_mins(1),
    }
}

fn table_with(records: &mut Vec<Record>) -> Programs {
    let mut programs = Programs::new(ProgramsOptions::default());
    let root = NewProgram {
        program_id: ROOT.to_owned(),
        account_id: ACCOUNT.to_owned(),
        parent_id: None,
        budget: budget(),
    };
    let child = NewProgram {
        program_id: CHILD.to_owned(),
        parent_id: Some(ROOT.to_owned()),
        ..root.clone()
    };
    records.push(programs.create(root, start()).expect("a new root"));
    records.push(programs.create(child, start()).expect("a new sub-agent"));
    programs
}

fn call(program_id: &str, number: u32, digest_byte: u8, idempotent: bool) -> CallRequest {
    let kind = if idempotent {
        CallKind::Completion
    } else {
        CallKind::Service
    };
    let messages = if idempotent {
        vec![format!("\"{program_id} {number} {digest_byte}\"")]
    } else {
        Vec::new()
    };
    CallRequest {
        account_id: ACCOUNT.to_owned(),
        program_id: program_id.to_owned(),
        number,
        digest: [digest_byte; 32],
        route_id: "planner-llm".to_owned(),
        kind,
        idempotent,
        messages,
        keeps_prefix: idempotent,
    }
}

fn placement(endpoint: u8, max_tokens: u64) -> Placement {
    Placement {
        pool_id: "planner".to_owned(),
        endpoint_id: format!("engine-{endpoint}"),
        max_tokens,
    }
}

fn response(program_id: &str, number: u32) -> Outcome {
    Outcome::Answered(CallResponse {
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
        message: Some(format!("\"answer to {program_id} {number}\"")),
    })
}

fn replay(records: &[Record]) -> BTreeMap<String, Tree> {
    let mut replay = Replay::new();
    for record in records {
        replay
            .apply(record.clone())
            .expect("the records of one writer apply in order");
    }
    replay.into_trees()
}

/// One step of a random run. Call numbers and endpoints are often wrong on purpose.
#[derive(Clone, Debug)]
enum Step {
    Call {
        child: bool,
        /// Difference between the call number and that of the last sent call.
        number_offset: u32,
        digest_byte: u8,
        idempotent: bool,
        endpoint: u8,
        max_tokens: u64,
    },
    Settle {
        child: bool,
        outcome_choice: u8,
        spent_tokens: u64,
    },
    Withdraw {
        child: bool,
    },
    TakeOver,
    Snapshot,
    End {
        child: bool,
    },
    Wait {
        seconds: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let call = (
        any::<bool>(),
        0..3_u32,
        0..3_u8,
        any::<bool>(),
        0..3_u8,
        1..60_u64,
    )
        .prop_map(
            |(child, number_offset, digest_byte, idempotent, endpoint, max_tokens)| Step::Call {
                child,
                number_offset,
                digest_byte,
                idempotent,
                endpoint,
                max_tokens,
            },
        );
    prop_oneof![
        6 => call,
        6 => (any::<bool>(), 0..4_u8, 0..80_u64)
            .prop_map(|(child, outcome_choice, spent_tokens)| Step::Settle { child, outcome_choice, spent_tokens }),
        1 => any::<bool>().prop_map(|child| Step::Withdraw { child }),
        1 => Just(Step::TakeOver),
        1 => Just(Step::Snapshot),
        1 => any::<bool>().prop_map(|child| Step::End { child }),
        1 => (0..20_u64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

/// Calls of one program, as observed by the endpoints.
#[derive(Default)]
struct Observed {
    sent: Vec<(u32, bool, u8)>,
    answered: Vec<u32>,
}

/// A program table, its journal, and the calls observed by the endpoints.
struct World {
    programs: Programs,
    records: Vec<Record>,
    now: SystemTime,
    observed: BTreeMap<String, Observed>,
    sent_calls: u32,
    spent_tokens: u64,
}

impl World {
    fn new() -> Self {
        let mut records = Vec::new();
        let programs = table_with(&mut records);
        let observed = BTreeMap::from([
            (ROOT.to_owned(), Observed::default()),
            (CHILD.to_owned(), Observed::default()),
        ]);
        Self {
            programs,
            records,
            now: start(),
            observed,
            sent_calls: 0,
            spent_tokens: 0,
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Call {
                child,
                number_offset,
                digest_byte,
                idempotent,
                endpoint,
                max_tokens,
            } => {
                let id = id_of(child);
                let number = self.observed[id].sent.last().map_or(0, |sent| sent.0) + number_offset;
                self.call(
                    call(id, number, digest_byte, idempotent),
                    placement(endpoint, max_tokens),
                );
            }
            Step::Settle {
                child,
                outcome_choice,
                spent_tokens,
            } => self.settle(id_of(child), outcome_choice, spent_tokens),
            Step::Withdraw { child } => self.programs.withdraw(&id_of(child).to_owned()),
            Step::TakeOver => self.take_over(),
            Step::Snapshot => self.records.extend(self.programs.snapshots(&[ROOT.to_owned()])),
            Step::End { child } => self.end(id_of(child)),
            Step::Wait { seconds } => self.wait(seconds),
        }
    }

    fn call(&mut self, request: CallRequest, placement: Placement) {
        let id = request.program_id.clone();
        let (number, idempotent, digest_byte) = (request.number, request.idempotent, request.digest[0]);
        let Ok(CallDecision::Run(..)) = self.programs.accept_call(request, self.now) else {
            return;
        };
        let Ok(prepared) = self.programs.send(&id, placement, self.now) else {
            return;
        };
        assert!(
            !prepared.time_left.is_zero(),
            "a call was sent after the time limit"
        );
        self.records.push(prepared.record);
        self.sent_calls += 1;
        let observed = self.observed.get_mut(&id).expect("one of the two programs");
        check_order(observed, number, idempotent);
        observed.sent.push((number, idempotent, digest_byte));
    }

    fn settle(&mut self, id: &str, outcome_choice: u8, spent_tokens: u64) {
        let tree = self.programs.trees().next();
        let Some(running) = tree.and_then(|tree| tree.programs[id].running()) else {
            return;
        };
        let (number, reserved_tokens, idempotent) = (
            running.number(),
            running.intent.reserved_tokens,
            running.intent.idempotent,
        );
        let spent_tokens = spent_tokens.min(reserved_tokens);
        let outcome = match outcome_choice {
            0 | 1 => response(id, number),
            2 => Outcome::NotRun,
            _ if idempotent => Outcome::Failed {
                reason: "reset".to_owned(),
            },
            _ => Outcome::Unknown {
                reason: "reset".to_owned(),
            },
        };
        let not_run = outcome == Outcome::NotRun;
        let answered = matches!(outcome, Outcome::Answered(_));
        let spent_tokens = if not_run { 0 } else { spent_tokens };
        let Some(record) = self.programs.settle(&id.to_owned(), outcome, spent_tokens) else {
            return;
        };
        self.records.push(record);
        self.spent_tokens += spent_tokens;
        let observed = self.observed.get_mut(id).expect("one of the two programs");
        if not_run {
            observed.sent.pop();
            self.sent_calls -= 1;
        } else if answered {
            observed.answered.push(number);
        }
    }

    /// Replaces the table by that of a successor, which replays every journal record twice.
    fn take_over(&mut self) {
        let mut twice = self.records.clone();
        twice.extend(self.records.clone());
        let trees: Vec<Tree> = replay(&twice).into_values().collect();
        for tree in &trees {
            let running = tree.programs.values().filter_map(|program| program.running());
            self.spent_tokens += running.map(|call| call.intent.reserved_tokens).sum::<u64>();
        }
        let mut successor = Programs::new(ProgramsOptions::default());
        self.records.extend(successor.adopt(trees, self.now));
        self.programs = successor;
    }

    fn end(&mut self, id: &str) {
        let actions = self
            .programs
            .end(&ACCOUNT.to_owned(), &id.to_owned(), "asked", self.now);
        self.perform(actions.unwrap_or_default());
    }

    fn wait(&mut self, seconds: u64) {
        self.now += Duration::from_secs(seconds);
        let actions = self.programs.tick(self.now);
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Append(record) => self.records.push(record),
                Action::Release(prefix) => self.records.extend(self.programs.on_prefix_released(&prefix)),
                Action::Cancel(_) => {}
            }
        }
    }

    fn check(&self) {
        let budget = budget();
        assert!(
            self.sent_calls <= budget.max_calls,
            "more calls were sent than the budget allows"
        );
        assert!(
            self.spent_tokens <= budget.max_tokens,
            "more tokens were spent than the budget allows"
        );
        let trees: BTreeMap<String, Tree> = self
            .programs
            .trees()
            .map(|tree| (tree.root_id.clone(), tree.clone()))
            .collect();
        assert_eq!(
            replay(&self.records),
            trees,
            "replaying the journal does not rebuild the table"
        );
        for tree in trees.values() {
            check_history(tree, &self.observed);
        }
    }
}

fn id_of(child: bool) -> &'static str {
    if child { CHILD } else { ROOT }
}

/// Checks that a new call number follows an ended call, and that a repeated number belongs to an
/// idempotent call without a response.
fn check_order(observed: &Observed, number: u32, _idempotent: bool) {
    match observed.sent.last() {
        None => assert_eq!(number, 1, "the first call has number 1"),
        Some((last, last_idempotent, _)) if number == *last => {
            assert!(last_idempotent, "a non-idempotent call was sent again");
            assert!(
                !observed.answered.contains(&number),
                "a call with a response was sent again"
            );
        }
        Some((last, ..)) => assert_eq!(number, last + 1, "calls are out of order"),
    }
}

/// Checks that the history contains exactly the responses received by the program, in order.
fn check_history(tree: &Tree, observed: &BTreeMap<String, Observed>) {
    for (id, program) in &tree.programs {
        let answers: Vec<String> = program
            .messages()
            .filter(|message| message.starts_with("\"answer"))
            .map(str::to_owned)
            .collect();
        let completions = program
            .calls
            .iter()
            .filter(|call| call.intent.kind == CallKind::Completion);
        let answered = completions.filter(|call| observed[id].answered.contains(&call.number()));
        let expected: Vec<String> = answered
            .map(|call| format!("\"answer to {id} {}\"", call.number()))
            .collect();
        assert_eq!(answers, expected, "history of {id}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn programs_any_interleaving(steps in prop::collection::vec(step(), 1..60)) {
        let mut world = World::new();
        for step in &steps {
            world.run(step);
            world.check();
        }
    }
}

#[test]
fn accept_call_refusals() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let foreign = CallRequest {
        account_id: "harrowfield".to_owned(),
        ..call(ROOT, 1, 0, true)
    };
    let cases = [
        (foreign, Refusal::UnknownProgram),
        (call("p-0001-none", 1, 0, true), Refusal::UnknownProgram),
        (call(ROOT, 2, 0, true), Refusal::WrongNumber { expected: 1 }),
        (call(ROOT, 0, 0, true), Refusal::WrongNumber { expected: 1 }),
    ];
    for (request, expected) in cases {
        assert_eq!(programs.accept_call(request, start()), Err(expected));
    }
}

#[test]
fn accept_call_retries() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let root = ROOT.to_owned();
    programs
        .accept_call(call(ROOT, 1, 7, true), start())
        .expect("the first call");
    assert_eq!(
        programs.accept_call(call(ROOT, 1, 7, true), start()),
        Ok(CallDecision::Attach)
    );
    assert_eq!(
        programs.accept_call(call(ROOT, 1, 8, true), start()),
        Err(Refusal::DifferentRequest)
    );
    programs
        .send(&root, placement(0, 10), start())
        .expect("within the budget");
    programs
        .settle(&root, response(ROOT, 1), 4)
        .expect("an open call");
    let repeated = programs.accept_call(call(ROOT, 1, 7, true), start());
    assert!(matches!(repeated, Ok(CallDecision::Answered(_))), "{repeated:?}");
    assert_eq!(
        programs.accept_call(call(ROOT, 1, 8, true), start()),
        Err(Refusal::DifferentRequest)
    );
}

#[test]
fn accept_call_over_budget() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let root = ROOT.to_owned();
    programs
        .accept_call(call(ROOT, 1, 0, true), start())
        .expect("the first call");
    programs
        .send(&root, placement(0, 500), start())
        .expect("limited to the remaining budget");
    let sibling = programs.accept_call(call(CHILD, 1, 0, true), start());
    let expected = Refusal::OverBudget {
        shortage: Shortage::Tokens,
        retry_after: Some(Duration::from_secs(1)),
    };
    assert_eq!(
        sibling,
        Err(expected),
        "the parent's call has reserved all remaining tokens"
    );
    programs
        .settle(&root, response(ROOT, 1), 100)
        .expect("an open call");
    let spent = Refusal::OverBudget {
        shortage: Shortage::Tokens,
        retry_after: None,
    };
    assert_eq!(programs.accept_call(call(CHILD, 1, 0, true), start()), Err(spent));
}

#[test]
fn accept_call_history_full() {
    let options = ProgramsOptions {
        history_max_bytes: 40,
        ..ProgramsOptions::default()
    };
    let mut programs = Programs::new(options);
    let root = NewProgram {
        program_id: ROOT.to_owned(),
        account_id: ACCOUNT.to_owned(),
        parent_id: None,
        budget: budget(),
    };
    programs.create(root, start()).expect("a new root");
    programs
        .accept_call(call(ROOT, 1, 0, true), start())
        .expect("an empty history");
    programs
        .send(&ROOT.to_owned(), placement(0, 1), start())
        .expect("within the budget");
    programs
        .settle(&ROOT.to_owned(), response(ROOT, 1), 1)
        .expect("an open call");
    let refused = programs.accept_call(call(ROOT, 2, 0, true), start());
    assert_eq!(refused, Err(Refusal::HistoryFull { max_bytes: 40 }));
}

#[test]
fn adopt_closes_running_calls() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    for (id, idempotent) in [(ROOT, false), (CHILD, true)] {
        programs
            .accept_call(call(id, 1, 0, idempotent), start())
            .expect("the first call");
        let prepared = programs
            .send(&id.to_owned(), placement(0, 10), start())
            .expect("within the budget");
        records.push(prepared.record);
    }
    let mut successor = Programs::new(ProgramsOptions::default());
    successor.adopt(replay(&records).into_values().collect(), start());
    let repeated = successor.accept_call(call(ROOT, 1, 0, false), start());
    assert!(
        matches!(repeated, Err(Refusal::OutcomeUnknown { .. })),
        "{repeated:?}"
    );
    let retried = successor.accept_call(call(CHILD, 1, 0, true), start());
    assert!(matches!(retried, Ok(CallDecision::Run(..))), "{retried:?}");
}

#[test]
fn tick_releases_prefixes_of_ended_programs() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let root = ROOT.to_owned();
    programs
        .accept_call(call(ROOT, 1, 0, true), start())
        .expect("the first call");
    programs
        .send(&root, placement(0, 10), start())
        .expect("within the budget");
    let late = start() + Duration::from_mins(2);
    let ended = programs.tick(late);
    let cancels = ended
        .iter()
        .filter(|action| matches!(action, Action::Cancel(_)))
        .count();
    assert_eq!(cancels, 1, "the running call is cancelled: {ended:?}");
    assert!(
        !ended.iter().any(|action| matches!(action, Action::Release(_))),
        "a prefix was released while the call was running: {ended:?}"
    );
    programs.settle(
        &root,
        Outcome::Failed {
            reason: "stopped".to_owned(),
        },
        10,
    );
    let released = programs.tick(late);
    let Some(Action::Release(prefix)) = released.first() else {
        panic!("no release was requested: {released:?}");
    };
    let again = programs.tick(late + Duration::from_secs(2));
    assert_eq!(
        again, released,
        "the release is requested again until it is confirmed"
    );
    let record = programs.on_prefix_released(prefix).expect("a cached prefix");
    assert!(matches!(record.event, Event::Released { .. }));
    let removed = programs.tick(late + Duration::from_hours(1));
    assert!(programs.is_empty(), "an ended tree is removed: {removed:?}");
}
