//! Counting in windows of one second.

use std::time::Duration;

use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// How much was counted in the window at hand.
#[derive(Debug)]
pub(crate) struct Window {
    start: Instant,
    count: u64,
}

impl Window {
    pub(crate) fn new(now: Instant) -> Self {
        Self { start: now, count: 0 }
    }

    /// Returns what was counted so far, after a turn to the next window where that is due.
    pub(crate) fn count(&mut self, now: Instant) -> u64 {
        if now.duration_since(self.start) >= WINDOW {
            self.start = now;
            self.count = 0;
        }
        self.count
    }

    /// Counts one more and returns the new count.
    pub(crate) fn add(&mut self) -> u64 {
        self.count += 1;
        self.count
    }
}
