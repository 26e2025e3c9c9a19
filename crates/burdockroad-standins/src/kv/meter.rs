//! Counts the calls of the key-value stand-in and holds them to its rates.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{kv::refusal::Refusal, window::FixedWindowCounter};

#[cfg(test)]
mod tests;

/// How often the stand-in was called.
///
/// Leases count as writes, a request for progress as a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KvCounts {
    /// Reads that were let in.
    pub reads: u64,
    /// Writes that were let in.
    pub writes: u64,
    /// Calls refused because a rate was reached.
    pub refused: u64,
    /// Watches that wait now; each takes one of the reads of every second.
    pub watches_waiting: u64,
    /// Most reads within one second, waiting watches not counted.
    pub peak_reads_per_s: u64,
    /// Most writes within one second.
    pub peak_writes_per_s: u64,
    /// Most watches that waited at once.
    pub peak_watches_waiting: u64,
}

/// Whether a call changes keys or leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallKind {
    Read,
    Write,
}

/// Counts in windows of one second, and refuses what goes over.
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

    /// Counts one call, or refuses it.
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
