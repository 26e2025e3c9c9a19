//! The actor itself: one message, one change of the table, one append.

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
        Action, Begun, CallRequest, Cancelled, Hold, NewProgram, Outcome, Placement, Programs, Refusal,
        Sending, Tree,
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

/// Reason that a program's history gives when its caller ended it.
const ENDED_BY_CALLER: &str = "its caller ended it";

/// Time after which a program that moved can be expected elsewhere.
const MOVED_RETRY: Duration = Duration::from_secs(1);

/// The actor.
#[derive(Debug)]
pub(super) struct ProgramsActor;

/// What the actor starts with.
#[derive(Debug)]
pub(super) struct ProgramsArguments {
    pub(super) table: Programs,
    pub(super) parts: ProgramsParts,
    /// Number of trees in the table, for whoever wants to know without asking.
    pub(super) kept: Arc<AtomicUsize>,
}

/// What the actor owns.
#[derive(Debug)]
pub(super) struct ProgramsState {
    table: Programs,
    parts: ProgramsParts,
    kept: Arc<AtomicUsize>,
    running: HashMap<ProgramId, Running>,
}

/// A call that runs, with the request that began it.
#[derive(Debug)]
struct Running {
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
        let ProgramsArguments { table, parts, kept } = args;
        Ok(ProgramsState {
            table,
            parts,
            kept,
            running: HashMap::new(),
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
            ProgramsMessage::Create(new, port) => reply(port, self.create(new)),
            ProgramsMessage::Get(account_id, program_id, port) => {
                reply(port, self.get(&account_id, &program_id));
            }
            ProgramsMessage::Contains(program_id, port) => reply(port, self.table.contains(&program_id)),
            ProgramsMessage::Begin(request, port) => reply(port, self.begin(request)),
            ProgramsMessage::Reopen(request, log, port) => reply(port, self.reopen(request, log)),
            ProgramsMessage::Send(program_id, placement, port) => {
                reply(port, self.send(&program_id, placement));
            }
            ProgramsMessage::Settle(settlement, port) => reply(port, self.settle(settlement)),
            ProgramsMessage::Withdraw(program_id) => self.withdraw(&program_id),
            ProgramsMessage::End(account_id, program_id, port) => {
                reply(port, self.end(myself, &account_id, &program_id));
            }
            ProgramsMessage::Released(hold) => self.released(&hold),
            ProgramsMessage::Tick => self.tick(myself),
            ProgramsMessage::OpenCalls(port) => reply(port, self.table.open_calls()),
            ProgramsMessage::List(port) => reply(port, self.table.trees().cloned().collect()),
            moved => self.handle_move(moved),
        }
    }

