//! Durable records of programs: segments, their writer, and what is read back from them.
//!
//! A journal belongs to one [`Process`](crate::ownership::Process). Its [`Writer`] gathers records into groups,
//! says when to write each group as the next [`Segment`], and keeps copies of what is not written yet
//! at one peer. A successor puts a [`Seal`] in place of the next segment and [`join`]s what it reads.
//! Nothing here opens a socket or reads a clock: replies and the current time go in, [`Action`]s come
//! out.

mod join;
mod segment;
mod tail_table;
mod writer;

use std::{fmt, time::Duration};

pub use self::{
    join::{Joined, TailCopy, join},
    segment::{Piece, Seal, Segment, StoredSegment},
    tail_table::{Copies, TailTable, TailTableOptions},
    writer::{Action, Peer, ReadReply, TailReply, Ticket, WriteReply, Writer, WriterOptions},
};

/// Position of a record in its journal, from 1.
pub type Position = u64;

/// Random number that marks the segments of one writer.
pub type WriterId = u128;

/// Largest segment, encoded, in bytes.
pub const SEGMENT_MAX_BYTES: usize = 1_000_000;

/// Largest record, encoded, in bytes; it is split over several segments.
pub const RECORD_MAX_BYTES: usize = 32 * 1024 * 1024;

/// How durable a record has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// Queued only: it will be written with the next group.
    Queued,
    /// A peer in another failure domain has a copy, or the key-value service has it.
    Replicated,
    /// The key-value service has it, so that a writer that was replaced can no longer add it.
    Stored,
}

/// Why records are not durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalError {
    /// Another host has sealed the journal: this process owns nothing any more.
    Fenced,
    /// Neither the key-value service nor, where that suffices, a peer took the records in time.
    Unavailable {
        /// When a later try may succeed.
        retry_after: Duration,
    },
    /// A record is larger than [`RECORD_MAX_BYTES`]; none of the records was queued.
    TooLarge,
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("another host has sealed this journal"),
            Self::TooLarge => f.write_str("a record is larger than a journal takes"),
            Self::Unavailable { retry_after } => {
                let retry_after_ms = retry_after.as_millis();
                write!(
                    f,
                    "records cannot be made durable now, retry_after_ms={retry_after_ms}"
                )
            }
        }
    }
}

impl std::error::Error for JournalError {}
