//! What the engine stand-in computed, and the load that it reports with a lag.

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// What the engine computed since it was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineStats {
    /// Tokens of prompts that were computed.
    pub prompt_tokens_computed: u64,
    /// Tokens of prompts that were in the cache.
    pub prompt_tokens_cached: u64,
    /// Tokens that were generated.
    pub generated: u64,
    /// Most sequences in slots at once.
    pub peak_batch: u64,
}

/// The load that an endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Load {
    /// Calls being served.
    pub running: u64,
    /// Calls that wait for a slot.
    pub waiting: u64,
    /// Calls that can be served at once.
    pub slots: u64,
    /// Tokens held in the prefix cache.
    pub cache_tokens_used: u64,
    /// Tokens that the prefix cache can hold.
    pub cache_tokens_max: u64,
    /// How old this report is.
    pub age_ms: u64,
}

/// The loads of the last while, so that an old one can be reported.
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

    /// Notes the load as it is now.
    pub(crate) fn sample(&mut self, load: Load, now: Instant) {
        if self.samples.back().is_some_and(|(_, last)| *last == load) {
            return;
        }
        self.samples.push_back((now, load));
        // The newest sample that is old enough is the one reported; those before it are not needed.
        while self.samples.get(1).is_some_and(|(at, _)| *at + self.lag <= now) {
            self.samples.pop_front();
        }
    }

    /// Returns the load as it was one lag ago.
    pub(crate) fn report(&self, now: Instant) -> Load {
        let mut old_enough = self.samples.iter().rev().filter(|(at, _)| *at + self.lag <= now);
        let sample = old_enough.next().or(self.samples.front());
        Load {
            age_ms: u64::try_from(self.lag.as_millis()).unwrap_or(u64::MAX),
            ..sample.map(|(_, load)| *load).unwrap_or_default()
        }
    }
}
