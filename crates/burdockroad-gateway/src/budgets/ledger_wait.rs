//! Wait of a call for tokens in the ledger of this host.

use std::{
    pin::pin,
    time::{Duration, Instant},
};

use burdockroad::gateway::Readiness;
use tokio::time::timeout;

use super::program_start::check_program_start;
use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    reservations::refresh_budget,
    shared::Shared,
    store_writes::{store_is_silent, store_writes_are_failing},
    token_wait::TokenWait,
    tokens_elsewhere::{is_short, record_shortage, request_tokens},
};

/// Interval at which a waiting call rechecks a budget whose tokens are all reserved.
const BUDGET_RECHECK_INTERVAL: Duration = Duration::from_millis(80);

/// Guard that removes a waiting call from the ledger when dropped.
#[derive(Debug)]
struct WaitingCall<'a> {
    shared: &'a Shared,
    request: &'a ReservationRequest,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        let request = self.request;
        self.shared
            .tables()
            .ledger
            .remove_waiter(&request.program, request.max_tokens);
    }
}

/// The tokens that a call lacks are reserved by lost processes and count as spent.
pub(super) struct TokensLost;

/// How long a call waits for tokens.
#[derive(Clone, Copy, Debug)]
pub(super) struct TokenDeadline {
    /// Time after which tokens of lost processes count as spent.
    pub(super) lost_after: Duration,
    /// End of the wait for any tokens.
    pub(super) ends_at: Instant,
}

/// Reserves tokens in the ledger of this host.
pub(super) async fn reserve_in_ledger(
    shared: &Shared,
    request: &ReservationRequest,
    owns_budget: bool,
    deadline: TokenDeadline,
    wait: &mut TokenWait,
) -> Result<ReservationResponse, TokensLost> {
    let program = &request.program;
    if let Some(response) = check_program_start(shared, request) {
        return Ok(response);
    }
    let starts_program = {
        let mut tables = shared.tables();
        let starts_program = !tables.ledger.is_tracked(program);
        tables.ledger.add_waiter(
            program,
            request.budget_tokens,
            request.max_tokens,
            owns_budget,
            Instant::now(),
        );
        starts_program
    };
    let _waiting_call = WaitingCall { shared, request };
    // Whether the budget was read while the call waited.
    let mut is_read = false;
    loop {
        let mut changed = pin!(shared.reservations_changed.notified());
        changed.as_mut().enable();
        let readiness = shared.tables().ledger.take(program, request.max_tokens);
        wait.observe(readiness);
        let time_left = deadline.ends_at.saturating_duration_since(Instant::now());
        match readiness {
            Readiness::Ready => return Ok(ReservationResponse::Reserved { starts_program }),
            Readiness::Exhausted => return Ok(ReservationResponse::BudgetExhausted),
            Readiness::AwaitTokens
                if (is_read || time_left.is_zero()) && is_short(shared, program, deadline.lost_after) =>
            {
                return Err(TokensLost);
            }
            Readiness::AwaitTokens if time_left.is_zero() => return Ok(ReservationResponse::FullyReserved),
            Readiness::AwaitWrite if store_writes_are_failing(shared) => {
                return Ok(ReservationResponse::StoreUnavailable);
            }
            Readiness::AwaitWrite if time_left.is_zero() && store_is_silent(shared) => {
                return Ok(ReservationResponse::StoreUnavailable);
            }
            Readiness::AwaitWrite if time_left.is_zero() => return Ok(ReservationResponse::StoreTimeout),
            Readiness::AwaitTokens => {
                record_shortage(shared, request);
                // Calls that release tokens at this host send the notification. Tokens released by other
                // hosts are visible only in the store.
                let _ended = timeout(time_left.min(BUDGET_RECHECK_INTERVAL), changed).await;
                let is_recheck_due = shared.tables().ledger.should_poll(program, Instant::now());
                if is_recheck_due {
                    wait.add_poll();
                    request_tokens(shared, program).await;
                    refresh_budget(shared, program).await;
                    record_shortage(shared, request);
                    is_read = true;
                }
            }
            Readiness::AwaitWrite => {
                shared.reservation_requested.notify_one();
                // On a timeout, the next iteration returns the error.
                let _ended = timeout(time_left, changed).await;
            }
        }
    }
}
