//! The programs actor: each message makes one change of the table and one append to the journal.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use burdockroad::{
    AccountId, PartitionId, ProgramId, Record, partition_of_program,
    program::{
        Action, CachedPrefix, CallDecision, CallRequest, CancelledCall, NewProgram, Outcome, Placement,
        PreparedCall, Programs, Refusal, Tree,
    },
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::sync::watch;

use crate::{
    answer::ResponseLog,
    journal::{Appended, Durability},
    problem::{Problem, ProblemKind, Ran},
    programs::{
        CallDisposition, ProgramView, ProgramsMessage, ProgramsParts, Records, Rejection, RunningCall,
        Settlement, now,
    },
};

/// Reason that is recorded when a caller ends a program.
const ENDED_BY_CALLER: &str = "its caller ended it";

/// Retry delay for a call whose program has moved to another host.
const MOVED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The programs actor.
#[derive(Debug)]
pub(super) struct ProgramsActor;

/// The start arguments of the actor.
#[derive(Debug)]
pub(super) struct ProgramsArguments {
    pub(super) table: Programs,
    pub(super) parts: ProgramsParts,
    /// Number of trees in the table, readable without a message to the actor.
    pub(super) tree_count: Arc<AtomicUsize>,
}

/// The state of the actor.
#[derive(Debug)]
pub(super) struct ProgramsState {
    table: Programs,
    parts: ProgramsParts,
    tree_count: Arc<AtomicUsize>,
    active_calls: HashMap<ProgramId, ActiveCall>,
}

/// A running call and the request that started it.
#[derive(Debug)]
struct ActiveCall {
    request: CallRequest,
    log: Arc<ResponseLog>,
    stop: watch::Sender<bool>,
}

impl Actor for ProgramsActor {
    type Msg = ProgramsMessage;
    type State = ProgramsState;
    type Arguments = ProgramsArguments;

