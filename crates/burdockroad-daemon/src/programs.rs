//! The actor that owns the table of programs, and the handle by which others reach it.
//!
//! Every change of the table is appended to the journal by the actor itself, so the records stand in
//! the journal in the order of the changes.

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
        Answer, CallRequest, Hold, NewProgram, Outcome, Placement, Programs, ProgramsOptions, Refusal,
        Sending, Tree, Usage,
    },
};
use ractor::{Actor, ActorRef, RpcReplyPort, SpawnErr, rpc::CallResult};
use tokio::{sync::watch, time::Instant};

use crate::{
    answer::ResponseLog,
    journal::{Appended, Journal, JournalError, Trees},
    ownership::OwnershipReceiver,
    programs::actor::{ProgramsActor, ProgramsArguments},
};

/// Time between two looks at a partition whose running calls are waited for.
const RELEASE_POLL: Duration = Duration::from_millis(20);

/// Frees what endpoints hold for programs that are gone.
#[async_trait]
pub trait PrefixReleaser: fmt::Debug + Send + Sync {
    /// Asks an endpoint to free what it holds; true once it has, or is itself gone.
    async fn release(&self, hold: &Hold) -> bool;
}

/// A call that this host runs.
#[derive(Clone, Debug)]
pub struct RunningCall {
    /// Where its answer is written.
    pub log: Arc<ResponseLog>,
    /// Becomes true when the call has to stop.
    pub stop: watch::Receiver<bool>,
}

/// What to do with a call.
#[derive(Debug)]
pub enum CallDisposition {
    /// Run it, and write its answer to the log.
    Run {
        /// The running call.
        call: RunningCall,
        /// What its program has used so far.
        usage: Usage,
        /// Endpoint that may hold the program's prefix.
        prefix_endpoint_id: Option<String>,
    },
    /// It runs already: read its answer.
    Attach(Arc<ResponseLog>),
    /// It was answered before.
    Answered(Answer),
}

/// Why a program or call was not taken. Nothing ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The table refused it.
    Refused(Refusal),
    /// What must be recorded first cannot be recorded now.
    NotRecordable(JournalError),
}

impl From<Refusal> for Rejection {
    fn from(cause: Refusal) -> Self {
        Self::Refused(cause)
    }
}

impl From<JournalError> for Rejection {
    fn from(cause: JournalError) -> Self {
        Self::NotRecordable(cause)
    }
}

/// A program and its tree, as they were when asked.
#[derive(Clone, Debug)]
pub struct ProgramView {
    /// The tree.
    pub tree: Tree,
    /// The program that was asked for.
    pub program_id: ProgramId,
}

/// What the actor is asked.
#[derive(Debug)]
pub enum ProgramsMessage {
    /// Add a program.
    Create(NewProgram, RpcReplyPort<Result<Appended, Rejection>>),
    /// Show a program.
    Get(AccountId, ProgramId, RpcReplyPort<Result<ProgramView, Refusal>>),
    /// Whether a program exists here.
    Contains(ProgramId, RpcReplyPort<bool>),
    /// Take a call.
    Begin(CallRequest, RpcReplyPort<Result<CallDisposition, Rejection>>),
    /// Take a call again for another attempt, with the answer that was begun.
    Reopen(CallRequest, Arc<ResponseLog>, RpcReplyPort<Option<RunningCall>>),
    /// Record where a call is sent.
    Send(
        ProgramId,
        Placement,
        RpcReplyPort<Result<(Sending, Appended), Refusal>>,
    ),
    /// Record how a call ended.
    Settle(Settlement, RpcReplyPort<Option<Appended>>),
    /// Close a call that was not sent.
    Withdraw(ProgramId),
    /// End a program.
    End(AccountId, ProgramId, RpcReplyPort<Result<Appended, Refusal>>),
    /// An endpoint freed what it held.
    Released(Hold),
    /// Time has passed.
    Tick,
    /// Take trees over.
    Adopt(Vec<Tree>, RpcReplyPort<()>),
    /// Stop taking calls for partitions.
    Freeze(Vec<PartitionId>, RpcReplyPort<()>),
    /// The trees of partitions, unless calls are open.
    Export(Vec<PartitionId>, RpcReplyPort<Option<Vec<Tree>>>),
    /// Take calls for partitions again.
    Thaw(Vec<PartitionId>),
    /// Forget the trees of partitions.
    Forget(Vec<PartitionId>, RpcReplyPort<()>),
    /// Forget everything.
    Clear(RpcReplyPort<()>),
    /// Record trees as a whole.
    Snapshot(Vec<ProgramId>, RpcReplyPort<()>),
    /// Number of open calls.
    OpenCalls(RpcReplyPort<usize>),
    /// All trees, for the operators' list.
    List(RpcReplyPort<Vec<Tree>>),
}

