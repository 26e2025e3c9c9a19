//! Polls of the store that failed.

use std::time::{Duration, Instant};

/// Polls of the store that failed since its last response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedPolls {
    since: Instant,
    last_at: Instant,
}

impl FailedPolls {
    /// Returns the failed polls after one more has failed.
    pub(crate) fn extend(failed: Option<Self>, now: Instant) -> Self {
        Self {
            since: failed.map_or(now, |failed| failed.since),
            last_at: now,
        }
    }

    /// Returns whether a response of the store is later than the last of them.
    pub(crate) fn are_before(&self, response_at: Instant) -> bool {
        self.last_at < response_at
    }

    /// Returns the time from the first of them to a response of the store.
    pub(crate) fn lasted(&self, response_at: Instant) -> Duration {
        response_at.saturating_duration_since(self.since)
    }
}
