//! Removal of old segments.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    ids::SegmentNumber,
    journal::{
        Action,
        writer::{
            index::Index,
            queue::{Group, StoredRecord},
        },
    },
};

/// Maximum number of trees in one request for snapshots.
const SNAPSHOTS_MAX: usize = 64;

/// Interval between two requests for snapshots.
const SNAPSHOTS_INTERVAL: Duration = Duration::from_secs(2);

/// The retained segments, and the index of trees that need them.
#[derive(Clone, Debug)]
pub(super) struct Removal {
    count_max: u64,
    bytes_max: usize,
    index: Index,
    first_kept: SegmentNumber,
    /// Sizes of the retained segments, in bytes.
    sizes: VecDeque<usize>,
    bytes: usize,
    /// End of the range of segments that is currently being removed, exclusive.
    removing_to: Option<SegmentNumber>,
    snapshots_requested_at: Option<Instant>,
}

impl Removal {
    pub(super) fn new(count_max: u64, bytes_max: usize) -> Self {
        Self {
            count_max,
            bytes_max,
            index: Index::default(),
            first_kept: 1,
            sizes: VecDeque::new(),
            bytes: 0,
            removing_to: None,
            snapshots_requested_at: None,
        }
    }

    /// Updates the state after a segment was stored, which completed the given records.
    pub(super) fn on_stored(&mut self, group: &Group, records: Vec<StoredRecord>) {
        self.sizes.push_back(group.value.len());
        self.bytes += group.value.len();
        for record in records {
            self.index.observe(record);
        }
    }

    /// Removes segments that are no longer needed, or requests snapshots so that fewer segments are
    /// needed.
    ///
    /// A partly stored record still needs the segment that it starts in.
    pub(super) fn poll(
        &mut self,
        partial_record_segment: Option<SegmentNumber>,
        now: Instant,
    ) -> Option<Action> {
        let over_limit = self.count() > self.count_max || self.bytes > self.bytes_max;
        if !over_limit || self.removing_to.is_some() {
            return None;
        }
        let from = self.first_kept;
        let needed_from = self.needed_from();
        let to = partial_record_segment.map_or(needed_from, |partial_record_segment| {
            needed_from.min(partial_record_segment)
        });
        if to > from {
            self.removing_to = Some(to);
            return Some(Action::Remove { from, to });
        }
        let requested_at = self.snapshots_requested_at;
        if requested_at.is_some_and(|requested_at| now < requested_at + SNAPSHOTS_INTERVAL) {
            return None;
        }
        self.snapshots_requested_at = Some(now);
        let middle = from + (self.count() / 2).max(1);
        let root_ids = self.index.trees_before(middle, SNAPSHOTS_MAX);
        Some(Action::Snapshot { root_ids })
    }

    /// Handles the end of a removal. A failed removal is retried by the next poll.
    pub(super) fn on_removal_ended(&mut self, succeeded: bool) {
        let Some(to) = self.removing_to.take() else {
            return;
        };
        if !succeeded {
            return;
        }
        while self.first_kept < to {
            self.first_kept += 1;
            self.bytes -= self.sizes.pop_front().unwrap_or(0);
        }
    }

    fn count(&self) -> u64 {
        self.sizes.len() as u64
    }

    /// Returns the oldest segment that must be retained. The newest segment is always retained, because
    /// the next one is created only while its predecessor exists.
    fn needed_from(&self) -> SegmentNumber {
        let newest = self.first_kept + self.count().saturating_sub(1);
        self.index.oldest().unwrap_or(newest).min(newest)
    }
}
