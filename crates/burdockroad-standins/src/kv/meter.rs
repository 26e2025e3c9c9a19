//! Counts the calls of the key-value stand-in and holds them to its rates.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::kv::refusal::Refusal;

#[cfg(test)]
mod tests;

const WINDOW: Duration = Duration::from_secs(1);

/// How often the stand-in was called.
///
/// Leases count as writes, a request for progress as a read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
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
    window_start: Instant,
    window_reads: u64,
    window_writes: u64,
}

impl Meter {
    pub(crate) fn new(reads_per_s: u64, writes_per_s: u64, now: Instant) -> Self {
        Self {
            reads_per_s,
            writes_per_s,
            counts: KvCounts::default(),
            window_start: now,
            window_reads: 0,
            window_writes: 0,
        }
    }

    pub(crate) fn counts(&self) -> KvCounts {
        self.counts
    }

    /// Counts one call, or refuses it.
    pub(crate) fn admit(&mut self, kind: CallKind, now: Instant) -> Result<(), Refusal> {
        self.turn_window(now);
        let over = match kind {
            CallKind::Read => self.window_reads + self.counts.watches_waiting >= self.reads_per_s,
            CallKind::Write => self.window_writes >= self.writes_per_s,
        };
        if over {
            self.counts.refused += 1;
            return Err(Refusal::TooManyRequests);
        }
        match kind {
            CallKind::Read => {
                self.window_reads += 1;
                self.counts.reads += 1;
            }
            CallKind::Write => {
                self.window_writes += 1;
                self.counts.writes += 1;
            }
        }
        self.counts.peak_reads_per_s = self.counts.peak_reads_per_s.max(self.window_reads);
        self.counts.peak_writes_per_s = self.counts.peak_writes_per_s.max(self.window_writes);
        Ok(())
    }

    pub(crate) fn watch_opened(&mut self) {
        self.counts.watches_waiting += 1;
        self.counts.peak_watches_waiting = self.counts.peak_watches_waiting.max(self.counts.watches_waiting);
    }

    pub(crate) fn watches_closed(&mut self, number: usize) {
        self.counts.watches_waiting -= number as u64;
    }

    fn turn_window(&mut self, now: Instant) {
        if now.duration_since(self.window_start) >= WINDOW {
            self.window_start = now;
            self.window_reads = 0;
            self.window_writes = 0;
        }
    }
}
