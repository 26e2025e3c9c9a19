//! Ordering, budgets, history and replay of programs under random interleavings.

#[path = "program_rules/programs.rs"]
mod programs;

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use burdockroad::{
    Record,
    program::{
        Action, CallDecision, CallKind, CallRequest, Outcome, Placement, Programs, ProgramsOptions, Tree,
    },
};
use proptest::prelude::*;

use self::programs::{ACCOUNT, CHILD, ROOT, budget, call, placement, replay, response, start, table_with};

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
