//! The shared store, as the gateway uses it.
//!
//! It is a narrower border than [`burdockroad_daemon::platform::KeyValue`], whose watches follow one key
//! and whose writes change one: a gateway follows whole ranges, and writes many keys in one call.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad_daemon::platform::{Entry, Revision, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Number of a lease, as the store gives it.
pub type LeaseId = u64;

/// A key-value store with ranges, long polls, conditional writes of several keys, and leases.
#[async_trait]
pub trait SharedStore: fmt::Debug + Send + Sync {
    /// Reads all keys that begin with `prefix`.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time.
    async fn read_range(&self, prefix: &str) -> Result<RangeSnapshot, StoreError>;

    /// Waits for changes behind revision `after`, for `wait` at the most.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time.
    async fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, StoreError>;

    /// Makes all writes, or none.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unavailable`] when nothing was written; [`StoreError::Ambiguous`] when the writes may
    /// take effect, now or later.
    async fn write_all(&self, writes: &[ConditionalWrite]) -> Result<Written, StoreError>;

    /// Opens a lease; keys that are attached to it go when it ends.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time.
    async fn open_lease(&self, lifetime: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease; false when it has ended.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time.
    async fn keep_lease(&self, lease: LeaseId) -> Result<bool, StoreError>;

    /// Ends a lease.
    ///
    /// # Errors
    ///
    /// Fails when the store does not answer in time.
    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// What a range held.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RangeSnapshot {
    /// The entries, in the order of their keys.
    pub entries: Vec<Entry>,
    /// Revision from which a watch misses nothing.
    pub as_of: Revision,
}

/// What happened in a range.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Changes {
    /// These changes, up to this revision.
    Known {
        /// Changes in their order; empty when the wait ended without any.
        changes: Vec<Change>,
        /// Revision to go on from.
        as_of: Revision,
    },
    /// The store has dropped that part of its history: the range has to be read again.
    HistoryGone,
}

/// One change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Change {
    /// The key holds a new value.
    Put(Entry),
    /// The key is gone.
    Removed {
        /// Which key.
        key: String,
        /// Revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Revision of the change.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// One write of several that are made together.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ConditionalWrite {
    /// The key.
    pub key: String,
    /// New value.
    pub value: Bytes,
    /// Revision that the key must have; none when it must not exist.
    pub expected_revision: Option<Revision>,
    /// Whether the key may hold anything.
    pub unconditional: bool,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// Result of writes that reached the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Written {
    /// All keys now have this revision.
    Done(Revision),
    /// Some key was not as expected; this is what all of them hold.
    Conflict(Vec<KeyState>),
    /// A lease has ended.
    LeaseEnded,
}

/// What one key of refused writes holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyState {
    /// The key.
    pub key: String,
    /// Its entry; none when the key does not exist.
    pub entry: Option<Entry>,
}
