//! Refusals, retries, adoption and releases of programs, one rule at a time.

#[path = "program_rules/programs.rs"]
mod programs;

use std::time::Duration;

use burdockroad::program::{
    Action, CallDecision, CallRequest, Event, NewProgram, Outcome, Programs, ProgramsOptions, Refusal,
    Shortage,
};

use self::programs::{ACCOUNT, CHILD, ROOT, budget, call, placement, replay, response, start, table_with};

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
