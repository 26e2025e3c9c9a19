//! The actor that owns the table of programs, and a handle to it.
//!
//! The actor itself appends every change of the table to the journal, so the journal records are in the
//! order of the changes.

mod actor;

use std::{
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, SystemTime},
};

use async_trait::async_trait;
use burdockroad::{
    AccountId, PartitionId, ProgramId, Record,
    program::{
        CachedPrefix, CallRequest, CallResponse, NewProgram, Outcome, Placement, PreparedCall, Programs,
        ProgramsOptions, Refusal, Tree, Usage,
    },
};
use ractor::{Actor, ActorRef, RpcReplyPort, SpawnErr, rpc::CallResult};
use tokio::{sync::watch, time::Instant};

use crate::{
    answer::ResponseLog,
    journal::{Appended, Journal, JournalError, Trees},
    ownership::OwnershipReceiver,
    problem::Problem,
    programs::actor::{ProgramsActor, ProgramsArguments},
};

/// Interval at which a release checks whether the partitions still have open calls.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A client that releases cached prefixes of ended or moved programs at endpoints.
#[async_trait]
pub trait PrefixReleaser: fmt::Debug + Send + Sync {
    /// Requests that an endpoint release a program's cached prefix.
    ///
    /// Returns `true` if the endpoint has released it, or if the endpoint itself no longer exists.
    async fn release(&self, cached_prefix: &CachedPrefix) -> bool;
}

/// A running call of this host.
#[derive(Clone, Debug)]
pub struct RunningCall {
    /// Log that the response is written to.
    pub log: Arc<ResponseLog>,
    /// Flag that becomes true when the call must stop.
    pub stop: watch::Receiver<bool>,
}

/// The decision on how to serve a call.
#[derive(Debug)]
pub enum CallDisposition {
    /// Run the call and write its response to the log.
    Run {
        /// The call to run.
        call: RunningCall,
        /// Resources that the program has used so far.
        usage: Usage,
        /// Endpoint that may have the program's prefix cached.
        prefix_endpoint_id: Option<String>,
    },
    /// Read the response of the same call, which is already running.
    Attach(Arc<ResponseLog>),
    /// Return the recorded response of the completed call.
    Answered(CallResponse),
}

/// The reason why a program or call was rejected. Nothing ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The program table refused it.
    Refused(Refusal),
    /// The journal does not accept the record that must be written first.
    NotRecordable(JournalError),
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}

impl From<JournalError> for Rejection {
    fn from(error: JournalError) -> Self {
        Self::NotRecordable(error)
    }
}

impl From<Rejection> for Problem {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Refused(refusal) => refusal.into(),
            Rejection::NotRecordable(error) => error.into(),
        }
    }
}

/// A copy of a program's tree at the time of the request.
#[derive(Clone, Debug)]
pub struct ProgramView {
    /// Tree of the program.
    pub tree: Tree,
    /// Id of the requested program.
    pub program_id: ProgramId,
}

/// A message to the programs actor.
#[derive(Debug)]
pub enum ProgramsMessage {
    /// Creates a program.
    Create(NewProgram, RpcReplyPort<Result<Appended, Rejection>>),
    /// Requests a copy of a program's tree.
    Get(AccountId, ProgramId, RpcReplyPort<Result<ProgramView, Refusal>>),
    /// Checks whether the table contains a program.
    Contains(ProgramId, RpcReplyPort<bool>),
    /// Starts a call, or requests the result of an earlier attempt of it.
    StartCall(CallRequest, RpcReplyPort<Result<CallDisposition, Rejection>>),
    /// Reopens a call for another attempt, with the existing response log.
    ReopenCall(CallRequest, Arc<ResponseLog>, RpcReplyPort<Option<RunningCall>>),
    /// Records the endpoint that a call is about to be sent to.
    SendCall(
        ProgramId,
        Placement,
        RpcReplyPort<Result<(PreparedCall, Appended), Refusal>>,
    ),
    /// Records the outcome of a call.
    SettleCall(Settlement, RpcReplyPort<Option<Appended>>),
    /// Closes a call that was not sent.
    WithdrawCall(ProgramId),
    /// Ends a program.
    End(AccountId, ProgramId, RpcReplyPort<Result<Appended, Refusal>>),
    /// Records that an endpoint released a cached prefix.
    PrefixReleased(CachedPrefix),
    /// Ends programs that reached their time limit, releases cached prefixes, and removes trees whose
    /// retention period has passed.
    Tick,
    /// Adds trees that this host has taken over.
    Adopt(Vec<Tree>, RpcReplyPort<()>),
    /// Stops accepting calls for partitions.
    Freeze(Vec<PartitionId>, RpcReplyPort<()>),
    /// Requests the trees of partitions; the reply is `None` while any of their calls is open.
    Export(Vec<PartitionId>, RpcReplyPort<Option<Vec<Tree>>>),
    /// Accepts calls for partitions again.
    Thaw(Vec<PartitionId>),
    /// Removes the trees of partitions.
    RemovePartitions(Vec<PartitionId>, RpcReplyPort<()>),
    /// Removes all trees.
    Clear(RpcReplyPort<()>),
    /// Appends full snapshots of trees to the journal.
    Snapshot(Vec<ProgramId>, RpcReplyPort<()>),
    /// Requests the number of open calls.
    OpenCalls(RpcReplyPort<usize>),
    /// Requests all trees, for the operators' list of programs.
    List(RpcReplyPort<Vec<Tree>>),
}

