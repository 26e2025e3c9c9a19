//! Seal, recovery and removal of the journal by a successor, and checks of what it recovers.

use burdockroad::{
    Record, SegmentNumber,
    journal::{Seal, Segment, StoredSegment, TailCopy, WriteReply, join},
    ownership::Process,
};

use super::{BASE_INTERVAL, STEPS_BETWEEN_ACTIONS, World, process};

/// Records recovered by a successor.
pub(super) struct Recovery {
    records: Vec<Record>,
    pub(super) tail_count: usize,
    /// Position of the last record that the segments contain completely, or that was removed before.
    stored_end: u64,
    /// Whether the tail peer named by the last segment was read, or none was named.
    pub(super) complete: bool,
}

impl Recovery {
    /// Returns whether both recoveries contain the same records, from the start of the later one. A
    /// removal that was still in progress may have removed earlier records, and copies that one
    /// successor read may be lost for the other.
    pub(super) fn agrees_with(&self, other: &Self) -> bool {
        let start = |recovery: &Self| recovery.records.first().map_or(0, |record| record.sequence);
        let from = start(self).max(start(other));
        let records_since = |recovery: &Self| -> Vec<Record> {
            let records = recovery.records.iter();
            records
                .filter(|record| record.sequence >= from)
                .cloned()
                .collect()
        };
        records_since(self).starts_with(&records_since(other))
            || records_since(other).starts_with(&records_since(self))
    }
}

impl World {
    /// Creates a seal after the newest segment. The writer continues between the steps.
    pub(super) fn seal(&mut self) -> SegmentNumber {
        loop {
            let newest = self.store.iter().next_back();
            let Some((&newest, value)) = newest else {
                self.steps(STEPS_BETWEEN_ACTIONS);
                continue;
            };
            if matches!(StoredSegment::decode(value).unwrap(), StoredSegment::Seal(_)) {
                return newest;
            }
            self.steps(STEPS_BETWEEN_ACTIONS);
            let seal = StoredSegment::Seal(Seal {
                successor: process("p", 9),
            });
            if self.create(newest + 1, &seal.encode().unwrap()) == WriteReply::Done {
                return newest + 1;
            }
        }
    }

    pub(super) fn recover(&mut self, seal: SegmentNumber) -> Recovery {
        let mut copies = Vec::new();
        let mut read_peers = Vec::new();
        for index in 0..self.peers.len() {
            self.steps(STEPS_BETWEEN_ACTIONS);
            let peer = &mut self.peers[index];
            if peer.up {
                copies.push(peer.table.seal(&self.owner, self.now));
                read_peers.push(peer.process.clone());
            }
        }
        self.steps(STEPS_BETWEEN_ACTIONS);
        self.read(seal, &copies, &read_peers)
    }

    fn read(&self, seal: SegmentNumber, copies: &[TailCopy], read_peers: &[Process]) -> Recovery {
        let segments: Vec<Segment> = self
            .store
            .range(..seal)
            .map(|(_, value)| match StoredSegment::decode(value).unwrap() {
                StoredSegment::Group(segment) => segment,
                StoredSegment::Seal(seal) => panic!("a second seal by {:?}", seal.successor),
            })
            .collect();
        assert!(
            !self.store.keys().any(|&number| number > seal),
            "a segment follows the seal"
        );
        let tail_peer = segments.last().and_then(|segment| segment.tail_peer.as_ref());
        let joined = join(&segments, copies).unwrap();
        let stored_end = segments.last().map_or(0, |segment| {
            let whole = segment.pieces.iter().filter(|piece| piece.last).count();
            segment.first_position + whole as u64 - 1
        });
        Recovery {
            stored_end,
            records: joined.records,
            tail_count: joined.tail_count,
            complete: tail_peer.is_none_or(|tail_peer| read_peers.contains(tail_peer)),
        }
    }

    /// Checks that all confirmed records were recovered, in order and without gaps.
    pub(super) fn check(&self, recovery: &Recovery) {
        let end = recovery.stored_end + recovery.tail_count as u64;
        let first = end + 1 - recovery.records.len() as u64;
        let sequences = recovery.records.iter().map(|record| record.sequence);
        assert!(sequences.eq(first..=end), "a record is missing or duplicated");
        let stored_end = recovery.stored_end;
        let base = stored_end / BASE_INTERVAL * BASE_INTERVAL;
        assert!(
            base == 0 || first <= base,
            "record {base} is needed but was removed"
        );
        assert!(
            self.stored <= stored_end,
            "confirmed {} as stored, recovered {stored_end}",
            self.stored
        );
        if recovery.complete {
            assert!(
                self.replicated <= end,
                "confirmed {} as replicated, recovered {end}",
                self.replicated
            );
        }
    }

    /// Removes the journal in the order that a successor uses, with the seal last.
    pub(super) fn remove(&mut self, seal: SegmentNumber) {
        self.steps(STEPS_BETWEEN_ACTIONS);
        self.store.retain(|&number, _| number >= seal);
        self.steps(STEPS_BETWEEN_ACTIONS);
        self.store.remove(&seal);
    }
}
