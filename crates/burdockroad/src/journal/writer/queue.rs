//! Records that are not stored yet, and the groups that are written of them.

use std::{collections::VecDeque, sync::Arc};

use crate::{
    error::Result,
    ids::{ProgramId, SegmentNumber},
    journal::{Piece, Position, Segment, StoredSegment, WriterId},
    ownership::Process,
};

/// Room for the head of a segment, in bytes; host names take a small part of it.
const HEAD_BYTES: usize = 1_024;

/// Room for the head of each piece, in bytes.
const PIECE_HEAD_BYTES: usize = 32;

/// What a record means for its tree's place in the journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    /// The tree can be read from here on without anything before.
    Base,
    /// It builds on earlier records.
    Change,
    /// The tree is no longer kept.
    End,
}

/// A record on its way to the store.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) root_id: ProgramId,
    pub(super) role: Role,
    pub(super) bytes: Arc<[u8]>,
    /// Bytes that are stored already.
    pub(super) stored_bytes: usize,
    /// Segment that the record begins in; none before its first piece is stored.
    pub(super) begins_in: Option<SegmentNumber>,
}

/// A record that is now stored whole.
#[derive(Clone, Debug)]
pub(super) struct StoredRecord {
    pub(super) root_id: ProgramId,
    pub(super) role: Role,
    pub(super) begins_in: SegmentNumber,
}

/// Records in their order, from the first that is not stored whole.
#[derive(Clone, Debug)]
pub(super) struct Queue {
    records: VecDeque<Pending>,
    first: Position,
    bytes: usize,
    /// Room for pieces in a segment, in bytes.
    room_max: usize,
}

/// One segment on its way to the store; its contents do not change while the write may take effect.
#[derive(Clone, Debug)]
pub(super) struct Group {
    pub(super) segment: SegmentNumber,
    pub(super) value: Arc<[u8]>,
    pub(super) tail_peer: Option<Process>,
    /// Position after the last record that is stored whole with this group.
    pub(super) end: Position,
    /// Bytes of the record at `end` that are stored with this group and before.
    pub(super) partial_bytes: usize,
}

impl Queue {
    pub(super) fn new(segment_max_bytes: usize) -> Self {
        Self {
            records: VecDeque::new(),
            first: 1,
            bytes: 0,
            room_max: segment_max_bytes
                .saturating_sub(HEAD_BYTES)
                .max(2 * PIECE_HEAD_BYTES),
        }
    }

    /// Position of the first record that is not stored whole.
    pub(super) fn first(&self) -> Position {
        self.first
    }

    /// Position that the next appended record gets.
    pub(super) fn end(&self) -> Position {
        self.first + self.records.len() as Position
    }

    /// Bytes of all records in the queue.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Segment that the first record begins in, when it is stored in part.
    pub(super) fn begun_in(&self) -> Option<SegmentNumber> {
        self.records.front().and_then(|front| front.begins_in)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    pub(super) fn push(&mut self, record: Pending) {
        self.bytes += record.bytes.len();
        self.records.push_back(record);
    }

    pub(super) fn clear(&mut self) {
        self.first = self.end();
        self.records.clear();
        self.bytes = 0;
    }

    /// Copies records from a position on, up to about `bytes_max` in sum but at least one.
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

    /// Puts as many records as fit into the next segment; the name of the tail peer depends on them.
    pub(super) fn group(
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
        let mut room = self.room_max;
        let mut pieces = Vec::new();
        for record in &self.records {
            let rest = &record.bytes[record.stored_bytes..];
            let needed = rest.len() + PIECE_HEAD_BYTES;
            if needed <= room {
                room -= needed;
                pieces.push(piece(rest, true));
                continue;
            }
            // A record that fits a segment of its own is left whole for the next one.
            if needed <= self.room_max || room <= PIECE_HEAD_BYTES {
                break;
            }
            let taken = room - PIECE_HEAD_BYTES;
            pieces.push(piece(&rest[..taken], false));
            return (pieces, record.stored_bytes + taken);
        }
        (pieces, 0)
    }

    /// Takes out what a group stored, and returns the records that are now stored whole.
    pub(super) fn stored(&mut self, group: &Group) -> Vec<StoredRecord> {
        let mut stored = Vec::new();
        while self.first < group.end {
            let Some(record) = self.records.pop_front() else {
                break;
            };
            self.first += 1;
            self.bytes -= record.bytes.len();
            stored.push(StoredRecord {
                begins_in: record.begins_in.unwrap_or(group.segment),
                root_id: record.root_id,
                role: record.role,
            });
        }
        if group.partial_bytes > 0
            && let Some(front) = self.records.front_mut()
        {
            front.stored_bytes = group.partial_bytes;
            front.begins_in.get_or_insert(group.segment);
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
