//! The actor that holds this host's copy of the ownership map.

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

/// What the actor works with.
#[derive(Clone, Debug)]
pub struct OwnershipArguments {
    /// This process.
    pub me: Process,
    /// The map in the key-value service.
    pub store: MapStore,
    /// Copies of trees that wait for the map to name this process.
    pub staging: Arc<Staging>,
    /// The trees that are served here.
    pub trees: Arc<dyn Trees>,
    /// Told when the map shows that this process was taken over.
    pub fenced: Arc<Notify>,
}

/// Why the map was not changed.
#[derive(Clone, Debug)]
pub enum ChangeError {
    /// The map, or this process, is another one than the change was planned on.
    Conflict,
    /// The map cannot be reached or read.
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

/// Reaches the actor; clones reach the same one.
#[derive(Clone, Debug)]
pub struct OwnershipHandle {
    actor: ActorRef<Message>,
    view: OwnershipReceiver,
}

impl OwnershipHandle {
    /// Starts the actor, which publishes to `sender`; it stops with [`close`](Self::close).
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

    /// Every change of the map from now on.
    pub fn view(&self) -> OwnershipReceiver {
        self.view.clone()
    }

    /// The map as it was last seen; without owners before the first.
    pub fn map(&self) -> OwnershipMap {
        let view = self.view.borrow();
        OwnershipMap {
            version: view.version,
            change_id: 0,
            owners: view.owners.clone(),
        }
    }

    /// This process.
    pub fn me(&self) -> Process {
        self.view.borrow().me.clone()
    }

    /// Reads the map anew from the key-value service.
    ///
    /// # Errors
    ///
    /// Fails when it cannot be read.
    pub async fn refresh(&self) -> Result<(), ChangeError> {
        self.ask(Message::Refresh).await
    }

    /// Makes the first map, if there is none.
    ///
    /// # Errors
    ///
    /// Fails when the key-value service cannot be reached; that another process was first is no error.
    pub async fn create(&self, candidates: Vec<Candidate>) -> Result<(), ChangeError> {
        self.ask(|reply| Message::Create { candidates, reply }).await
    }

    /// Makes moves that were planned by `planner` on version `base` of the map.
    ///
    /// Returns once the new owners of this process's own gains are set up. No moves are a change too:
    /// the version grows, and every change that was planned on an older one conflicts.
    ///
    /// # Errors
    ///
    /// [`ChangeError::Conflict`] after which the newer map has been taken in; otherwise nothing changed.
    pub async fn change(&self, planner: Process, base: u64, moves: Vec<Move>) -> Result<(), ChangeError> {
        let plan = Plan { planner, base, moves };
        self.ask(|reply| Message::Change { plan, reply }).await
    }

    /// Stops acting as an owner, since this process was fenced.
    ///
    /// # Errors
    ///
    /// Fails when the actor has stopped.
    pub async fn fence(&self) -> Result<(), ChangeError> {
        self.ask(Message::Fence).await
    }

    /// Goes on as a new process, which owns nothing yet.
    ///
    /// # Errors
    ///
    /// Fails when the actor has stopped.
    pub async fn rejoin(&self, me: Process) -> Result<(), ChangeError> {
        self.ask(|reply| Message::Rejoin { me, reply }).await
    }

    /// Stops the actor.
    pub fn close(self) {
        self.actor.stop(None);
    }

    async fn ask<F>(&self, message: F) -> Result<(), ChangeError>
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

struct Plan {
    planner: Process,
    base: u64,
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
        plan: Plan,
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
    known: Option<VersionedMap>,
    serving: bool,
    /// Partitions that this process may lose without having been taken over.
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
            known: None,
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
        // The asker may have gone away; what was done stands all the same.
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
        if self.known.is_some() {
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

    async fn change(&mut self, plan: Plan) -> Result<(), ChangeError> {
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

    /// The next map, if the plan was made by this process on the map that is known.
    fn plan_next(&self, plan: &Plan) -> Option<(Expected, OwnershipMap)> {
        let known = self.known.as_ref()?;
        if plan.planner != self.arguments.me || plan.base != known.map.version || !self.serving {
            return None;
        }
        let next = known.map.with_moves(&plan.moves, rand::random())?;
        Some((Expected::Revision(known.revision), next))
    }

    /// Takes in a map, if it is newer.
    async fn accept(&mut self, found: VersionedMap) {
        let known_version = self.known.as_ref().map_or(0, |known| known.map.version);
        if found.map.version <= known_version {
            return;
        }
        // A process that was fenced gets nothing more: its trees are being cleared.
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
            // Before the map is published: a partition that is served without its trees would answer
            // that they do not exist.
            self.arguments.trees.adopt(trees).await;
        }
        self.known = Some(found);
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
                let known = self.known.as_ref().and_then(|known| known.map.owner(partition));
                known != next.owner(partition)
            })
            .collect()
    }

    fn lost(&self, next: &OwnershipMap) -> BTreeSet<PartitionId> {
        let me = &self.arguments.me;
        let Some(known) = &self.known else {
            return BTreeSet::new();
        };
        known
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
        let view = match &self.known {
            Some(known) => OwnershipView::new(me, &known.map, self.serving),
            None => OwnershipView {
                me,
                serving: self.serving,
                ..OwnershipView::default()
            },
        };
        metrics::gauge!("burdockroad_partitions_owned").set(f64_of(view.own_partitions().len()));
        self.view.send_replace(Arc::new(view));
    }
}

/// A count as a metric; exact for any number of partitions.
fn f64_of(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