/// How a call ended.
#[derive(Clone, Debug)]
pub struct Settlement {
    /// The program.
    pub program_id: ProgramId,
    /// How it ended.
    pub outcome: Outcome,
    /// Tokens that count as spent.
    pub spent_tokens: u64,
}

/// What the actor works with.
#[derive(Clone, Debug)]
pub struct ProgramsParts {
    /// Where changes are recorded.
    pub journal: Arc<dyn Journal>,
    /// Frees engine memory.
    pub releaser: Arc<dyn PrefixReleaser>,
    /// The partitions that this process owns.
    ///
    /// Whoever asks has looked at it before; it is looked at again when a change is made, since a
    /// partition may have moved while the request waited.
    pub ownership: OwnershipReceiver,
    /// How programs are treated.
    pub options: ProgramsOptions,
}

/// Handle of the actor.
#[derive(Clone, Debug)]
pub struct ProgramsHandle {
    actor: ActorRef<ProgramsMessage>,
    kept: Arc<AtomicUsize>,
}

impl ProgramsHandle {
    /// Starts the actor with an empty table.
    ///
    /// # Errors
    ///
    /// Fails when the actor cannot be started.
    pub async fn start(parts: ProgramsParts) -> Result<Self, SpawnErr> {
        let kept = Arc::new(AtomicUsize::new(0));
        let table = Programs::new(parts.options);
        let arguments = ProgramsArguments {
            table,
            parts,
            kept: Arc::clone(&kept),
        };
        let (actor, _) = Actor::spawn(None, ProgramsActor, arguments).await?;
        Ok(Self { actor, kept })
    }

    /// Stops the actor.
    pub fn close(self) {
        self.actor.stop(None);
    }

    /// Adds a program.
    ///
    /// # Errors
    ///
    /// As [`Programs::create`], or when it cannot be recorded now.
    pub async fn create(&self, new: NewProgram) -> Result<Appended, Rejection> {
        self.ask(|port| ProgramsMessage::Create(new, port))
            .await
            .unwrap_or(Err(Refusal::NotOwner.into()))
    }

    /// Shows a program.
    ///
    /// # Errors
    ///
    /// As [`Programs::get`].
    pub async fn get(&self, account_id: AccountId, program_id: ProgramId) -> Result<ProgramView, Refusal> {
        let asked = self
            .ask(|port| ProgramsMessage::Get(account_id, program_id, port))
            .await;
        asked.unwrap_or(Err(Refusal::NotOwner))
    }

    /// Whether a program exists here, whoever's it is.
    pub async fn contains(&self, program_id: ProgramId) -> bool {
        self.ask(|port| ProgramsMessage::Contains(program_id, port))
            .await
            .unwrap_or(true)
    }

    /// Takes a call, or tells what became of an earlier try of it.
    ///
    /// # Errors
    ///
    /// As [`Programs::begin`], or when it cannot be recorded now.
    pub async fn begin(&self, request: CallRequest) -> Result<CallDisposition, Rejection> {
        self.ask(|port| ProgramsMessage::Begin(request, port))
            .await
            .unwrap_or(Err(Refusal::NotOwner.into()))
    }

    /// Takes a call again for another attempt; none when its program no longer takes it.
    pub async fn reopen(&self, request: CallRequest, log: Arc<ResponseLog>) -> Option<RunningCall> {
        self.ask(|port| ProgramsMessage::Reopen(request, log, port))
            .await
            .flatten()
    }

