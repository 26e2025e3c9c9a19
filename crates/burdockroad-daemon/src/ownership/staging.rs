//! Staging area for copies of trees that are durable in this process's journal before the ownership map
//! names this process as their owner.

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

/// Staged copies of each partition, in memory and in the journal.
///
/// A copy becomes authoritative only when the ownership map names this process as the owner of its
/// partition. If the move did not happen, the next copy of the partition replaces the stale copy. Trees
/// that the next copy lacks are then dropped from the journal first.
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

/// Ordering key of the copies of a partition. A copy that is not newer than the staged one is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StageOrder {
    /// Epoch of the owner that made the copy.
    pub epoch: Epoch,
    /// Whether the copy was read from the owner's sealed journal, to which the owner can no longer write.
    pub sealed: bool,
    /// Number that increases with each copy that one process makes.
    pub attempt: u64,
}

/// Error of staging a copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StageError {
    /// The copy is for another process, or not newer than a staged copy of the partition.
    Outdated,
    /// The journal did not make the copy durable.
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
    /// Creates an empty staging area for a process and its journal.
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

    /// Returns the attempt number of the next copy that this process makes.
    pub fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Drops all copies and resumes as another process with another journal.
    pub async fn restart(&self, me: Process, journal: Arc<dyn Journal>) {
        *self.inner.lock().await = Inner {
            me,
            journal,
            partitions: BTreeMap::new(),
        };
    }

    /// Makes copies of whole partitions durable, replacing earlier copies of these partitions.
    ///
    /// Returns once the key-value service has stored the copies. The lock is held until then, so that no
    /// restart occurs between the check of the process and the append.
    ///
    /// # Errors
    ///
    /// Fails when the copy is not for this process, is not newer than a staged copy, or cannot be made
    /// durable. A copy that failed may still become durable later; it is then stale.
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

    /// Removes and returns the staged trees of partitions that a map assigns to this process.
    ///
    /// The map names this process only after a copy was confirmed as durable. A later copy of the same
    /// epoch may have replaced that copy without being confirmed yet. It has the same trees and is queued in
    /// the journal.
    pub async fn take(&self, map: &OwnershipMap, partitions: &BTreeSet<PartitionId>) -> Vec<Tree> {
        let mut inner = self.inner.lock().await;
        let mut trees = Vec::new();
        for partition in partitions {
            let epoch = map.owner(*partition).map_or(0, |owner| owner.epoch);
            if let Some(staged) = inner.partitions.get_mut(partition)
                && staged.order.epoch + 1 == epoch
            {
                // The ordering key is retained, so that a late copy from the former owner is rejected.
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

    /// Replaces old copies with new ones and returns the journal records of the replacement.
    fn replace(&mut self, orders: &BTreeMap<PartitionId, StageOrder>, trees: Vec<Tree>) -> Vec<Record> {
        let mut records = Vec::new();
        let mut replaced: BTreeMap<ProgramId, Tree> = BTreeMap::new();
        for (&partition, &order) in orders {
            let staged = StagedPartition {
                order,
                trees: BTreeMap::new(),
            };
            if let Some(stale) = self.partitions.insert(partition, staged) {
                replaced.extend(stale.trees);
            }
        }
        for mut tree in trees {
            let partition =
                partition_of_program(&tree.root_id).filter(|partition| orders.contains_key(partition));
            let Some(staged) = partition.and_then(|partition| self.partitions.get_mut(&partition)) else {
                continue;
            };
            let stale_sequence = replaced.remove(&tree.root_id).map_or(0, |tree| tree.sequence);
            // A move increments the sequence number, so that the copy supersedes all records of the tree in
            // this journal, including the drop record of an earlier move.
            tree.sequence = tree.sequence.max(stale_sequence) + 1;
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
