//! Reserves tokens of a program's budget at the budget owner.
//!
//! All hosts compute the same rendezvous order for a program, and the first host in that order owns its
//! budget. Tokens that calls release at the owner are available to the next call without a write to the
//! store. When the owner does not respond, the host that serves the call reserves the tokens itself. The
//! store records the reservations of each host separately, so the two hosts never reserve the same tokens.
//! While the store takes no writes, or when lost processes have reserved the rest of a budget, one call of a program may
//! run on its [overdraft](crate::overdrafts).

mod ledger_wait;
mod local;
mod owner;
mod owner_requests;
mod program_start;
mod reservation;

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::LocalAccount;

pub(crate) use self::{
    local::reserve_locally,
    owner::REMOTE_WAIT_MAX,
    reservation::{Reservation, release},
};
use self::{owner::remote_budget_owner, owner_requests::reserve_at_owner, reservation::ReservationSource};
use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    overdrafts::{CLAIM_TIMEOUT, take_overdraft},
    shared::Shared,
};

/// Longest time that a call waits for its reservation.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(900);

/// `Retry-After` of a call of whose budget enough is left, but reserved for other calls.
pub(crate) const FULLY_RESERVED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// `Retry-After` of a call that is refused because the store did not respond.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(1200);

/// Reason why tokens could not be reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReservationError {
    /// The budget has too few tokens left for the call.
    BudgetExhausted,
    /// The budget has enough tokens left for the call, but they are reserved for others.
    FullyReserved,
    /// The program must not start yet because the service is overloaded.
    Deferred {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The program must not start yet because its account's rate limit is used up.
    OverRate {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The store did not respond in time.
    StoreUnavailable {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Reserves tokens of a program's budget for a call, at the budget owner if it responds, or on the program's
/// overdraft if the store takes no writes.
pub(crate) async fn reserve(
    shared: &Arc<Shared>,
    request: ReservationRequest,
) -> Result<Reservation, ReservationError> {
    let remote_owner = remote_budget_owner(shared, &request.program);
    let call_deadline = Instant::now() + request.time_left;
    let (response, source) = reserve_stored(shared, &request, remote_owner).await;
    match response {
        ReservationResponse::Reserved { starts_program } => {
            Ok(request.into_reservation(starts_program, source))
        }
        ReservationResponse::Deferred(retry_after) => Err(ReservationError::Deferred { retry_after }),
        ReservationResponse::OverRate(retry_after) => Err(ReservationError::OverRate { retry_after }),
        ReservationResponse::BudgetExhausted => Err(ReservationError::BudgetExhausted),
        ReservationResponse::FullyReserved => Err(ReservationError::FullyReserved),
        ReservationResponse::StoreTimeout => Err(ReservationError::StoreUnavailable {
            retry_after: STORE_RETRY_AFTER,
        }),
        ReservationResponse::StoreUnavailable => {
            // A claim lasts, so a call that may end before it is granted must not send one.
            let has_time_left = Instant::now() + CLAIM_TIMEOUT < call_deadline;
            if has_time_left && take_overdraft(shared, &request).await {
                return Ok(request.into_reservation(false, ReservationSource::Overdraft));
            }
            Err(ReservationError::StoreUnavailable {
                retry_after: STORE_RETRY_AFTER,
            })
        }
    }
}

/// Reserves tokens at the budget owner, or at this host if the owner does not respond or times out. Returns the
/// response and where the tokens are counted.
async fn reserve_stored(
    shared: &Arc<Shared>,
    request: &ReservationRequest,
    remote_owner: Option<SocketAddr>,
) -> (ReservationResponse, ReservationSource) {
    let deadline = Instant::now() + RESERVATION_TIMEOUT.min(request.time_left);
    if let Some(address) = remote_owner {
        let response = reserve_at_owner(shared, address, request, deadline).await;
        let response = response.unwrap_or(ReservationResponse::StoreTimeout);
        let has_time_left = Instant::now() < deadline;
        if response != ReservationResponse::StoreTimeout || !has_time_left {
            return (response, ReservationSource::Owner(address));
        }
    }
    let (response, account) = reserve_locally(shared, request, remote_owner.is_none(), deadline).await;
    let source = match account {
        LocalAccount::Ledger => ReservationSource::ThisHost,
        LocalAccount::BeyondBudget => ReservationSource::BeyondBudget,
    };
    (response, source)
}