    /// Records where a call is to be sent.
    ///
    /// # Errors
    ///
    /// As [`Programs::send`].
    pub async fn send(
        &self,
        program_id: ProgramId,
        placement: Placement,
    ) -> Result<(Sending, Appended), Refusal> {
        let asked = self
            .ask(|port| ProgramsMessage::Send(program_id, placement, port))
            .await;
        asked.unwrap_or(Err(Refusal::NotOwner))
    }

    /// Records how a call ended; none when this host has lost the call meanwhile.
    pub async fn settle(&self, settlement: Settlement) -> Option<Appended> {
        self.ask(|port| ProgramsMessage::Settle(settlement, port))
            .await
            .flatten()
    }

    /// Closes a call that was not sent.
    pub fn withdraw(&self, program_id: ProgramId) {
        self.tell(ProgramsMessage::Withdraw(program_id));
    }

    /// Ends a program and its sub-agents.
    ///
    /// # Errors
    ///
    /// As [`Programs::end`].
    pub async fn end(&self, account_id: AccountId, program_id: ProgramId) -> Result<Appended, Refusal> {
        let asked = self
            .ask(|port| ProgramsMessage::End(account_id, program_id, port))
            .await;
        asked.unwrap_or(Err(Refusal::NotOwner))
    }

    /// Runs the systems that depend on time.
    pub fn tick(&self) {
        self.tell(ProgramsMessage::Tick);
    }

    /// Number of calls that are under way or wait to be sent.
    pub async fn open_calls(&self) -> usize {
        self.ask(ProgramsMessage::OpenCalls).await.unwrap_or(0)
    }

    /// Number of trees that this host keeps, as of the last tick.
    pub fn owned_tree_count(&self) -> usize {
        self.kept.load(Ordering::Relaxed)
    }

    /// All trees that this host owns.
    pub async fn list(&self) -> Vec<Tree> {
        self.ask(ProgramsMessage::List).await.unwrap_or_default()
    }

    async fn ask<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> ProgramsMessage,
    ) -> Option<T> {
        match self.actor.call(message, None).await {
            Ok(CallResult::Success(answer)) => Some(answer),
            Ok(CallResult::Timeout | CallResult::SenderError) | Err(_) => None,
        }
    }

    fn tell(&self, message: ProgramsMessage) {
        if self.actor.cast(message).is_err() {
            log::debug!("event=programs_stopped");
        }
    }
}

#[async_trait]
impl Trees for ProgramsHandle {
    async fn adopt(&self, trees: Vec<Tree>) {
        self.ask(|port| ProgramsMessage::Adopt(trees, port)).await;
    }

    async fn release(&self, partitions: Vec<PartitionId>, patience: Duration) -> Option<Vec<Tree>> {
        let frozen = partitions.clone();
        self.ask(|port| ProgramsMessage::Freeze(frozen, port)).await?;
        let latest = Instant::now() + patience;
        loop {
            let asked = partitions.clone();
            let exported = self
                .ask(|port| ProgramsMessage::Export(asked, port))
                .await
                .flatten();
            if exported.is_some() {
                return exported;
            }
            if Instant::now() >= latest {
                self.resume(partitions).await;
                return None;
            }
            tokio::time::sleep(RELEASE_POLL).await;
        }
    }

    async fn resume(&self, partitions: Vec<PartitionId>) {
        self.tell(ProgramsMessage::Thaw(partitions));
    }

    async fn forget(&self, partitions: Vec<PartitionId>) {
        self.ask(|port| ProgramsMessage::Forget(partitions, port)).await;
    }

    async fn clear(&self) {
        self.ask(ProgramsMessage::Clear).await;
    }

    async fn write_snapshots(&self, root_ids: Vec<ProgramId>) {
        self.ask(|port| ProgramsMessage::Snapshot(root_ids, port)).await;
    }
}

/// The wall clock, which budgets and retention are counted by.
fn now() -> SystemTime {
    SystemTime::now()
}

/// Records of a change, in the order in which they must stand in the journal.
type Records = Vec<Record>;
