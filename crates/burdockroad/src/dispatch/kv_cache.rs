//! What engines hold of programs' prefixes, as far as known, and what to do with it in a tool pause.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use crate::ids::ProgramId;

/// Programs remembered for one endpoint.
const ENTRIES_MAX: usize = 4_096;

/// Something that an engine says about its prefix cache; late, and with gaps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The engine holds this much of a program's prefix.
    Stored {
        /// The program.
        program_id: ProgramId,
        /// Tokens held.
        tokens: u64,
    },
    /// The engine dropped a program's prefix.
    Removed {
        /// The program.
        program_id: ProgramId,
    },
    /// The engine dropped everything.
    Cleared,
}

/// Prefixes that one endpoint is believed to hold, the least recently used first to go.
#[derive(Clone, Debug, Default)]
pub(super) struct Residents {
    entries: HashMap<ProgramId, Resident>,
    by_use: BTreeMap<u64, ProgramId>,
    next_use: u64,
    tokens: u64,
    max_tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Resident {
    tokens: u64,
    used: u64,
}

impl Residents {
    /// Tokens believed to be held for a program.
    pub(super) fn held(&self, program_id: &str) -> u64 {
        self.entries.get(program_id).map_or(0, |entry| entry.tokens)
    }

    /// Tokens believed to be held for all programs.
    pub(super) fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Tokens that can be held; 0 when unknown.
    pub(super) fn max_tokens(&self) -> u64 {
        self.max_tokens
    }

    pub(super) fn set_max_tokens(&mut self, max_tokens: u64) {
        self.max_tokens = max_tokens;
        self.evict();
    }

    pub(super) fn store(&mut self, program_id: &ProgramId, tokens: u64) {
        self.remove(program_id);
        let used = self.next_use;
        self.next_use += 1;
        self.entries.insert(program_id.clone(), Resident { tokens, used });
        self.by_use.insert(used, program_id.clone());
        self.tokens += tokens;
        self.evict();
    }

    pub(super) fn remove(&mut self, program_id: &str) {
        if let Some(entry) = self.entries.remove(program_id) {
            self.by_use.remove(&entry.used);
            self.tokens -= entry.tokens;
        }
    }

    pub(super) fn clear(&mut self) {
        self.entries.clear();
        self.by_use.clear();
        self.tokens = 0;
    }

    fn evict(&mut self) {
        while self.is_over()
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            if let Some(entry) = self.entries.remove(&oldest) {
                self.tokens -= entry.tokens;
            }
        }
    }

    fn is_over(&self) -> bool {
        let too_many_tokens = self.max_tokens > 0 && self.tokens > self.max_tokens;
        too_many_tokens || self.entries.len() > ENTRIES_MAX
    }
}

/// What is weighed when a program pauses for a tool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    /// Tokens that the engine holds for the program.
    pub held_tokens: u64,
    /// Time until the program's next call, as expected.
    pub expected: Duration,
    /// Time to compute the held tokens again.
    pub recompute: Duration,
    /// Time to export and later import them; none where the engine cannot.
    pub transfer: Option<Duration>,
    /// Time that the engine's memory for these tokens stays in use before another needs it.
    pub memory_free_for: Duration,
}

/// What to do with a program's prefix in a pause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PauseDecision {
    /// Leave it at the engine.
    Keep,
    /// Give it up.
    Release,
    /// Move it out of the engine, to bring it back with the next call.
    Export,
}

/// Weighs keeping a prefix through a pause against moving it out and against computing it again.
///
/// # Example
///
/// ```
/// use std::time::Duration;
///
/// use burdockroad::dispatch::kv_cache::{Pause, PauseDecision, decide_pause};
///
/// let short = Pause {
///     held_tokens: 8_000,
///     expected: Duration::from_secs(2),
///     recompute: Duration::from_secs(1),
///     transfer: None,
///     memory_free_for: Duration::from_secs(10),
/// };
/// assert_eq!(decide_pause(short), PauseDecision::Keep);
/// let long = Pause { expected: Duration::from_secs(600), ..short };
/// assert_eq!(decide_pause(long), PauseDecision::Release);
/// ```
pub fn decide_pause(pause: Pause) -> PauseDecision {
    if pause.held_tokens == 0 {
        return PauseDecision::Release;
    }
    if pause.expected <= pause.memory_free_for {
        return PauseDecision::Keep;
    }
    match pause.transfer {
        Some(transfer) if transfer < pause.recompute => PauseDecision::Export,
        _ => PauseDecision::Release,
    }
}
