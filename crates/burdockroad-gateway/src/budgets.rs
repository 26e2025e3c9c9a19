//! Reserves tokens of a program's budget at the budget owner.
//!
//! All hosts compute the same rendezvous order for a program, and the first host in that order owns its
//! budget. Tokens that calls release at the owner are available to the next call without a write to the
//! store. When the owner does not respond, the host that serves the call reserves the tokens itself. The
//! store records the reservations of each host separately, so the two hosts never reserve the same tokens.
//! While the store takes no writes, or when lost processes have reserved the rest of a budget, one call of a program may
//! run on its [overdraft](crate::overdrafts).

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, ProgramId,
    gateway::{Readiness, StartDecision},
    ownership::rendezvous_order,
};
use tokio::time::timeout;

use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    overdrafts::{CLAIM_TIMEOUT, LostTokensDecision, take_overdraft, take_overdraft_for_lost_tokens},
    peer_messages::{PeerCall, PeerResponse},
    remote_reservation::LocalAccount,
    reservations::refresh_budget,
    shared::Shared,
    store_writes::{store_is_silent, store_writes_are_failing},
    token_wait::TokenWait,
    tokens_elsewhere::{LOST_TOKENS_WAIT, RECLAIM_TIME, is_short, record_shortage, request_tokens},
    unreturned_tokens::log_unreturned,
};

/// Longest time that a call waits for its reservation.
const RESERVATION_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest time that a reservation request of another host waits at the budget owner. After it, the owner
/// responds [`FullyReserved`] or [`StoreTimeout`], and the other host repeats the request until
/// [`RESERVATION_TIMEOUT`].
///
/// [`FullyReserved`]: ReservationResponse::FullyReserved
/// [`StoreTimeout`]: ReservationResponse::StoreTimeout
pub(crate) const REMOTE_WAIT_MAX: Duration = Duration::from_millis(200);

/// Time added to [`REMOTE_WAIT_MAX`] to obtain the timeout of a request to the budget owner.
const REMOTE_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Interval at which a waiting call rechecks a budget whose tokens are all reserved.
const BUDGET_RECHECK_INTERVAL: Duration = Duration::from_millis(80);

/// `Retry-After` of a call of whose budget enough is left, but reserved for other calls.
pub(crate) const FULLY_RESERVED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// `Retry-After` of a call that is refused because the store did not respond.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(1200);

/// Time after the process start in which programs missing from the ledger may already be running.
const PROGRAM_DISCOVERY_TIME: Duration = Duration::from_secs(3);

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

/// Tokens reserved for a call until [`release`] is called.
#[derive(Debug)]
pub(crate) struct Reservation {
    call_id: String,
    program: ProgramId,
    max_tokens: u64,
    /// Whether the call starts the program.
    pub(crate) starts_program: bool,
    source: ReservationSource,
}

/// Where the tokens of a call are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationSource {
    /// At this host.
    ThisHost,
    /// At this host, on the overdraft of the program.
    Overdraft,
    /// On the overdraft of the program that this host has claimed, and not in its ledger.
    BeyondBudget,
    /// At the budget owner with this address.
    Owner(SocketAddr),
}

