//! State of the segments in the store, and of the group that is being written.

use std::time::{Duration, Instant};

use super::queue::Group;
use crate::{ids::SegmentNumber, journal::Position};

/// Number of consecutive failures after which the store is considered down.
const FAILURES_MAX: u32 = 3;

/// State of the segments in the store.
#[derive(Clone, Debug)]
pub(super) struct StoreState {
    pub(super) next_segment: SegmentNumber,
    /// Position after the last completely stored record; 0 before the journal is open.
    pub(super) stored_end: Position,
    /// Whether a segment was stored that no delayed duplicate write can create again.
    ///
    /// After the journal is removed, a delayed duplicate of a write could recreate a segment, and the next
    /// segment could then be created after it. No duplicate exists of the write that opened the journal,
    /// so a replaced writer cannot get past that segment.
    pub(super) open: bool,
    pub(super) in_flight: Option<InFlightWrite>,
    pub(super) failures: u32,
    pub(super) retry_at: Option<Instant>,
    /// Start of the batching window of the next group.
    pub(super) batch_started_at: Option<Instant>,
}

/// A group that is being written.
#[derive(Clone, Debug)]
pub(super) struct InFlightWrite {
    pub(super) group: Group,
    pub(super) step: Step,
    /// Whether an earlier write of the group may have taken effect.
    pub(super) may_be_stored: bool,
    pub(super) started_at: Instant,
}

/// Progress of writing a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// The write is in progress.
    Writing,
    /// The read-back is in progress.
    Reading,
    /// The write had an unknown outcome. The segment must be read back.
    NeedsRead,
    /// The segment was not found. The same value must be written again, because the earlier write may
    /// still take effect.
    NeedsWrite,
}

impl StoreState {
    pub(super) fn new() -> Self {
        Self {
            next_segment: 1,
            stored_end: 0,
            open: false,
            in_flight: None,
            failures: 0,
            retry_at: None,
            batch_started_at: None,
        }
    }

    pub(super) fn on_failure(&mut self, retry_after: Duration, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + retry_after);
    }

    pub(super) fn is_down(&self) -> bool {
        self.failures >= FAILURES_MAX
    }
}
