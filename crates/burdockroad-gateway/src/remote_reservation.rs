//! Reservations for calls of other hosts.

use std::time::Instant;

use burdockroad::ProgramId;

/// Identity of a reservation. Several calls may have one call id, but they share no reservation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RemoteReservationId {
    /// Id of the call.
    pub(crate) call_id: String,
    /// Number that the host which serves the call has drawn.
    pub(crate) number: u64,
}

/// Where this host counts the tokens of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LocalAccount {
    /// In its ledger.
    Ledger,
    /// On the overdraft of the program only.
    BeyondBudget,
}

/// Tokens that this host has reserved for a call of another host.
#[derive(Debug)]
pub(crate) struct RemoteReservation {
    pub(crate) program: ProgramId,
    pub(crate) max_tokens: u64,
    pub(crate) account: LocalAccount,
    pub(crate) expires_at: Instant,
}
