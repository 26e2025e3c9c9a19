//! Keys of a range whose values cannot be read.
//!
//! Another writer may rewrite such a value many times a second, and it is read again with each snapshot. It is logged when
//! it becomes unreadable, and not again while it stays so.

use std::{collections::HashSet, fmt::Display};

use burdockroad_daemon::platform::Entry;

/// Longest reason in a log line. Errors repeat the texts that they were found in.
const REASON_MAX_CHARS: usize = 200;

/// Keys of a range whose values cannot be read.
#[derive(Debug, Default)]
pub(crate) struct UnreadableKeys {
    keys: HashSet<String>,
}

impl UnreadableKeys {
    /// Records that a key's value cannot be read. Returns whether that is new.
    pub(crate) fn insert(&mut self, key: &str) -> bool {
        if self.keys.contains(key) {
            return false;
        }
        self.keys.insert(key.to_owned())
    }

    /// Records that a key's value can be read, or that the key was deleted.
    pub(crate) fn remove(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Removes the keys that a snapshot of the range does not contain.
    pub(crate) fn retain_in(&mut self, entries: &[Entry]) {
        if self.keys.is_empty() {
            return;
        }
        let present: HashSet<&str> = entries.iter().map(|entry| entry.key.as_str()).collect();
        self.keys.retain(|key| present.contains(key.as_str()));
    }
}

/// Returns the beginning of the reason why a value cannot be read, for the log.
pub(crate) fn brief_reason(error: &impl Display) -> String {
    error.to_string().chars().take(REASON_MAX_CHARS).collect()
}
