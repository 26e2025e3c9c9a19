//! Copies of what is not stored yet, at one peer.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use xxhash_rust::xxh3::xxh3_64;

use crate::{
    journal::{Peer, Position, writer::queue::Group},
    ownership::Process,
};

/// Failures in a row after which a peer is passed over.
const FAILURES_MAX: u32 = 3;

/// Time for which a peer that failed is passed over.
const PASSED_OVER: Duration = Duration::from_secs(10);

/// Time after which a failed copy is sent again.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// The peer that holds the copies, and the one that is to hold them next.
#[derive(Clone, Debug)]
pub(super) struct Tail {
    me: Process,
    failure_domain: String,
    peers: Vec<Peer>,
    hears_most: bool,
    /// Named by the newest stored segment: a successor asks this one.
    recorded: Option<Process>,
    /// Named by a segment that is being written.
    naming: Option<Naming>,
    /// To be named next.
    wanted: Option<Process>,
    holders: BTreeMap<Process, Holder>,
    /// Peers that failed, and until when they are passed over.
    passed_over: BTreeMap<Process, Instant>,
    /// Peers whose copies are not needed any more.
    released: Vec<Process>,
    last_session: u64,
    /// Position after the last record that counted as durable by its copies alone.
    relied_end: Position,
}

/// What a segment that is being written names.
#[derive(Clone, Debug)]
struct Naming {
    tail_peer: Option<Process>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Holder {
    /// Tells this use of the peer from earlier ones, whose messages may still arrive.
    session: u64,
    held_end: Position,
    sending: bool,
    failures: u32,
    retry_at: Option<Instant>,
}

/// Copies that a peer lacks, or is to forget.
#[derive(Clone, Debug)]
pub(super) struct Due {
    pub(super) to: Process,
    pub(super) session: u64,
    pub(super) position: Position,
}

impl Tail {
    pub(super) fn new(me: Process, failure_domain: String) -> Self {
        Self {
            me,
            failure_domain,
            peers: Vec::new(),
            hears_most: false,
            recorded: None,
            naming: None,
            wanted: None,
            holders: BTreeMap::new(),
            passed_over: BTreeMap::new(),
            released: Vec::new(),
            last_session: 0,
            relied_end: 0,
        }
    }

    /// Takes note of the peers that are alive.
    pub(super) fn set_peers(&mut self, peers: Vec<Peer>, hears_most: bool) {
        self.peers = peers;
        self.hears_most = hears_most;
        let peers = &self.peers;
        self.holders
            .retain(|process, _| peers.iter().any(|peer| peer.process == *process));
    }

    /// Whether copies count: the peers that a successor may ask are alive, and so are most others.
    ///
    /// Without most of the hosts, this process may have been replaced without being told.
    pub(super) fn usable(&self) -> bool {
        self.recorded.is_some()
            && self.hears_most
            && self.required().all(|process| match process {
                Some(process) => self.is_alive(process) && !self.has_failed(process),
                None => false,
            })
    }

    /// Position after the last record that all those peers hold.
    pub(super) fn replicated_end(&self) -> Position {
        if !self.usable() {
            return 0;
        }
        let held = self.required().flatten().map(|process| self.held_end(process));
        held.min().unwrap_or(0)
    }

    /// Takes note that records up to a position count as durable by their copies alone.
    pub(super) fn rely(&mut self, replicated_end: Position) {
        self.relied_end = self.relied_end.max(replicated_end);
    }

    /// Whether a segment is to be written to name another peer.
    pub(super) fn must_name(&self) -> bool {
        self.wanted != self.recorded
    }

    /// Chooses the peer to be named next.
    pub(super) fn choose(&mut self, now: Instant) {
        self.passed_over.retain(|_, until| now < *until);
        let keep = self.recorded.clone().filter(|process| self.stays(process));
        self.wanted = keep.or_else(|| self.best());
    }

    /// The peer that a segment may name whose records end at `group_end`.
    ///
    /// A new peer is named once it holds, or the store then holds, every record that the old one was
    /// relied on for; until then the old one stays named.
    pub(super) fn nameable(&self, group_end: Position) -> Option<Process> {
        let covered = match &self.wanted {
            Some(wanted) => self.held_end(wanted).max(group_end),
            None => group_end,
        };
        if covered >= self.relied_end {
            return self.wanted.clone();
        }
        self.recorded.clone()
    }

    pub(super) fn writing(&mut self, group: &Group) {
        self.naming = Some(Naming {
            tail_peer: group.tail_peer.clone(),
        });
    }

    /// The segment that was being written certainly does not exist.
    pub(super) fn not_written(&mut self) {
        self.naming = None;
    }

    pub(super) fn stored(&mut self, group: &Group) {
        self.naming = None;
        self.recorded.clone_from(&group.tail_peer);
        let (recorded, wanted) = (&self.recorded, &self.wanted);
        let released = self.holders.extract_if(.., |process, _| {
            recorded.as_ref() != Some(process) && wanted.as_ref() != Some(process)
        });
        self.released.extend(released.map(|(process, _)| process));
    }

