//! The prefix cache of the engine stand-in, and the events that it publishes.

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

const EVENTS_KEPT: usize = 10_000;

/// Prefixes by program, of which the least recently used make room.
#[derive(Debug)]
pub(crate) struct Cache {
    max_tokens: u64,
    used_tokens: u64,
    programs: BTreeMap<String, Held>,
    /// Programs by their last use, the oldest first.
    by_use: BTreeMap<u64, String>,
    uses: u64,
    pub(crate) events: EventLog,
}

#[derive(Debug)]
struct Held {
    prompt: Prompt,
    tokens: u64,
    last_use: u64,
}

/// A program that the engine holds a prefix of.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeldProgram {
    /// Name of the program.
    pub program_id: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// A prefix on its way from one engine to another.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ExportedPrefix {
    pub(crate) prompt: Prompt,
}

/// The prefix is larger than the whole cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct TooLarge;

impl Cache {
    pub(crate) fn new(max_tokens: u64, events: EventLog) -> Self {
        Self {
            max_tokens,
            used_tokens: 0,
            programs: BTreeMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events,
        }
    }

    pub(crate) fn max_tokens(&self) -> u64 {
        self.max_tokens
    }

    pub(crate) fn used_tokens(&self) -> u64 {
        self.used_tokens
    }

    pub(crate) fn held(&self) -> Vec<HeldProgram> {
        let programs = self.programs.iter();
        programs
            .map(|(program_id, held)| HeldProgram {
                program_id: program_id.clone(),
                tokens: held.tokens,
            })
            .collect()
    }

    /// Counts the tokens of a prompt that need not be computed, and marks the program as used.
    pub(crate) fn look_up(&mut self, program_id: &str, prompt: &Prompt) -> u64 {
        let Some(held) = self.programs.get_mut(program_id) else {
            return 0;
        };
        let tokens = held.prompt.common_tokens(prompt);
        self.by_use.remove(&held.last_use);
        self.uses += 1;
        held.last_use = self.uses;
        self.by_use.insert(self.uses, program_id.to_owned());
        tokens
    }

    /// Holds a prefix in place of the program's old one, and evicts others to make room.
    pub(crate) fn hold(&mut self, program_id: &str, prompt: Prompt, now: Instant) -> Result<(), TooLarge> {
        let tokens = prompt.tokens();
        self.take_out(program_id);
        if tokens > self.max_tokens {
            return Err(TooLarge);
        }
        while self.used_tokens + tokens > self.max_tokens {
            self.evict_oldest(now);
        }
        self.uses += 1;
        self.used_tokens += tokens;
        self.by_use.insert(self.uses, program_id.to_owned());
        let held = Held {
            prompt,
            tokens,
            last_use: self.uses,
        };
        self.programs.insert(program_id.to_owned(), held);
        self.events.push(CacheEventKind::Held, program_id, tokens, now);
        Ok(())
    }

    /// Frees what is held of a program.
    pub(crate) fn free(&mut self, program_id: &str, now: Instant) {
        if let Some(held) = self.take_out(program_id) {
            self.events
                .push(CacheEventKind::Freed, program_id, held.tokens, now);
        }
    }

    pub(crate) fn export(&self, program_id: &str) -> Option<ExportedPrefix> {
        let held = self.programs.get(program_id)?;
        Some(ExportedPrefix {
            prompt: held.prompt.clone(),
        })
    }

    fn evict_oldest(&mut self, now: Instant) {
        let Some((_, program_id)) = self.by_use.pop_first() else {
            return;
        };
        if let Some(held) = self.take_out(&program_id) {
            self.events
                .push(CacheEventKind::Evicted, &program_id, held.tokens, now);
        }
    }

    fn take_out(&mut self, program_id: &str) -> Option<Held> {
        let held = self.programs.remove(program_id)?;
        self.by_use.remove(&held.last_use);
        self.used_tokens -= held.tokens;
        Some(held)
    }
}

/// What happened to a program's prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The engine holds it now, in place of an earlier one.
    Held,
    /// It was freed on request.
    Freed,
    /// It made room for another.
    Evicted,
}

/// One event of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event, from 1; a number that is left out is an event that got lost.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Name of the program.
    pub program_id: String,
    /// Tokens of the prefix.
    pub tokens: u64,
}

/// Events that are published after a lag, some of them never.
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

    /// Returns the events after a number that are published by now.
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
        if self.events.len() == EVENTS_KEPT {
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
