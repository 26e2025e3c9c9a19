//! Durable records of the programs that a host owns.

mod actor;
mod keys;
mod recovery;
mod store_journal;
mod tail;

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{PartitionId, ProgramId, Record, program::Tree};
use tokio::sync::oneshot;

pub use self::{
    recovery::StoreRecovery,
    store_journal::{JournalParts, StoreJournal, writer_options},
    tail::TailStore,
};
use crate::{ownership::Process, platform::StoreError};
pub use burdockroad::journal::{Durability, JournalError};

/// Appends records in the order in which it is called.
pub trait Journal: fmt::Debug + Send + Sync {
    /// Queues records, and reports once they are as durable as asked.
    ///
    /// Records keep the order of the calls to this method. They stay queued after
    /// [`JournalError::Unavailable`], and reach the key-value service when it is back; a caller that
    /// gives up appends a record that says so.
    fn append(&self, records: Vec<Record>, durability: Durability) -> Appended;

    /// Tells whether records of that durability can be taken now, before anything is changed for them.
    ///
    /// New work is refused on an error here, so that the queue stays bounded while the key-value
    /// service is down; [`append`](Self::append) itself always queues.
    ///
    /// # Errors
    ///
    /// As [`append`](Self::append) would fail.
    fn admit(&self, durability: Durability) -> Result<(), JournalError> {
        _ = durability;
        Ok(())
    }
}

/// Resolves once the appended records are durable, or cannot be made so in time.
pub type Appended = oneshot::Receiver<Result<(), JournalError>>;

/// Reads and removes the journals of processes that are gone.
#[async_trait]
pub trait Recovery: fmt::Debug + Send + Sync {
    /// Seals the journal of a process against its writer, and returns all that is held of it.
    ///
    /// Sealing again, also by another successor, is harmless. After an error nothing is known of the
    /// journal, and the caller tries again.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service cannot be reached, or a segment is damaged.
    async fn seal_and_read(&self, dead: &Process) -> Result<Recovered, RecoveryError>;

    /// Removes a sealed journal, after another one holds all that is needed of it.
    ///
    /// Its writer stays fenced. Removing again is harmless.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service cannot be reached; what is left is removed by a later call.
    async fn remove(&self, dead: &Process) -> Result<(), RecoveryError>;

    /// Lists the processes that have a journal, this one included.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service cannot be reached.
    async fn journals(&self) -> Result<Vec<Process>, RecoveryError>;
}

/// What is held of a sealed journal.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The records in their order, for replay.
    pub records: Vec<Record>,
    /// How many of them, at the end, only a peer held.
    ///
    /// A call that may not be repeated never left the host if its intent is one of these, since it
    /// waits until its intent is in the key-value service.
    pub tail_count: usize,
    /// What became of the records that were not in the key-value service yet.
    pub tail: RecoveredTail,
}

/// What became of the records that were not in the key-value service yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveredTail {
    /// No peer held copies: every record that anybody waited for was in the key-value service.
    NotKept,
    /// The peer that held the copies has sealed them and handed them over.
    Sealed,
    /// The peer did not answer: a later try may find more, and the old writer may still add to it.
    Unreached,
    /// The peer has restarted since, and its copies are gone.
    Lost,
}

/// Why a journal could not be sealed, read or removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryError {
    /// The key-value service failed.
    Store(StoreError),
    /// A segment cannot be understood, or one is missing between others.
    Damaged {
        /// Key of the segment.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

impl fmt::Display for RecoveryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(cause) => write!(f, "{cause}"),
            Self::Damaged { key, reason } => write!(f, "segment {key} is damaged: {reason}"),
        }
    }
}

impl std::error::Error for RecoveryError {}

impl From<StoreError> for RecoveryError {
    fn from(cause: StoreError) -> Self {
        Self::Store(cause)
    }
}

/// The program trees that a host keeps in memory, as the journal and the ownership see them.
#[async_trait]
pub trait Trees: fmt::Debug + Send + Sync {
    /// Takes over trees that are durable in this host's journal; a newer copy of a tree stays.
    async fn adopt(&self, trees: Vec<Tree>);

    /// Stops taking calls for partitions, waits up to `patience` for running calls, and returns the
    /// trees; none when calls still run, and then calls are taken again.
    async fn release(&self, partitions: Vec<PartitionId>, patience: Duration) -> Option<Vec<Tree>>;

    /// Takes calls again for partitions whose move did not happen.
    async fn resume(&self, partitions: Vec<PartitionId>);

    /// Forgets the trees of partitions that another host owns now, and appends that they are dropped.
    async fn forget(&self, partitions: Vec<PartitionId>);

    /// Forgets all trees, after this process was fenced; running calls get an error.
    async fn clear(&self);

    /// Appends a snapshot of each of these trees that is still kept.
    async fn write_snapshots(&self, root_ids: Vec<ProgramId>);
}
