//! Copies of journal records that a host keeps for other hosts.

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use crate::{
    journal::{Position, TailCopy, TailReply},
    ownership::Process,
};

/// Copies of records that a writer sends to its tail peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TailBatch {
    /// Session number. The writer starts a session with a higher number each time it selects the peer, so
    /// that the peer can reject copies of an earlier session that arrive late.
    pub session: u64,
    /// Position of the first record.
    pub position: Position,
    /// Encoded records, at consecutive positions.
    pub records: Vec<Arc<[u8]>>,
    /// Copies of records before this position can be dropped: the records are stored, or another peer
    /// keeps them.
    pub stored_end: Position,
}

/// Limits of a [`TailTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TailTableOptions {
    /// Maximum size of the records of one writer, in bytes.
    pub writer_max_bytes: usize,
    /// Maximum size of the records of all writers, in bytes.
    pub total_max_bytes: usize,
    /// Time for which the records of a sealed tail are kept. A successor that fails during its takeover
    /// is itself replaced, and its own successor reads the tail again.
    pub sealed_retention: Duration,
    /// Maximum number of sealed tails that are tracked.
    pub sealed_max: usize,
}

impl Default for TailTableOptions {
    fn default() -> Self {
        Self {
            writer_max_bytes: 32 * 1024 * 1024,
            total_max_bytes: 64 * 1024 * 1024,
            sealed_retention: Duration::from_mins(10),
            sealed_max: 4_096,
        }
    }
}

/// Tails of other hosts' journals, by writer.
///
/// Records that exceed the limits are refused. Accepted records are never dropped to make space, because
/// their writer relies on them.
#[derive(Clone, Debug, Default)]
pub struct TailTable {
    options: TailTableOptions,
    tails: BTreeMap<Process, Tail>,
    /// Sealed tails, ordered by the time of sealing.
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
    /// Creates an empty table.
    pub fn new(options: TailTableOptions) -> Self {
        Self {
            options,
            ..Self::default()
        }
    }

    /// Appends copies to the tail of a writer. Records are left out from the first one that exceeds a size
    /// limit, and all are left out if earlier records are missing.
    pub fn append_batch(&mut self, writer: &Process, copies: TailBatch) -> TailReply {
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
        tail.truncate_before(copies.stored_end);
        let free_bytes = self.options.total_max_bytes.saturating_sub(self.bytes);
        tail.extend(copies, free_bytes.min(self.options.writer_max_bytes));
        self.bytes += tail.bytes;
        TailReply::Acknowledged(tail.end())
    }

    /// Seals a tail, so that its writer can no longer append to it, and returns its records.
    pub fn seal(&mut self, writer: &Process, now: Instant) -> TailCopy {
        self.evict_sealed(now);
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

    /// Frees the records of tails that were sealed at least [`TailTableOptions::sealed_retention`] ago,
    /// and removes the oldest sealed tails to make room for one more.
    fn evict_sealed(&mut self, now: Instant) {
        for sealed in &self.sealed {
            if now.saturating_duration_since(sealed.sealed_at) < self.options.sealed_retention {
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
    /// Returns the position after the last record.
    fn end(&self) -> Position {
        self.position + self.records.len() as Position
    }

    fn truncate_before(&mut self, position: Position) {
        while self.position < position {
            self.position += 1;
            if let Some(record) = self.records.pop_front() {
                self.bytes -= record.len();
            }
        }
    }

    fn extend(&mut self, copies: TailBatch, max_bytes: usize) {
        let Some(present) = self.end().checked_sub(copies.position) else {
            // Records before these are missing. The writer sends them again from the returned end.
            return;
        };
        let new_records = copies
            .records
            .into_iter()
            .skip(usize::try_from(present).unwrap_or(usize::MAX));
        for record in new_records {
            if self.bytes + record.len() > max_bytes {
                return;
            }
            self.bytes += record.len();
            self.records.push_back(record);
        }
    }
}