    /// Copies that peers lack of the records from `first` to `end`, and can be sent now.
    pub(super) fn due(&mut self, first: Position, end: Position, now: Instant) -> Vec<Due> {
        let receivers: Vec<_> = self.receivers().cloned().collect();
        let mut due = Vec::new();
        for to in receivers {
            if !self.is_alive(&to) {
                continue;
            }
            let holder = self.holder(&to);
            let position = holder.held_end.max(first);
            let waits = holder.sending || holder.retry_at.is_some_and(|retry_at| now < retry_at);
            if waits || position >= end {
                continue;
            }
            holder.sending = true;
            let session = holder.session;
            due.push(Due {
                to,
                session,
                position,
            });
        }
        due
    }

    /// Peers that are to forget their copies, which all stand before `end`.
    pub(super) fn releases(&mut self, end: Position) -> Vec<Due> {
        let released = std::mem::take(&mut self.released);
        let mut due = Vec::new();
        for to in released {
            let session = self.new_session();
            due.push(Due {
                to,
                session,
                position: end,
            });
        }
        due
    }

    /// Takes note that a peer holds everything up to a position.
    pub(super) fn held(&mut self, process: &Process, session: u64, held_end: Position, now: Instant) {
        let holder = self.holders.get_mut(process);
        if let Some(holder) = holder.filter(|holder| holder.session == session) {
            // A peer that has no room left is not asked again at once.
            let advanced = held_end > holder.held_end;
            *holder = Holder {
                session,
                held_end,
                retry_at: (!advanced).then(|| now + RETRY_AFTER),
                ..Holder::default()
            };
        }
    }

    /// Takes note that a peer did not take copies.
    pub(super) fn failed(&mut self, process: &Process, session: u64, now: Instant) {
        let holder = self.holders.get_mut(process);
        let Some(holder) = holder.filter(|holder| holder.session == session) else {
            return;
        };
        holder.sending = false;
        holder.failures += 1;
        holder.retry_at = Some(now + RETRY_AFTER);
        if holder.failures >= FAILURES_MAX {
            self.passed_over.insert(process.clone(), now + PASSED_OVER);
        }
    }

    fn holder(&mut self, process: &Process) -> &mut Holder {
        if !self.holders.contains_key(process) {
            let session = self.new_session();
            let holder = Holder {
                session,
                ..Holder::default()
            };
            self.holders.insert(process.clone(), holder);
        }
        self.holders.entry(process.clone()).or_default()
    }

    fn new_session(&mut self) -> u64 {
        self.last_session += 1;
        self.last_session
    }

    /// When the next copy can be sent to a peer that failed.
    pub(super) fn next_retry(&self) -> Option<Instant> {
        let waiting = self.holders.values().filter(|holder| !holder.sending);
        waiting.filter_map(|holder| holder.retry_at).min()
    }

    fn required(&self) -> impl Iterator<Item = Option<&Process>> {
        let recorded = std::iter::once(self.recorded.as_ref());
        recorded.chain(self.naming.as_ref().map(|naming| naming.tail_peer.as_ref()))
    }

    fn receivers(&self) -> impl Iterator<Item = &Process> {
        let required = self.required().flatten();
        let wanted = self.wanted.as_ref();
        let mut seen = Vec::new();
        required.chain(wanted).filter(move |process| {
            let fresh = !seen.contains(process);
            seen.push(process);
            fresh
        })
    }

    fn held_end(&self, process: &Process) -> Position {
        self.holders.get(process).map_or(0, |holder| holder.held_end)
    }

    fn has_failed(&self, process: &Process) -> bool {
        let holder = self.holders.get(process);
        holder.is_some_and(|holder| holder.failures >= FAILURES_MAX)
    }

    fn is_alive(&self, process: &Process) -> bool {
        self.peers.iter().any(|peer| peer.process == *process)
    }

    fn stays(&self, process: &Process) -> bool {
        let peer = self.peers.iter().find(|peer| peer.process == *process);
        peer.is_some_and(|peer| {
            let better = !self.is_good(peer) && self.peers.iter().any(|other| self.is_good(other));
            !self.passed_over.contains_key(process) && !better
        })
    }

    fn is_good(&self, peer: &Peer) -> bool {
        !peer.leaving && peer.failure_domain != self.failure_domain
    }

    /// The best peer: staying, in another failure domain, and otherwise spread evenly over the peers.
    fn best(&self) -> Option<Process> {
        let fit = self
            .peers
            .iter()
            .filter(|peer| !self.passed_over.contains_key(&peer.process));
        let best = fit.min_by_key(|peer| {
            let same_domain = peer.failure_domain == self.failure_domain;
            (peer.leaving, same_domain, self.rank(&peer.process))
        });
        best.map(|peer| peer.process.clone())
    }

    fn rank(&self, process: &Process) -> u64 {
        let pair = format!("{}/{}", self.me.host_id, process.host_id);
        xxh3_64(pair.as_bytes())
    }
}
