//! Replication of records that are not yet stored to a peer.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    journal::{Peer, Position, writer::queue::Group},
    ownership::Process,
};

/// Number of consecutive failures after which a peer is avoided.
const FAILURES_MAX: u32 = 3;

/// Time for which a failed peer is avoided.
const PEER_BACKOFF: Duration = Duration::from_secs(10);

/// Delay before failed copies are sent again.
const COPY_RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// Replicates records to the tail peer, and decides when another peer becomes the tail peer.
#[derive(Clone, Debug)]
pub(super) struct TailReplicator {
    owner: Process,
    failure_domain: String,
    peers: Vec<Peer>,
    majority_live: bool,
    /// Peer named by the newest stored segment. A successor reads the copies of this peer.
    stored_peer: Option<Process>,
    /// Segment that is being written.
    in_flight: Option<InFlightSegment>,
    /// Peer to be named by the next segment.
    next_peer: Option<Process>,
    replicas: BTreeMap<Process, Replica>,
    /// Failed peers, and the time until which each is avoided.
    backoff_until: BTreeMap<Process, Instant>,
    /// Former tail peers that have not yet been notified to drop their copies.
    released: Vec<Process>,
    last_session: u64,
    /// Position after the last record that was reported durable because of its copies alone.
    relied_on_end: Position,
}

/// Tail peer named by a segment that is being written.
#[derive(Clone, Debug)]
struct InFlightSegment {
    tail_peer: Option<Process>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Replica {
    /// Identifies this selection of the peer. Replies to batches of earlier sessions may still arrive.
    session: u64,
    acked_end: Position,
    sending: bool,
    failures: u32,
    retry_at: Option<Instant>,
}

/// Batch of copies to send to a peer, or the position before which it can drop its copies.
#[derive(Clone, Debug)]
pub(super) struct DueBatch {
    pub(super) to: Process,
    pub(super) session: u64,
    pub(super) position: Position,
}

impl TailReplicator {
    pub(super) fn new(owner: Process, failure_domain: String) -> Self {
        Self {
            owner,
            failure_domain,
            peers: Vec::new(),
            majority_live: false,
            stored_peer: None,
            in_flight: None,
            next_peer: None,
            replicas: BTreeMap::new(),
            backoff_until: BTreeMap::new(),
            released: Vec::new(),
            last_session: 0,
            relied_on_end: 0,
        }
    }

    /// Sets the live peers, and whether a majority of the hosts is live.
    pub(super) fn set_peers(&mut self, peers: Vec<Peer>, majority_live: bool) {
        self.peers = peers;
        self.majority_live = majority_live;
        let peers = &self.peers;
        self.replicas
            .retain(|process, _| peers.iter().any(|peer| peer.process == *process));
    }

    /// Returns whether copies count as durable. This requires that a majority of the hosts is live, and that
    /// all peers that a successor may read from are live and have not failed.
    ///
    /// Without a majority, another host may have taken over from this process unnoticed.
    pub(super) fn is_usable(&self) -> bool {
        self.stored_peer.is_some()
            && self.majority_live
            && self.required_peers().all(|process| match process {
                Some(process) => self.is_live(process) && !self.has_failed(process),
                None => false,
            })
    }

    /// Returns the position after the last record that is replicated to all required peers.
    pub(super) fn replicated_end(&self) -> Position {
        if !self.is_usable() {
            return 0;
        }
        let acked = self
            .required_peers()
            .flatten()
            .map(|process| self.acked_end(process));
        acked.min().unwrap_or(0)
    }

    /// Updates the position up to which appends were reported durable because of copies.
    pub(super) fn advance_relied_on(&mut self, replicated_end: Position) {
        self.relied_on_end = self.relied_on_end.max(replicated_end);
    }

    /// Returns whether a segment must be written to name another tail peer.
    pub(super) fn needs_peer_change(&self) -> bool {
        self.next_peer != self.stored_peer
    }

    /// Selects the tail peer that the next segment should name.
    pub(super) fn choose_peer(&mut self, now: Instant) {
        self.backoff_until.retain(|_, until| now < *until);
        let current = self
            .stored_peer
            .clone()
            .filter(|process| self.is_still_suitable(process));
        self.next_peer = current.or_else(|| self.best_peer());
    }

    /// Returns the tail peer to be named by a segment whose last record ends at `group_end`.
    ///
    /// A new peer is named only once it has, or the store will have, every record that relies on the
    /// copies of the current peer. Until then, segments keep naming the current peer.
    pub(super) fn peer_to_name(&self, group_end: Position) -> Option<Process> {
        let covered = match &self.next_peer {
            Some(next_peer) => self.acked_end(next_peer).max(group_end),
            None => group_end,
        };
        if covered >= self.relied_on_end {
            return self.next_peer.clone();
        }
        self.stored_peer.clone()
    }

    pub(super) fn on_write_started(&mut self, group: &Group) {
        self.in_flight = Some(InFlightSegment {
            tail_peer: group.tail_peer.clone(),
        });
    }

    /// Handles a failed write that certainly did not create its segment.
    pub(super) fn on_write_failed(&mut self) {
        self.in_flight = None;
    }

    pub(super) fn on_stored(&mut self, group: &Group) {
        self.in_flight = None;
        self.stored_peer.clone_from(&group.tail_peer);
        let (stored_peer, next_peer) = (&self.stored_peer, &self.next_peer);
        let released = self.replicas.extract_if(.., |process, _| {
            stored_peer.as_ref() != Some(process) && next_peer.as_ref() != Some(process)
        });
        self.released.extend(released.map(|(process, _)| process));
    }

