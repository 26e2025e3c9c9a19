//! Actor that drives a journal's writer: it feeds responses and timer events to the writer, and performs
//! the store and peer requests that the writer returns.

mod requests;

use std::{
    collections::BTreeMap,
    sync::{Arc, Weak},
    time::Instant,
};

use burdockroad::{
    ProgramId, Record,
    journal::{
        Action, Durability, JournalError, Peer, ReadReply, TailBatch, TailReply, Ticket, WriteReply, Writer,
    },
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{
    sync::{oneshot, watch},
    task::JoinHandle,
    time::sleep_until,
};

use self::requests::{log_write, read_back, send_batch, write};
use crate::{
    journal::{JournalParts, Trees, keys},
    ownership::{PeersView, Process},
};

/// Actor that drives the journal's writer.
#[derive(Debug)]
pub(super) struct JournalActor;

/// Messages of the actor.
#[derive(Debug)]
pub(super) enum JournalMessage {
    /// Records to append to the queue.
    Append {
        records: Vec<Record>,
        durability: Durability,
        reply: oneshot::Sender<Result<(), JournalError>>,
        appended_at: Instant,
    },
    /// Trees from which the actor requests snapshots.
    SetTrees(Weak<dyn Trees>),
    /// Change of the view of the peers.
    PeersChanged,
    /// Outcome of a segment write.
    Written(WriteReply),
    /// Outcome of reading a segment back.
    ReadBack(ReadReply),
    /// Outcome of replicating records to a peer.
    Replicated {
        from: Process,
        session: u64,
        reply: TailReply,
    },
    /// Whether the removal of old segments succeeded.
    Removed(bool),
    /// Expiry of the poll timer.
    Poll,
}

/// Start arguments of the actor.
#[derive(Debug)]
pub(super) struct JournalArguments {
    pub(super) parts: JournalParts,
    pub(super) admission: watch::Sender<Admission>,
}

/// Admission status of new records by durability, and whether the journal is fenced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Admission {
    pub(super) queued: Result<(), JournalError>,
    pub(super) replicated: Result<(), JournalError>,
    pub(super) stored: Result<(), JournalError>,
    pub(super) fenced: bool,
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            queued: Ok(()),
            replicated: Ok(()),
            stored: Ok(()),
            fenced: false,
        }
    }
}

/// State of the actor.
#[derive(Debug)]
pub(super) struct JournalState {
    parts: JournalParts,
    writer: Writer,
    trees: Option<Weak<dyn Trees>>,
    pending: BTreeMap<Ticket, PendingAppend>,
    last_ticket: Ticket,
    admission: watch::Sender<Admission>,
    timer: Option<Timer>,
    peers_task: JoinHandle<()>,
}

#[derive(Debug)]
struct PendingAppend {
    reply: oneshot::Sender<Result<(), JournalError>>,
    appended_at: Instant,
    durability: Durability,
}

#[derive(Debug)]
struct Timer {
    fires_at: Instant,
    task: JoinHandle<()>,
}

impl Actor for JournalActor {
    type Msg = JournalMessage;
    type State = JournalState;
    type Arguments = JournalArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let JournalArguments { parts, admission } = args;
        let mut peers = parts.peers.clone();
        let actor = myself.clone();
        let peers_task = tokio::spawn(async move {
            while peers.changed().await.is_ok() {
                if actor.cast(JournalMessage::PeersChanged).is_err() {
                    return;
                }
            }
        });
        let mut state = JournalState {
            writer: Writer::new(parts.options.clone(), Instant::now()),
            parts,
            trees: None,
            pending: BTreeMap::new(),
            last_ticket: 0,
            admission,
            timer: None,
            peers_task,
        };
        state.update_peers();
        state.poll(&myself);
        Ok(state)
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.take(message);
        state.poll(&myself);
        Ok(())
    }

    async fn post_stop(
        &self,
        _myself: ActorRef<Self::Msg>,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        state.peers_task.abort();
        if let Some(timer) = state.timer.take() {
            timer.task.abort();
        }
        Ok(())
    }
}

impl JournalState {
    /// Applies a message to the writer and to the state of the actor.
    fn take(&mut self, message: JournalMessage) {
        let now = Instant::now();
        match message {
            JournalMessage::Append {
                records,
                durability,
                reply,
                appended_at,
            } => {
                self.last_ticket += 1;
                let pending = PendingAppend {
                    reply,
                    appended_at,
                    durability,
                };
                self.pending.insert(self.last_ticket, pending);
                self.writer.append(&records, durability, self.last_ticket, now);
            }
            JournalMessage::SetTrees(trees) => self.trees = Some(trees),
            JournalMessage::PeersChanged => self.update_peers(),
            JournalMessage::Written(reply) => {
                log_write(&self.parts.options.owner, &reply);
                self.writer.written(reply, now);
            }
            JournalMessage::ReadBack(reply) => self.writer.read_back(reply, now),
            JournalMessage::Replicated { from, session, reply } => {
                self.writer.replicated(&from, session, reply, now);
            }
            JournalMessage::Removed(succeeded) => self.writer.removed(succeeded),
            JournalMessage::Poll => self.timer = None,
        }
    }

