//! Recent turns in memory.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use crate::gateway::{Turn, TurnKey};

/// Estimated memory of a turn besides its contents, in bytes.
const TURN_OVERHEAD_BYTES: usize = 400;

/// Longest chain that is followed. No conversation has so many turns; the limit ends a cycle of turns whose
/// callers used an id twice.
const CHAIN_MAX_TURNS: usize = 4096;

/// Turns in memory, up to a number of bytes.
///
/// The least recently used turns are evicted first. Using a turn counts as using its whole chain, and a turn
/// is used after its ancestors, so a chain loses its newest turn last.
#[derive(Debug)]
pub struct TurnCache {
    capacity_bytes: usize,
    used_bytes: usize,
    turns: HashMap<TurnKey, CachedTurn>,
    /// Names of the turns by the time of their last use.
    by_use: BTreeMap<u64, TurnKey>,
    uses: u64,
}

#[derive(Debug)]
struct CachedTurn {
    turn: Arc<Turn>,
    last_use: u64,
}

impl TurnCache {
    /// Creates a cache for at most `capacity_bytes`.
    pub fn new(capacity_bytes: usize) -> Self {
        Self {
            capacity_bytes,
            used_bytes: 0,
            turns: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
        }
    }

    /// Adds a turn, and evicts the turns that no longer fit.
    pub fn insert(&mut self, turn: Arc<Turn>) {
        if self.turns.contains_key(&turn.key) {
            return;
        }
        let key = turn.key.clone();
        self.used_bytes += cost_bytes(&turn);
        self.uses += 1;
        self.by_use.insert(self.uses, key.clone());
        let cached = CachedTurn {
            turn,
            last_use: self.uses,
        };
        self.turns.insert(key, cached);
        while self.used_bytes > self.capacity_bytes {
            let Some((_, oldest)) = self.by_use.pop_first() else {
                break;
            };
            if let Some(evicted) = self.turns.remove(&oldest) {
                self.used_bytes -= cost_bytes(&evicted.turn);
            }
        }
    }

    /// Returns the cached turns of the chain that ends with a turn, newest turn first, up to the first one
    /// that is not cached.
    pub fn newest_of_chain(&mut self, key: &TurnKey) -> Vec<Arc<Turn>> {
        let mut newest = Vec::new();
        let mut next = Some(key.clone());
        while let Some(cached) = next.as_ref().and_then(|key| self.turns.get(key))
            && newest.len() < CHAIN_MAX_TURNS
        {
            next = cached.turn.previous_key();
            newest.push(Arc::clone(&cached.turn));
        }
        for turn in newest.iter().rev() {
            self.touch(&turn.key);
        }
        newest
    }

    /// Returns the number of bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    fn touch(&mut self, key: &TurnKey) {
        if let Some(cached) = self.turns.get_mut(key) {
            self.by_use.remove(&cached.last_use);
            self.uses += 1;
            cached.last_use = self.uses;
            self.by_use.insert(self.uses, key.clone());
        }
    }
}

fn cost_bytes(turn: &Turn) -> usize {
    turn.content_bytes() + TURN_OVERHEAD_BYTES
}