/// The result of a call, to be recorded in its program.
#[derive(Clone, Debug)]
pub struct Settlement {
    /// Program of the call.
    pub program_id: ProgramId,
    /// Outcome of the call.
    pub outcome: Outcome,
    /// Tokens to charge to the program's budget.
    pub spent_tokens: u64,
}

/// The dependencies of the programs actor.
#[derive(Clone, Debug)]
pub struct ProgramsParts {
    /// Journal that changes are appended to.
    pub journal: Arc<dyn Journal>,
    /// Client that releases cached prefixes at engines.
    pub releaser: Arc<dyn PrefixReleaser>,
    /// Partitions that this process owns.
    ///
    /// The sender of a request has already checked the ownership. The actor checks it again before each
    /// change, because the partition may have moved while the request was queued.
    pub ownership: OwnershipReceiver,
    /// Options of the program table.
    pub options: ProgramsOptions,
}

/// A handle to the programs actor.
#[derive(Clone, Debug)]
pub struct ProgramsHandle {
    actor: ActorRef<ProgramsMessage>,
    tree_count: Arc<AtomicUsize>,
}

impl ProgramsHandle {
    /// Starts the actor with an empty table.
    ///
    /// # Errors
    ///
    /// Returns an error if the actor cannot be started.
    pub async fn start(parts: ProgramsParts) -> Result<Self, SpawnErr> {
        let tree_count = Arc::new(AtomicUsize::new(0));
        let table = Programs::new(parts.options);
        let arguments = ProgramsArguments {
            table,
            parts,
            tree_count: Arc::clone(&tree_count),
        };
        let (actor, _) = Actor::spawn(None, ProgramsActor, arguments).await?;
        Ok(Self { actor, tree_count })
    }

    /// Stops the actor.
    pub fn close(self) {
        self.actor.stop(None);
    }

    /// Creates a program.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Programs::create`], and an error if the journal does not accept the
    /// record.
    pub async fn create(&self, new_program: NewProgram) -> Result<Appended, Rejection> {
        self.call_actor(|port| ProgramsMessage::Create(new_program, port))
            .await
            .unwrap_or(Err(Refusal::NotOwner.into()))
    }

    /// Returns a copy of a program's tree.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Programs::get`].
    pub async fn get(&self, account_id: AccountId, program_id: ProgramId) -> Result<ProgramView, Refusal> {
        let response = self
            .call_actor(|port| ProgramsMessage::Get(account_id, program_id, port))
            .await;
        response.unwrap_or(Err(Refusal::NotOwner))
    }

    /// Returns whether this host has a program, whichever account it belongs to.
    ///
    /// Also returns `true` if the actor has stopped and the table cannot be checked.
    pub async fn contains(&self, program_id: ProgramId) -> bool {
        self.call_actor(|port| ProgramsMessage::Contains(program_id, port))
            .await
            .unwrap_or(true)
    }

    /// Starts a call, or returns the state of an earlier attempt of the same call.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Programs::accept_call`], and an error if the journal does not accept the
    /// intent.
    pub async fn start_call(&self, request: CallRequest) -> Result<CallDisposition, Rejection> {
        self.call_actor(|port| ProgramsMessage::StartCall(request, port))
            .await
            .unwrap_or(Err(Refusal::NotOwner.into()))
    }

