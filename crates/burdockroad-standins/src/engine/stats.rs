//! Totals of the engine stand-in, and its load, which is reported with a lag.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Totals computed since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStats {
    /// Prompt tokens that were computed.
    pub prompt_tokens_computed: u64,
    /// Prompt tokens that were in the cache.
    pub prompt_tokens_cached: u64,
    /// Generated tokens.
    pub generated: u64,
    /// Maximum number of sequences in the batch at one time.
    pub peak_batch: u64,
}

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Calls being served.
    pub running: u64,
    /// Calls waiting for a slot.
    pub waiting: u64,
    /// Maximum number of calls served concurrently.
    pub slots: u64,
    /// Tokens in the prefix cache.
    pub cache_tokens_used: u64,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens_max: u64,
    /// Age of this report.
    pub age_ms: u64,
}

/// Load samples covering at least one lag, from which the delayed report is taken.
#[derive(Debug)]
pub(crate) struct LaggedLoad {
    lag: Duration,
    samples: VecDeque<(Instant, Load)>,
}

impl LaggedLoad {
    pub(crate) fn new(lag: Duration, first: Load, now: Instant) -> Self {
        Self {
            lag,
            samples: VecDeque::from([(now, first)]),
        }
    }

    /// Records the current load.
    pub(crate) fn sample(&mut self, load: Load, now: Instant) {
        if self.samples.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.samples.push_back((now, load));
        // Only the newest sample that is at least one lag old is reported, so older ones are dropped.
        while self.samples.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns the load of one lag ago.
    pub(crate) fn report(&self, now: Instant) -> Load {
        let mut old_enough = self.samples.iter().rev().filter(|(at, _)| *at + self.lag <= now);
        let sample = old_enough.next().or(self.samples.front());
        Load {
            age_ms: u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX),
            ..sample.map(|(_, load)| *load).unwrap_or_default()
        }
    }
}
