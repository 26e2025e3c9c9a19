//! Calls to the hosts that store turns, with their health as this host sees it.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{HostId, gateway::TurnHostHealth};
use tokio::time::sleep;

use crate::{
    peer_client::PeerError,
    turn_store::{
        links::{Destination, EncodedCall, TurnHostLinks},
        messages::TurnResponse,
    },
};

/// Timeout of the replication of a turn. The caller's deadline may end it before. It is shorter than the time for which
/// a host that is back without its disk still counts as lost, so that the response of a host which has since lost the
/// turn never counts beside the loss of another.
pub(super) const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for which a turn is held back after a check that took as long. On a full link, the check arrives right
/// after the turns that were sent before it, and these are still written to the disks.
const WRITE_WAIT_MAX: Duration = Duration::from_millis(80);

/// The hosts that store turns.
#[derive(Debug)]
pub(super) struct DiskHosts {
    links: TurnHostLinks,
    health: Mutex<TurnHostHealth>,
}

/// How a call that stores a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreResult {
    /// The turn is on the host's disk.
    Stored,
    /// The host responded that it did not store the turn.
    NotStored,
    /// The host could not be reached.
    Unreachable,
    /// The host did not respond.
    NoResponse,
}

impl StoreResult {
    fn of(response: &Result<TurnResponse, PeerError>) -> Self {
        match response {
            Ok(TurnResponse::Stored) => Self::Stored,
            Ok(_) => Self::NotStored,
            Err(PeerError::Unreachable) => Self::Unreachable,
            Err(PeerError::NoResponse) => Self::NoResponse,
        }
    }

    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Stored => "stored",
            Self::NotStored => "not_stored",
            Self::Unreachable => "unreachable",
            Self::NoResponse => "no_response",
        }
    }
}

impl DiskHosts {
    pub(super) fn new(links: TurnHostLinks) -> Self {
        Self {
            links,
            health: Mutex::default(),
        }
    }

    /// Returns the links to the hosts that store turns.
    pub(super) fn links(&self) -> &TurnHostLinks {
        &self.links
    }

    /// Sends a call that stores turns to one host, and records its health.
    pub(super) async fn store(&self, destination: Destination<'_>, call: &EncodedCall) -> StoreResult {
        let sent_at = Instant::now();
        let host = destination.host;
        let response = self.links.call(destination, call, STORE_TIMEOUT).await;
        let result = StoreResult::of(&response);
        match result {
            StoreResult::Stored => self.record_response(host),
            // The host responds, but did not write the turn to its disk.
            StoreResult::NotStored => self.health().record_failure(host, Instant::now()),
            StoreResult::Unreachable | StoreResult::NoResponse => self.record_silence(host, sent_at),
        }
        result
    }

    /// Like [`store`](Self::store), but sends the turn only when the host has responded to a check, so that its copies do
    /// not fill a link that is full already.
    pub(super) async fn store_after_check(
        &self,
        destination: Destination<'_>,
        call: &EncodedCall,
    ) -> StoreResult {
        let sent_at = Instant::now();
        let checked = match EncodedCall::check() {
            Ok(check) => self.call(destination, &check, STORE_TIMEOUT).await,
            Err(error) => Err(error),
        };
        sleep(sent_at.elapsed().min(WRITE_WAIT_MAX)).await;
        if checked.is_ok() && !call.is_settled() {
            return self.store(destination, call).await;
        }
        metrics::counter!("burdockroad_turn_copies_withheld_total", "way" => "own").increment(1);
        match checked {
            Err(PeerError::Unreachable) => StoreResult::Unreachable,
            Ok(_) | Err(PeerError::NoResponse) => StoreResult::NoResponse,
        }
    }

    /// Calls one host, and records its health.
    pub(super) async fn call(
        &self,
        destination: Destination<'_>,
        call: &EncodedCall,
        response_timeout: Duration,
    ) -> Result<TurnResponse, PeerError> {
        let sent_at = Instant::now();
        let host = destination.host;
        let response = self.links.call(destination, call, response_timeout).await;
        match response {
            Ok(_) => self.record_response(host),
            Err(_) => self.record_silence(host, sent_at),
        }
        response
    }

    /// Records that a host responded.
    pub(super) fn record_response(&self, host: &HostId) {
        self.health().record_response(host, Instant::now());
    }

    /// Records that a host has not responded to a call that was sent at `sent_at`.
    pub(super) fn record_silence(&self, host: &HostId, sent_at: Instant) {
        self.health().record_silence(host, sent_at, Instant::now());
    }

    /// Returns whether a host counts as lost.
    pub(super) fn is_lost(&self, host: &str) -> bool {
        self.health().is_lost(host)
    }

    /// Returns the time since the first of a host's consecutive failures; `None` if its last call succeeded.
    pub(super) fn failing_time(&self, host: &str) -> Option<Duration> {
        self.health().failing_time(host, Instant::now())
    }

    /// Locks the health. The lock is never held across an `await`.
    pub(super) fn health(&self) -> MutexGuard<'_, TurnHostHealth> {
        self.health.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
