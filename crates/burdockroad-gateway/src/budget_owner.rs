//! Responds to other hosts about the tokens that this host has reserved of programs' budgets.

use std::time::{Duration, Instant};

use burdockroad::{
    ProgramId,
    gateway::{AddedReservation, LocalAccount, RemoteReservation, RemoteReservationId, RemoteReservations},
};

use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    budgets::{REMOTE_WAIT_MAX, reserve_locally},
    shared::Shared,
};

/// Time after a remote call's deadline at which its reserved tokens are counted as used.
const RESERVATION_EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Handles a reservation request of another host.
pub(crate) async fn handle_reserve(shared: &Shared, request: ReservationRequest) -> ReservationResponse {
    let id = request.reservation_id();
    if let Some(response) = repeated_response(&shared.tables().remote_reservations, &id) {
        return response;
    }
    let deadline = Instant::now() + REMOTE_WAIT_MAX;
    let (response, account) = reserve_locally(shared, &request, true, deadline).await;
    if !matches!(response, ReservationResponse::Reserved { .. }) {
        return response;
    }
    let reservation = RemoteReservation {
        program: request.program,
        max_tokens: request.max_tokens,
        account,
        expires_at: Instant::now() + request.time_left + RESERVATION_EXPIRY_MARGIN,
    };
    let added = shared.tables().remote_reservations.add(id, reservation);
    match added {
        AddedReservation::Added => response,
        AddedReservation::Released(reservation) => {
            settle(shared, &reservation, 0);
            ReservationResponse::FullyReserved
        }
    }
}

/// Returns the response to a request whose reservation was made or released before; `None` for a new one.
fn repeated_response(
    reservations: &RemoteReservations,
    id: &RemoteReservationId,
) -> Option<ReservationResponse> {
    if reservations.contains(id) {
        let starts_program = false;
        return Some(ReservationResponse::Reserved { starts_program });
    }
    reservations
        .is_released(id)
        .then_some(ReservationResponse::FullyReserved)
}

/// Settles the reservation of another host's call.
pub(crate) fn handle_release(shared: &Shared, id: RemoteReservationId, used_tokens: u64) {
    let released = shared.tables().remote_reservations.release(id, Instant::now());
    if let Some(reservation) = released {
        settle(shared, &reservation, used_tokens);
    }
}

fn settle(shared: &Shared, reservation: &RemoteReservation, used_tokens: u64) {
    let program = &reservation.program;
    let now = Instant::now();
    let mut tables = shared.tables();
    match reservation.account {
        LocalAccount::Ledger => tables
            .ledger
            .settle(program, reservation.max_tokens, used_tokens, now),
        LocalAccount::BeyondBudget => tables.overdrafts.end_call(program, used_tokens),
    }
    drop(tables);
    shared.reservations_changed.notify_waiters();
}

/// Returns the tokens of a program that this host has reserved and does not use, because another host needs them.
pub(crate) fn handle_return_tokens(shared: &Shared, program: &ProgramId) {
    shared.tables().ledger.return_idle(program);
    shared.reservation_requested.notify_one();
}

/// Counts remote reservations that were not released before their expiry as used.
pub(crate) fn expire_remote_reservations(shared: &Shared, now: Instant) {
    let expired = shared.tables().remote_reservations.take_expired(now);
    for reservation in expired {
        settle(shared, &reservation, reservation.max_tokens);
    }
}
