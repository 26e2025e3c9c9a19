//! The actor that owns a journal's writer: replies and time go in, store and peer calls come out.

use std::{
    collections::BTreeMap,
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use burdockroad::{
    ProgramId, Record, SegmentNumber,
    journal::{
        Action, TailBatch, Durability, JournalError, Peer, ReadReply, TailReply, Ticket, WriteReply, Writer,
    },
};
use burdockroad_proto::peer::ReplicateTailRequest;
use bytes::Bytes;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::{
    sync::{oneshot, watch},
    task::JoinHandle,
    time::{sleep_until, timeout},
};

use crate::{
    journal::{JournalParts, Trees, keys, tail::host_ref},
    ownership::{PeersView, Process},
    peer::PeerClients,
    platform::{Expected, Put, SharedKeyValue, StoreError},
};

/// Time within which a peer takes copies.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);

/// When a read that failed without a time to wait is tried again.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// The actor.
#[derive(Debug)]
pub(super) struct JournalActor;

/// What the actor is told.
#[derive(Debug)]
pub(super) enum JournalMessage {
    /// Queue records.
    Append {
        records: Vec<Record>,
        durability: Durability,
        reply: oneshot::Sender<Result<(), JournalError>>,
        at: Instant,
    },
    /// Ask these trees for snapshots.
    SetTrees(Weak<dyn Trees>),
    /// The view of the peers has changed.
    PeersChanged,
    /// A segment was written, or not.
    Written(WriteReply),
    /// A segment was read back, or not.
    ReadBack(ReadReply),
    /// A peer took copies, or did not.
    Replicated {
        from: Process,
        session: u64,
        reply: TailReply,
    },
    /// Old segments were removed, or not.
    Removed(bool),
    /// Time has passed.
    Poll,
}

/// What the actor starts with.
#[derive(Debug)]
pub(super) struct JournalArguments {
    pub(super) parts: JournalParts,
    pub(super) admission: watch::Sender<Admission>,
}

/// What new work may be taken at present.
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

/// What the actor owns.
#[derive(Debug)]
pub(super) struct JournalState {
    parts: JournalParts,
    writer: Writer,
    trees: Option<Weak<dyn Trees>>,
    waiting: BTreeMap<Ticket, Waiting>,
    last_ticket: Ticket,
    admission: watch::Sender<Admission>,
    timer: Option<Timer>,
    peers_task: JoinHandle<()>,
}

#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<Result<(), JournalError>>,
    at: Instant,
    durability: Durability,
}

