//! Interface to the journals of other processes.

use std::fmt;

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};

use crate::platform::StoreError;

/// Access to journals that other processes wrote.
#[async_trait]
pub trait JournalRecovery: fmt::Debug + Send + Sync {
    /// Seals a journal against its writer and returns all its records in order.
    ///
    /// The records include those that only a peer has so far. Sealing again, even for another successor,
    /// returns the same records.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable or the journal is damaged.
    async fn seal_and_read(&self, dead: &Process, successor: &Process) -> Result<Vec<Record>, RecoveryError>;

    /// Removes a sealed journal.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable.
    async fn remove(&self, dead: &Process) -> Result<(), RecoveryError>;

    /// Returns the processes that have a journal.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable.
    async fn writers(&self) -> Result<Vec<Process>, RecoveryError>;
}

/// Error of sealing, reading or removing a journal.
#[derive(Clone, Debug)]
pub enum RecoveryError {
    /// The key-value service is unreachable.
    Store(StoreError),
    /// The journal cannot be read.
    Damaged(burdockroad::Error),
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(cause) => cause.fmt(f),
            Self::Damaged(cause) => write!(f, "the journal cannot be read: {cause}"),
        }
    }
}

impl std::error::Error for RecoveryError {}

impl From<StoreError> for RecoveryError {
    fn from(cause: StoreError) -> Self {
        Self::Store(cause)
    }
}

impl From<burdockroad::Error> for RecoveryError {
    fn from(cause: burdockroad::Error) -> Self {
        Self::Damaged(cause)
    }
}