    fn update_peers(&mut self) {
        let view = Arc::clone(&self.parts.peers.borrow_and_update());
        let hosts = view.peers.len() + 1;
        let live = live_peers(&view);
        let has_majority = (live.len() + 1) * 2 > hosts;
        self.writer.set_peers(live, has_majority);
    }

    fn poll(&mut self, myself: &ActorRef<JournalMessage>) {
        let now = Instant::now();
        let actions = self.writer.poll(now);
        // Publish before callers get their results, so that no caller observes the admission status from
        // before its own result.
        self.publish(now);
        for action in actions {
            self.execute(action, myself);
        }
        self.set_timer(myself, now);
    }

    fn execute(&mut self, action: Action, myself: &ActorRef<JournalMessage>) {
        let owner = &self.parts.options.owner;
        let store = Arc::clone(&self.parts.store);
        match action {
            Action::Complete { ticket, result } => self.complete_append(ticket, result),
            Action::Write { segment, value } => {
                let (owner, myself) = (owner.clone(), myself.clone());
                tokio::spawn(async move {
                    let reply = write(&store, &owner, segment, value).await;
                    // The cast fails only when the actor has stopped, and then the reply is not needed.
                    let _cast = myself.cast(JournalMessage::Written(reply));
                });
            }
            Action::ReadBack { segment } => {
                let (key, myself) = (keys::segment(owner, segment), myself.clone());
                tokio::spawn(async move {
                    let reply = read_back(&store, &key).await;
                    let _cast = myself.cast(JournalMessage::ReadBack(reply));
                });
            }
            Action::Replicate { to, copies } => self.replicate(to, copies, myself),
            Action::Snapshot { root_ids } => self.request_snapshots(root_ids),
            Action::Remove { from, to } => {
                let (from, to) = (keys::segment(owner, from), keys::segment(owner, to));
                let myself = myself.clone();
                tokio::spawn(async move {
                    let removed = store.delete_range(&from, &to).await.is_ok();
                    let _cast = myself.cast(JournalMessage::Removed(removed));
                });
            }
        }
    }

    fn complete_append(&mut self, ticket: Ticket, result: Result<(), JournalError>) {
        let Some(pending) = self.pending.remove(&ticket) else {
            return;
        };
        let durability = match pending.durability {
            Durability::Queued => "queued",
            Durability::Replicated => "replicated",
            Durability::Stored => "stored",
        };
        let seconds = pending.appended_at.elapsed().as_secs_f64();
        metrics::histogram!("burdockroad_journal_append_seconds", "durability" => durability).record(seconds);
        // The caller may have given up. The records stay queued in any case.
        let _sent = pending.reply.send(result);
    }

    fn replicate(&self, to: Process, batch: TailBatch, myself: &ActorRef<JournalMessage>) {
        let view = Arc::clone(&self.parts.peers.borrow());
        let peer = view.peers.get(&to.host_id);
        let address = peer
            .filter(|peer| peer.process == to)
            .map(|peer| peer.address.clone());
        let clients = Arc::clone(&self.parts.clients);
        let (owner, myself) = (self.parts.options.owner.clone(), myself.clone());
        tokio::spawn(async move {
            let session = batch.session;
            let reply = match address {
                Some(address) => send_batch(&clients, &address, &owner, &to, batch).await,
                None => TailReply::Failed,
            };
            let _cast = myself.cast(JournalMessage::Replicated {
                from: to,
                session,
                reply,
            });
        });
    }

    fn request_snapshots(&self, root_ids: Vec<ProgramId>) {
        let Some(trees) = self.trees.as_ref().and_then(Weak::upgrade) else {
            return;
        };
        tokio::spawn(async move { trees.write_snapshots(root_ids).await });
    }

    fn publish(&self, now: Instant) {
        let admission = Admission {
            queued: self.writer.admit(Durability::Queued, now),
            replicated: self.writer.admit(Durability::Replicated, now),
            stored: self.writer.admit(Durability::Stored, now),
            fenced: self.writer.is_fenced(),
        };
        let owner = &self.parts.options.owner;
        self.admission.send_if_modified(|published| {
            if admission.fenced && !published.fenced {
                log::error!(
                    "event=journal_fenced host={} incarnation={:016x}",
                    owner.host_id,
                    owner.incarnation
                );
            }
            let changed = *published != admission;
            *published = admission;
            changed
        });
    }

    /// Ensures that a timer polls the actor no later than the writer's next poll time. A timer that is
    /// due earlier is kept.
    fn set_timer(&mut self, myself: &ActorRef<JournalMessage>, now: Instant) {
        let Some(fires_at) = self.writer.next_poll(now) else {
            return;
        };
        if self
            .timer
            .as_ref()
            .is_some_and(|timer| timer.fires_at <= fires_at)
        {
            return;
        }
        if let Some(timer) = self.timer.take() {
            timer.task.abort();
        }
        let myself = myself.clone();
        let task = tokio::spawn(async move {
            sleep_until(fires_at.into()).await;
            let _cast = myself.cast(JournalMessage::Poll);
        });
        self.timer = Some(Timer { fires_at, task });
    }
}

fn live_peers(view: &PeersView) -> Vec<Peer> {
    let live = view.peers.values().filter(|peer| peer.live);
    live.map(|peer| Peer {
        process: peer.process.clone(),
        failure_domain: peer.failure_domain.clone(),
        leaving: peer.leaving,
    })
    .collect()
}
