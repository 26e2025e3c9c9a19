//! Rules that decide whether the program table accepts a call, treats it as a retry, or refuses it.

use std::time::{Duration, SystemTime};

use crate::{
    ids::CallNumber,
    program::{
        CachedPrefix, Call, CallDecision, CallKind, CallRequest, Outcome, Program, Refusal, Shortage, State,
        Tree, Usage, table::OpenCall,
    },
};

/// Retry delay suggested to a caller while other calls of its tree have reserved all remaining tokens.
const RESERVED_TOKENS_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(super) fn retry_of_open_call(
    open: &OpenCall,
    program: &Program,
    request: &CallRequest,
) -> Result<CallDecision, Refusal> {
    let number = open.request.number;
    if request.number < number {
        return retry_of_finished_call(program.call(request.number), request);
    }
    if request.number > number {
        return Err(Refusal::WrongNumber { expected: number });
    }
    if request.digest != open.request.digest {
        return Err(Refusal::DifferentRequest);
    }
    Ok(CallDecision::Attach)
}

pub(super) fn retry_of_finished_call(
    call: Option<&Call>,
    request: &CallRequest,
) -> Result<CallDecision, Refusal> {
    let Some(call) = call else {
        // Every earlier number from 1 on has a call, so the number is 0.
        return Err(Refusal::WrongNumber { expected: 1 });
    };
    if call.intent.digest != request.digest {
        return Err(Refusal::DifferentRequest);
    }
    match &call.outcome {
        Some(Outcome::Answered(response)) => Ok(CallDecision::Answered(response.clone())),
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
        let retry_after = (ledger.reserved_tokens > 0).then_some(RESERVED_TOKENS_RETRY_AFTER);
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

/// Returns whether the next call of the program can reuse a cached prefix. This requires that the program
/// is active, and that the endpoint is that of its last completion.
pub(super) fn is_prefix_reusable(tree: &Tree, prefix: &CachedPrefix) -> bool {
    let program = tree
        .programs
        .get(&prefix.program_id)
        .filter(|program| program.state == State::Active);
    program.is_some_and(|program| program.prefix_endpoint_id() == Some(&prefix.endpoint_id))
}
