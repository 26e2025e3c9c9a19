//! Actor that maintains this host's copy of the ownership map.

use std::{collections::BTreeSet, fmt, sync::Arc};

use burdockroad::{
    PartitionId,
    ownership::{Candidate, Move, OwnershipMap, Process, initial_map},
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort, rpc::CallResult};
use tokio::sync::{Notify, watch};

use crate::{
    journal::Trees,
    ownership::{
        MapError, MapStore, OwnershipReceiver, OwnershipView, PARTITIONS, Staging, Swap, VersionedMap,
    },
    platform::Expected,
};

/// Dependencies of the actor.
#[derive(Clone, Debug)]
pub struct OwnershipArguments {
    /// This process.
    pub me: Process,
    /// The map in the key-value service.
    pub store: MapStore,
    /// Staged copies of trees whose partitions the map does not assign to this process yet.
    pub staging: Arc<Staging>,
    /// The program trees that this host serves.
    pub trees: Arc<dyn Trees>,
    /// Notified when a newer map shows that this process was taken over.
    pub fenced: Arc<Notify>,
}

/// Error of a change of the map.
#[derive(Clone, Debug)]
pub enum ChangeError {
    /// The map version or this process's incarnation is not the one that the change was planned on.
    Conflict,
    /// The map is unreachable or cannot be decoded.
    Map(MapError),
    /// The actor has stopped.
    Stopped,
}

impl fmt::Display for ChangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict => f.write_str("the ownership map has changed"),
            Self::Map(cause) => cause.fmt(f),
            Self::Stopped => f.write_str("the ownership actor has stopped"),
        }
    }
}

impl std::error::Error for ChangeError {}

impl From<MapError> for ChangeError {
    fn from(cause: MapError) -> Self {
        Self::Map(cause)
    }
}

/// Handle of the actor. Clones refer to the same actor.
#[derive(Clone, Debug)]
pub struct OwnershipHandle {
    actor: ActorRef<Message>,
    view: OwnershipReceiver,
}

impl OwnershipHandle {
    /// Starts the actor, which publishes to `sender` until [`close`](Self::close) is called.
    ///
    /// # Errors
    ///
    /// Fails when the actor cannot be started.
    pub async fn start(
        arguments: OwnershipArguments,
        sender: watch::Sender<Arc<OwnershipView>>,
    ) -> Result<Self, ractor::SpawnErr> {
        let view = sender.subscribe();
        let (actor, _joined) = Actor::spawn(None, OwnershipActor, (arguments, sender)).await?;
        Ok(Self { actor, view })
    }

    /// Returns a receiver of the map and of its later changes.
    pub fn view(&self) -> OwnershipReceiver {
        self.view.clone()
    }

    /// Returns the latest map that this process has seen, which has no owners before the first one.
    pub fn map(&self) -> OwnershipMap {
        let view = self.view.borrow();
        OwnershipMap {
            version: view.version,
            change_id: 0,
            owners: view.owners.clone(),
        }
    }

    /// Returns this process.
    pub fn me(&self) -> Process {
        self.view.borrow().me.clone()
    }

    /// Reads the map from the key-value service.
    ///
    /// # Errors
    ///
    /// Fails when the map cannot be read.
    pub async fn refresh(&self) -> Result<(), ChangeError> {
        self.call(Message::Refresh).await
    }

    /// Creates the first map if none exists.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service is unreachable. It is not an error if another process has created
    /// the map first.
    pub async fn create(&self, candidates: Vec<Candidate>) -> Result<(), ChangeError> {
        self.call(|reply| Message::Create { candidates, reply }).await
    }

    /// Applies moves that `planner` planned on version `base_version` of the map.
    ///
    /// Returns once the trees of the partitions that this process gained are adopted. An empty list of
    /// moves is also a change: it increments the version, so that every change planned on an older version
    /// conflicts.
    ///
    /// # Errors
    ///
    /// Fails with [`ChangeError::Conflict`] when the plan does not match the current map, or when another
    /// process changed the map first. In the latter case the newer map is accepted. After any error the
    /// moves have not been applied.
    pub async fn change(
        &self,
        planner: Process,
        base_version: u64,
        moves: Vec<Move>,
    ) -> Result<(), ChangeError> {
        let plan = ChangePlan {
            planner,
            base_version,
            moves,
        };
        self.call(|reply| Message::Change { plan, reply }).await
    }

