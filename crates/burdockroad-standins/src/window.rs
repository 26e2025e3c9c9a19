//! Fixed-window counter, used for rate limits.

use std::time::Duration;

use tokio::time::Instant;

const WINDOW: Duration = Duration::from_secs(1);

/// Counter that restarts from zero in each window of one second.
#[derive(Debug)]
pub(crate) struct FixedWindowCounter {
    start: Instant,
    count: u64,
}

impl FixedWindowCounter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { start: now, count: 0 }
    }

    /// Returns the count of the current window, and starts a new window when the current one has ended.
    pub(crate) fn count(&mut self, now: Instant) -> u64 {
        if now.duration_since(self.start) >= WINDOW {
            self.start = now;
            self.count = 0;
        }
        self.count
    }

    /// Increments the count and returns it.
    pub(crate) fn increment(&mut self) -> u64 {
        self.count += 1;
        self.count
    }
}
