//! The rules by which the table of programs takes, repeats or refuses a call.

use std::time::{Duration, SystemTime};

use crate::{
    ids::CallNumber,
    program::{
        CallDecision, Call, CallKind, CallRequest, Hold, Outcome, Program, Refusal, Shortage, State, Tree, Usage,
        table::OpenCall,
    },
};

/// Time after which a refused call may fit into tokens that other calls have set aside.
const RESERVED_RETRY: Duration = Duration::from_secs(1);

pub(super) fn repeat_of_open(
    open: &OpenCall,
    program: &Program,
    request: &CallRequest,
) -> Result<CallDecision, Refusal> {
    let number = open.request.number;
    if request.number < number {
        return repeat_of_ended(program.call(request.number), request);
    }
    if request.number > number {
        return Err(Refusal::WrongNumber { expected: number });
    }
    if request.digest != open.request.digest {
        return Err(Refusal::DifferentRequest);
    }
    Ok(CallDecision::Attach)
}

pub(super) fn repeat_of_ended(call: Option<&Call>, request: &CallRequest) -> Result<CallDecision, Refusal> {
    let Some(call) = call else {
        return Err(Refusal::WrongNumber { expected: 1 });
    };
    if call.intent.digest != request.digest {
        return Err(Refusal::DifferentRequest);
    }
    match &call.outcome {
        Some(Outcome::Answered(answer)) => Ok(CallDecision::Answered(answer.clone())),
        Some(Outcome::Unknown { reason }) => Err(Refusal::OutcomeUnknown {
            reason: reason.clone(),
        }),
        Some(Outcome::NotRun | Outcome::Failed { .. }) | None => Ok(CallDecision::Attach),
    }
}

pub(super) fn check_next(program: &Program, number: CallNumber) -> Result<(), Refusal> {
    check_active(program)?;
    let expected = program.next_number();
    if number == expected {
        Ok(())
    } else {
        Err(Refusal::WrongNumber { expected })
    }
}

pub(super) fn check_active(program: &Program) -> Result<(), Refusal> {
    match &program.state {
        State::Active => Ok(()),
        State::Ended { reason, .. } => Err(Refusal::Ended {
            reason: reason.clone(),
        }),
    }
}

pub(super) fn check_budget(tree: &Tree, kind: CallKind, now: SystemTime) -> Result<(), Refusal> {
    let ledger = &tree.ledger;
    let over = |shortage, retry_after| {
        Err(Refusal::OverBudget {
            shortage,
            retry_after,
        })
    };
    if ledger.time_left(now).is_zero() {
        return over(Shortage::Duration, None);
    }
    if ledger.free_calls() == 0 {
        return over(Shortage::Calls, None);
    }
    if kind == CallKind::Completion && ledger.free_tokens() == 0 {
        let retry_after = (ledger.reserved_tokens > 0).then_some(RESERVED_RETRY);
        return over(Shortage::Tokens, retry_after);
    }
    Ok(())
}

pub(super) fn check_history(tree: &Tree, request: &CallRequest, max_bytes: u64) -> Result<(), Refusal> {
    let new_bytes: u64 = request.messages.iter().map(|message| message.len() as u64).sum();
    if tree.history_bytes + new_bytes > max_bytes {
        return Err(Refusal::HistoryFull { max_bytes });
    }
    Ok(())
}

pub(super) fn usage(tree: &Tree, program: &Program) -> Usage {
    let history_bytes = program.messages().map(|message| message.len() as u64).sum();
    Usage {
        attained_tokens: tree.ledger.spent_tokens,
        history_bytes,
    }
}

pub(super) fn prompt(tree: &Tree, request: &CallRequest) -> Vec<String> {
    if request.kind == CallKind::Service {
        return Vec::new();
    }
    let earlier = tree.programs[&request.program_id].messages().map(str::to_owned);
    earlier.chain(request.messages.iter().cloned()).collect()
}

/// Whether the endpoint is the one where an active program's next call finds its prefix.
pub(super) fn is_in_use(tree: &Tree, hold: &Hold) -> bool {
    let program = tree
        .programs
        .get(&hold.program_id)
        .filter(|program| program.state == State::Active);
    program.is_some_and(|program| program.prefix_endpoint_id() == Some(&hold.endpoint_id))
}
