//! Order, budget, history and replay of programs under seeded interleavings.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use burdockroad::{
    Record,
    program::{
        Action, Answer, CallDecision, Budget, CallKind, CallRequest, Event, NewProgram, Outcome, Placement,
        Programs, ProgramsOptions, Refusal, Replay, Shortage, Tree,
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

fn call(program_id: &str, number: u32, text: u8, idempotent: bool) -> CallRequest {
    let kind = if idempotent {
        CallKind::Completion
    } else {
        CallKind::Service
    };
    let messages = if idempotent {
        vec![format!("\"{program_id} {number} {text}\"")]
    } else {
        Vec::new()
    };
    CallRequest {
        account_id: ACCOUNT.to_owned(),
        program_id: program_id.to_owned(),
        number,
        digest: [text; 32],
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

fn answer(program_id: &str, number: u32) -> Outcome {
    Outcome::Answered(Answer {
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
            .expect("records of one writer follow from each other");
    }
    replay.into_trees()
}

/// One step of a random run; numbers and endpoints are often wrong on purpose.
#[derive(Clone, Debug)]
enum Step {
    Call {
        child: bool,
        ahead: u32,
        text: u8,
        idempotent: bool,
        endpoint: u8,
        max_tokens: u64,
    },
    Settle {
        child: bool,
        how: u8,
        spent_tokens: u64,
    },
    Withdraw {
        child: bool,
    },
    Move,
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
            |(child, ahead, text, idempotent, endpoint, max_tokens)| Step::Call {
                child,
                ahead,
                text,
                idempotent,
                endpoint,
                max_tokens,
            },
        );
    prop_oneof![
        6 => call,
        6 => (any::<bool>(), 0..4_u8, 0..80_u64)
            .prop_map(|(child, how, spent_tokens)| Step::Settle { child, how, spent_tokens }),
        1 => any::<bool>().prop_map(|child| Step::Withdraw { child }),
        1 => Just(Step::Move),
        1 => Just(Step::Snapshot),
        1 => any::<bool>().prop_map(|child| Step::End { child }),
        1 => (0..20_u64).prop_map(|seconds| Step::Wait { seconds }),
    ]
}

/// What an outside observer of the endpoints saw of one program.
#[derive(Default)]
struct Seen {
    sent: Vec<(u32, bool, u8)>,
    answered: Vec<u32>,
}

/// A table, its journal, and what endpoints saw.
struct World {
    programs: Programs,
    records: Vec<Record>,
    now: SystemTime,
    seen: BTreeMap<String, Seen>,
    sent_calls: u32,
    spent_tokens: u64,
}

impl World {
    fn new() -> Self {
        let mut records = Vec::new();
        let programs = table_with(&mut records);
        let seen = BTreeMap::from([
            (ROOT.to_owned(), Seen::default()),
            (CHILD.to_owned(), Seen::default()),
        ]);
        Self {
            programs,
            records,
            now: start(),
            seen,
            sent_calls: 0,
            spent_tokens: 0,
        }
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Call {
                child,
                ahead,
                text,
                idempotent,
                endpoint,
                max_tokens,
            } => {
                let id = name(child);
                let number = self.seen[id].sent.last().map_or(0, |sent| sent.0) + ahead;
                self.call(
                    call(id, number, text, idempotent),
                    placement(endpoint, max_tokens),
                );
            }
            Step::Settle {
                child,
                how,
                spent_tokens,
            } => self.settle(name(child), how, spent_tokens),
            Step::Withdraw { child } => self.programs.withdraw(&name(child).to_owned()),
            Step::Move => self.take_over(),
            Step::Snapshot => self.records.extend(self.programs.snapshots(&[ROOT.to_owned()])),
            Step::End { child } => self.end(name(child)),
            Step::Wait { seconds } => self.wait(seconds),
        }
    }

    fn call(&mut self, request: CallRequest, placement: Placement) {
        let id = request.program_id.clone();
        let (number, idempotent, text) = (request.number, request.idempotent, request.digest[0]);
        let Ok(CallDecision::Run(..)) = self.programs.begin(request, self.now) else {
            return;
        };
        let Ok(sending) = self.programs.send(&id, placement, self.now) else {
            return;
        };
        assert!(
            !sending.time_left.is_zero(),
            "a call was sent after the time limit"
        );
        self.records.push(sending.record);
        self.sent_calls += 1;
        let seen = self.seen.get_mut(&id).expect("a known program");
        check_order(seen, number, idempotent);
        seen.sent.push((number, idempotent, text));
    }

    fn settle(&mut self, id: &str, how: u8, spent_tokens: u64) {
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
        let outcome = match how {
            0 | 1 => answer(id, number),
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
        let seen = self.seen.get_mut(id).expect("a known program");
        if not_run {
            seen.sent.pop();
            self.sent_calls -= 1;
        } else if answered {
            seen.answered.push(number);
        }
    }

    /// A successor replays the journal, with every record delivered twice.
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
                Action::Release(hold) => self.records.extend(self.programs.released(&hold)),
                Action::Cancel(_) => {}
            }
        }
    }

    fn check(&self) {
        let budget = budget();
        assert!(
            self.sent_calls <= budget.max_calls,
            "more calls than the budget allows"
        );
        assert!(
            self.spent_tokens <= budget.max_tokens,
            "more tokens than the budget allows"
        );
        let kept: BTreeMap<String, Tree> = self
            .programs
            .trees()
            .map(|tree| (tree.root_id.clone(), tree.clone()))
            .collect();
        assert_eq!(
            replay(&self.records),
            kept,
            "the journal does not give the table back"
        );
        for tree in kept.values() {
            check_history(tree, &self.seen);
        }
    }
}

