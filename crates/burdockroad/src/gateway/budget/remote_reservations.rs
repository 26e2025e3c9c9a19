//! Reservations of a budget owner for calls of other hosts.
//!
//! Load pattern: links that lose requests and responses. A host whose request got no response releases what the owner
//! may have reserved. Its release may overtake the request.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::ProgramId;

/// Time for which the release of an unknown reservation is remembered. A request rarely arrives later.
const RELEASE_RETENTION: Duration = Duration::from_secs(10);

/// Largest number of releases of unknown reservations that are remembered.
const RELEASES_MAX: usize = 65_536;

/// Identity of a reservation. Several calls may have one call id, but they share no reservation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RemoteReservationId {
    /// Id of the call.
    pub call_id: String,
    /// Number that the host which serves the call has drawn.
    pub number: u64,
}

/// Where a host counts the tokens of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalAccount {
    /// In its ledger.
    Ledger,
    /// On the overdraft of the program only.
    BeyondBudget,
}

/// Tokens that a host has reserved for a call of another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RemoteReservation {
    /// Program whose budget the tokens are reserved from.
    pub program: ProgramId,
    /// Reserved tokens.
    pub max_tokens: u64,
    /// Where the tokens are counted.
    pub account: LocalAccount,
    /// Time at which the tokens count as used.
    pub expires_at: Instant,
}

/// Result of adding a reservation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AddedReservation {
    /// The call may use the tokens.
    Added,
    /// The reservation was released before. The tokens must be returned.
    Released(RemoteReservation),
}

/// Reservations of one host for calls of other hosts.
#[derive(Debug, Default)]
pub struct RemoteReservations {
    rows: HashMap<RemoteReservationId, RemoteReservation>,
    /// Unknown reservations that were released, with the time until which they are remembered.
    releases: HashMap<RemoteReservationId, Instant>,
}

impl RemoteReservations {
    /// Returns whether a reservation is there.
    pub fn contains(&self, id: &RemoteReservationId) -> bool {
        self.rows.contains_key(id)
    }

    /// Returns whether a reservation was released before it was there.
    pub fn is_released(&self, id: &RemoteReservationId) -> bool {
        self.releases.contains_key(id)
    }

    /// Adds a reservation unless it was released before.
    pub fn add(&mut self, id: RemoteReservationId, reservation: RemoteReservation) -> AddedReservation {
        if self.is_released(&id) {
            return AddedReservation::Released(reservation);
        }
        self.rows.insert(id, reservation);
        AddedReservation::Added
    }

    /// Removes a reservation and returns it; the release of an unknown one is remembered.
    pub fn release(&mut self, id: RemoteReservationId, now: Instant) -> Option<RemoteReservation> {
        let removed = self.rows.remove(&id);
        if removed.is_none() && self.releases.len() < RELEASES_MAX {
            self.releases.insert(id, now + RELEASE_RETENTION);
        }
        removed
    }

    /// Removes and returns the reservations that have expired, and forgets old releases.
    pub fn take_expired(&mut self, now: Instant) -> Vec<RemoteReservation> {
        self.releases.retain(|_, until| now < *until);
        let expired = self
            .rows
            .extract_if(|_, reservation| reservation.expires_at <= now);
        expired.map(|(_, reservation)| reservation).collect()
    }
}
