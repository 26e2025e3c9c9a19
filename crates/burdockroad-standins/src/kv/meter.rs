//! Call counts and rate limits of the key-value stand-in.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{kv::refusal::Refusal, window::FixedWindowCounter};

#[cfg(test)]
mod tests;

/// Call counts.
///
/// Lease calls count as writes, and a progress request counts as a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvCounts {
    /// Admitted reads.
    pub reads: u64,
    /// Admitted writes.
    pub writes: u64,
    /// Calls refused because a rate limit was reached.
    pub refused: u64,
    /// Currently open watches; each uses one read per second of the rate limit.
    pub watches_waiting: u64,
    /// Maximum number of reads in one second, excluding open watches.
    pub peak_reads_per_s: u64,
    /// Maximum number of writes in one second.
    pub peak_writes_per_s: u64,
    /// Maximum number of watches open at one time.
    pub peak_watches_waiting: u64,
}

/// Kind of a call; writes change keys or leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Call counter and rate limiter, with fixed windows of one second.
#[derive(Debug)]
pub(crate) struct Meter {
    reads_per_s: u64,
    writes_per_s: u64,
    counts: KvCounts,
    reads: FixedWindowCounter,
    writes: FixedWindowCounter,
}

impl Meter {
    pub(crate) fn new(reads_per_s: u64, writes_per_s: u64, now: Instant) -> Self {
        Self {
            reads_per_s,
            writes_per_s,
            counts: KvCounts::default(),
            reads: FixedWindowCounter::new(now),
            writes: FixedWindowCounter::new(now),
        }
    }

    pub(crate) fn counts(&self) -> KvCounts {
        self.counts
    }

    /// Counts a call as admitted if it is within the rate limit, and as refused otherwise.
    pub(crate) fn admit(&mut self, kind: CallKind, now: Instant) -> Result<(), Refusal> {
        let admitted = match kind {
            CallKind::Read => self.admit_read(now),
            CallKind::Write => self.admit_write(now),
        };
        if admitted.is_err() {
            self.counts.refused += 1;
        }
        admitted
    }

    pub(crate) fn watch_opened(&mut self) {
        self.counts.watches_waiting += 1;
        self.counts.peak_watches_waiting = self.counts.peak_watches_waiting.max(self.counts.watches_waiting);
    }

    pub(crate) fn watches_closed(&mut self, number: usize) {
        self.counts.watches_waiting -= number as u64;
    }

    fn admit_read(&mut self, now: Instant) -> Result<(), Refusal> {
        if self.reads.count(now) + self.counts.watches_waiting >= self.reads_per_s {
            return Err(Refusal::TooManyRequests);
        }
        self.counts.reads += 1;
        self.counts.peak_reads_per_s = self.counts.peak_reads_per_s.max(self.reads.increment());
        Ok(())
    }

    fn admit_write(&mut self, now: Instant) -> Result<(), Refusal> {
        if self.writes.count(now) >= self.writes_per_s {
            return Err(Refusal::TooManyRequests);
        }
        self.counts.writes += 1;
        self.counts.peak_writes_per_s = self.counts.peak_writes_per_s.max(self.writes.increment());
        Ok(())
    }
}
