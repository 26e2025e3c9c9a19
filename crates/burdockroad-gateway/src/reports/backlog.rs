//! Reports that waited while this process stood still.

use std::time::{Duration, Instant};

/// Time without any report from which this process may have stood still. Each other host reports more often.
const STANDSTILL_MIN: Duration = Duration::from_millis(500);

/// Time in which all reports are received that waited meanwhile.
const CATCH_UP_TIME: Duration = Duration::from_millis(150);

/// Tells reports that may have waited in the socket from those that have just arrived.
#[derive(Debug)]
pub(super) struct Backlog {
    received_at: Instant,
    caught_up_at: Instant,
}

impl Backlog {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            received_at: now,
            caught_up_at: now,
        }
    }

    /// Records that a datagram was received. Returns whether it may have waited.
    pub(super) fn record(&mut self, now: Instant) -> bool {
        if now >= self.received_at + STANDSTILL_MIN {
            self.caught_up_at = now + CATCH_UP_TIME;
        }
        self.received_at = now;
        now < self.caught_up_at
    }
}
