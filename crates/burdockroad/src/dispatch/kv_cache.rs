//! Estimated contents of the engines' prefix caches, and the decision whether to keep a cached prefix during a
//! tool call.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::ids::ProgramId;

/// Maximum number of programs tracked per endpoint.
const ENTRIES_MAX: usize = 4_096;

/// Event reported by an engine's prefix cache. Events may be delayed or lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine has cached a prefix of a program.
    Stored {
        /// Id of the program.
        program_id: ProgramId,
        /// Cached tokens.
        tokens: u64,
    },
    /// The engine evicted a program's prefix.
    Removed {
        /// Id of the program.
        program_id: ProgramId,
    },
    /// The engine cleared its cache.
    Cleared,
}

/// Estimated contents of one endpoint's prefix cache, with least-recently-used eviction.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    entries: HashMap<ProgramId, CachedPrefix>,
    by_use: BTreeMap<u64, ProgramId>,
    next_use: u64,
    tokens: u64,
    max_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct CachedPrefix {
    tokens: u64,
    last_use: u64,
}

impl PrefixCache {
    /// Returns the estimated number of tokens cached for a program.
    pub(super) fn cached_tokens(&self, program_id: &str) -> u64 {
        self.entries.get(program_id).map_or(0, |entry| entry.tokens)
    }

    /// Returns the estimated number of tokens cached for all programs.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the capacity in tokens; 0 if unknown.
    pub(super) fn max_tokens(&self) -> u64 {
        self.max_tokens
    }

    pub(super) fn set_max_tokens(&mut self, max_tokens: u64) {
        self.max_tokens = max_tokens;
        self.evict();
    }

    pub(super) fn store(&mut self, program_id: &ProgramId, tokens: u64) {
        self.remove(program_id);
        let last_use = self.next_use;
        self.next_use += 1;
        self.entries
            .insert(program_id.clone(), CachedPrefix { tokens, last_use });
        self.by_use.insert(last_use, program_id.clone());
        self.tokens += tokens;
        self.evict();
    }

    pub(super) fn remove(&mut self, program_id: &str) {
        if let Some(entry) = self.entries.remove(program_id) {
            self.by_use.remove(&entry.last_use);
            self.tokens -= entry.tokens;
        }
    }

    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
        self.tokens = 0;
    }

    fn evict(&mut self) {
        while self.is_over_capacity()
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            if let Some(entry) = self.entries.remove(&oldest) {
                self.tokens -= entry.tokens;
            }
        }
    }

    fn is_over_capacity(&self) -> bool {
        let too_many_tokens = self.max_tokens > 0 && self.tokens > self.max_tokens;
        too_many_tokens || self.entries.len() > ENTRIES_MAX
    }
}

/// Costs to compare when a program pauses for a tool call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    /// Tokens that the engine has cached for the program.
    pub cached_tokens: u64,
    /// Expected time until the program's next call.
    pub expected_duration: Duration,
    /// Time to recompute the cached tokens.
    pub recompute_time: Duration,
    /// Time to export and later import the tokens; `None` if the engine cannot do so.
    pub transfer_time: Option<Duration>,
    /// Time until the engine needs the memory of the cached tokens for other programs.
    pub memory_available_for: Duration,
}

/// Decision on a program's cached prefix during a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseDecision {
    /// Keep the prefix in the engine.
    Keep,
    /// Evict the prefix.
    Release,
    /// Export the prefix from the engine, to import it with the next call.
    Export,
}

/// Decides whether to keep a prefix during a pause, to export it, or to evict it and recompute it later.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use burdockroad::dispatch::kv_cache::{Pause, PauseDecision, decide_pause};
///
/// let short = Pause {
///     cached_tokens: 8_000,
///     expected_duration: Duration::from_secs(2),
///     recompute_time: Duration::from_secs(1),
///     transfer_time: None,
///     memory_available_for: Duration::from_secs(10),
/// };
/// assert_eq!(decide_pause(short), PauseDecision::Keep);
/// let long = Pause { expected_duration: Duration::from_secs(600), ..short };
/// assert_eq!(decide_pause(long), PauseDecision::Release);
/// ```
pub fn decide_pause(pause: Pause) -> PauseDecision {
    if pause.cached_tokens == 0 {
        return PauseDecision::Release;
    }
    if pause.expected_duration <= pause.memory_available_for {
        return PauseDecision::Keep;
    }
    match pause.transfer_time {
        Some(transfer_time) if transfer_time < pause.recompute_time => PauseDecision::Export,
        _ => PauseDecision::Release,
    }
}
