//! Durable journal of program records: segments, their writer, and recovery from them.
//!
//! A journal belongs to one [`Process`](crate::ownership::Process). Its [`Writer`] batches records into
//! groups, decides when each group is written as the next [`Segment`], and replicates records that are
//! not yet stored to one peer. A successor creates a [`Seal`] in place of the next segment, which ends
//! the journal, and [`join`]s the segments with the replicated records. This module does no I/O and
//! reads no clock: the caller passes in replies and the current time, and carries out the returned
//! [`Action`]s.

mod join;
mod segment;
mod tail_table;
mod writer;

use std::{fmt, time::Duration};

pub use self::{
    join::{Joined, TailCopy, join},
    segment::{Piece, Seal, Segment, StoredSegment},
    tail_table::{TailBatch, TailTable, TailTableOptions},
    writer::{Action, Peer, ReadReply, TailReply, Ticket, WriteReply, Writer, WriterOptions},
};

/// Position of a record in its journal; starts at 1.
pub type Position = u64;

/// Random number that identifies the writer of a segment.
pub type WriterId = u128;

/// Maximum size of an encoded segment, in bytes.
pub const SEGMENT_MAX_BYTES: usize = 1_000_000;

/// Maximum size of an encoded record, in bytes. A record may span several segments.
pub const RECORD_MAX_BYTES: usize = 32 * 1024 * 1024;

/// Required durability of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// The record is queued and is written with the next group.
    Queued,
    /// A peer has a copy of the record, or the key-value service stores it. A peer in another failure
    /// domain is preferred.
    Replicated,
    /// The key-value service stores the record. A replaced writer cannot reach this durability, because
    /// its writes fail once the journal is sealed.
    Stored,
}

/// Reason why records could not be made durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalError {
    /// Another host has sealed the journal. This process no longer owns any partition.
    Fenced,
    /// The records could not be made durable within the append timeout, or cannot be made durable at
    /// present: the key-value service does not store them, and neither does a peer where that would be
    /// sufficient.
    Unavailable {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// A record is larger than [`RECORD_MAX_BYTES`]. None of the records was queued.
    TooLarge,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("another host has sealed this journal"),
            Self::TooLarge => f.write_str("a record exceeds the maximum record size of the journal"),
            Self::Unavailable { retry_after } => {
                let retry_after_ms = retry_after.as_millis();
                write!(
                    f,
                    "records cannot be made durable at present, retry_after_ms={retry_after_ms}"
                )
            }
        }
    }
}

impl std::error::Error for JournalError {}
