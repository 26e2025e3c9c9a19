//! Handing partitions to another process, and taking them.
//!
//! The order is the same as in a takeover: the new owner has the trees in its journal, *then* the map
//! names it, *then* the old owner forgets them. Until the map has changed the old owner has everything
//! and may go back to serving; it does so only when it is certain that the map did not change.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    sync::Arc,
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{
    PartitionId, Record,
    membership::Member,
    ownership::{Move, Process},
    program::{Event, Tree},
};
use burdockroad_proto::peer::{AdoptRequest, AdoptResponse};

use crate::{
    journal::Trees,
    membership::{host_ref, process_of},
    ownership::{ChangeError, OwnershipHandle, PARTITIONS, StageOrder, Staging},
    peer::{AdoptHandler, PeerClients},
};

/// Time within which the new owner must have made the copies durable.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends copies of trees to the process that is to own them next.
#[async_trait]
pub trait TreeSender: fmt::Debug + Send + Sync {
    /// Sends one request; false, or an error of the connection, when the copies are not durable there.
    async fn send(&self, address: &str, request: AdoptRequest) -> bool;
}

#[async_trait]
impl TreeSender for PeerClients {
    async fn send(&self, address: &str, request: AdoptRequest) -> bool {
        let Ok(mut client) = self.get(address) else {
            return false;
        };
        let answer = tokio::time::timeout(ADOPT_TIMEOUT, client.adopt(request)).await;
        matches!(answer, Ok(Ok(response)) if response.get_ref().durable)
    }
}

/// Moves partitions from this process to another.
#[derive(Clone, Debug)]
pub struct Handoff {
    /// The ownership map.
    pub ownership: OwnershipHandle,
    /// Numbers the copies.
    pub staging: Arc<Staging>,
    /// The trees that are served here.
    pub trees: Arc<dyn Trees>,
    /// Reaches the new owner.
    pub sender: Arc<dyn TreeSender>,
}

/// Why partitions were not moved; this process serves them on.
#[derive(Clone, Debug)]
pub enum HandoffError {
    /// Calls of them run for longer than was waited.
    Busy,
    /// The new owner did not make the copies durable.
    Refused,
    /// The map was not changed.
    Ownership(ChangeError),
    /// A tree could not be encoded.
    Encode(burdockroad::Error),
}

