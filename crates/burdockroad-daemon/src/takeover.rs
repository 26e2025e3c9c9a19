//! Takeover of the partitions of a dead process.
//!
//! A takeover seals and reads the dead process's journal, makes its trees durable in this process's
//! journal, *then* changes the ownership map, *then* removes the old journal. This order makes every
//! step safe to repeat, by this process or another. Until the map changes, the old journal is
//! authoritative; afterwards this process's journal is. Copies anywhere else are ignored.

mod recovery;

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
};

use burdockroad::{
    PartitionId, Record,
    ownership::{Process, takeover_moves},
    partition_of_program,
    program::{Replay, Tree},
};

pub use self::recovery::{JournalRecovery, RecoveryError};

use crate::{
    ownership::{ChangeError, OwnershipHandle, StageError, StageOrder, Staging},
    platform::StoreError,
};

/// Maximum number of attempts at a takeover when the map changes concurrently.
const ATTEMPTS_MAX: u32 = 8;

/// Takeover of the partitions of dead processes.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// Handle of the ownership map.
    pub ownership: OwnershipHandle,
    /// Staging area in which the copied trees are made durable.
    pub staging: Arc<Staging>,
    /// Access to the journals of other processes.
    pub recovery: Arc<dyn JournalRecovery>,
}

/// Summary of a takeover.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakeoverSummary {
    /// Number of partitions that this process took over.
    pub partitions: usize,
    /// Number of trees in these partitions.
    pub trees: usize,
}

/// Error of a takeover. A later attempt may succeed.
#[derive(Clone, Debug)]
pub enum TakeoverError {
    /// The ownership map was not changed.
    Ownership(ChangeError),
    /// The journal of the dead process could not be sealed, read or removed.
    Recovery(RecoveryError),
    /// The copied trees could not be made durable in this process's journal.
    Stage(StageError),
}

impl fmt::Display for TakeoverError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ownership(cause) => cause.fmt(f),
            Self::Recovery(cause) => cause.fmt(f),
            Self::Stage(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for TakeoverError {}

impl From<ChangeError> for TakeoverError {
    fn from(cause: ChangeError) -> Self {
        Self::Ownership(cause)
    }
}

impl From<RecoveryError> for TakeoverError {
    fn from(cause: RecoveryError) -> Self {
        Self::Recovery(cause)
    }
}

impl From<StoreError> for TakeoverError {
    fn from(cause: StoreError) -> Self {
        Self::Recovery(RecoveryError::Store(cause))
    }
}

impl From<StageError> for TakeoverError {
    fn from(cause: StageError) -> Self {
        Self::Stage(cause)
    }
}

impl Takeover {
    /// Takes over all partitions of a dead process. Does nothing when that process owns none.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable, when this process is itself fenced, or when the map
    /// keeps changing concurrently.
    pub async fn take_over(&self, dead: &Process) -> Result<TakeoverSummary, TakeoverError> {
        let me = self.ownership.me();
        for _ in 0..ATTEMPTS_MAX {
            self.ownership.refresh().await?;
            if self.ownership.map().partitions_of(dead).is_empty() {
                return Ok(TakeoverSummary::default());
            }
            match self.attempt_takeover(&me, dead).await {
                Err(TakeoverError::Ownership(ChangeError::Conflict)) => {}
                outcome => return outcome,
            }
        }
        Err(ChangeError::Conflict.into())
    }

    /// Removes the journal of a process that owns no partitions.
    ///
    /// Another process may be about to hand partitions off to that process. Once its journal is sealed, it
    /// cannot accept a handoff. A change of the map without moves then makes any handoff fail that it accepted
    /// earlier. The journal is removed only after both steps.
    ///
    /// # Errors
    ///
    /// Fails as [`take_over`](Self::take_over) does, and also when the map changed concurrently.
    pub async fn remove_orphaned(&self, writer: &Process) -> Result<(), TakeoverError> {
        let me = self.ownership.me();
        self.ownership.refresh().await?;
        if self.ownership.map().partitions_of(writer).is_empty() {
            self.attempt_takeover(&me, writer).await?;
        }
        Ok(())
    }

    /// Attempts the takeover once, based on the current local copy of the map.
    async fn attempt_takeover(&self, me: &Process, dead: &Process) -> Result<TakeoverSummary, TakeoverError> {
        let map = self.ownership.map();
        let moves = takeover_moves(&map, dead, me);
        let partitions: BTreeSet<PartitionId> = moves.iter().map(|step| step.partition).collect();
        let records = self.recovery.seal_and_read(dead, me).await?;
        self.ensure_unchanged(map.version).await?;
        // Trees of other partitions in the journal were handed off, or were copies that never became
        // authoritative.
        let trees = trees_of(records, &partitions);
        let attempt = self.staging.next_attempt();
        let orders = partitions
            .iter()
            .map(|&partition| {
                let order = StageOrder {
                    epoch: map.owner(partition).map_or(0, |owner| owner.epoch),
                    sealed: true,
                    attempt,
                };
                (partition, order)
            })
            .collect();
        let summary = TakeoverSummary {
            partitions: partitions.len(),
            trees: trees.len(),
        };
        self.stage(me, &orders, trees).await?;
        self.ownership.change(me.clone(), map.version, moves).await?;
        log::info!(
            "event=taken_over host={} from={} incarnation={:016x} partitions={} trees={}",
            me.host_id,
            dead.host_id,
            dead.incarnation,
            summary.partitions,
            summary.trees,
        );
        metrics::counter!("burdockroad_takeovers_total").increment(1);
        self.remove(dead).await;
        Ok(summary)
    }

    /// Fails when the map has changed since `version`.
    ///
    /// Before its journal was sealed, the dead process may have handed a partition off to this process
    /// and recorded that it dropped the trees. The records read from the journal then lack these trees and
    /// must not replace the copies that the handoff staged here. If the map is unchanged, no tree was
    /// dropped.
    async fn ensure_unchanged(&self, version: u64) -> Result<(), ChangeError> {
        self.ownership.refresh().await?;
        if self.ownership.map().version == version {
            Ok(())
        } else {
            Err(ChangeError::Conflict)
        }
    }

    async fn stage(
        &self,
        me: &Process,
        orders: &BTreeMap<PartitionId, StageOrder>,
        trees: Vec<Tree>,
    ) -> Result<(), StageError> {
        if orders.is_empty() {
            return Ok(());
        }
        self.staging.stage(me, orders, trees).await
    }

    /// Removes a journal that is no longer needed. On failure a later orphan sweep removes it.
    async fn remove(&self, dead: &Process) {
        if let Err(cause) = self.recovery.remove(dead).await {
            log::warn!(
                "event=journal_not_removed host={} reason=\"{cause}\"",
                dead.host_id
            );
        }
    }
}

fn trees_of(records: Vec<Record>, partitions: &BTreeSet<PartitionId>) -> Vec<Tree> {
    let mut replay = Replay::new();
    for record in records {
        let root_id = record.root_id.clone();
        // A gap occurs where a replica was lost together with its writer. The records before the gap are kept.
        if let Err(cause) = replay.apply(record) {
            log::error!("event=record_not_replayed program={root_id} reason=\"{cause}\"");
        }
    }
    replay
        .into_trees()
        .into_values()
        .filter(|tree| {
            partition_of_program(&tree.root_id).is_some_and(|partition| partitions.contains(&partition))
        })
        .collect()
}
