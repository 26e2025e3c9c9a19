//! Tokens reserved for a call, from their reservation until they are settled.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use burdockroad::{ProgramId, gateway::RemoteReservationId};

use super::owner_requests::release_at_owner;
use crate::{budget_messages::ReservationRequest, shared::Shared};

/// Tokens reserved for a call until [`release`] is called.
#[derive(Debug)]
pub(crate) struct Reservation {
    id: RemoteReservationId,
    program: ProgramId,
    max_tokens: u64,
    /// Whether the call starts the program.
    pub(crate) starts_program: bool,
    source: ReservationSource,
}

/// Where the tokens of a call are counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReservationSource {
    /// At this host.
    ThisHost,
    /// At this host, on the overdraft of the program.
    Overdraft,
    /// On the overdraft of the program that this host has claimed, and not in its ledger.
    BeyondBudget,
    /// At the budget owner with this address.
    Owner(SocketAddr),
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
        ReservationSource::Owner(address) => release_at_owner(shared, address, reservation.id, used_tokens),
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
    pub(super) fn into_reservation(self, starts_program: bool, source: ReservationSource) -> Reservation {
        Reservation {
            id: self.reservation_id(),
            program: self.program,
            max_tokens: self.max_tokens,
            starts_program,
            source,
        }
    }
}
