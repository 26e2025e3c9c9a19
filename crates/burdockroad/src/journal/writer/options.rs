//! How a writer goes about its work, and the peers that it may use.

use std::time::Duration;

use crate::{journal::WriterId, ownership::Process};

/// How a writer goes about its work.
#[derive(Clone, Debug)]
pub struct WriterOptions {
    /// The process that the journal belongs to.
    pub me: Process,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Marks this writer's segments; random.
    pub writer_id: WriterId,
    /// Largest segment, in bytes; [`SEGMENT_MAX_BYTES`](crate::journal::SEGMENT_MAX_BYTES) or less.
    pub segment_max_bytes: usize,
    /// Writes a second over a long time.
    pub writes_per_s: f64,
    /// Writes that may follow each other at once.
    pub writes_burst: f64,
    /// Shortest time for which records that nobody waits for are gathered.
    pub window_min: Duration,
    /// Longest time for which they are gathered, when the store is slow.
    pub window_max: Duration,
    /// Time after which an append that is not durable is answered.
    pub append_timeout: Duration,
    /// Bytes in the queue above which new work is refused.
    pub queue_max_bytes: usize,
    /// Segments above which old ones are cleaned away.
    pub segments_max: u64,
    /// Bytes of segments above which old ones are cleaned away.
    pub stored_max_bytes: usize,
}

/// A peer that is alive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The peer's process.
    pub process: Process,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Whether it is being taken away.
    pub leaving: bool,
}
