//! Durable records of the programs that a host owns.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{PartitionId, ProgramId, Record, program::Tree};
use tokio::sync::oneshot;

/// Appends records in the order in which it is called.
pub trait Journal: fmt::Debug + Send + Sync {
    /// Queues records, and reports once they are as durable as asked.
    ///
    /// Records keep the order of the calls to this method. They stay queued after
    /// [`JournalError::Unavailable`], and reach the key-value service when it is back; a caller that
    /// gives up appends a record that says so.
    fn append(&self, records: Vec<Record>, durability: Durability) -> Appended;
}

/// Resolves once the appended records are durable, or cannot be made so in time.
pub type Appended = oneshot::Receiver<Result<(), JournalError>>;

/// How durable a record has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Durability {
    /// Queued only: it will be written with the next group.
    Queued,
    /// A peer in another failure domain has a copy, or the key-value service has it.
    Replicated,
    /// The key-value service has it, so that a writer that was replaced can no longer add it.
    Stored,
}

/// Why records are not durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JournalError {
    /// Another host has sealed the journal: this process owns nothing any more.
    Fenced,
    /// Neither the key-value service nor, where that suffices, a peer took the records in time.
    Unavailable {
        /// When a later try may succeed.
        retry_after: Duration,
    },
}

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fenced => f.write_str("another host has sealed this journal"),
            Self::Unavailable { retry_after } => {
                write!(
                    f,
                    "records cannot be made durable now, retry_after_ms={}",
                    retry_after.as_millis()
                )
            }
        }
    }
}

impl std::error::Error for JournalError {}

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
