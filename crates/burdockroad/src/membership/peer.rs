//! What is known of one other host.

use std::time::Instant;

use crate::{
    ids::{HostId, Incarnation},
    ownership::Process,
};

/// Number of former incarnations of a host whose late messages are known for what they are.
const FORMER_INCARNATIONS_MAX: usize = 8;

/// A process, as it describes itself to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub process: Process,
    /// IP number and port for peers; empty where it is not known.
    pub address: String,
    /// Failure domain that its host stands in.
    pub failure_domain: String,
    /// Whether its host is being taken away.
    pub leaving: bool,
}

/// A host, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The host.
    pub host_id: HostId,
    /// IP number and port for peers.
    pub address: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Whether it is being taken away.
    pub leaving: bool,
}

/// One heartbeat, or the answer to one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sighting {
    /// The sender.
    pub member: Member,
    /// Processes that the sender has heard from within its suspicion time.
    pub heard: Vec<Process>,
}

/// Row of the table.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) heard: Vec<Process>,
    pub(super) first_heard_at: Instant,
    pub(super) last_heard_at: Instant,
    pub(super) acknowledged_at: Option<Instant>,
    former: Vec<Incarnation>,
}

impl Peer {
    pub(super) fn new(sighting: Sighting, now: Instant) -> Self {
        Self {
            member: sighting.member,
            heard: sighting.heard,
            first_heard_at: now,
            last_heard_at: now,
            acknowledged_at: None,
            former: Vec::new(),
        }
    }

    /// Takes in a sighting; false when a process sent it that another one has replaced.
    pub(super) fn observe(&mut self, sighting: Sighting, now: Instant) -> bool {
        let known = self.member.process.incarnation;
        let incarnation = sighting.member.process.incarnation;
        if self.former.contains(&incarnation) {
            return false;
        }
        if incarnation != known {
            self.retire(known);
            self.first_heard_at = now;
            self.acknowledged_at = None;
        }
        let mut member = sighting.member;
        if member.address.is_empty() {
            member.address = std::mem::take(&mut self.member.address);
        }
        self.member = member;
        self.heard = sighting.heard;
        self.last_heard_at = now;
        true
    }

    fn retire(&mut self, incarnation: Incarnation) {
        if self.former.len() == FORMER_INCARNATIONS_MAX {
            self.former.remove(0);
        }
        self.former.push(incarnation);
    }
}
