//! What a writer asks of its caller, and the replies.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{ProgramId, SegmentNumber},
    journal::{Copies, JournalError, Position, Ticket},
    ownership::Process,
};

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Answer an append.
    Answer {
        /// The append.
        ticket: Ticket,
        /// Whether its records are durable.
        result: Result<(), JournalError>,
    },
    /// Create a segment if it does not exist and, from the second on, the one before it does.
    Write {
        /// The segment's number.
        segment: SegmentNumber,
        /// What it holds.
        value: Arc<[u8]>,
    },
    /// Read a segment whose write was lost.
    ReadBack {
        /// The segment's number.
        segment: SegmentNumber,
    },
    /// Send copies to a peer.
    Replicate {
        /// The peer.
        to: Process,
        /// The copies.
        copies: Copies,
    },
    /// Ask for new snapshots of these trees.
    Snapshot {
        /// Roots of the trees.
        root_ids: Vec<ProgramId>,
    },
    /// Remove the segments from one number up to, not including, another.
    Remove {
        /// The first.
        from: SegmentNumber,
        /// The one after the last.
        to: SegmentNumber,
    },
}

/// How the write of a segment ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The segment is stored.
    Done,
    /// The key holds this already.
    Held(Vec<u8>),
    /// The segment before it is gone: the journal was sealed and removed.
    Removed,
    /// Nothing was written.
    Unavailable {
        /// When to try again.
        retry_after: Duration,
    },
    /// The write may have taken effect.
    Ambiguous,
}

/// How reading a segment back ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// The key holds this.
    Held(Vec<u8>),
    /// The key does not exist.
    Absent,
    /// The store could not be read.
    Unavailable {
        /// When to try again.
        retry_after: Duration,
    },
}

/// How sending copies to a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailReply {
    /// The peer holds everything before this position that is not stored.
    Held(Position),
    /// The peer has sealed the copies.
    Sealed,
    /// The peer was not reached, or is another process than was meant.
    Failed,
}
