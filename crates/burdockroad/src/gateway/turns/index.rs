//! Index of the turns on a host's disk.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    gateway::{Turn, TurnId, TurnKey},
    ids::{AccountId, RegionId},
};

/// Turn in the index of a host, as listed to other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndexedTurn {
    /// Name of the turn.
    pub key: TurnKey,
    /// First turn of the chain.
    pub root: TurnId,
    /// Failure domain of the host that served the first turn of the chain.
    pub home_domain: String,
    /// Regions in which the turn may be stored; `None` if it may be stored anywhere.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed_regions: Option<Vec<RegionId>>,
    /// Time until which the host stores the turn, in Unix milliseconds. Hosts of earlier versions do not list it.
    #[serde(default)]
    pub stored_until_unix_ms: u64,
}

impl IndexedTurn {
    /// Returns the host's copy of the turn.
    pub fn copy(&self) -> TurnCopy {
        TurnCopy {
            account: self.key.account.clone(),
            turn: self.key.turn.clone(),
            stored_until_unix_ms: self.stored_until_unix_ms,
        }
    }
}

/// Copy of a turn on a host's disk. Hosts of earlier versions read and write it as a [`TurnKey`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TurnCopy {
    /// Account that the turn belongs to.
    pub account: AccountId,
    /// Id of the turn.
    pub turn: TurnId,
    /// Time until which the copy is stored, in Unix milliseconds; 0 if it is unknown.
    #[serde(default)]
    pub stored_until_unix_ms: u64,
}

impl TurnCopy {
    /// Returns the name of the turn.
    pub fn key(&self) -> TurnKey {
        TurnKey {
            account: self.account.clone(),
            turn: self.turn.clone(),
        }
    }
}

/// Part of an index.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct IndexPage {
    /// Turns in the order in which they were stored.
    pub turns: Vec<IndexedTurn>,
    /// Position from which the next page continues.
    pub next: u64,
}

/// Turns on a disk, with the locations of their records. `L` tells where the disk holds a record.
#[derive(Debug)]
pub struct TurnIndex<L> {
    entries: BTreeMap<TurnKey, IndexEntry<L>>,
    /// Names of the turns by position, in the order in which they were stored.
    by_position: BTreeMap<u64, TurnKey>,
    next_position: u64,
}

#[derive(Debug)]
struct IndexEntry<L> {
    location: L,
    position: u64,
    root: TurnId,
    home_domain: String,
    allowed_regions: Option<Vec<RegionId>>,
    stored_until_unix_ms: u64,
}

impl<L> Default for TurnIndex<L> {
    fn default() -> Self {
        Self {
            entries: BTreeMap::new(),
            by_position: BTreeMap::new(),
            next_position: 0,
        }
    }
}

impl<L: Clone> TurnIndex<L> {
    /// Adds a turn. Of several records of a turn, the one that is stored for the longest time is indexed.
    pub fn insert(&mut self, turn: &Turn, location: L) {
        if let Some(present) = self.entries.get(&turn.key) {
            if present.stored_until_unix_ms >= turn.stored_until_unix_ms {
                return;
            }
            self.by_position.remove(&present.position);
        }
        let entry = IndexEntry {
            location,
            position: self.next_position,
            root: turn.root.clone(),
            home_domain: turn.home_domain.clone(),
            allowed_regions: turn.allowed_regions.clone(),
            stored_until_unix_ms: turn.stored_until_unix_ms,
        };
        self.entries.insert(turn.key.clone(), entry);
        self.by_position.insert(self.next_position, turn.key.clone());
        self.next_position += 1;
    }

    /// Returns whether the turn is indexed.
    pub fn contains(&self, key: &TurnKey) -> bool {
        self.entries.contains_key(key)
    }

    /// Returns whether the turn is indexed and stored for at least as long as another host's copy. Turns of long conversations are
    /// stored again, so copies of a turn may differ in that time.
    pub fn outlasts(&self, copy: &TurnCopy) -> bool {
        let entry = self.entries.get(&copy.key());
        entry.is_some_and(|entry| entry.stored_until_unix_ms >= copy.stored_until_unix_ms)
    }

    /// Returns the ids of the turns of an account.
    pub fn turns_of(&self, account: &AccountId) -> Vec<TurnId> {
        let first = TurnKey {
            account: account.clone(),
            turn: TurnId::new(),
        };
        let from_first = self.entries.range(first..).map(|(key, _)| key);
        let turns = from_first.take_while(|key| key.account == *account);
        turns.map(|key| key.turn.clone()).collect()
    }

    /// Returns the location of a turn.
    pub fn location(&self, key: &TurnKey) -> Option<L> {
        self.entries.get(key).map(|entry| entry.location.clone())
    }

    /// Returns at most `page_max` turns from position `from`.
    pub fn page(&self, from: u64, page_max: usize) -> IndexPage {
        let mut next = from.min(self.next_position);
        let mut turns = Vec::new();
        for (position, key) in self.by_position.range(from..).take(page_max) {
            next = position + 1;
            if let Some(entry) = self.entries.get(key) {
                turns.push(IndexedTurn {
                    key: key.clone(),
                    root: entry.root.clone(),
                    home_domain: entry.home_domain.clone(),
                    allowed_regions: entry.allowed_regions.clone(),
                    stored_until_unix_ms: entry.stored_until_unix_ms,
                });
            }
        }
        IndexPage { turns, next }
    }

    /// Removes the turns whose storage time has passed.
    pub fn remove_expired(&mut self, now_unix_ms: u64) {
        let entries = &mut self.entries;
        entries.retain(|_, entry| entry.stored_until_unix_ms > now_unix_ms);
        self.by_position.retain(|_, key| entries.contains_key(key));
    }

    /// Returns the number of turns.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the index has no turns.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