    /// Stops acting as an owner because this process was fenced.
    ///
    /// # Errors
    ///
    /// Fails when the actor has stopped.
    pub async fn fence(&self) -> Result<(), ChangeError> {
        self.call(Message::Fence).await
    }

    /// Resumes as a new process, which owns no partitions yet.
    ///
    /// # Errors
    ///
    /// Fails when the actor has stopped.
    pub async fn rejoin(&self, me: Process) -> Result<(), ChangeError> {
        self.call(|reply| Message::Rejoin { me, reply }).await
    }

    /// Stops the actor.
    pub fn close(self) {
        self.actor.stop(None);
    }

    async fn call<F>(&self, message: F) -> Result<(), ChangeError>
    where
        F: FnOnce(Reply) -> Message,
    {
        match self.actor.call(message, None).await {
            Ok(CallResult::Success(result)) => result,
            _ => Err(ChangeError::Stopped),
        }
    }
}

type Reply = RpcReplyPort<Result<(), ChangeError>>;

struct ChangePlan {
    planner: Process,
    base_version: u64,
    moves: Vec<Move>,
}

enum Message {
    Refresh(Reply),
    Fence(Reply),
    Create {
        candidates: Vec<Candidate>,
        reply: Reply,
    },
    Change {
        plan: ChangePlan,
        reply: Reply,
    },
    Rejoin {
        me: Process,
        reply: Reply,
    },
}

struct OwnershipActor;

struct State {
    arguments: OwnershipArguments,
    view: watch::Sender<Arc<OwnershipView>>,
    current: Option<VersionedMap>,
    serving: bool,
    /// Partitions that this process is handing off. Losing them does not mean that it was taken over.
    handing_off: BTreeSet<PartitionId>,
}

impl Actor for OwnershipActor {
    type Msg = Message;
    type State = State;
    type Arguments = (OwnershipArguments, watch::Sender<Arc<OwnershipView>>);

    async fn pre_start(
        &self,
        _myself: ActorRef<Message>,
        (arguments, view): Self::Arguments,
    ) -> Result<State, ActorProcessingErr> {
        let state = State {
            arguments,
            view,
            current: None,
            serving: true,
            handing_off: BTreeSet::new(),
        };
        state.publish();
        Ok(state)
    }

    async fn handle(
        &self,
        _myself: ActorRef<Message>,
        message: Message,
        state: &mut State,
    ) -> Result<(), ActorProcessingErr> {
        let (result, reply) = match message {
            Message::Refresh(reply) => (state.refresh().await, reply),
            Message::Create { candidates, reply } => (state.create(&candidates).await, reply),
            Message::Change { plan, reply } => (state.change(plan).await, reply),
            Message::Fence(reply) => {
                state.serving = false;
                state.publish();
                (Ok(()), reply)
            }
            Message::Rejoin { me, reply } => {
                state.rejoin(me);
                (Ok(()), reply)
            }
        };
        // The caller may have been dropped. The change remains in effect.
        let _ = reply.send(result);
        Ok(())
    }
}

impl State {
    async fn refresh(&mut self) -> Result<(), ChangeError> {
        if let Some(found) = self.arguments.store.read().await? {
            self.accept(found).await;
        }
        Ok(())
    }

    async fn create(&mut self, candidates: &[Candidate]) -> Result<(), ChangeError> {
        if self.current.is_some() {
            return Ok(());
        }
        let Some(map) = initial_map(candidates, rand::random()) else {
            return Ok(());
        };
        match self.arguments.store.swap(Expected::Absent, &map).await? {
            Swap::Done(found) | Swap::Conflict(Some(found)) => self.accept(found).await,
            Swap::Conflict(None) => {}
        }
        Ok(())
    }