    /// Handles what concerns trees on the move between hosts or journal segments.
    fn handle_move(&mut self, message: ProgramsMessage) {
        match message {
            ProgramsMessage::Adopt(trees, port) => {
                let records = self.table.adopt(trees, now());
                self.append_later(records);
                reply(port, ());
            }
            ProgramsMessage::Freeze(partitions, port) => {
                self.table.freeze(&partitions);
                reply(port, ());
            }
            ProgramsMessage::Export(partitions, port) => reply(port, self.export(&partitions)),
            ProgramsMessage::Thaw(partitions) => self.table.thaw(&partitions),
            ProgramsMessage::Forget(partitions, port) => {
                let records = self.table.forget(&partitions);
                self.append_later(records);
                reply(port, ());
            }
            ProgramsMessage::Clear(port) => {
                self.clear();
                reply(port, ());
            }
            ProgramsMessage::Snapshot(root_ids, port) => {
                let records = self.table.snapshots(&root_ids);
                self.append_later(records);
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

    /// A change that is made here after the partition has moved would be lost to its new owner.
    ///
    /// Changes and moves pass through this actor one at a time, so what this sees stays true until the
    /// change is made: a move begins with a message that stops the partition.
    fn check_owned(&self, program_id: &ProgramId) -> Result<(), Refusal> {
        let partition = partition_of_program(program_id).ok_or(Refusal::UnknownProgram)?;
        let owned = self.parts.ownership.borrow().owns(partition);
        if owned { Ok(()) } else { Err(Refusal::NotOwner) }
    }

    fn withdraw(&mut self, program_id: &ProgramId) {
        self.table.withdraw(program_id);
        self.running.remove(program_id);
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

    fn released(&mut self, hold: &Hold) {
        let record = self.table.released(hold);
        self.append_later(record.into_iter().collect());
    }

    fn tick(&mut self, myself: &ActorRef<ProgramsMessage>) {
        let actions = self.table.tick(now());
        self.kept.store(self.table.len(), Ordering::Relaxed);
        if !actions.is_empty() {
            drop(self.perform(myself, actions));
        }
    }

    fn export(&self, partitions: &[PartitionId]) -> Option<Vec<Tree>> {
        let idle = !self.table.has_open(partitions);
        idle.then(|| self.table.export(partitions))
    }

    fn create(&mut self, new: NewProgram) -> Result<Appended, Rejection> {
        self.check_owned(&new.program_id)?;
        self.parts.journal.admit(Durability::Replicated)?;
        let record = self.table.create(new, now())?;
        Ok(self.append(vec![record], Durability::Replicated))
    }

    fn begin(&mut self, request: CallRequest) -> Result<CallDisposition, Rejection> {
        self.check_owned(&request.program_id)?;
        if let Some(running) = self.running.get(&request.program_id)
            && running.request == request
        {
            return Ok(CallDisposition::Attach(Arc::clone(&running.log)));
        }
        match self.table.begin(request.clone(), now())? {
            Begun::Run(usage, prefix_endpoint_id) => {
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
            Begun::Attach => Err(Refusal::NotOwner.into()),
            Begun::Answered(answer) => Ok(CallDisposition::Answered(answer)),
        }
    }

    fn reopen(&mut self, request: CallRequest, log: Arc<ResponseLog>) -> Option<RunningCall> {
        match self.table.begin(request.clone(), now()) {
            Ok(Begun::Run(..)) => Some(self.open(request, log)),
            Ok(Begun::Attach | Begun::Answered(_)) | Err(_) => None,
        }
    }

    fn open(&mut self, request: CallRequest, log: Arc<ResponseLog>) -> RunningCall {
        let (stop, stopped) = watch::channel(false);
        let call = RunningCall {
            log: Arc::clone(&log),
            stop: stopped,
        };
        self.running
            .insert(request.program_id.clone(), Running { request, log, stop });
        call
    }

    fn send(&mut self, program_id: &ProgramId, placement: Placement) -> Result<(Sending, Appended), Refusal> {
        let sending = match self.table.send(program_id, placement, now()) {
            Ok(sending) => sending,
            Err(refusal) => {
                self.running.remove(program_id);
                return Err(refusal);
            }
        };
        let repeatable = self
            .running
            .get(program_id)
            .is_some_and(|running| running.request.idempotent);
        let durability = intent_durability(repeatable);
        let appended = self.append(vec![sending.record.clone()], durability);
        Ok((sending, appended))
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
        self.running.remove(&program_id);
        Some(self.append(vec![record], durability))
    }

    fn clear(&mut self) {
        for hold in self.table.clear() {
            self.release_once(hold);
        }
        for (_, running) in self.running.drain() {
            running.stop.send_replace(true);
            let moved = Problem::new(ProblemKind::Moving, "the program has moved to another host");
            running
                .log
                .fail(&moved.ran(Ran::Unknown).retry_after(MOVED_RETRY));
        }
    }

    /// Carries out what the table asks for; the returned append is the last of its records.
    fn perform(&mut self, myself: &ActorRef<ProgramsMessage>, actions: Vec<Action>) -> Appended {
        let mut records = Vec::new();
        for action in actions {
            match action {
                Action::Append(record) => records.push(record),
                Action::Cancel(cancelled) => self.cancel(&cancelled),
                Action::Release(hold) => self.release(myself.clone(), hold),
            }
        }
        self.append(records, Durability::Replicated)
    }

    fn cancel(&self, cancelled: &Cancelled) {
        if let Some(running) = self.running.get(&cancelled.program_id) {
            running.stop.send_replace(true);
        }
    }

    fn release(&self, myself: ActorRef<ProgramsMessage>, hold: Hold) {
        let releaser = Arc::clone(&self.parts.releaser);
        tokio::spawn(async move {
            if releaser.release(&hold).await && myself.cast(ProgramsMessage::Released(hold)).is_err() {
                log::debug!("event=programs_stopped");
            }
        });
    }

    /// Frees what calls of a fenced table may have caused to be held; its programs' new owner does
    /// not know of calls that left after it had replayed the journal.
    fn release_once(&self, hold: Hold) {
        let releaser = Arc::clone(&self.parts.releaser);
        tokio::spawn(async move {
            if !releaser.release(&hold).await {
                log::warn!(
                    "event=hold_left program={} endpoint={}",
                    hold.program_id,
                    hold.endpoint_id
                );
            }
        });
    }

    fn append(&self, records: Records, durability: Durability) -> Appended {
        self.parts.journal.append(records, durability)
    }

    /// Appends records that nobody waits for.
    fn append_later(&self, records: Vec<Record>) {
        if !records.is_empty() {
            drop(self.append(records, Durability::Queued));
        }
    }
}

/// How durable an intent must be before its call may leave.
fn intent_durability(idempotent: bool) -> Durability {
    if idempotent {
        Durability::Replicated
    } else {
        Durability::Stored
    }
}

/// Answers; a reply that nobody waits for any more is dropped, and the change stands all the same.
fn reply<T>(port: RpcReplyPort<T>, value: T) {
    if port.send(value).is_err() {
        log::debug!("event=reply_unwanted");
    }
}