fn name(child: bool) -> &'static str {
    if child { CHILD } else { ROOT }
}

/// A new number follows an ended call; a repeated one belongs to an idempotent call that failed.
fn check_order(seen: &Seen, number: u32, _idempotent: bool) {
    match seen.sent.last() {
        None => assert_eq!(number, 1, "the first call has number 1"),
        Some((last, last_idempotent, _)) if number == *last => {
            assert!(last_idempotent, "a call that may not be repeated was sent again");
            assert!(
                !seen.answered.contains(&number),
                "an answered call was sent again"
            );
        }
        Some((last, ..)) => assert_eq!(number, last + 1, "calls out of order"),
    }
}

/// The history holds the answers that arrived, in order, and nothing of another program.
fn check_history(tree: &Tree, seen: &BTreeMap<String, Seen>) {
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
        let answered = completions.filter(|call| seen[id].answered.contains(&call.number()));
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
fn begin_refusals() {
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
        assert_eq!(programs.begin(request, start()), Err(expected));
    }
}

#[test]
fn begin_repeats() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let root = ROOT.to_owned();
    programs
        .begin(call(ROOT, 1, 7, true), start())
        .expect("the first call");
    assert_eq!(programs.begin(call(ROOT, 1, 7, true), start()), Ok(CallDecision::Attach));
    assert_eq!(
        programs.begin(call(ROOT, 1, 8, true), start()),
        Err(Refusal::DifferentRequest)
    );
    programs
        .send(&root, placement(0, 10), start())
        .expect("within the budget");
    programs.settle(&root, answer(ROOT, 1), 4).expect("an open call");
    let repeated = programs.begin(call(ROOT, 1, 7, true), start());
    assert!(matches!(repeated, Ok(CallDecision::Answered(_))), "{repeated:?}");
    assert_eq!(
        programs.begin(call(ROOT, 1, 8, true), start()),
        Err(Refusal::DifferentRequest)
    );
}

#[test]
fn begin_over_budget() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let root = ROOT.to_owned();
    programs
        .begin(call(ROOT, 1, 0, true), start())
        .expect("the first call");
    programs
        .send(&root, placement(0, 500), start())
        .expect("cut to the budget");
    let sibling = programs.begin(call(CHILD, 1, 0, true), start());
    let expected = Refusal::OverBudget {
        shortage: Shortage::Tokens,
        retry_after: Some(Duration::from_secs(1)),
    };
    assert_eq!(
        sibling,
        Err(expected),
        "a sub-agent shares the tokens that its parent set aside"
    );
    programs
        .settle(&root, answer(ROOT, 1), 100)
        .expect("an open call");
    let spent = Refusal::OverBudget {
        shortage: Shortage::Tokens,
        retry_after: None,
    };
    assert_eq!(programs.begin(call(CHILD, 1, 0, true), start()), Err(spent));
}

#[test]
fn begin_history_full() {
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
        .begin(call(ROOT, 1, 0, true), start())
        .expect("an empty history");
    programs
        .send(&ROOT.to_owned(), placement(0, 1), start())
        .expect("within the budget");
    programs
        .settle(&ROOT.to_owned(), answer(ROOT, 1), 1)
        .expect("an open call");
    let refused = programs.begin(call(ROOT, 2, 0, true), start());
    assert_eq!(refused, Err(Refusal::HistoryFull { max_bytes: 40 }));
}

#[test]
fn adopt_closes_calls_whose_end_nobody_saw() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    for (id, idempotent) in [(ROOT, false), (CHILD, true)] {
        programs
            .begin(call(id, 1, 0, idempotent), start())
            .expect("the first call");
        let sending = programs
            .send(&id.to_owned(), placement(0, 10), start())
            .expect("within the budget");
        records.push(sending.record);
    }
    let mut successor = Programs::new(ProgramsOptions::default());
    successor.adopt(replay(&records).into_values().collect(), start());
    let repeated = successor.begin(call(ROOT, 1, 0, false), start());
    assert!(
        matches!(repeated, Err(Refusal::OutcomeUnknown { .. })),
        "{repeated:?}"
    );
    let retried = successor.begin(call(CHILD, 1, 0, true), start());
    assert!(matches!(retried, Ok(CallDecision::Run(..))), "{retried:?}");
}

#[test]
fn tick_frees_memory_of_ended_programs() {
    let mut records = Vec::new();
    let mut programs = table_with(&mut records);
    let root = ROOT.to_owned();
    programs
        .begin(call(ROOT, 1, 0, true), start())
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
    assert_eq!(cancels, 1, "the running call is stopped: {ended:?}");
    assert!(
        !ended.iter().any(|action| matches!(action, Action::Release(_))),
        "while the call runs: {ended:?}"
    );
    programs.settle(
        &root,
        Outcome::Failed {
            reason: "stopped".to_owned(),
        },
        10,
    );
    let released = programs.tick(late);
    let Some(Action::Release(hold)) = released.first() else {
        panic!("the endpoint is not asked: {released:?}");
    };
    let again = programs.tick(late + Duration::from_secs(2));
    assert_eq!(again, released, "asked again until it confirms");
    let record = programs.released(hold).expect("a known hold");
    assert!(matches!(record.event, Event::Released { .. }));
    let forgotten = programs.tick(late + Duration::from_hours(1));
    assert!(programs.is_empty(), "an ended tree is forgotten: {forgotten:?}");
}