#[derive(Debug)]
struct Timer {
    at: Instant,
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
        let listener = myself.clone();
        let peers_task = tokio::spawn(async move {
            while peers.changed().await.is_ok() {
                if listener.cast(JournalMessage::PeersChanged).is_err() {
                    return;
                }
            }
        });
        let mut state = JournalState {
            writer: Writer::new(parts.options.clone(), Instant::now()),
            parts,
            trees: None,
            waiting: BTreeMap::new(),
            last_ticket: 0,
            admission,
            timer: None,
            peers_task,
        };
        state.take_peers();
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
    fn take(&mut self, message: JournalMessage) {
        let now = Instant::now();
        match message {
            JournalMessage::Append {
                records,
                durability,
                reply,
                at,
            } => {
                self.last_ticket += 1;
                let waiting = Waiting {
                    reply,
                    at,
                    durability,
                };
                self.waiting.insert(self.last_ticket, waiting);
                self.writer.append(&records, durability, self.last_ticket, now);
            }
            JournalMessage::SetTrees(trees) => self.trees = Some(trees),
            JournalMessage::PeersChanged => self.take_peers(),
            JournalMessage::Written(reply) => {
                log_write(&self.parts.options.me, &reply);
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

    fn take_peers(&mut self) {
        let view = Arc::clone(&self.parts.peers.borrow_and_update());
        let hosts = view.peers.len() + 1;
        let alive = alive(&view);
        let majority_live = (alive.len() + 1) * 2 > hosts;
        self.writer.set_peers(alive, majority_live);
    }

    fn poll(&mut self, myself: &ActorRef<JournalMessage>) {
        let now = Instant::now();
        let actions = self.writer.poll(now);
        // Before the answers, so that nobody who got one sees the state before it.
        self.publish(now);
        for action in actions {
            self.carry_out(action, myself);
        }
        self.set_timer(myself, now);
    }

    fn carry_out(&mut self, action: Action, myself: &ActorRef<JournalMessage>) {
        let me = &self.parts.options.me;
        let store = Arc::clone(&self.parts.store);
        match action {
            Action::Complete { ticket, result } => self.answer(ticket, result),
            Action::Write { segment, value } => {
                let (me, myself) = (me.clone(), myself.clone());
                tokio::spawn(async move {
                    let reply = write(&store, &me, segment, value).await;
                    // A stopped actor takes no replies.
                    let _cast = myself.cast(JournalMessage::Written(reply));
                });
            }
            Action::ReadBack { segment } => {
                let (key, myself) = (keys::segment(me, segment), myself.clone());
                tokio::spawn(async move {
                    let reply = read_back(&store, &key).await;
                    let _cast = myself.cast(JournalMessage::ReadBack(reply));
                });
            }
            Action::Replicate { to, copies } => self.replicate(to, copies, myself),
            Action::Snapshot { root_ids } => self.ask_snapshots(root_ids),
            Action::Remove { from, to } => {
                let (from, to) = (keys::segment(me, from), keys::segment(me, to));
                let myself = myself.clone();
                tokio::spawn(async move {
                    let removed = store.delete_range(&from, &to).await.is_ok();
                    let _cast = myself.cast(JournalMessage::Removed(removed));
                });
            }
        }
    }

    fn answer(&mut self, ticket: Ticket, result: Result<(), JournalError>) {
        let Some(waiting) = self.waiting.remove(&ticket) else {
            return;
        };
        let durability = match waiting.durability {
            Durability::Queued => "queued",
            Durability::Replicated => "replicated",
            Durability::Stored => "stored",
        };
        let seconds = waiting.at.elapsed().as_secs_f64();
        metrics::histogram!("burdockroad_journal_append_seconds", "durability" => durability).record(seconds);
        // The caller may have given up; the records stay queued all the same.
        let _sent = waiting.reply.send(result);
    }

    fn replicate(&self, to: Process, copies: TailBatch, myself: &ActorRef<JournalMessage>) {
        let view = Arc::clone(&self.parts.peers.borrow());
        let peer = view.peers.get(&to.host_id);
        let address = peer
            .filter(|peer| peer.process == to)
            .map(|peer| peer.address.clone());
        let clients = Arc::clone(&self.parts.clients);
        let (me, myself) = (self.parts.options.me.clone(), myself.clone());
        tokio::spawn(async move {
            let session = copies.session;
            let reply = match address {
                Some(address) => send_copies(&clients, &address, &me, &to, copies).await,
                None => TailReply::Failed,
            };
            let _cast = myself.cast(JournalMessage::Replicated {
                from: to,
                session,
                reply,
            });
        });
    }

    fn ask_snapshots(&self, root_ids: Vec<ProgramId>) {
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
        let me = &self.parts.options.me;
        self.admission.send_if_modified(|published| {
            if admission.fenced && !published.fenced {
                log::error!(
                    "event=journal_fenced host={} incarnation={:016x}",
                    me.host_id,
                    me.incarnation
                );
            }
            let changed = *published != admission;
            *published = admission;
            changed
        });
    }

    /// Sees to it that the actor is called when the writer is due; an earlier timer does no harm.
    fn set_timer(&mut self, myself: &ActorRef<JournalMessage>, now: Instant) {
        let Some(at) = self.writer.next_poll(now) else {
            return;
        };
        if self.timer.as_ref().is_some_and(|timer| timer.at <= at) {
            return;
        }
        if let Some(timer) = self.timer.take() {
            timer.task.abort();
        }
        let myself = myself.clone();
        let task = tokio::spawn(async move {
            sleep_until(at.into()).await;
            let _cast = myself.cast(JournalMessage::Poll);
        });
        self.timer = Some(Timer { at, task });
    }
}

async fn write(store: &SharedKeyValue, me: &Process, segment: SegmentNumber, value: Arc<[u8]>) -> WriteReply {
    let key = keys::segment(me, segment);
    let value = Bytes::from_owner(value);
    let began_at = Instant::now();
    let put = if segment == 1 {
        store.put(&key, value, Expected::Absent).await
    } else {
        let predecessor = keys::segment(me, segment - 1);
        store.create_after(&key, value, &predecessor).await
    };
    metrics::histogram!("burdockroad_journal_write_seconds").record(began_at.elapsed().as_secs_f64());
    match put {
        Ok(Put::Done(_)) => WriteReply::Done,
        Ok(Put::Conflict(Some(held))) => WriteReply::Held(held.value.into()),
        Ok(Put::Conflict(None)) => WriteReply::Removed,
        Err(StoreError::Unavailable { retry_after, .. }) => WriteReply::Unavailable { retry_after },
        Err(StoreError::Ambiguous { .. }) => WriteReply::Ambiguous,
    }
}

async fn read_back(store: &SharedKeyValue, key: &str) -> ReadReply {
    match store.get(key).await {
        Ok(Some(held)) => ReadReply::Held(held.value.into()),
        Ok(None) => ReadReply::Absent,
        Err(StoreError::Unavailable { retry_after, .. }) => ReadReply::Unavailable { retry_after },
        Err(StoreError::Ambiguous { .. }) => ReadReply::Unavailable {
            retry_after: READ_PAUSE,
        },
    }
}

async fn send_copies(
    clients: &PeerClients,
    address: &str,
    me: &Process,
    to: &Process,
    copies: TailBatch,
) -> TailReply {
    let request = ReplicateTailRequest {
        writer: Some(host_ref(me)),
        to: Some(host_ref(to)),
        session: copies.session,
        position: copies.position,
        records: copies.records.iter().map(|record| record.to_vec()).collect(),
        stored_end: copies.stored_end,
    };
    let Ok(mut client) = clients.get(address) else {
        return TailReply::Failed;
    };
    let sent = timeout(REPLICATE_TIMEOUT, client.replicate_tail(request)).await;
    let Ok(Ok(response)) = sent else {
        return TailReply::Failed;
    };
    let response = response.into_inner();
    if response.sealed {
        return TailReply::Sealed;
    }
    if response.other_process || response.other_session {
        return TailReply::Failed;
    }
    TailReply::Held(response.held_end)
}

fn alive(view: &PeersView) -> Vec<Peer> {
    let alive = view.peers.values().filter(|peer| peer.alive);
    alive
        .map(|peer| Peer {
            process: peer.process.clone(),
            failure_domain: peer.failure_domain.clone(),
            leaving: peer.leaving,
        })
        .collect()
}

fn log_write(me: &Process, reply: &WriteReply) {
    let outcome = match reply {
        WriteReply::Done => {
            metrics::counter!("burdockroad_journal_segments_total").increment(1);
            return;
        }
        WriteReply::Held(_) => "held",
        WriteReply::Removed => "removed",
        WriteReply::Unavailable { .. } => "unavailable",
        WriteReply::Ambiguous => "ambiguous",
    };
    log::warn!("event=journal_write_failed host={} outcome={outcome}", me.host_id);
}
