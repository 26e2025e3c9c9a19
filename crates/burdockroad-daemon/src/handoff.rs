//! Handoff of partitions to another process, and adoption of partitions that another process hands off.
//!
//! The order is the same as in a takeover: the new owner has the trees in its journal, *then* the map
//! names it, *then* the old owner drops the trees. Until the map changes, the old owner has all data
//! and can resume serving. It resumes only when it is certain that the map did not change.

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

/// Timeout for the new owner to make the copies durable.
const ADOPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Transport of tree copies to their next owner.
#[async_trait]
pub trait TreeSender: fmt::Debug + Send + Sync {
    /// Sends one request and returns whether the copies are durable at the receiver. Returns false on a
    /// connection error or a timeout.
    async fn send(&self, address: &str, request: AdoptRequest) -> bool;
}

#[async_trait]
impl TreeSender for PeerClients {
    async fn send(&self, address: &str, request: AdoptRequest) -> bool {
        let Ok(mut client) = self.get(address) else {
            return false;
        };
        let response = tokio::time::timeout(ADOPT_TIMEOUT, client.adopt(request)).await;
        matches!(response, Ok(Ok(response)) if response.get_ref().durable)
    }
}

/// Handoff of partitions from this process to another.
#[derive(Clone, Debug)]
pub struct Handoff {
    /// Handle of the ownership map.
    pub ownership: OwnershipHandle,
    /// Staging area, which numbers the copies.
    pub staging: Arc<Staging>,
    /// The program trees that this host serves.
    pub trees: Arc<dyn Trees>,
    /// Transport to the new owner.
    pub sender: Arc<dyn TreeSender>,
}

/// Error of a handoff. This process continues to serve the partitions that it still owns.
#[derive(Clone, Debug)]
pub enum HandoffError {
    /// Calls of these partitions did not finish within the timeout.
    Busy,
    /// The new owner did not make the copies durable.
    Refused,
    /// The ownership map was not changed.
    Ownership(ChangeError),
    /// A tree could not be encoded.
    Encode(burdockroad::Error),
}

impl fmt::Display for HandoffError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Busy => f.write_str("running calls did not finish in time"),
            Self::Refused => f.write_str("the new owner did not accept the trees"),
            Self::Ownership(cause) => cause.fmt(f),
            Self::Encode(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for HandoffError {}

impl Handoff {
    /// Hands off those of `partitions` that this process owns, all or none, and returns their number.
    ///
    /// # Errors
    ///
    /// Fails when calls do not finish within `timeout`, when the new owner or the key-value service is
    /// unreachable, or when the map changed concurrently. Each partition then continues to be served by
    /// its single owner.
    pub async fn hand_off(
        &self,
        partitions: &[PartitionId],
        to: &Member,
        timeout: Duration,
    ) -> Result<usize, HandoffError> {
        // The plan records the map version before the trees are copied, so that any later change of the map
        // makes the handoff fail.
        let plan = self.plan(partitions, &to.process);
        if plan.partitions.is_empty() {
            return Ok(0);
        }
        let released = self.trees.release(plan.partitions.clone(), timeout).await;
        let trees = released.ok_or(HandoffError::Busy)?;
        let tree_count = trees.len();
        if let Err(error) = self.copy_and_move(&plan, to, trees).await {
            self.roll_back(&plan).await;
            return Err(error);
        }
        self.trees.drop_partitions(plan.partitions.clone()).await;
        log::info!(
            "event=handed_off host={} to={} partitions={} trees={tree_count}",
            plan.me.host_id,
            to.process.host_id,
            plan.partitions.len(),
        );
        Ok(plan.partitions.len())
    }

    fn plan(&self, partitions: &[PartitionId], to: &Process) -> HandoffPlan {
        let me = self.ownership.me();
        let map = self.ownership.map();
        let requested: BTreeSet<PartitionId> = partitions.iter().copied().collect();
        let owned: Vec<PartitionId> = map
            .partitions_of(&me)
            .into_iter()
            .filter(|partition| requested.contains(partition))
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
        HandoffPlan {
            me,
            base_version: map.version,
            partitions: owned,
            epochs,
            moves,
        }
    }

    async fn copy_and_move(
        &self,
        plan: &HandoffPlan,
        to: &Member,
        trees: Vec<Tree>,
    ) -> Result<(), HandoffError> {
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
            .change(plan.me.clone(), plan.base_version, plan.moves.clone())
            .await
            .map_err(HandoffError::Ownership)
    }

    /// Resumes serving the partitions that this process still owns, and drops the others.
    async fn roll_back(&self, plan: &HandoffPlan) {
        let map = self.ownership.map();
        let (retained, lost): (Vec<PartitionId>, Vec<PartitionId>) = plan
            .partitions
            .iter()
            .partition(|&&partition| map.owner(partition).is_some_and(|owner| owner.process == plan.me));
        self.trees.resume(retained).await;
        if !lost.is_empty() {
            self.trees.drop_partitions(lost).await;
        }
    }
}

struct HandoffPlan {
    me: Process,
    base_version: u64,
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

/// Handler that stages trees received from peers.
#[derive(Clone, Debug)]
pub struct StagingAdopter {
    /// Handle of the ownership map.
    pub ownership: OwnershipHandle,
    /// Staging area in which the received trees are made durable.
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
    /// Stages the trees of a request. Returns `None` for a request that is malformed, outdated or addressed
    /// to another process, and when the journal does not accept the trees.
    async fn stage(&self, request: AdoptRequest) -> Option<()> {
        let from = process_of(request.from.as_ref()?);
        let to = process_of(request.to.as_ref()?);
        let orders = stage_orders(&request)?;
        if self.is_outdated(&from, &orders) {
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

    /// Returns whether the map already names a later owner than the sender for one of the partitions.
    fn is_outdated(&self, from: &Process, orders: &BTreeMap<PartitionId, StageOrder>) -> bool {
        let map = self.ownership.map();
        orders.iter().any(|(&partition, order)| {
            map.owner(partition).is_some_and(|owner| {
                owner.epoch > order.epoch || (owner.epoch == order.epoch && owner.process != *from)
            })
        })
    }
}

fn stage_orders(request: &AdoptRequest) -> Option<BTreeMap<PartitionId, StageOrder>> {
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
