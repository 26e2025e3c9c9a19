//! Token counts of the engine stand-in, and its load, which is reported with a lag.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Token counts and peak batch size since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStats {
    /// Tokens computed in prefill; for a resumed sequence, they may include its earlier output.
    pub prompt_tokens_computed: u64,
    /// Tokens found in the cache, which prefill skipped.
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

/// History of the load; a report shows the load as it was `lag` ago.
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

    /// Records the current load if it differs from the last sample.
    pub(crate) fn sample(&mut self, load: Load, now: Instant) {
        if self.samples.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.samples.push_back((now, load));
        // A report uses the newest sample that is at least `lag` old, so older samples are dropped.
        while self.samples.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was `lag` ago, or the oldest sample if none is that old.
    pub(crate) fn report(&self, now: Instant) -> Load {
        let mut old_enough = self.samples.iter().rev().filter(|(at, _)| *at + self.lag <= now);
        let sample = old_enough.next().or(self.samples.front());
        Load {
            age_ms: u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX),
            ..sample.map(|(_, load)| *load).unwrap_or_default()
        }
    }
}
