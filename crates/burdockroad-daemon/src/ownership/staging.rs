//! Copies of trees that are durable in this process's journal before the map names this process.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

use burdockroad::{
    Epoch, PartitionId, ProgramId, Record,
    ownership::{OwnershipMap, Process},
    partition_of_program,
    program::{Event, Tree},
};
use tokio::sync::Mutex;

use crate::journal::{Durability, Journal, JournalError};

/// Keeps the copies of each partition, in memory and in the journal.
///
/// A copy becomes the truth only when the ownership map names this process for its partition. One that
/// was left over, because the move did not happen, is replaced by the next copy of its partition, and
/// its trees that are not in that next copy are dropped from the journal first.
#[derive(Debug)]
pub struct Staging {
    inner: Mutex<Inner>,
    attempts: AtomicU64,
}

#[derive(Debug)]
struct Inner {
    me: Process,
    journal: Arc<dyn Journal>,
    partitions: BTreeMap<PartitionId, StagedPartition>,
}

#[derive(Debug)]
struct StagedPartition {
    order: StageOrder,
    trees: BTreeMap<ProgramId, Tree>,
}

/// Tells a newer copy of a partition from an older one that arrives late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageOrder {
    /// Epoch of the owner that the copy comes from.
    pub epoch: Epoch,
    /// Whether it was read from the owner's sealed journal, after which the owner can do nothing more.
    pub sealed: bool,
    /// Grows with each copy that one process makes.
    pub attempt: u64,
}

/// Why a copy was not made durable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageError {
    /// The copy is for another process, or older than one that is here.
    Outdated,
    /// The journal did not take it.
    Journal(JournalError),
}

impl fmt::Display for StageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Outdated => f.write_str("the copy is outdated"),
            Self::Journal(cause) => write!(f, "the copy is not durable: {cause}"),
        }
    }
}

impl std::error::Error for StageError {}

impl Staging {
    /// Makes an empty table for one process and its journal.
    pub fn new(me: Process, journal: Arc<dyn Journal>) -> Self {
        Self {
            inner: Mutex::new(Inner {
                me,
                journal,
                partitions: BTreeMap::new(),
            }),
            attempts: AtomicU64::new(0),
        }
    }

    /// A number for the next copy that this process makes.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Forgets all copies and goes on as another process with another journal.
    pub async fn restart(&self, me: Process, journal: Arc<dyn Journal>) {
        *self.inner.lock().await = Inner {
            me,
            journal,
            partitions: BTreeMap::new(),
        };
    }

    /// Makes copies of whole partitions durable, in place of earlier copies of them.
    ///
    /// Returns once the key-value service has them. The lock is held until then, so that a restart
    /// cannot come between the check of the process and the append.
    ///
    /// # Errors
    ///
    /// Fails when the copy is not for this process, is older than one here, or cannot be made durable;
    /// it may become durable later and is then a copy that was left over.
    pub async fn stage(
        &self,
        to: &Process,
        orders: &BTreeMap<PartitionId, StageOrder>,
        trees: Vec<Tree>,
    ) -> Result<(), StageError> {
        let mut inner = self.inner.lock().await;
        if inner.me != *to || inner.is_outdated(orders) {
            return Err(StageError::Outdated);
        }
        let records = inner.replace(orders, trees);
        let appended = inner.journal.append(records, Durability::Stored);
        appended
            .await
            .unwrap_or(Err(JournalError::Fenced))
            .map_err(StageError::Journal)
    }

    /// Takes out the trees of partitions that a map names this process for.
    ///
    /// The map names it only after a copy was confirmed as durable. A later copy of the same epoch may
    /// have taken its place and not be confirmed yet; it has the same trees, and is queued.
    pub async fn take(&self, map: &OwnershipMap, partitions: &BTreeSet<PartitionId>) -> Vec<Tree> {
        let mut inner = self.inner.lock().await;
        let mut trees = Vec::new();
        for partition in partitions {
            let epoch = map.owner(*partition).map_or(0, |owner| owner.epoch);
            if let Some(staged) = inner.partitions.get_mut(partition)
                && staged.order.epoch + 1 == epoch
            {
                // The order stays, so that a late copy from the former owner is refused.
                trees.extend(std::mem::take(&mut staged.trees).into_values());
            }
        }
        trees
    }
}

impl Inner {
    fn is_outdated(&self, orders: &BTreeMap<PartitionId, StageOrder>) -> bool {
        orders.iter().any(|(partition, order)| {
            self.partitions
                .get(partition)
                .is_some_and(|staged| staged.order >= *order)
        })
    }

    /// Puts new copies in place of old ones, and returns the records that say so.
    fn replace(&mut self, orders: &BTreeMap<PartitionId, StageOrder>, trees: Vec<Tree>) -> Vec<Record> {
        let mut records = Vec::new();
        let mut replaced: BTreeMap<ProgramId, Tree> = BTreeMap::new();
        for (&partition, &order) in orders {
            let staged = StagedPartition {
                order,
                trees: BTreeMap::new(),
            };
            if let Some(earlier) = self.partitions.insert(partition, staged) {
                replaced.extend(earlier.trees);
            }
        }
        for mut tree in trees {
            let partition =
                partition_of_program(&tree.root_id).filter(|partition| orders.contains_key(partition));
            let Some(staged) = partition.and_then(|partition| self.partitions.get_mut(&partition)) else {
                continue;
            };
            let earlier = replaced.remove(&tree.root_id).map_or(0, |tree| tree.sequence);
            // A move counts as a change, so that the copy replaces whatever this journal has of the tree,
            // also that it was dropped here after an earlier move.
            tree.sequence = tree.sequence.max(earlier) + 1;
            records.push(Record {
                root_id: tree.root_id.clone(),
                sequence: tree.sequence,
                event: Event::Snapshot {
                    tree: Box::new(tree.clone()),
                },
            });
            staged.trees.insert(tree.root_id.clone(), tree);
        }
        let dropped = replaced.into_values().map(|tree| Record {
            root_id: tree.root_id,
            sequence: tree.sequence + 1,
            event: Event::Dropped,
        });
        dropped.chain(records).collect()
    }
}