impl fmt::Display for HandoffError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("calls still run"),
            Self::Refused => f.write_str("the new owner did not take the trees"),
            Self::Ownership(cause) => cause.fmt(f),
            Self::Encode(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for HandoffError {}

impl Handoff {
    /// Moves those of the partitions that this process owns, all or none, and returns how many.
    ///
    /// # Errors
    ///
    /// Fails when calls run on, when the new owner or the key-value service cannot be reached, or when
    /// the map changed meanwhile. Then each partition is served by its one owner as before.
    pub async fn hand_off(
        &self,
        partitions: &[PartitionId],
        to: &Member,
        patience: Duration,
    ) -> Result<usize, HandoffError> {
        // The map is fixed before the copies are made: what changes after this makes the move fail.
        let plan = self.plan(partitions, &to.process);
        if plan.partitions.is_empty() {
            return Ok(0);
        }
        let released = self.trees.release(plan.partitions.clone(), patience).await;
        let trees = released.ok_or(HandoffError::Busy)?;
        let tree_count = trees.len();
        if let Err(error) = self.copy_and_move(&plan, to, trees).await {
            self.go_back(&plan).await;
            return Err(error);
        }
        self.trees.forget(plan.partitions.clone()).await;
        log::info!(
            "event=handed_off host={} to={} partitions={} trees={tree_count}",
            plan.me.host_id,
            to.process.host_id,
            plan.partitions.len(),
        );
        Ok(plan.partitions.len())
    }

    fn plan(&self, partitions: &[PartitionId], to: &Process) -> Plan {
        let me = self.ownership.me();
        let map = self.ownership.map();
        let wanted: BTreeSet<PartitionId> = partitions.iter().copied().collect();
        let owned: Vec<PartitionId> = map
            .partitions_of(&me)
            .into_iter()
            .filter(|partition| wanted.contains(partition))
            .collect();
        let epochs = owned
            .iter()
            .filter_map(|&partition| Some(map.owner(partition)?.epoch))
            .collect();
        let moves = owned
            .iter()
            .map(|&partition| Move {
                partition,
                from: me.clone(),
                to: to.clone(),
            })
            .collect();
        Plan {
            me,
            base: map.version,
            partitions: owned,
            epochs,
            moves,
        }
    }

    async fn copy_and_move(&self, plan: &Plan, to: &Member, trees: Vec<Tree>) -> Result<(), HandoffError> {
        let records = trees
            .into_iter()
            .map(encode_snapshot)
            .collect::<Result<_, _>>()
            .map_err(HandoffError::Encode)?;
        let request = AdoptRequest {
            from: Some(host_ref(&plan.me)),
            to: Some(host_ref(&to.process)),
            partitions: plan
                .partitions
                .iter()
                .map(|&partition| partition.into())
                .collect(),
            epochs: plan.epochs.clone(),
            attempt: self.staging.next_attempt(),
            records,
        };
        if !self.sender.send(&to.address, request).await {
            return Err(HandoffError::Refused);
        }
        self.ownership
            .change(plan.me.clone(), plan.base, plan.moves.clone())
            .await
            .map_err(HandoffError::Ownership)
    }

    /// Serves what is still owned, and forgets what is not.
    async fn go_back(&self, plan: &Plan) {
        let map = self.ownership.map();
        let (kept, lost): (Vec<PartitionId>, Vec<PartitionId>) = plan
            .partitions
            .iter()
            .partition(|&&partition| map.owner(partition).is_some_and(|owner| owner.process == plan.me));
        self.trees.resume(kept).await;
        if !lost.is_empty() {
            self.trees.forget(lost).await;
        }
    }
}

struct Plan {
    me: Process,
    base: u64,
    partitions: Vec<PartitionId>,
    epochs: Vec<u64>,
    moves: Vec<Move>,
}

fn encode_snapshot(tree: Tree) -> Result<Vec<u8>, burdockroad::Error> {
    let record = Record {
        root_id: tree.root_id.clone(),
        sequence: tree.sequence,
        event: Event::Snapshot { tree: Box::new(tree) },
    };
    record.encode()
}

/// Takes trees from peers.
#[derive(Clone, Debug)]
pub struct StagingAdopter {
    /// The ownership map.
    pub ownership: OwnershipHandle,
    /// Where the copies are made durable.
    pub staging: Arc<Staging>,
}

#[async_trait]
impl AdoptHandler for StagingAdopter {
    async fn adopt(&self, request: AdoptRequest) -> AdoptResponse {
        AdoptResponse {
            durable: self.stage(request).await.is_some(),
        }
    }
}

impl StagingAdopter {
    /// None for a request that is malformed, late or for another process, or that the journal refuses.
    async fn stage(&self, request: AdoptRequest) -> Option<()> {
        let from = process_of(request.from.as_ref()?);
        let to = process_of(request.to.as_ref()?);
        let orders = orders(&request)?;
        if self.is_late(&from, &orders) {
            return None;
        }
        let trees = request
            .records
            .iter()
            .map(|bytes| decode_snapshot(bytes))
            .collect::<Option<_>>()?;
        let staged = self.staging.stage(&to, &orders, trees).await;
        if let Err(cause) = &staged {
            log::warn!("event=handoff_refused from={} reason=\"{cause}\"", from.host_id);
        }
        staged.ok()
    }

    /// Whether the map already has later owners than the sender.
    fn is_late(&self, from: &Process, orders: &BTreeMap<PartitionId, StageOrder>) -> bool {
        let map = self.ownership.map();
        orders.iter().any(|(&partition, order)| {
            map.owner(partition).is_some_and(|owner| {
                owner.epoch > order.epoch || (owner.epoch == order.epoch && owner.process != *from)
            })
        })
    }
}

fn orders(request: &AdoptRequest) -> Option<BTreeMap<PartitionId, StageOrder>> {
    if request.epochs.len() != request.partitions.len() {
        return None;
    }
    let pairs = request.partitions.iter().zip(&request.epochs);
    pairs
        .map(|(&partition, &epoch)| {
            let partition = PartitionId::try_from(partition).ok()?;
            let order = StageOrder {
                epoch,
                sealed: false,
                attempt: request.attempt,
            };
            (partition < PARTITIONS).then_some((partition, order))
        })
        .collect()
}

fn decode_snapshot(bytes: &[u8]) -> Option<Tree> {
    let record = Record::decode(bytes).ok()?;
    match record.event {
        Event::Snapshot { tree } => Some(*tree),
        _ => None,
    }
}