    /// Reopens a call for another attempt.
    ///
    /// Returns `None` if the program no longer accepts the call.
    pub async fn reopen(&self, request: CallRequest, log: Arc<ResponseLog>) -> Option<RunningCall> {
        self.call_actor(|port| ProgramsMessage::ReopenCall(request, log, port))
            .await
            .flatten()
    }

    /// Records the endpoint that a call is about to be sent to.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Programs::send`].
    pub async fn send(
        &self,
        program_id: ProgramId,
        placement: Placement,
    ) -> Result<(PreparedCall, Appended), Refusal> {
        let response = self
            .call_actor(|port| ProgramsMessage::SendCall(program_id, placement, port))
            .await;
        response.unwrap_or(Err(Refusal::NotOwner))
    }

    /// Records the outcome of a call.
    ///
    /// Returns `None` if the table no longer contains the open call.
    pub async fn settle(&self, settlement: Settlement) -> Option<Appended> {
        self.call_actor(|port| ProgramsMessage::SettleCall(settlement, port))
            .await
            .flatten()
    }

    /// Closes a call that was not sent.
    pub fn withdraw(&self, program_id: ProgramId) {
        self.cast(ProgramsMessage::WithdrawCall(program_id));
    }

    /// Ends a program and its sub-agents.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Programs::end`].
    pub async fn end(&self, account_id: AccountId, program_id: ProgramId) -> Result<Appended, Refusal> {
        let response = self
            .call_actor(|port| ProgramsMessage::End(account_id, program_id, port))
            .await;
        response.unwrap_or(Err(Refusal::NotOwner))
    }

    /// Ends programs that reached their time limit, releases cached prefixes, and removes trees whose
    /// retention period has passed.
    pub fn tick(&self) {
        self.cast(ProgramsMessage::Tick);
    }

    /// Returns the number of calls that are running or wait to be sent.
    pub async fn open_calls(&self) -> usize {
        self.call_actor(ProgramsMessage::OpenCalls).await.unwrap_or(0)
    }

    /// Returns the number of trees that the table contained at the last tick.
    pub fn owned_tree_count(&self) -> usize {
        self.tree_count.load(Ordering::Relaxed)
    }

    /// Returns all trees that this host owns.
    pub async fn list(&self) -> Vec<Tree> {
        self.call_actor(ProgramsMessage::List).await.unwrap_or_default()
    }

    async fn call_actor<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> ProgramsMessage,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(CallResult::Success(value)) => Some(value),
            Ok(CallResult::Timeout | CallResult::SenderError) | Err(_) => None,
        }
    }

    fn cast(&self, message: ProgramsMessage) {
        if self.actor.cast(message).is_err() {
            log::debug!("event=programs_stopped");
        }
    }
}

#[async_trait]
impl Trees for ProgramsHandle {
    async fn adopt(&self, trees: Vec<Tree>) {
        self.call_actor(|port| ProgramsMessage::Adopt(trees, port)).await;
    }

    async fn release(&self, partitions: Vec<PartitionId>, timeout: Duration) -> Option<Vec<Tree>> {
        let frozen = partitions.clone();
        self.call_actor(|port| ProgramsMessage::Freeze(frozen, port))
            .await?;
        let deadline = Instant::now() + timeout;
        loop {
            let requested = partitions.clone();
            let exported = self
                .call_actor(|port| ProgramsMessage::Export(requested, port))
                .await
                .flatten();
            if exported.is_some() {
                return exported;
            }
            if Instant::now() >= deadline {
                self.resume(partitions).await;
                return None;
            }
            tokio::time::sleep(RELEASE_POLL_INTERVAL).await;
        }
    }

    async fn resume(&self, partitions: Vec<PartitionId>) {
        self.cast(ProgramsMessage::Thaw(partitions));
    }

    async fn drop_partitions(&self, partitions: Vec<PartitionId>) {
        self.call_actor(|port| ProgramsMessage::RemovePartitions(partitions, port))
            .await;
    }

    async fn clear(&self) {
        self.call_actor(ProgramsMessage::Clear).await;
    }

    async fn write_snapshots(&self, root_ids: Vec<ProgramId>) {
        self.call_actor(|port| ProgramsMessage::Snapshot(root_ids, port))
            .await;
    }
}

/// Returns the wall-clock time, by which budgets and retention are measured.
fn now() -> SystemTime {
    SystemTime::now()
}

/// Journal records of one change, in the order in which they must be appended.
type Records = Vec<Record>;
