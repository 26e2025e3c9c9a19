//! Ranges of the store that watchers announce.
//!
//! Failure: a watcher that stops right after it has announced a change. The other watchers announce the same change
//! soon, so hosts ask the one that announced it last, which was alive most recently.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::ids::Revision;

/// State of a range as announced in the reports of watchers.
#[derive(Clone, Copy, Debug)]
pub struct AnnouncedRange {
    watcher: SocketAddr,
    last_change: Revision,
    announced_at: Instant,
}

impl AnnouncedRange {
    /// Creates the state after the first announcement, by the watcher at an address.
    pub fn new(watcher: SocketAddr, last_change: Revision, now: Instant) -> Self {
        Self {
            watcher,
            last_change,
            announced_at: now,
        }
    }

    /// Records the announcement of a watcher. Returns whether its last change is newer than that of all announcements
    /// before.
    pub fn record(&mut self, watcher: SocketAddr, last_change: Revision, now: Instant) -> bool {
        self.announced_at = now;
        if last_change < self.last_change {
            return false;
        }
        let is_newer = last_change > self.last_change;
        self.watcher = watcher;
        self.last_change = last_change;
        is_newer
    }

    /// Returns the address of the watcher that last announced the latest change.
    pub fn watcher(&self) -> SocketAddr {
        self.watcher
    }

    /// Returns the revision of the latest change.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Returns the time since any watcher announced the range.
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.announced_at)
    }
}
