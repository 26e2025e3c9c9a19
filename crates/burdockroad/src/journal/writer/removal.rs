//! Cleaning of old segments.

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

/// Most trees that are asked for a new snapshot at a time.
const SNAPSHOTS_MAX: usize = 64;

/// Time between two requests for new snapshots.
const SNAPSHOTS_INTERVAL: Duration = Duration::from_secs(2);

/// The segments that are kept, and what still needs them.
#[derive(Clone, Debug)]
pub(super) struct Removal {
    count_max: u64,
    bytes_max: usize,
    index: Index,
    first_kept: SegmentNumber,
    /// Sizes of the kept segments, in bytes.
    sizes: VecDeque<usize>,
    bytes: usize,
    /// Number after the last segment that is being removed.
    under_way: Option<SegmentNumber>,
    snapshots_at: Option<Instant>,
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
            under_way: None,
            snapshots_at: None,
        }
    }

    /// Takes note of a segment that is stored, and of the records that are stored whole with it.
    pub(super) fn stored(&mut self, group: &Group, records: Vec<StoredRecord>) {
        self.sizes.push_back(group.value.len());
        self.bytes += group.value.len();
        for record in records {
            self.index.note(record);
        }
    }

    /// Removes what nothing needs, or asks for snapshots so that less is needed.
    ///
    /// A record that is stored in part still needs the segment that it begins in.
    pub(super) fn poll(&mut self, begun_in: Option<SegmentNumber>, now: Instant) -> Option<Action> {
        let full = self.count() > self.count_max || self.bytes > self.bytes_max;
        if !full || self.under_way.is_some() {
            return None;
        }
        let from = self.first_kept;
        let needed_from = self.needed_from();
        let to = begun_in.map_or(needed_from, |begun_in| needed_from.min(begun_in));
        if to > from {
            self.under_way = Some(to);
            return Some(Action::Remove { from, to });
        }
        let asked_at = self.snapshots_at;
        if asked_at.is_some_and(|asked_at| now < asked_at + SNAPSHOTS_INTERVAL) {
            return None;
        }
        self.snapshots_at = Some(now);
        let middle = from + (self.count() / 2).max(1);
        let root_ids = self.index.trees_before(middle, SNAPSHOTS_MAX);
        Some(Action::Snapshot { root_ids })
    }

    /// Takes note of how the removal ended; one that failed is tried again.
    pub(super) fn ended(&mut self, succeeded: bool) {
        let Some(to) = self.under_way.take() else {
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

    /// The oldest segment that must stay; the newest always does, since the next one is created only
    /// while it exists.
    fn needed_from(&self) -> SegmentNumber {
        let newest = self.first_kept + self.count().saturating_sub(1);
        self.index.oldest().unwrap_or(newest).min(newest)
    }
}
