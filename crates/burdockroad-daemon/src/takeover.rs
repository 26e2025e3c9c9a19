//! Taking over what a process owned that is gone.
//!
//! The order makes every step safe to repeat, by this process or another: the gone process's journal is
//! sealed and read, its trees are made durable in this process's journal, *then* the map is changed,
//! *then* the old journal is removed. Until the map is changed the old journal holds everything, and
//! afterwards this process's journal does. Copies that stand anywhere else are ignored.

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

/// Number of times that a takeover is planned anew after the map changed under it.
const ATTEMPTS_MAX: u32 = 8;

/// Takes over from processes that are gone.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The ownership map.
    pub ownership: OwnershipHandle,
    /// Where the copies are made durable.
    pub staging: Arc<Staging>,
    /// Seals and reads journals.
    pub recovery: Arc<dyn JournalRecovery>,
}

/// What a takeover brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TakenOver {
    /// Partitions that this process now owns.
    pub partitions: usize,
    /// Trees in them.
    pub trees: usize,
}

/// Why a process was not taken over; a later try may succeed.
#[derive(Clone, Debug)]
pub enum TakeoverError {
    /// The map was not changed.
    Ownership(ChangeError),
    /// The journal of the gone process could not be sealed, read or removed.
    Recovery(RecoveryError),
    /// The copies are not durable here.
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
    /// Takes over all partitions of a process; nothing when it owns none.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service cannot be reached, or this process is itself fenced.
    pub async fn take_over(&self, gone: &Process) -> Result<TakenOver, TakeoverError> {
        let me = self.ownership.me();
        for _ in 0..ATTEMPTS_MAX {
            self.ownership.refresh().await?;
            if self.ownership.map().partitions_of(gone).is_empty() {
                return Ok(TakenOver::default());
            }
            match self.move_to(&me, gone).await {
                Err(TakeoverError::Ownership(ChangeError::Conflict)) => {}
                outcome => return outcome,
            }
        }
        Err(ChangeError::Conflict.into())
    }

    /// Removes the journal of a process that owns nothing.
    ///
    /// Another process may be about to hand something to it. After the seal it can take nothing more,
    /// and the change of the map makes a handoff fail that it took before; only then is the journal
    /// removed.
    ///
    /// # Errors
    ///
    /// As for [`take_over`](Self::take_over); fails also when the map changed meanwhile.
    pub async fn remove_orphaned(&self, gone: &Process) -> Result<(), TakeoverError> {
        let me = self.ownership.me();
        self.ownership.refresh().await?;
        if self.ownership.map().partitions_of(gone).is_empty() {
            self.move_to(&me, gone).await?;
        }
        Ok(())
    }

    /// One try, on the map as it is known when it begins.
    async fn move_to(&self, me: &Process, gone: &Process) -> Result<TakenOver, TakeoverError> {
        let map = self.ownership.map();
        let moves = takeover_moves(&map, gone, me);
        let partitions: BTreeSet<PartitionId> = moves.iter().map(|step| step.partition).collect();
        let records = self.recovery.seal_and_read(gone, me).await?;
        self.ensure_unchanged(map.version).await?;
        // What the journal has of other partitions was handed off, or never became the truth.
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
        let taken = TakenOver {
            partitions: partitions.len(),
            trees: trees.len(),
        };
        self.stage(me, &orders, trees).await?;
        self.ownership.change(me.clone(), map.version, moves).await?;
        log::info!(
            "event=taken_over host={} from={} incarnation={:016x} partitions={} trees={}",
            me.host_id,
            gone.host_id,
            gone.incarnation,
            taken.partitions,
            taken.trees,
        );
        metrics::counter!("burdockroad_takeovers_total").increment(1);
        self.remove(gone).await;
        Ok(taken)
    }

    /// Fails when the map has changed since a version.
    ///
    /// The gone process may have handed a partition to this one, and then have recorded that it dropped
    /// the trees, before its journal was sealed. What was read then lacks them, and must not replace the
    /// copy that the handoff left here. While the map has not changed, nothing was dropped.
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

    /// Removes a journal that nothing needs any more; one that stays is found later.
    async fn remove(&self, gone: &Process) {
        if let Err(cause) = self.recovery.remove(gone).await {
            log::warn!(
                "event=journal_not_removed host={} reason=\"{cause}\"",
                gone.host_id
            );
        }
    }
}

fn trees_of(records: Vec<Record>, partitions: &BTreeSet<PartitionId>) -> Vec<Tree> {
    let mut replay = Replay::new();
    for record in records {
        let root_id = record.root_id.clone();
        // A gap stands where a copy was lost together with its writer; what precedes it is kept.
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
