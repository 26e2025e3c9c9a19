//! State of one peer host.

use std::time::Instant;

use crate::{
    ids::{HostId, Incarnation},
    ownership::Process,
};

/// Maximum number of replaced incarnations tracked per host. Late messages from these are rejected.
const REPLACED_INCARNATIONS_MAX: usize = 8;

/// Description of a process that it sends to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Member {
    /// The process.
    pub process: Process,
    /// IP address and port for peers; empty if unknown.
    pub address: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the host is being removed.
    pub leaving: bool,
}

/// A host listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The host.
    pub host_id: HostId,
    /// IP address and port for peers.
    pub address: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the host is being removed.
    pub leaving: bool,
}

/// Content of a heartbeat or of the response to one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeartbeatReport {
    /// The sender.
    pub member: Member,
    /// Processes from which the sender received a heartbeat or response within its suspicion time.
    pub live_processes: Vec<Process>,
}

/// Peer host in the membership table.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    pub(super) member: Member,
    pub(super) live_processes: Vec<Process>,
    pub(super) first_received_at: Instant,
    pub(super) last_received_at: Instant,
    /// Time at which the newest acknowledged heartbeat was sent.
    pub(super) acknowledged_at: Option<Instant>,
    replaced_incarnations: Vec<Incarnation>,
}

impl Peer {
    pub(super) fn new(report: HeartbeatReport, now: Instant) -> Self {
        Self {
            member: report.member,
            live_processes: report.live_processes,
            first_received_at: now,
            last_received_at: now,
            acknowledged_at: None,
            replaced_incarnations: Vec::new(),
        }
    }

    /// Processes a report, and returns whether it was accepted. A report from a replaced process is
    /// rejected.
    pub(super) fn observe(&mut self, report: HeartbeatReport, now: Instant) -> bool {
        let current = self.member.process.incarnation;
        let incarnation = report.member.process.incarnation;
        if self.replaced_incarnations.contains(&incarnation) {
            return false;
        }
        if incarnation != current {
            self.record_replaced(current);
            self.first_received_at = now;
            self.acknowledged_at = None;
        }
        let mut member = report.member;
        if member.address.is_empty() {
            member.address = std::mem::take(&mut self.member.address);
        }
        self.member = member;
        self.live_processes = report.live_processes;
        self.last_received_at = now;
        true
    }

    fn record_replaced(&mut self, incarnation: Incarnation) {
        if self.replaced_incarnations.len() == REPLACED_INCARNATIONS_MAX {
            self.replaced_incarnations.remove(0);
        }
        self.replaced_incarnations.push(incarnation);
    }
}