    async fn pre_start(
        &self,
        _myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let ProgramsArguments {
            table,
            parts,
            tree_count,
        } = args;
        Ok(ProgramsState {
            table,
            parts,
            tree_count,
            active_calls: HashMap::new(),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.handle(&myself, message);
        Ok(())
    }
}

impl ProgramsState {
    fn handle(&mut self, myself: &ActorRef<ProgramsMessage>, message: ProgramsMessage) {
        match message {
            ProgramsMessage::Create(new_program, port) => reply(port, self.create(new_program)),
            ProgramsMessage::Get(account_id, program_id, port) => {
                reply(port, self.get(&account_id, &program_id));
            }
            ProgramsMessage::Contains(program_id, port) => reply(port, self.table.contains(&program_id)),
            ProgramsMessage::StartCall(request, port) => reply(port, self.start_call(request)),
            ProgramsMessage::ReopenCall(request, log, port) => reply(port, self.reopen(request, log)),
            ProgramsMessage::SendCall(program_id, placement, port) => {
                reply(port, self.send(&program_id, placement));
            }
            ProgramsMessage::SettleCall(settlement, port) => reply(port, self.settle(settlement)),
            ProgramsMessage::WithdrawCall(program_id) => self.withdraw(&program_id),
            ProgramsMessage::End(account_id, program_id, port) => {
                reply(port, self.end(myself, &account_id, &program_id));
            }
            ProgramsMessage::PrefixReleased(cached_prefix) => self.prefix_released(&cached_prefix),
            ProgramsMessage::Tick => self.tick(myself),
            ProgramsMessage::OpenCalls(port) => reply(port, self.table.open_calls()),
            ProgramsMessage::List(port) => reply(port, self.table.trees().cloned().collect()),
            transfer => self.handle_transfer(transfer),
        }
    }

    /// Handles messages that move trees between hosts or journal segments.
    fn handle_transfer(&mut self, message: ProgramsMessage) {
        match message {
            ProgramsMessage::Import(trees, port) => {
                let records = self.table.adopt(trees, now());
                self.append_detached(records);
                reply(port, ());
            }
            ProgramsMessage::Freeze(partitions, port) => {
                self.table.freeze(&partitions);
                reply(port, ());
            }
            ProgramsMessage::Export(partitions, port) => reply(port, self.export(&partitions)),
            ProgramsMessage::Thaw(partitions) => self.table.thaw(&partitions),
            ProgramsMessage::Evict(partitions, port) => {
                let records = self.table.remove_partitions(&partitions);
                self.append_detached(records);
                reply(port, ());
            }
            ProgramsMessage::Clear(port) => {
                self.clear();
                reply(port, ());
            }
            ProgramsMessage::Snapshot(root_ids, port) => {
                let records = self.table.snapshots(&root_ids);
                self.append_detached(records);
                reply(port, ());
            }
            other => log::error!("event=message_unhandled message={other:?}"),
        }
    }

    fn get(&self, account_id: &AccountId, program_id: &ProgramId) -> Result<ProgramView, Refusal> {
        self.check_owned(program_id)?;
        let (tree, _) = self.table.get(account_id, program_id)?;
        Ok(ProgramView {
            tree: tree.clone(),
            program_id: program_id.clone(),
        })
    }

    /// Checks that this process still owns the partition of a program.
    ///
    /// A change made here after the partition has moved would be missing at its new owner. The result
    /// of the check stays valid until the change is made: this actor handles one message at a time,
    /// and a move starts with a message that freezes the partition.
    fn check_owned(&self, program_id: &ProgramId) -> Result<(), Refusal> {
        let partition = partition_of_program(program_id).ok_or(Refusal::UnknownProgram)?;
        let owned = self.parts.ownership.borrow().owns(partition);
        if owned { Ok(()) } else { Err(Refusal::NotOwner) }
    }

    fn withdraw(&mut self, program_id: &ProgramId) {
        self.table.withdraw(program_id);
        self.active_calls.remove(program_id);
    }

    fn end(
        &mut self,
        myself: &ActorRef<ProgramsMessage>,
        account_id: &AccountId,
        program_id: &ProgramId,
    ) -> Result<Appended, Refusal> {
        self.check_owned(program_id)?;
        let actions = self.table.end(account_id, program_id, ENDED_BY_CALLER, now())?;
        Ok(self.perform(myself, actions))
    }

    fn prefix_released(&mut self, cached_prefix: &CachedPrefix) {
        let record = self.table.on_prefix_released(cached_prefix);
        self.append_detached(record.into_iter().collect());
    }

    fn tick(&mut self, myself: &ActorRef<ProgramsMessage>) {
        let actions = self.table.tick(now());
        self.tree_count.store(self.table.len(), Ordering::Relaxed);
        if !actions.is_empty() {
            drop(self.perform(myself, actions));
        }
    }

    fn export(&self, partitions: &[PartitionId]) -> Option<Vec<Tree>> {
        let idle = !self.table.has_open(partitions);
        idle.then(|| self.table.export(partitions))
    }

    fn create(&mut self, new_program: NewProgram) -> Result<Appended, Rejection> {
        self.check_owned(&new_program.program_id)?;
        self.parts.journal.admit(Durability::Replicated)?;
        let record = self.table.create(new_program, now())?;
        Ok(self.append(vec![record], Durability::Replicated))
    }

    fn start_call(&mut self, request: CallRequest) -> Result<CallDisposition, Rejection> {
        self.check_owned(&request.program_id)?;
        if let Some(active_call) = self.active_calls.get(&request.program_id)
            && active_call.request == request
        {
            return Ok(CallDisposition::Attach(Arc::clone(&active_call.log)));
        }
        match self.table.accept_call(request.clone(), now())? {
            CallDecision::Run(usage, prefix_endpoint_id) => {
                if let Err(error) = self.parts.journal.admit(intent_durability(request.idempotent)) {
                    self.table.withdraw(&request.program_id);
                    return Err(error.into());
                }
                let call = self.open(request, ResponseLog::new());
                Ok(CallDisposition::Run {
                    call,
                    usage,
                    prefix_endpoint_id,
                })
            }
            CallDecision::Attach => Err(Refusal::NotOwner.into()),
            CallDecision::Answered(answer) => Ok(CallDisposition::Answered(answer)),
        }
    }

    fn reopen(&mut self, request: CallRequest, log: Arc<ResponseLog>) -> Option<RunningCall> {
        match self.table.accept_call(request.clone(), now()) {
            Ok(CallDecision::Run(..)) => Some(self.open(request, log)),
            Ok(CallDecision::Attach | CallDecision::Answered(_)) | Err(_) => None,
        }
    }

    fn open(&mut self, request: CallRequest, log: Arc<ResponseLog>) -> RunningCall {
        let (stop, stopped) = watch::channel(false);
        let call = RunningCall {
            log: Arc::clone(&log),
            stop: stopped,
        };
        self.active_calls
            .insert(request.program_id.clone(), ActiveCall { request, log, stop });
        call
    }

    fn send(
        &mut self,
        program_id: &ProgramId,
        placement: Placement,
    ) -> Result<(PreparedCall, Appended), Refusal> {
        let prepared = match self.table.send(program_id, placement, now()) {
            Ok(prepared) => prepared,
            Err(refusal) => {
                self.active_calls.remove(program_id);
                return Err(refusal);
            }
        };
        let idempotent = self
            .active_calls
            .get(program_id)
            .is_some_and(|active_call| active_call.request.idempotent);
        let durability = intent_durability(idempotent);
        let appended = self.append(vec![prepared.record.clone()], durability);
        Ok((prepared, appended))
    }

    fn settle(&mut self, settlement: Settlement) -> Option<Appended> {
        let Settlement {
            program_id,
            outcome,
            spent_tokens,
        } = settlement;
        let durability = match outcome {
            Outcome::Answered(_) => Durability::Replicated,
            Outcome::NotRun | Outcome::Failed { .. } | Outcome::Unknown { .. } => Durability::Queued,
        };
        let record = self.table.settle(&program_id, outcome, spent_tokens)?;
        self.active_calls.remove(&program_id);
        Some(self.append(vec![record], durability))
    }

    fn clear(&mut self) {
        for cached_prefix in self.table.clear() {
            self.release_fenced_prefix(cached_prefix);
        }
        for (_, active_call) in self.active_calls.drain() {
            active_call.stop.send_replace(true);
            let problem = Problem::new(ProblemKind::Moving, "the program has moved to another host");
            active_call
                .log
                .fail(&problem.ran(Ran::Unknown).retry_after(MOVED_RETRY_AFTER));
        }
    }

    /// Performs the actions that the table returned.
    ///
    /// Returns the append of their records.
    fn perform(&mut self, myself: &ActorRef<ProgramsMessage>, actions: Vec<Action>) -> Appended {
        let mut records = Vec::new();
        for action in actions {
            match action {
                Action::Append(record) => records.push(record),
                Action::Cancel(cancelled) => self.cancel(&cancelled),
                Action::Release(cached_prefix) => self.release_prefix(myself.clone(), cached_prefix),
            }
        }
        self.append(records, Durability::Replicated)
    }

    fn cancel(&self, cancelled: &CancelledCall) {
        if let Some(active_call) = self.active_calls.get(&cancelled.program_id) {
            active_call.stop.send_replace(true);
        }
    }

    fn release_prefix(&self, myself: ActorRef<ProgramsMessage>, cached_prefix: CachedPrefix) {
        let releaser = Arc::clone(&self.parts.releaser);
        tokio::spawn(async move {
            if releaser.release(&cached_prefix).await
                && myself
                    .cast(ProgramsMessage::PrefixReleased(cached_prefix))
                    .is_err()
            {
                log::debug!("event=programs_stopped");
            }
        });
    }

    /// Removes a cached prefix that calls of a fenced table may have left at an endpoint.
    ///
    /// The programs' new owner has no record of calls that were sent after it had replayed the journal.
    fn release_fenced_prefix(&self, cached_prefix: CachedPrefix) {
        let releaser = Arc::clone(&self.parts.releaser);
        tokio::spawn(async move {
            if !releaser.release(&cached_prefix).await {
                log::warn!(
                    "event=hold_left program={} endpoint={}",
                    cached_prefix.program_id,
                    cached_prefix.endpoint_id
                );
            }
        });
    }

    fn append(&self, records: Records, durability: Durability) -> Appended {
        self.parts.journal.append(records, durability)
    }

    /// Appends records without waiting until they are durable.
    fn append_detached(&self, records: Vec<Record>) {
        if !records.is_empty() {
            drop(self.append(records, Durability::Queued));
        }
    }
}

/// Returns the durability that an intent must reach before its call is sent.
fn intent_durability(idempotent: bool) -> Durability {
    if idempotent {
        Durability::Replicated
    } else {
        Durability::Stored
    }
}

/// Sends a reply; if the requester no longer waits, the reply is dropped and the change remains.
fn reply<T>(port: RpcReplyPort<T>, value: T) {
    if port.send(value).is_err() {
        log::debug!("event=reply_unwanted");
    }
}
