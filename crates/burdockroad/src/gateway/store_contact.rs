//! Outages of the store, as far as the responses that any host got tell of them.

use std::time::{Duration, Instant};

/// Shortest gap between two responses that counts as an outage. Watches of a store that responds end after at
/// most a second.
const OUTAGE_MIN: Duration = Duration::from_millis(1500);

/// Shortest gap between two responses that counts as an outage, in heartbeat intervals of the endpoints. An entry
/// outlives several of them, so a shorter outage expires none.
const OUTAGE_MIN_HEARTBEATS: f64 = 1.25;

/// An outage of the store that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreOutage {
    /// Time between the last response before it and the first one after it.
    pub lasted: Duration,
}

/// Tracks when the store responded to any host.
///
/// A host that fails to reach the store knows from the reports of the others whether the store responds, so neither
/// its own trouble nor a single lost response counts as an outage of the store. An outage has no end of its own that
/// a host could miss: it follows from the time of the last response.
#[derive(Debug)]
pub(super) struct StoreContact {
    outage_min: Duration,
    last_response_at: Option<Instant>,
    /// Time for which the store has responded, without outages.
    uptime: Duration,
    /// Uptime at the end of the last outage; `None` if there was none.
    uptime_at_outage: Option<Duration>,
}

impl StoreContact {
    pub(super) fn new(heartbeat_interval: Duration) -> Self {
        Self {
            outage_min: heartbeat_interval.mul_f64(OUTAGE_MIN_HEARTBEATS).max(OUTAGE_MIN),
            last_response_at: None,
            uptime: Duration::ZERO,
            uptime_at_outage: None,
        }
    }

    /// Records that the store responded to some host. Returns the outage that the response ends.
    pub(super) fn record_response(&mut self, at: Instant) -> Option<StoreOutage> {
        let last_response_at = *self.last_response_at.get_or_insert(at);
        let gap = at.saturating_duration_since(last_response_at);
        self.last_response_at = Some(last_response_at.max(at));
        if gap < self.outage_min {
            self.uptime += gap;
            return None;
        }
        self.uptime_at_outage = Some(self.uptime);
        Some(StoreOutage { lasted: gap })
    }

    /// Returns whether the store responds to no host.
    pub(super) fn is_outage(&self, now: Instant) -> bool {
        let since_response = self.last_response_at.map(|at| now.saturating_duration_since(at));
        since_response.is_some_and(|gap| gap >= self.outage_min)
    }

    /// Returns the time for which the store has responded, without outages.
    pub(super) fn uptime(&self) -> Duration {
        self.uptime
    }

    /// Returns the uptime since the last outage; `None` if there was none.
    pub(super) fn uptime_since_outage(&self) -> Option<Duration> {
        self.uptime_at_outage.map(|at| self.uptime.saturating_sub(at))
    }
}
