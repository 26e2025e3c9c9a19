//! JSON representation of programs for callers.

use std::time::SystemTime;

use burdockroad::program::{Call, CallKind, CallResponse, Ledger, Outcome, Program, State};
use serde_json::{Value, json};

use crate::programs::ProgramView;

/// Returns a program's JSON representation, with its history, state and remaining budget.
pub(super) fn program(view: &ProgramView) -> Value {
    let Some(program) = view.tree.programs.get(&view.program_id) else {
        return Value::Null;
    };
    let calls: Vec<Value> = program.calls.iter().map(call).collect();
    let (state, reason) = state(program);
    json!({
        "id": program.id,
        "object": "program",
        "parent": program.parent_id,
        "state": state,
        "ended_because": reason,
        "next_call_number": program.next_number(),
        "budget": budget(&view.tree.ledger),
        "calls": calls,
    })
}

fn state(program: &Program) -> (&'static str, Option<&str>) {
    match &program.state {
        State::Active => ("active", None),
        State::Ended { reason, .. } => ("ended", Some(reason)),
    }
}

fn budget(ledger: &Ledger) -> Value {
    let limits = &ledger.budget;
    json!({
        "max_tokens": limits.max_tokens,
        "max_calls": limits.max_calls,
        "max_duration_s": limits.max_duration.as_secs(),
        "left": {
            "tokens": ledger.free_tokens(),
            "calls": ledger.free_calls(),
            "duration_s": ledger.time_left(SystemTime::now()).as_secs(),
        },
    })
}

fn call(call: &Call) -> Value {
    let messages: Vec<Value> = call
        .intent
        .messages
        .iter()
        .map(|text| json_or_text(text.as_bytes()))
        .collect();
    let kind = match call.intent.kind {
        CallKind::Completion => "completion",
        CallKind::Service => "service",
    };
    let mut call_json = json!({
        "number": call.number(),
        "kind": kind,
        "route": call.intent.route_id,
        "messages": messages,
        "spent_tokens": call.spent_tokens,
    });
    let (state, detail) = outcome(call.outcome.as_ref());
    call_json["state"] = state.into();
    match detail {
        Detail::None => {}
        Detail::Reason(reason) => call_json["reason"] = reason.into(),
        Detail::Response(value) => call_json["answer"] = value,
    }
    call_json
}

/// The details of a call's outcome that are shown beside its state.
enum Detail {
    None,
    Reason(String),
    Response(Value),
}

fn outcome(outcome: Option<&Outcome>) -> (&'static str, Detail) {
    match outcome {
        None => ("running", Detail::None),
        Some(Outcome::Answered(response)) => ("answered", Detail::Response(response_json(response))),
        Some(Outcome::NotRun) => ("not_run", Detail::None),
        Some(Outcome::Failed { reason }) => ("failed", Detail::Reason(reason.clone())),
        Some(Outcome::Unknown { reason }) => ("outcome_unknown", Detail::Reason(reason.clone())),
    }
}

fn response_json(response: &CallResponse) -> Value {
    match &response.message {
        Some(message) => json_or_text(message.as_bytes()),
        None => json!({ "status": response.status, "body": json_or_text(&response.body) }),
    }
}

fn json_or_text(bytes: &[u8]) -> Value {
    let text = || Value::String(String::from_utf8_lossy(bytes).into_owned());
    serde_json::from_slice(bytes).unwrap_or_else(|_not_json| text())
}
