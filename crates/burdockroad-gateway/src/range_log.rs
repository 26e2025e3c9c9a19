//! What a host knows of one range of the store, to pass on to the hosts that do not watch it.

use std::collections::{BTreeMap, VecDeque};

use burdockroad_daemon::platform::{Entry, Revision};
use serde::{Deserialize, Serialize};

use crate::{Change, RangeSnapshot};

/// Changes that are kept to be passed on one by one; a host that is behind them takes the whole range.
const RECENT_MAX: usize = 256;

/// A range's entries and its latest changes.
#[derive(Clone, Debug, Default)]
pub struct RangeLog {
    entries: BTreeMap<String, Entry>,
    /// Latest changes, the oldest in front.
    recent: VecDeque<Change>,
    /// All changes behind this revision are among the recent ones.
    recent_after: Revision,
    as_of: Revision,
    changed_at: Revision,
}

/// What a host that is behind needs.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum RangeNews {
    /// These changes, in their order.
    Changes {
        /// The changes; empty when it is not behind.
        changes: Vec<Change>,
        /// Revision up to which they are complete.
        as_of: Revision,
    },
    /// All of the range.
    Whole(RangeSnapshot),
}

impl RangeLog {
    /// Takes all of the range.
    pub fn replace(&mut self, snapshot: &RangeSnapshot) {
        let entries = snapshot.entries.iter();
        self.entries = entries.map(|entry| (entry.key.clone(), entry.clone())).collect();
        self.recent.clear();
        self.recent_after = snapshot.as_of;
        self.as_of = snapshot.as_of;
        self.changed_at = snapshot.as_of;
    }

    /// Takes changes that are complete up to `as_of`.
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
            self.changed_at = self.changed_at.max(change.revision());
            self.recent.push_back(change.clone());
        }
        while self.recent.len() > RECENT_MAX {
            if let Some(oldest) = self.recent.pop_front() {
                self.recent_after = oldest.revision();
            }
        }
        self.as_of = self.as_of.max(as_of);
    }

    /// Revision of the last change that is known; 0 before the range was read.
    pub fn changed_at(&self) -> Revision {
        self.changed_at
    }

    /// What a host needs that knows the range up to `after`; none before the range was read.
    pub fn news_after(&self, after: Revision) -> Option<RangeNews> {
        if self.as_of == 0 {
            return None;
        }
        if after < self.recent_after {
            let entries = self.entries.values().cloned().collect();
            return Some(RangeNews::Whole(RangeSnapshot {
                entries,
                as_of: self.as_of,
            }));
        }
        let behind = self.recent.iter().filter(|change| change.revision() > after);
        Some(RangeNews::Changes {
            changes: behind.cloned().collect(),
            as_of: self.as_of.max(after),
        })
    }
}
