//! A program with a sub-agent, its calls and their replay, for the tests of the rules of programs.

use std::{
    collections::BTreeMap,
    time::{Duration, SystemTime},
};

use burdockroad::{
    Record,
    program::{
        Budget, CallKind, CallRequest, CallResponse, NewProgram, Outcome, Placement, Programs,
        ProgramsOptions, Replay, Tree,
    },
};

pub(crate) const ROOT: &str = "p-0001-root";
pub(crate) const CHILD: &str = "p-0001-child";
pub(crate) const ACCOUNT: &str = "trust";

pub(crate) fn start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_hours(1)
}

pub(crate) fn budget() -> Budget {
    Budget {
        max_tokens: 100,
        max_calls: 5,
        max_duration: Duration::from_mins(1),
    }
}

pub(crate) fn table_with(records: &mut Vec<Record>) -> Programs {
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

pub(crate) fn call(program_id: &str, number: u32, digest_byte: u8, idempotent: bool) -> CallRequest {
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

pub(crate) fn placement(endpoint: u8, max_tokens: u64) -> Placement {
    Placement {
        pool_id: "planner".to_owned(),
        endpoint_id: format!("engine-{endpoint}"),
        max_tokens,
    }
}

pub(crate) fn response(program_id: &str, number: u32) -> Outcome {
    Outcome::Answered(CallResponse {
        status: 200,
        content_type: String::new(),
        body: Vec::new(),
        message: Some(format!("\"answer to {program_id} {number}\"")),
    })
}

pub(crate) fn replay(records: &[Record]) -> BTreeMap<String, Tree> {
    let mut replay = Replay::new();
    for record in records {
        replay
            .apply(record.clone())
            .expect("the records of one writer apply in order");
    }
    replay.into_trees()
}