    /// Returns the batches that can be sent now. A batch starts at the first record from `first` on that
    /// the peer lacks. `end` is the position after the last queued record.
    pub(super) fn due(&mut self, first: Position, end: Position, now: Instant) -> Vec<DueBatch> {
        let receivers: Vec<_> = self.receivers().cloned().collect();
        let mut due = Vec::new();
        for to in receivers {
            if !self.is_live(&to) {
                continue;
            }
            let replica = self.replica(&to);
            let position = replica.acked_end.max(first);
            let is_waiting = replica.sending || replica.retry_at.is_some_and(|retry_at| now < retry_at);
            if is_waiting || position >= end {
                continue;
            }
            replica.sending = true;
            let session = replica.session;
            due.push(DueBatch {
                to,
                session,
                position,
            });
        }
        due
    }

    /// Returns a message for each former tail peer that lets it drop its copies, which are all before
    /// `end`.
    pub(super) fn releases(&mut self, end: Position) -> Vec<DueBatch> {
        let released = std::mem::take(&mut self.released);
        let mut due = Vec::new();
        for to in released {
            let session = self.new_session();
            due.push(DueBatch {
                to,
                session,
                position: end,
            });
        }
        due
    }

    /// Records that a peer has copies of all records before a position.
    pub(super) fn on_replicated(
        &mut self,
        process: &Process,
        session: u64,
        acked_end: Position,
        now: Instant,
    ) {
        let replica = self.replicas.get_mut(process);
        if let Some(replica) = replica.filter(|replica| replica.session == session) {
            // A peer that accepted no new record may have no space. It is sent the records again only
            // after a delay.
            let advanced = acked_end > replica.acked_end;
            *replica = Replica {
                session,
                acked_end,
                retry_at: (!advanced).then(|| now + COPY_RETRY_BACKOFF),
                ..Replica::default()
            };
        }
    }

    /// Records that a peer did not accept copies.
    pub(super) fn on_replication_failed(&mut self, process: &Process, session: u64, now: Instant) {
        let replica = self.replicas.get_mut(process);
        let Some(replica) = replica.filter(|replica| replica.session == session) else {
            return;
        };
        replica.sending = false;
        replica.failures += 1;
        replica.retry_at = Some(now + COPY_RETRY_BACKOFF);
        if replica.failures >= FAILURES_MAX {
            self.backoff_until.insert(process.clone(), now + PEER_BACKOFF);
        }
    }

    fn replica(&mut self, process: &Process) -> &mut Replica {
        if !self.replicas.contains_key(process) {
            let session = self.new_session();
            let replica = Replica {
                session,
                ..Replica::default()
            };
            self.replicas.insert(process.clone(), replica);
        }
        self.replicas.entry(process.clone()).or_default()
    }

    fn new_session(&mut self) -> u64 {
        self.last_session += 1;
        self.last_session
    }

    /// Returns the earliest time at which copies can be sent again to a peer that failed.
    pub(super) fn next_retry(&self) -> Option<Instant> {
        let waiting = self.replicas.values().filter(|replica| !replica.sending);
        waiting.filter_map(|replica| replica.retry_at).min()
    }

    fn required_peers(&self) -> impl Iterator<Item = Option<&Process>> {
        let stored_peer = std::iter::once(self.stored_peer.as_ref());
        stored_peer.chain(
            self.in_flight
                .as_ref()
                .map(|in_flight| in_flight.tail_peer.as_ref()),
        )
    }

    fn receivers(&self) -> impl Iterator<Item = &Process> {
        let required_peers = self.required_peers().flatten();
        let next_peer = self.next_peer.as_ref();
        let mut seen = Vec::new();
        required_peers.chain(next_peer).filter(move |process| {
            let is_new = !seen.contains(process);
            seen.push(process);
            is_new
        })
    }

    fn acked_end(&self, process: &Process) -> Position {
        self.replicas.get(process).map_or(0, |replica| replica.acked_end)
    }

    fn has_failed(&self, process: &Process) -> bool {
        let replica = self.replicas.get(process);
        replica.is_some_and(|replica| replica.failures >= FAILURES_MAX)
    }

    fn is_live(&self, process: &Process) -> bool {
        self.peers.iter().any(|peer| peer.process == *process)
    }

    fn is_still_suitable(&self, process: &Process) -> bool {
        let peer = self.peers.iter().find(|peer| peer.process == *process);
        peer.is_some_and(|peer| {
            let better_exists =
                !self.is_preferred(peer) && self.peers.iter().any(|other| self.is_preferred(other));
            !self.backoff_until.contains_key(process) && !better_exists
        })
    }

    fn is_preferred(&self, peer: &Peer) -> bool {
        !peer.leaving && peer.failure_domain != self.failure_domain
    }

    /// Returns the most suitable peer: preferably on a host that is not being removed, and in another
    /// failure domain. A hash spreads the choice evenly over equally suitable peers.
    fn best_peer(&self) -> Option<Process> {
        let candidates = self
            .peers
            .iter()
            .filter(|peer| !self.backoff_until.contains_key(&peer.process));
        let best = candidates.min_by_key(|peer| {
            let same_domain = peer.failure_domain == self.failure_domain;
            (peer.leaving, same_domain, self.rank(&peer.process))
        });
        best.map(|peer| peer.process.clone())
    }

    fn rank(&self, process: &Process) -> u64 {
        let pair = format!("{}/{}", self.owner.host_id, process.host_id);
        xxh3_64(pair.as_bytes())
    }
}
