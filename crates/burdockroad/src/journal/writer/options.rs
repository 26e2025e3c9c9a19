//! Options of a journal writer, and its peers.

use std::time::Duration;

use crate::{journal::WriterId, ownership::Process};

/// Options of a journal writer.
#[derive(Clone, Debug)]
pub struct WriterOptions {
    /// The process that owns the journal.
    pub owner: Process,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Random number that identifies this writer in its segments.
    pub writer_id: WriterId,
    /// Maximum size of a segment, in bytes; at most
    /// [`SEGMENT_MAX_BYTES`](crate::journal::SEGMENT_MAX_BYTES).
    pub segment_max_bytes: usize,
    /// Sustained limit on the rate of writes, per second.
    pub writes_per_s: f64,
    /// Maximum number of writes in a burst.
    pub writes_burst: f64,
    /// Minimum time for which records are batched while no append requires an immediate write.
    pub window_min: Duration,
    /// Maximum batching time, applied when the store is slow.
    pub window_max: Duration,
    /// Timeout after which an append whose records are not durable fails.
    pub append_timeout: Duration,
    /// Queue size above which new work is refused, in bytes.
    pub queue_max_bytes: usize,
    /// Number of segments above which old segments are removed.
    pub segments_max: u64,
    /// Total size of segments above which old segments are removed, in bytes.
    pub stored_max_bytes: usize,
}

/// A live peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer's process.
    pub process: Process,
    /// Failure domain of the peer's host.
    pub failure_domain: String,
    /// Whether the peer's host is being removed.
    pub leaving: bool,
}
