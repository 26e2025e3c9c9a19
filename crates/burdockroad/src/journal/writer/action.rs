//! Actions that a writer requests from its caller, and the replies to them.

use std::{sync::Arc, time::Duration};

use crate::{
    ids::{ProgramId, SegmentNumber},
    journal::{JournalError, Position, TailBatch, Ticket},
    ownership::Process,
};

/// Operation that the caller of the writer has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Complete an append.
    Complete {
        /// The append.
        ticket: Ticket,
        /// Whether the records of the append are durable.
        result: Result<(), JournalError>,
    },
    /// Create a segment, provided that it does not exist and that its predecessor does. Segment 1 needs
    /// no predecessor.
    Write {
        /// The segment's number.
        segment: SegmentNumber,
        /// The encoded segment.
        value: Arc<[u8]>,
    },
    /// Read a segment whose write had an unknown outcome.
    ReadBack {
        /// The segment's number.
        segment: SegmentNumber,
    },
    /// Send copies of records to a peer.
    Replicate {
        /// The peer.
        to: Process,
        /// The copies, possibly none, and the position up to which earlier copies can be dropped.
        copies: TailBatch,
    },
    /// Request new snapshots of these trees.
    Snapshot {
        /// Roots of the trees.
        root_ids: Vec<ProgramId>,
    },
    /// Remove a range of segments.
    Remove {
        /// First segment of the range.
        from: SegmentNumber,
        /// End of the range, exclusive.
        to: SegmentNumber,
    },
}

/// Result of [`Action::Write`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteReply {
    /// The segment was written.
    Done,
    /// The segment already exists and has this value.
    Exists(Vec<u8>),
    /// The previous segment does not exist, because the journal was sealed and removed.
    Removed,
    /// Nothing was written.
    Unavailable {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The outcome is unknown: the write may have taken effect.
    Ambiguous,
}

/// Result of [`Action::ReadBack`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadReply {
    /// The segment exists and has this value.
    Found(Vec<u8>),
    /// The segment does not exist.
    Absent,
    /// The store could not be read.
    Unavailable {
        /// Delay before a retry.
        retry_after: Duration,
    },
}

/// Result of [`Action::Replicate`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailReply {
    /// The peer has copies of all records before this position that are not yet stored.
    Acknowledged(Position),
    /// The peer has sealed the tail.
    Sealed,
    /// The peer could not be reached, or another process now runs at its address.
    Failed,
}
