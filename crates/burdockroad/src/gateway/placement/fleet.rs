//! The hosts that send calls to endpoints.

use std::{
    collections::{HashMap, HashSet},
    time::Instant,
};

use crate::{gateway::rate_limit::unresponsive_after, ids::HostId};

/// This host and the others, with the times of their last reports.
#[derive(Debug, Default)]
pub(super) struct Fleet {
    host: HostId,
    others: HashSet<HostId>,
    /// Number of changes of the hosts.
    generation: u64,
    last_report_at: HashMap<HostId, Instant>,
}

impl Fleet {
    pub(super) fn set_hosts(&mut self, host: HostId, others: HashSet<HostId>) {
        self.last_report_at.retain(|host, _| others.contains(host));
        self.host = host;
        self.others = others;
        self.generation += 1;
    }

    pub(super) fn host(&self) -> &HostId {
        &self.host
    }

    /// Returns all hosts, including this one.
    pub(super) fn hosts(&self) -> impl Iterator<Item = HostId> {
        std::iter::once(&self.host).chain(&self.others).cloned()
    }

    /// Returns the number of hosts, including this one.
    pub(super) fn len(&self) -> usize {
        self.others.len() + 1
    }

    pub(super) fn has_others(&self) -> bool {
        !self.others.is_empty()
    }

    /// Returns a number that differs after each change of the hosts.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    pub(super) fn record_report(&mut self, host: &HostId, now: Instant) {
        if self.others.contains(host) {
            self.last_report_at.insert(host.clone(), now);
        }
    }

    /// Returns whether another host's last report is recent.
    pub(super) fn is_live(&self, host: &HostId, now: Instant) -> bool {
        let reported_at = self.last_report_at.get(host);
        reported_at.is_some_and(|at| self.is_recent(*at, now))
    }

    /// Returns whether a host that reported at a time still counts as responsive.
    pub(super) fn is_recent(&self, reported_at: Instant, now: Instant) -> bool {
        now < reported_at + unresponsive_after(self.others.len() + 1)
    }
}
