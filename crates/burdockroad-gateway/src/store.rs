//! Interface of the shared store.
//!
//! It differs from [`burdockroad_daemon::platform::KeyValue`], whose watches follow a single key and whose
//! writes change a single key: a gateway follows whole ranges and writes many keys in one call.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad_daemon::platform::{Entry, Revision, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Id of a lease, assigned by the store.
pub type LeaseId = u64;

/// Key-value store with ranges, long polling, conditional writes of several keys, and leases.
///
/// Other writers may leave values that an implementation cannot decode. It hands such a key on with an empty value,
/// which names nothing, so that one of them neither hides the other keys nor stays as it was.
#[async_trait]
pub trait SharedStore: fmt::Debug + Send + Sync {
    /// Reads all entries whose keys start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond in time.
    async fn read_range(&self, prefix: &str) -> Result<RangeSnapshot, StoreError>;

    /// Waits at most `wait` for changes after revision `after` of keys that start with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond in time.
    async fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, StoreError>;

    /// Makes all writes or none of them.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unavailable`] when nothing was written, and with [`StoreError::Ambiguous`]
    /// when the writes may have taken effect or may still do so.
    async fn write_all(&self, writes: &[ConditionalWrite]) -> Result<WriteOutcome, StoreError>;

    /// Opens a lease. Keys attached to the lease are deleted when it ends.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond in time.
    async fn open_lease(&self, lifetime: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease. Returns `false` when the lease has ended.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond in time.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store does not respond in time.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// Counts items in responses of a store that have no readable key, and are left out.
pub fn count_dropped_items(items: usize) {
    metrics::counter!("burdockroad_store_items_dropped_total").increment(items as u64);
}

/// Entries of a range at one revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeSnapshot {
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
    /// Revision after which a watch misses no change.
    pub as_of: Revision,
}

/// Result of waiting for changes in a range.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Changes {
    /// All changes up to a revision.
    #[serde(rename = "Known")]
    Complete {
        /// Changes in the order of their revisions; empty when the wait timed out.
        changes: Vec<Change>,
        /// Revision from which the next wait continues.
        as_of: Revision,
    },
    /// The store has discarded that part of its history, so the range must be read again.
    #[serde(rename = "HistoryGone")]
    HistoryTruncated,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// The key has a new value.
    Put(Entry),
    /// The key was deleted.
    Removed {
        /// The deleted key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Returns the changed key.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Removed { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// One of several writes that are made atomically.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConditionalWrite {
    /// The key.
    pub key: String,
    /// New value.
    pub value: Bytes,
    /// Revision that the key must have; `None` when it must not exist.
    pub expected_revision: Option<Revision>,
    /// Whether to write regardless of the key's revision. `expected_revision` is then ignored.
    pub unconditional: bool,
    /// Lease to attach the key to.
    pub lease: Option<LeaseId>,
}

/// Outcome of writes that reached the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum WriteOutcome {
    /// All writes were made; the keys have this revision.
    Done(Revision),
    /// No write was made because a key did not have its expected revision. Contains the states of the keys.
    Conflict(Vec<KeyState>),
    /// No write was made because a lease has ended.
    LeaseEnded,
    /// No write was made because the store does not accept one of them, whatever the state of the keys. Contains the
    /// reason, for the log.
    Refused(String),
}

/// Current state of one key of conflicting writes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyState {
    /// The key.
    pub key: String,
    /// Entry of the key; `None` when the key does not exist.
    pub entry: Option<Entry>,
}
