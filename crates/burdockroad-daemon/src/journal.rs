//! Durable journal of the programs that a host owns.

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

/// Append-only journal of the records of this process.
pub trait Journal: fmt::Debug + Send + Sync {
    /// Queues records and resolves once they have the requested durability.
    ///
    /// Records keep the order of the calls to this method. They stay queued after
    /// [`JournalError::Unavailable`] and are written when the key-value service is available again. A
    /// caller that gives up on its records appends a record of that decision.
    fn append(&self, records: Vec<Record>, durability: Durability) -> Appended;

    /// Checks whether records of a durability can be accepted now, before any state is changed for them.
    ///
    /// Callers refuse new work when this fails, so that the queue stays bounded while the key-value
    /// service is unavailable. [`append`](Self::append) itself always queues.
    ///
    /// # Errors
    ///
    /// Fails with the error that [`append`](Self::append) would report.
    fn admit(&self, durability: Durability) -> Result<(), JournalError> {
        _ = durability;
        Ok(())
    }
}

/// Receiver that resolves once the appended records are durable, or could not be made durable in time.
pub type Appended = oneshot::Receiver<Result<(), JournalError>>;

/// Access to the journals of dead processes.
#[async_trait]
pub trait Recovery: fmt::Debug + Send + Sync {
    /// Seals the journal of a process against its writer and returns all its available records.
    ///
    /// Sealing is idempotent, even if another successor repeats it. After an error the state of the journal is
    /// unknown, and the caller retries.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable or a segment is damaged.
    async fn seal_and_read(&self, dead: &Process) -> Result<RecoveredJournal, RecoveryError>;

    /// Removes a sealed journal, once another journal contains all of its records that are still needed.
    ///
    /// The writer stays fenced. Removal is idempotent.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable. A later call removes the rest.
    async fn remove(&self, dead: &Process) -> Result<(), RecoveryError>;

    /// Lists the processes that have a journal, including this one.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable.
    async fn journals(&self) -> Result<Vec<Process>, RecoveryError>;
}

/// Records recovered from a sealed journal.
#[derive(Clone, Debug, PartialEq)]
pub struct RecoveredJournal {
    /// Records in order, for replay.
    pub records: Vec<Record>,
    /// Number of trailing records that only a peer had.
    ///
    /// A call that must not be repeated was never sent if its intent is one of these records, because
    /// such a call waits until its intent is stored in the key-value service.
    pub tail_count: usize,
    /// Outcome of the recovery of records that were not in the key-value service yet.
    pub tail: RecoveredTail,
}

/// Outcome of the recovery of a journal's tail, that is, of the records that were not in the key-value
/// service yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecoveredTail {
    /// No peer had copies. Every record that a caller waited for was in the key-value service.
    NotKept,
    /// The peer that had the copies has sealed the tail and returned the copies.
    Sealed,
    /// The peer did not respond. A later attempt may find more records, and the writer may still add records
    /// at the peer.
    Unreached,
    /// The peer has restarted since and lost its copies.
    Lost,
}

/// Error of sealing, reading or removing a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecoveryError {
    /// The key-value service failed.
    Store(StoreError),
    /// A segment cannot be decoded, or one is missing from the sequence.
    Damaged {
        /// Key of the segment.
        key: String,
        /// Description of the damage.
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

/// Program trees in a host's memory, as the journal, handoffs and takeovers use them.
#[async_trait]
pub trait Trees: fmt::Debug + Send + Sync {
    /// Adopts trees that are durable in this host's journal. A tree in memory is replaced only by a newer
    /// copy.
    async fn adopt(&self, trees: Vec<Tree>);

    /// Stops accepting calls for partitions, waits up to `timeout` for running calls, and returns the
    /// trees. Returns `None` and accepts calls again when running calls did not finish in time.
    async fn release(&self, partitions: Vec<PartitionId>, timeout: Duration) -> Option<Vec<Tree>>;

    /// Resumes accepting calls for partitions whose move did not happen.
    async fn resume(&self, partitions: Vec<PartitionId>);

    /// Drops the trees of partitions that another host owns now, and appends records of the drops.
    async fn drop_partitions(&self, partitions: Vec<PartitionId>);

    /// Drops all trees after this process was fenced. Running calls fail with an error.
    async fn clear(&self);

    /// Appends a snapshot of each of these trees that is still in memory.
    async fn write_snapshots(&self, root_ids: Vec<ProgramId>);
}
