//! Ranges of the store that watchers announce.

use std::{net::SocketAddr, time::Instant};

use burdockroad_daemon::platform::Revision;

/// Number of watchers of a range that are remembered.
const WATCHERS_MAX: usize = 4;

/// State of a range as announced in watchers' reports.
#[derive(Clone, Debug)]
pub(crate) struct AnnouncedRange {
    /// Watcher that announced the last change first.
    pub(crate) watcher: SocketAddr,
    /// Other watchers that announced the last change.
    others: Vec<SocketAddr>,
    /// Revision of the last change that the watchers have seen.
    pub(crate) last_change: Revision,
    /// Time of the last announcement of the range by any watcher.
    pub(crate) announced_at: Instant,
}

impl AnnouncedRange {
    /// Returns the state when `watcher` announces a change first.
    pub(crate) fn new(watcher: SocketAddr, last_change: Revision, now: Instant) -> Self {
        Self {
            watcher,
            others: Vec::new(),
            last_change,
            announced_at: now,
        }
    }

    /// Records the announcement of a watcher. Returns whether it has a newer change than all before.
    pub(crate) fn record(&mut self, watcher: SocketAddr, last_change: Revision, now: Instant) -> bool {
        if last_change > self.last_change {
            *self = Self::new(watcher, last_change, now);
            return true;
        }
        self.announced_at = now;
        if last_change == self.last_change {
            self.add(watcher);
        }
        false
    }

    /// Returns the watchers that announced the last change, in the order in which they did.
    pub(crate) fn watchers(&self) -> Vec<SocketAddr> {
        let others = self.others.iter().copied();
        std::iter::once(self.watcher).chain(others).collect()
    }

    fn add(&mut self, watcher: SocketAddr) {
        let is_known = self.watcher == watcher || self.others.contains(&watcher);
        if !is_known && self.others.len() + 1 < WATCHERS_MAX {
            self.others.push(watcher);
        }
    }
}
