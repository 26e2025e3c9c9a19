//! Responds to other hosts about the tokens that this host has reserved of programs' budgets.

use std::time::{Duration, Instant};

use burdockroad::ProgramId;

use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    budgets::{REMOTE_WAIT_MAX, reserve_locally},
    remote_reservation::{LocalAccount, RemoteReservation, RemoteReservationId},
    shared::{Shared, Tables},
};

/// Time after a remote call's deadline at which its reserved tokens are counted as used.
const RESERVATION_EXPIRY_MARGIN: Duration = Duration::from_secs(2);

/// Handles a reservation request of another host.
pub(crate) async fn handle_reserve(shared: &Shared, request: ReservationRequest) -> ReservationResponse {
    // Tokens are reserved only once for a request that is repeated.
    let id = request.reservation_id();
    if shared.tables().remote_reservations.contains_key(&id) {
        return ReservationResponse::Reserved {
            starts_program: false,
        };
    }
    let deadline = Instant::now() + REMOTE_WAIT_MAX;
    let (response, account) = reserve_locally(shared, &request, true, deadline).await;
    if matches!(response, ReservationResponse::Reserved { .. }) {
        let reservation = RemoteReservation {
            program: request.program,
            max_tokens: request.max_tokens,
            account,
            expires_at: Instant::now() + request.time_left + RESERVATION_EXPIRY_MARGIN,
        };
        shared.tables().remote_reservations.insert(id, reservation);
    }
    response
}

/// Settles the reservation of another host's call.
pub(crate) fn handle_release(shared: &Shared, id: &RemoteReservationId, used_tokens: u64) {
    let mut tables = shared.tables();
    if let Some(reservation) = tables.remote_reservations.remove(id) {
        settle(&mut tables, &reservation, used_tokens, Instant::now());
        drop(tables);
        shared.reservations_changed.notify_waiters();
    }
}

fn settle(tables: &mut Tables, reservation: &RemoteReservation, used_tokens: u64, now: Instant) {
    let program = &reservation.program;
    match reservation.account {
        LocalAccount::Ledger => tables
            .ledger
            .settle(program, reservation.max_tokens, used_tokens, now),
        LocalAccount::BeyondBudget => tables.overdrafts.end_call(program, used_tokens),
    }
}

/// Returns the tokens of a program that this host has reserved and does not use, because another host needs them.
pub(crate) fn handle_return_tokens(shared: &Shared, program: &ProgramId) {
    shared.tables().ledger.return_idle(program);
    shared.reservation_requested.notify_one();
}

/// Counts remote reservations that were not released before their expiry as used.
pub(crate) fn expire_remote_reservations(shared: &Shared, now: Instant) {
    let mut tables = shared.tables();
    let expired = tables
        .remote_reservations
        .extract_if(|_, reservation| reservation.expires_at <= now);
    let expired: Vec<RemoteReservation> = expired.map(|(_, reservation)| reservation).collect();
    for reservation in expired {
        settle(&mut tables, &reservation, reservation.max_tokens, now);
    }
}
