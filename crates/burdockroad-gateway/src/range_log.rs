//! Entries and recent changes of one range of the store, for hosts that do not watch it.

use std::collections::{BTreeMap, HashSet, VecDeque};

use burdockroad_daemon::platform::{Entry, Revision};
use serde::{Deserialize, Serialize};

use crate::{Change, RangeSnapshot};

/// Number of recent changes that are retained. A host that is further behind fetches the whole range.
const RECENT_CHANGES_MAX: usize = 256;

/// Size of the recent changes that are retained. Any writer may rewrite a large value all the time.
const RECENT_MAX_BYTES: usize = 4 << 20;

/// Entries of a range and its most recent changes.
#[derive(Clone, Debug, Default)]
pub struct RangeLog {
    entries: BTreeMap<String, Entry>,
    /// Most recent changes, oldest first.
    recent: VecDeque<Change>,
    /// Size of `recent`.
    recent_bytes: usize,
    /// Revision after which all changes are in `recent`.
    recent_after: Revision,
    /// Revision up to which the log is complete.
    as_of: Revision,
    /// Revision of the last change.
    last_change: Revision,
}

/// Update that brings another host up to date with a range.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RangeUpdate {
    /// Changes that the host has not seen, at most one of each key.
    Changes {
        /// Changes in the order of their revisions; empty when the host is up to date.
        changes: Vec<Change>,
        /// Revision up to which the changes are complete.
        as_of: Revision,
    },
    /// All entries of the range.
    #[serde(rename = "Whole")]
    Snapshot(RangeSnapshot),
}

impl RangeUpdate {
    /// Returns the revision up to which the update is complete.
    pub fn as_of(&self) -> Revision {
        match self {
            Self::Changes { as_of, .. } => *as_of,
            Self::Snapshot(snapshot) => snapshot.as_of,
        }
    }

    /// Returns the size of the keys and values.
    pub fn size_bytes(&self) -> usize {
        match self {
            Self::Changes { changes, .. } => changes.iter().map(size_bytes).sum(),
            Self::Snapshot(snapshot) => snapshot.entries.iter().map(entry_bytes).sum(),
        }
    }
}

impl RangeLog {
    /// Replaces all entries and discards the recent changes.
    pub fn replace(&mut self, snapshot: &RangeSnapshot) {
        let entries = snapshot.entries.iter();
        self.entries = entries.map(|entry| (entry.key.clone(), entry.clone())).collect();
        self.recent.clear();
        self.recent_bytes = 0;
        self.recent_after = snapshot.as_of;
        self.as_of = snapshot.as_of;
        self.last_change = snapshot.as_of;
    }

    /// Appends changes that are complete up to `as_of`.
    pub fn extend(&mut self, changes: &[Change], as_of: Revision) {
        for change in changes {
            match change {
                Change::Put(entry) => {
                    self.entries.insert(entry.key.clone(), entry.clone());
                }
                Change::Removed { key, .. } => {
                    self.entries.remove(key);
                }
            }
            self.last_change = self.last_change.max(change.revision());
            self.recent_bytes += size_bytes(change);
            self.recent.push_back(change.clone());
        }
        while self.recent.len() > RECENT_CHANGES_MAX || self.recent_bytes > RECENT_MAX_BYTES {
            let Some(oldest) = self.recent.pop_front() else {
                break;
            };
            self.recent_after = oldest.revision();
            self.recent_bytes -= size_bytes(&oldest);
        }
        self.as_of = self.as_of.max(as_of);
    }

    /// Returns the revision of the last change, or of the snapshot if no change followed it; 0 before the
    /// range was read.
    pub fn last_change(&self) -> Revision {
        self.last_change
    }

    /// Returns the revision up to which the log is complete; 0 before the range was read.
    pub fn as_of(&self) -> Revision {
        self.as_of
    }

    /// Returns the update for a host that has seen the range up to `after`; `None` before the range was
    /// read. It contains the newest change of each key, as later ones supersede the others.
    pub fn changes_since(&self, after: Revision) -> Option<RangeUpdate> {
        if self.as_of == 0 {
            return None;
        }
        if after < self.recent_after {
            let entries = self.entries.values().cloned().collect();
            return Some(RangeUpdate::Snapshot(RangeSnapshot {
                entries,
                as_of: self.as_of,
            }));
        }
        let mut keys = HashSet::new();
        let unseen = self.recent.iter().filter(|change| change.revision() > after);
        let mut newest: Vec<Change> = unseen
            .rev()
            .filter(|change| keys.insert(change.key()))
            .cloned()
            .collect();
        newest.reverse();
        Some(RangeUpdate::Changes {
            changes: newest,
            as_of: self.as_of.max(after),
        })
    }
}

/// Returns the size of a change's key and value.
fn size_bytes(change: &Change) -> usize {
    match change {
        Change::Put(entry) => entry_bytes(entry),
        Change::Removed { key, .. } => key.len(),
    }
}

fn entry_bytes(entry: &Entry) -> usize {
    entry.key.len() + entry.value.len()
}