    async fn change(&mut self, plan: ChangePlan) -> Result<(), ChangeError> {
        let Some((expected, next)) = self.plan_next(&plan) else {
            return Err(ChangeError::Conflict);
        };
        self.handing_off = plan
            .moves
            .iter()
            .filter(|step| step.from == plan.planner)
            .map(|step| step.partition)
            .collect();
        let swapped = self.arguments.store.swap(expected, &next).await;
        let result = match swapped {
            Ok(Swap::Done(found)) => {
                self.accept(found).await;
                Ok(())
            }
            Ok(Swap::Conflict(found)) => {
                if let Some(found) = found {
                    self.accept(found).await;
                }
                Err(ChangeError::Conflict)
            }
            Err(cause) => Err(cause.into()),
        };
        self.handing_off.clear();
        result
    }

    /// Returns the next map if the plan was made by this process on the current local copy of the map.
    fn plan_next(&self, plan: &ChangePlan) -> Option<(Expected, OwnershipMap)> {
        let current = self.current.as_ref()?;
        if plan.planner != self.arguments.me || plan.base_version != current.map.version || !self.serving {
            return None;
        }
        let next = current.map.with_moves(&plan.moves, rand::random())?;
        Some((Expected::Revision(current.revision), next))
    }

    /// Accepts a map if it is newer than the local copy.
    async fn accept(&mut self, found: VersionedMap) {
        let current_version = self.current.as_ref().map_or(0, |current| current.map.version);
        if found.map.version <= current_version {
            return;
        }
        // A fenced process gains no partitions, because its trees are being cleared.
        let gained = if self.serving {
            self.gained(&found.map)
        } else {
            BTreeSet::new()
        };
        let lost = self.lost(&found.map);
        let trees = self.arguments.staging.take(&found.map, &gained).await;
        log::info!(
            "event=ownership_changed host={} version={} gained={} lost={} trees={}",
            self.arguments.me.host_id,
            found.map.version,
            gained.len(),
            lost.len(),
            trees.len(),
        );
        if !trees.is_empty() {
            // Adopt before the map is published. A partition served without its trees would respond that
            // its programs do not exist.
            self.arguments.trees.adopt(trees).await;
        }
        self.current = Some(found);
        if lost.iter().any(|partition| !self.handing_off.contains(partition)) {
            self.serving = false;
            self.arguments.fenced.notify_one();
        }
        self.publish();
    }

    fn gained(&self, next: &OwnershipMap) -> BTreeSet<PartitionId> {
        let me = &self.arguments.me;
        (0..PARTITIONS)
            .filter(|&partition| next.owner(partition).is_some_and(|owner| owner.process == *me))
            .filter(|&partition| {
                let current = self
                    .current
                    .as_ref()
                    .and_then(|current| current.map.owner(partition));
                current != next.owner(partition)
            })
            .collect()
    }

    fn lost(&self, next: &OwnershipMap) -> BTreeSet<PartitionId> {
        let me = &self.arguments.me;
        let Some(current) = &self.current else {
            return BTreeSet::new();
        };
        current
            .map
            .partitions_of(me)
            .into_iter()
            .filter(|&partition| next.owner(partition).is_none_or(|owner| owner.process != *me))
            .collect()
    }

    fn rejoin(&mut self, me: Process) {
        self.arguments.me = me;
        self.serving = true;
        self.publish();
    }

    fn publish(&self) {
        let me = self.arguments.me.clone();
        let view = match &self.current {
            Some(current) => OwnershipView::new(me, &current.map, self.serving),
            None => OwnershipView {
                me,
                serving: self.serving,
                ..OwnershipView::default()
            },
        };
        metrics::gauge!("burdockroad_partitions_owned").set(gauge_value(view.own_partitions().len()));
        self.view.send_replace(Arc::new(view));
    }
}

/// Converts a count to a metric value, exactly for any number of partitions.
fn gauge_value(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
