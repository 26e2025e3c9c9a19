//! Revisions of the entries of a range that were applied.

use std::collections::HashMap;

use burdockroad_daemon::platform::Revision;

/// Number of removed keys that are remembered.
const REMOVED_MAX: usize = 1024;

/// Revisions at which keys were last applied.
///
/// The pages of a snapshot have different revisions, so the changes that follow it may be older than what it contains.
/// They must not bring back an older state, or a key that was removed since.
#[derive(Debug, Default)]
pub(crate) struct AppliedRevisions {
    present: HashMap<String, Revision>,
    /// Lowest revisions at which the removed keys may have been removed.
    removed: HashMap<String, Revision>,
}

impl AppliedRevisions {
    /// Returns whether a newer state of a key than that of `revision` was applied.
    pub(crate) fn is_outdated(&self, key: &str, revision: Revision) -> bool {
        let applied = self.present.get(key).or_else(|| self.removed.get(key));
        applied.is_some_and(|applied| *applied > revision)
    }

    /// Records that a key was applied. Returns whether it had been applied at this revision before.
    pub(crate) fn record_put(&mut self, key: &str, revision: Revision) -> bool {
        self.removed.remove(key);
        self.present.insert(key.to_owned(), revision) == Some(revision)
    }

    /// Records that a key was removed, at a revision if that is known.
    pub(crate) fn record_removed(&mut self, key: &str, revision: Option<Revision>) {
        let applied = self.present.remove(key);
        let Some(revision) = revision.or(applied.map(|applied| applied + 1)) else {
            return;
        };
        self.removed.insert(key.to_owned(), revision);
        if self.removed.len() > REMOVED_MAX {
            self.forget_oldest_removed();
        }
    }

    fn forget_oldest_removed(&mut self) {
        let oldest = self.removed.iter().min_by_key(|(_, revision)| **revision);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.removed.remove(&key);
        }
    }
}
