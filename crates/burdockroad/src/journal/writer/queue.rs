//! Queue of records that are not yet stored, and the groups written from it.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    error::Result,
    ids::{ProgramId, SegmentNumber},
    journal::{Piece, Position, Segment, StoredSegment, WriterId},
    ownership::Process,
};

/// Space reserved for the segment header, in bytes. The host name in the header takes a small part of it.
const HEAD_BYTES: usize = 1_024;

/// Space reserved for the header of each piece, in bytes.
const PIECE_HEAD_BYTES: usize = 32;

/// Effect of a record on the segments that its tree needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The tree can be read from this record on, without earlier records.
    Base,
    /// The record depends on earlier records.
    Change,
    /// The tree is removed from the journal.
    End,
}

/// A record that is queued for the store.
#[derive(Clone, Debug)]
pub(super) struct QueuedRecord {
    pub(super) root_id: ProgramId,
    pub(super) role: Role,
    pub(super) bytes: Arc<[u8]>,
    /// Number of bytes that are already stored.
    pub(super) stored_bytes: usize,
    /// Segment in which the record starts; none before its first piece is stored.
    pub(super) first_segment: Option<SegmentNumber>,
}

/// A record that is completely stored.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    pub(super) root_id: ProgramId,
    pub(super) role: Role,
    pub(super) first_segment: SegmentNumber,
}

/// Queued records in order of position. The first may be partly stored.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    records: VecDeque<QueuedRecord>,
    first: Position,
    bytes: usize,
    /// Space for pieces in a segment, in bytes.
    pieces_max_bytes: usize,
}

/// One segment to be written. Its value must not change while an earlier write of it may take effect.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) segment: SegmentNumber,
    pub(super) value: Arc<[u8]>,
    pub(super) tail_peer: Option<Process>,
    /// Position after the last record that this group completes.
    pub(super) end: Position,
    /// Number of bytes of the record at `end` that are stored once this group is stored.
    pub(super) partial_bytes: usize,
}

impl Queue {
    pub(super) fn new(segment_max_bytes: usize) -> Self {
        Self {
            records: VecDeque::new(),
            first: 1,
            bytes: 0,
            pieces_max_bytes: segment_max_bytes
                .saturating_sub(HEAD_BYTES)
                .max(2 * PIECE_HEAD_BYTES),
        }
    }

    /// Returns the position of the first record that is not completely stored.
    pub(super) fn first(&self) -> Position {
        self.first
    }

    /// Returns the position of the next record to be appended.
    pub(super) fn end(&self) -> Position {
        self.first + self.records.len() as Position
    }

    /// Returns the total size of the queued records, in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the segment in which the first record starts, if the record is partly stored.
    pub(super) fn partial_record_segment(&self) -> Option<SegmentNumber> {
        self.records.front().and_then(|front| front.first_segment)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn push(&mut self, record: QueuedRecord) {
        self.bytes += record.bytes.len();
        self.records.push_back(record);
    }

    pub(super) fn clear(&mut self) {
        self.first = self.end();
        self.records.clear();
        self.bytes = 0;
    }

    /// Returns the queued records from a position on, up to a total size of `bytes_max`, but at least one.
    pub(super) fn copies(&self, from: Position, bytes_max: usize) -> Vec<Arc<[u8]>> {
        let skipped = usize::try_from(from.saturating_sub(self.first)).unwrap_or(usize::MAX);
        let mut copies = Vec::new();
        let mut bytes = 0;
        for record in self.records.iter().skip(skipped) {
            if !copies.is_empty() && bytes + record.bytes.len() > bytes_max {
                break;
            }
            bytes += record.bytes.len();
            copies.push(Arc::clone(&record.bytes));
        }
        copies
    }

    /// Packs as many records as fit into the next segment. `tail_peer` returns the tail peer that the
    /// segment names, given the position after its last complete record.
    pub(super) fn build_group(
        &self,
        segment: SegmentNumber,
        writer_id: WriterId,
        tail_peer: impl FnOnce(Position) -> Option<Process>,
    ) -> Result<Group> {
        let (pieces, partial_bytes) = self.pieces();
        let whole = pieces.iter().filter(|piece| piece.last).count();
        let end = self.first + whole as Position;
        let tail_peer = tail_peer(end);
        let content = StoredSegment::Group(Segment {
            writer_id,
            tail_peer: tail_peer.clone(),
            first_position: self.first,
            continues: self.records.front().is_some_and(|front| front.stored_bytes > 0),
            pieces,
        });
        Ok(Group {
            segment,
            value: content.encode()?.into(),
            tail_peer,
            end,
            partial_bytes,
        })
    }

    fn pieces(&self) -> (Vec<Piece>, usize) {
        let mut free_bytes = self.pieces_max_bytes;
        let mut pieces = Vec::new();
        for record in &self.records {
            let rest = &record.bytes[record.stored_bytes..];
            let needed = rest.len() + PIECE_HEAD_BYTES;
            if needed <= free_bytes {
                free_bytes -= needed;
                pieces.push(piece(rest, true));
                continue;
            }
            // A record that fits into one segment is not split; it is left for the next segment.
            if needed <= self.pieces_max_bytes || free_bytes <= PIECE_HEAD_BYTES {
                break;
            }
            let taken = free_bytes - PIECE_HEAD_BYTES;
            pieces.push(piece(&rest[..taken], false));
            return (pieces, record.stored_bytes + taken);
        }
        (pieces, 0)
    }

    /// Removes the records that are completely stored now that `group` is stored, and returns them. A
    /// record that is only partly stored remains queued.
    pub(super) fn on_stored(&mut self, group: &Group) -> Vec<StoredRecord> {
        let mut stored = Vec::new();
        while self.first < group.end {
            let Some(record) = self.records.pop_front() else {
                break;
            };
            self.first += 1;
            self.bytes -= record.bytes.len();
            stored.push(StoredRecord {
                first_segment: record.first_segment.unwrap_or(group.segment),
                root_id: record.root_id,
                role: record.role,
            });
        }
        if group.partial_bytes > 0
            && let Some(front) = self.records.front_mut()
        {
            front.stored_bytes = group.partial_bytes;
            front.first_segment.get_or_insert(group.segment);
        }
        stored
    }
}

fn piece(bytes: &[u8], last: bool) -> Piece {
    Piece {
        bytes: bytes.to_vec(),
        last,
    }
}
