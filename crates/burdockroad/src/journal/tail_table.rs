//! Copies that a host keeps of other hosts' records.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    journal::{Position, TailCopy, TailReply},
    ownership::Process,
};

/// Copies of records that a writer sends to its peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copies {
    /// Tells this use of the peer from the writer's earlier ones, which have lower numbers.
    pub session: u64,
    /// Position of the first record.
    pub position: Position,
    /// The encoded records, at consecutive positions.
    pub records: Vec<Arc<[u8]>>,
    /// Records before this position are stored, or not needed here any more.
    pub stored_end: Position,
}

/// Limits of a table of copies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailTableOptions {
    /// Bytes of records of one writer.
    pub writer_max_bytes: usize,
    /// Bytes of records of all writers.
    pub total_max_bytes: usize,
    /// Time for which the records of a sealed tail are kept, for a successor's successor.
    pub sealed_kept: Duration,
    /// Number of sealed tails that are remembered.
    pub sealed_max: usize,
}

impl Default for TailTableOptions {
    fn default() -> Self {
        Self {
            writer_max_bytes: 32 * 1024 * 1024,
            total_max_bytes: 64 * 1024 * 1024,
            sealed_kept: Duration::from_mins(10),
            sealed_max: 4_096,
        }
    }
}

/// Copies of records by their writers.
///
/// What does not fit is refused, never dropped later: a writer relies on what was confirmed.
#[derive(Clone, Debug, Default)]
pub struct TailTable {
    options: TailTableOptions,
    tails: BTreeMap<Process, Tail>,
    /// Sealed tails in the order in which they were sealed.
    sealed: VecDeque<SealedTail>,
    bytes: usize,
}

#[derive(Clone, Debug, Default)]
struct Tail {
    session: u64,
    position: Position,
    records: VecDeque<Arc<[u8]>>,
    bytes: usize,
    sealed: bool,
}

#[derive(Clone, Debug)]
struct SealedTail {
    writer: Process,
    sealed_at: Instant,
}

impl TailTable {
    /// Makes an empty table.
    pub fn new(options: TailTableOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Keeps copies, as far as there is room and nothing is missing before them.
    pub fn keep(&mut self, writer: &Process, copies: Copies) -> TailReply {
        let tail = self.tails.entry(writer.clone()).or_default();
        if tail.sealed {
            return TailReply::Sealed;
        }
        if copies.session < tail.session {
            return TailReply::Failed;
        }
        self.bytes -= tail.bytes;
        if copies.session > tail.session {
            *tail = Tail {
                session: copies.session,
                position: copies.stored_end,
                ..Tail::default()
            };
        }
        tail.forget_before(copies.stored_end);
        let room = self.options.total_max_bytes.saturating_sub(self.bytes);
        tail.extend(copies, room.min(self.options.writer_max_bytes));
        self.bytes += tail.bytes;
        TailReply::Held(tail.end())
    }

    /// Seals a tail against its writer, and returns what is held of it.
    pub fn seal(&mut self, writer: &Process, now: Instant) -> TailCopy {
        self.forget_sealed(now);
        let tail = self.tails.entry(writer.clone()).or_default();
        if !tail.sealed {
            tail.sealed = true;
            self.sealed.push_back(SealedTail {
                writer: writer.clone(),
                sealed_at: now,
            });
        }
        TailCopy {
            position: tail.position,
            records: tail.records.iter().map(|record| record.to_vec()).collect(),
        }
    }

    /// Frees the records of tails that were sealed long ago, and forgets the oldest seals beyond the limit.
    fn forget_sealed(&mut self, now: Instant) {
        for sealed in &self.sealed {
            if now.saturating_duration_since(sealed.sealed_at) < self.options.sealed_kept {
                break;
            }
            if let Some(tail) = self.tails.get_mut(&sealed.writer) {
                self.bytes -= std::mem::take(&mut tail.bytes);
                tail.records.clear();
            }
        }
        while self.sealed.len() >= self.options.sealed_max {
            let Some(oldest) = self.sealed.pop_front() else {
                break;
            };
            if let Some(tail) = self.tails.remove(&oldest.writer) {
                self.bytes -= tail.bytes;
            }
        }
    }
}

impl Tail {
    /// Position after the last record.
    fn end(&self) -> Position {
        self.position + self.records.len() as Position
    }

    fn forget_before(&mut self, position: Position) {
        while self.position < position {
            self.position += 1;
            if let Some(record) = self.records.pop_front() {
                self.bytes -= record.len();
            }
        }
    }

    fn extend(&mut self, copies: Copies, bytes_max: usize) {
        let Some(known) = self.end().checked_sub(copies.position) else {
            // Records before these are missing: the writer sends them again from the end.
            return;
        };
        let fresh = copies
            .records
            .into_iter()
            .skip(usize::try_from(known).unwrap_or(usize::MAX));
        for record in fresh {
            if self.bytes + record.len() > bytes_max {
                return;
            }
            self.bytes += record.len();
            self.records.push_back(record);
        }
    }
}