/// Reserves tokens of a program's budget for a call, at the budget owner if it responds, or on the program's
/// overdraft if the store takes no writes.
pub(crate) async fn reserve(
    shared: &Shared,
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
    shared: &Shared,
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

/// Settles a reservation: counts the used tokens as spent and returns the rest to the budget.
pub(crate) fn release(shared: &Arc<Shared>, reservation: Reservation, used_tokens: u64) {
    match reservation.source {
        ReservationSource::ThisHost => settle_locally(shared, &reservation, used_tokens),
        ReservationSource::Overdraft => {
            settle_locally(shared, &reservation, used_tokens);
            shared
                .tables()
                .overdrafts
                .end_call(&reservation.program, used_tokens);
        }
        ReservationSource::BeyondBudget => {
            shared
                .tables()
                .overdrafts
                .end_call(&reservation.program, used_tokens);
        }
        ReservationSource::Owner(address) => {
            let shared = Arc::clone(shared);
            let call = PeerCall::Release {
                call_id: reservation.call_id,
                used_tokens,
            };
            tokio::spawn(async move {
                // Without the release, the owner counts the whole reservation as used when it expires.
                let response_timeout = REMOTE_WAIT_MAX + REMOTE_RESPONSE_MARGIN;
                if shared
                    .peer_client
                    .call::<PeerResponse>(address, &call, response_timeout)
                    .await
                    .is_err()
                {
                    metrics::counter!("burdockroad_holds_unreleased_total").increment(1);
                }
            });
        }
    }
}

fn settle_locally(shared: &Shared, reservation: &Reservation, used_tokens: u64) {
    shared.tables().ledger.settle(
        &reservation.program,
        reservation.max_tokens,
        used_tokens,
        Instant::now(),
    );
    shared.reservations_changed.notify_waiters();
}

impl ReservationRequest {
    fn into_reservation(self, starts_program: bool, source: ReservationSource) -> Reservation {
        Reservation {
            call_id: self.call_id,
            program: self.program,
            max_tokens: self.max_tokens,
            starts_program,
            source,
        }
    }
}

/// Returns the address of a program's budget owner; `None` when this host owns the budget, or when the owner
/// is not live. A host that is shutting down owns no budget.
fn remote_budget_owner(shared: &Shared, program: &str) -> Option<SocketAddr> {
    let peers = shared.peers.borrow();
    let this = (!shared.is_stopping()).then(|| shared.host.clone());
    let hosts = peers.keys().cloned().chain(this);
    let first: HostId = rendezvous_order(program, hosts).into_iter().next()?;
    if first == shared.host {
        return None;
    }
    let is_live = shared.tables().rate_limiter.is_live(&first, Instant::now());
    is_live
        .then(|| peers.get(&first).map(|peer| peer.address))
        .flatten()
}

/// Repeats the request to the owner until it reserves the tokens, refuses, or `deadline` passes. Returns
/// `None` when the owner does not respond.
async fn reserve_at_owner(
    shared: &Shared,
    remote_owner: SocketAddr,
    request: &ReservationRequest,
    deadline: Instant,
) -> Option<ReservationResponse> {
    loop {
        let call = PeerCall::Reserve(request.clone());
        let response_timeout = REMOTE_WAIT_MAX + REMOTE_RESPONSE_MARGIN;
        let result = shared
            .peer_client
            .call(remote_owner, &call, response_timeout)
            .await;
        match result {
            Ok(PeerResponse::Reservation(
                response @ (ReservationResponse::FullyReserved | ReservationResponse::StoreTimeout),
            )) => {
                if Instant::now() >= deadline {
                    return Some(response);
                }
            }
            Ok(PeerResponse::Reservation(response)) => return Some(response),
            Ok(_) | Err(_) => return None,
        }
    }
}

/// Returns the refusal of a request that would start a program which must not start now; `None` when the
/// program has started or may start.
fn check_program_start(shared: &Shared, request: &ReservationRequest) -> Option<ReservationResponse> {
    let mut tables = shared.tables();
    if tables.ledger.is_tracked(&request.program) {
        return None;
    }
    let now = Instant::now();
    let programs_discovered = now >= shared.started_at + PROGRAM_DISCOVERY_TIME;
    if let Some(retry_after) = request.start_after.filter(|_| programs_discovered) {
        return Some(ReservationResponse::OverRate(retry_after));
    }
    let start_decision = tables.start_gate.decide(
        &request.program,
        request.load_per_slot,
        request.priority,
        rand::random(),
        now,
    );
    match start_decision {
        StartDecision::Admitted => None,
        StartDecision::Refused { retry_after } => Some(ReservationResponse::Deferred(retry_after)),
    }
}

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
struct TokensLost;

/// Reserves tokens in the ledger of this host, or on the program's overdraft if lost processes have reserved the rest of the
/// budget. `owns_budget` says whether this host is the budget owner.
pub(crate) async fn reserve_locally(
    shared: &Shared,
    request: &ReservationRequest,
    owns_budget: bool,
    deadline: Instant,
) -> (ReservationResponse, LocalAccount) {
    let mut wait = TokenWait::new();
    let reserving = reserve_or_overdraw(shared, request, owns_budget, deadline, &mut wait);
    let (response, account) = reserving.await;
    wait.log(shared, request, owns_budget, response);
    (response, account)
}

async fn reserve_or_overdraw(
    shared: &Shared,
    request: &ReservationRequest,
    owns_budget: bool,
    deadline: Instant,
    wait: &mut TokenWait,
) -> (ReservationResponse, LocalAccount) {
    let until_lost = TokenDeadline {
        lost_after: LOST_TOKENS_WAIT,
        ends_at: deadline,
    };
    if let Ok(response) = reserve_in_ledger(shared, request, owns_budget, until_lost, wait).await {
        return (response, LocalAccount::Ledger);
    }
    let time_left = deadline.saturating_duration_since(Instant::now());
    let decision = take_overdraft_for_lost_tokens(shared, request, time_left).await;
    if decision == LostTokensDecision::Granted {
        let starts_program = false;
        let response = ReservationResponse::Reserved { starts_program };
        return (response, LocalAccount::BeyondBudget);
    }
    let until_reclaimed = TokenDeadline {
        lost_after: RECLAIM_TIME,
        ends_at: deadline,
    };
    let response = reserve_in_ledger(shared, request, owns_budget, until_reclaimed, wait)
        .await
        .unwrap_or_else(|TokensLost| without_lost_tokens(shared, request, decision));
    (response, LocalAccount::Ledger)
}

/// Returns the response to a call that gets neither the tokens of lost processes nor the overdraft.
fn without_lost_tokens(
    shared: &Shared,
    request: &ReservationRequest,
    decision: LostTokensDecision,
) -> ReservationResponse {
    if decision != LostTokensDecision::Refused {
        return ReservationResponse::FullyReserved;
    }
    log_unreturned(shared, &request.program);
    ReservationResponse::BudgetExhausted
}

/// How long a call waits for tokens.
#[derive(Clone, Copy, Debug)]
struct TokenDeadline {
    /// Time after which tokens of lost processes count as spent.
    lost_after: Duration,
    /// End of the wait for any tokens.
    ends_at: Instant,
}

/// Reserves tokens in the ledger of this host.
async fn reserve_in_ledger(
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
