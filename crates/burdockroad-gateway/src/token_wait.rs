//! Logs the calls that waited for tokens of their program's budget.

use std::time::{Duration, Instant};

use burdockroad::{ProgramId, gateway::Readiness};
use serde::Serialize;

use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    shared::Shared,
    tokens_elsewhere::live_incarnations,
};

/// Shortest wait for a write that is logged.
const WRITE_WAIT_MIN: Duration = Duration::from_millis(150);

/// Wait of one call for a reservation at this host.
#[derive(Debug)]
pub(crate) struct TokenWait {
    began_at: Instant,
    /// Whether the call has waited for tokens that are reserved for others.
    lacked_tokens: bool,
    /// Number of reads of the budget.
    polls: u32,
}

impl TokenWait {
    pub(crate) fn new() -> Self {
        Self {
            began_at: Instant::now(),
            lacked_tokens: false,
            polls: 0,
        }
    }

    /// Records what the call waits for.
    pub(crate) fn observe(&mut self, readiness: Readiness) {
        self.lacked_tokens |= readiness == Readiness::AwaitTokens;
    }

    /// Records that other hosts were asked for their tokens and the budget was read.
    pub(crate) fn add_poll(&mut self) {
        self.polls += 1;
    }

    /// Logs a call that has waited for tokens, or long for a write.
    pub(crate) fn log(
        &self,
        shared: &Shared,
        request: &ReservationRequest,
        owns_budget: bool,
        response: ReservationResponse,
    ) {
        let waited = self.began_at.elapsed();
        if !self.lacked_tokens && waited < WRITE_WAIT_MIN {
            return;
        }
        let program = &request.program;
        let incarnations = live_incarnations(shared);
        let Some(tokens) = shared.tables().ledger.token_use(program, &incarnations) else {
            return;
        };
        let line = TokensAwaitedLine {
            id: &request.call_id,
            program,
            response: response.name(),
            owner: owns_budget,
            waited_ms: u64::try_from(waited.as_millis()).unwrap_or(u64::MAX),
            lacked_tokens: self.lacked_tokens,
            polls: self.polls,
            budget_tokens: request.budget_tokens,
            max_tokens: request.max_tokens,
            spent_tokens: tokens.spent_tokens,
            reserved_tokens: tokens.reserved_tokens,
            running_tokens: tokens.running_tokens,
            waiting_tokens: tokens.waiting_tokens,
            live_tokens: tokens.live_tokens,
            lost_tokens: tokens.lost_tokens,
            write_pending: tokens.write_pending,
        };
        shared.log.line("tokens_awaited", &line);
    }
}

impl ReservationResponse {
    /// Returns the response's name in the log.
    fn name(self) -> &'static str {
        match self {
            Self::Reserved { .. } => "reserved",
            Self::Deferred(_) => "deferred",
            Self::OverRate(_) => "over_rate",
            Self::BudgetExhausted => "budget_exhausted",
            Self::FullyReserved => "fully_reserved",
            Self::StoreTimeout => "store_timeout",
            Self::StoreUnavailable => "store_unavailable",
        }
    }
}

/// Log line of a call that has waited for tokens.
#[derive(Serialize)]
struct TokensAwaitedLine<'a> {
    id: &'a str,
    program: &'a ProgramId,
    response: &'static str,
    /// Whether this host owns the budget.
    owner: bool,
    waited_ms: u64,
    lacked_tokens: bool,
    polls: u32,
    budget_tokens: u64,
    max_tokens: u64,
    spent_tokens: u64,
    reserved_tokens: u64,
    running_tokens: u64,
    waiting_tokens: u64,
    live_tokens: u64,
    lost_tokens: u64,
    write_pending: bool,
}
