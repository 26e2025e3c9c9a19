//! The prefix cache of the engine stand-in and the events that it publishes.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::engine::text::Prompt;

#[cfg(test)]
mod tests;

const EVENTS_MAX: usize = 10_000;

/// Prefix cache with one entry per program and least-recently-used eviction.
#[derive(Debug)]
pub(crate) struct Cache {
    max_tokens: u64,
    used_tokens: u64,
    entries: BTreeMap<String, CacheEntry>,
    /// Program ids by `last_use`, oldest first.
    by_last_use: BTreeMap<u64, String>,
    /// Logical clock, incremented at each lookup and store.
    use_count: u64,
    pub(crate) events: EventLog,
}

#[derive(Debug)]
struct CacheEntry {
    prompt: Prompt,
    tokens: u64,
    /// Value of `use_count` at the last use.
    last_use: u64,
}

/// The cached prefix of a program.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CachedPrefix {
    /// Program id.
    pub program_id: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// A prefix exported from one engine for import into another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ExportedPrefix {
    pub(crate) prompt: Prompt,
}

/// Error for a prefix that is larger than the whole cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PrefixTooLarge;

impl Cache {
    pub(crate) fn new(max_tokens: u64, events: EventLog) -> Self {
        Self {
            max_tokens,
            used_tokens: 0,
            entries: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            use_count: 0,
            events,
        }
    }

    pub(crate) fn max_tokens(&self) -> u64 {
        self.max_tokens
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    pub(crate) fn cached_prefixes(&self) -> Vec<CachedPrefix> {
        let entries = self.entries.iter();
        entries
            .map(|(program_id, cached)| CachedPrefix {
                program_id: program_id.clone(),
                tokens: cached.tokens,
            })
            .collect()
    }

    /// Returns the number of prompt tokens that are cached, and marks the program's entry as used.
    pub(crate) fn lookup(&mut self, program_id: &str, prompt: &Prompt) -> u64 {
        let Some(cached) = self.entries.get_mut(program_id) else {
            return 0;
        };
        let tokens = cached.prompt.common_tokens(prompt);
        self.by_last_use.remove(&cached.last_use);
        self.use_count += 1;
        cached.last_use = self.use_count;
        self.by_last_use.insert(self.use_count, program_id.to_owned());
        tokens
    }

    /// Stores a program's prefix in place of its previous one, and evicts other entries to make room.
    pub(crate) fn store(
        &mut self,
        program_id: &str,
        prompt: Prompt,
        now: Instant,
    ) -> Result<(), PrefixTooLarge> {
        let tokens = prompt.tokens();
        self.remove_entry(program_id);
        if tokens > self.max_tokens {
            return Err(PrefixTooLarge);
        }
        while self.used_tokens + tokens > self.max_tokens {
            self.evict_least_recently_used(now);
        }
        self.use_count += 1;
        self.used_tokens += tokens;
        self.by_last_use.insert(self.use_count, program_id.to_owned());
        let cached = CacheEntry {
            prompt,
            tokens,
            last_use: self.use_count,
        };
        self.entries.insert(program_id.to_owned(), cached);
        self.events.push(CacheEventKind::Held, program_id, tokens, now);
        Ok(())
    }

    /// Frees the cached prefix of a program.
    pub(crate) fn free(&mut self, program_id: &str, now: Instant) {
        if let Some(cached) = self.remove_entry(program_id) {
            self.events
                .push(CacheEventKind::Freed, program_id, cached.tokens, now);
        }
    }

    pub(crate) fn export(&self, program_id: &str) -> Option<ExportedPrefix> {
        let cached = self.entries.get(program_id)?;
        Some(ExportedPrefix {
            prompt: cached.prompt.clone(),
        })
    }

    fn evict_least_recently_used(&mut self, now: Instant) {
        let Some((_, program_id)) = self.by_last_use.pop_first() else {
            return;
        };
        if let Some(cached) = self.remove_entry(&program_id) {
            self.events
                .push(CacheEventKind::Evicted, &program_id, cached.tokens, now);
        }
    }

    fn remove_entry(&mut self, program_id: &str) -> Option<CacheEntry> {
        let cached = self.entries.remove(program_id)?;
        self.by_last_use.remove(&cached.last_use);
        self.used_tokens -= cached.tokens;
        Some(cached)
    }
}

/// Change to a program's cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The prefix was stored, in place of an earlier one if there was one.
    Held,
    /// The prefix was freed on request.
    Freed,
    /// The prefix was evicted to make room for another.
    Evicted,
}

/// An event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, starting at 1; a missing number means that its event was lost.
    pub sequence: u64,
    /// Kind of change.
    pub kind: CacheEventKind,
    /// Program id.
    pub program_id: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// Log of events that are published after a lag and lost with a given probability.
#[derive(Debug)]
pub(crate) struct EventLog {
    lag: Duration,
    gap_probability: f64,
    rng: ChaCha8Rng,
    last_sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(crate) fn new(lag: Duration, gap_probability: f64, seed: u64) -> Self {
        Self {
            lag,
            gap_probability: gap_probability.clamp(0.0, 1.0),
            rng: ChaCha8Rng::seed_from_u64(seed),
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the published events with numbers above `sequence`.
    pub(crate) fn since(&self, sequence: u64, now: Instant) -> Vec<CacheEvent> {
        let events = self.events.iter();
        events
            .filter(|(at, event)| event.sequence > sequence && *at + self.lag <= now)
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn push(&mut self, kind: CacheEventKind, program_id: &str, tokens: u64, now: Instant) {
        self.last_sequence += 1;
        if self.rng.random_bool(self.gap_probability) {
            return;
        }
        if self.events.len() == EVENTS_MAX {
            self.events.pop_front();
        }
        let event = CacheEvent {
            sequence: self.last_sequence,
            kind,
            program_id: program_id.to_owned(),
            tokens,
        };
        self.events.push_back((now, event));
    }
}
