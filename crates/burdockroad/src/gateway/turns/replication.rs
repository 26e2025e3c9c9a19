//! Choice of the hosts that store a turn, and the decision when it is durable.
//!
//! Load pattern: many small turns that end at all hosts at once, while some of the hosts that store them are
//! down, slow, or have lost their disks. A turn is sent to as many hosts as must store it, and to the next
//! host in its order for each one that fails.

use std::collections::VecDeque;

use crate::{
    gateway::{HostLocation, IndexedTurn, RegionMap, Turn, TurnHostHealth, TurnKey},
    ids::HostId,
    ownership::rendezvous_order,
};

/// Returns the hosts in the order in which they should store the chain that starts with the turn `root`.
///
/// Hosts of the chain's home domain come first, because the next turn of the conversation usually arrives in
/// the same domain. Every further host is of a failure domain without a replica, as long as there is one.
pub fn replica_order(root: &str, home_domain: &str, hosts: &[HostLocation]) -> Vec<HostId> {
    let mut ranked: VecDeque<&HostLocation> =
        rendezvous_order(root, hosts.iter().map(|host| host.host.clone()))
            .into_iter()
            .filter_map(|id| hosts.iter().find(|host| host.host == id))
            .collect();
    let mut order = Vec::with_capacity(ranked.len());
    let mut used_domains: Vec<&str> = Vec::new();
    while !ranked.is_empty() {
        let position = next_position(&ranked, &used_domains, home_domain);
        let Some(next) = ranked.remove(position) else {
            break;
        };
        used_domains.push(&next.failure_domain);
        order.push(next.host.clone());
    }
    order
}

/// Returns the position of the next host of the order.
fn next_position(ranked: &VecDeque<&HostLocation>, used_domains: &[&str], home_domain: &str) -> usize {
    if used_domains.is_empty() {
        let home = ranked.iter().position(|host| host.failure_domain == home_domain);
        return home.unwrap_or(0);
    }
    let unused = ranked
        .iter()
        .position(|host| !used_domains.contains(&host.failure_domain.as_str()));
    unused.unwrap_or(0)
}

/// Returns whether a host is among the `replicas` hosts that should store a turn.
pub fn is_replica(host: &HostId, turn: &IndexedTurn, replicas: usize, hosts: &[HostLocation]) -> bool {
    let order = replica_order(&turn.root, &turn.home_domain, hosts);
    order.iter().take(replicas).any(|replica| replica == host)
}

/// Returns whether a host is among the `replicas` hosts that should store a turn in the regions that it is bound to.
pub fn is_allowed_replica(
    host: &HostId,
    turn: &IndexedTurn,
    replicas: usize,
    hosts: &[HostLocation],
    regions: &RegionMap,
) -> bool {
    if turn.allowed_regions.is_none() {
        return is_replica(host, turn, replicas, hosts);
    }
    let allowed = regions.allowed_hosts(hosts.to_vec(), turn.allowed_regions.as_deref());
    is_replica(host, turn, replicas, &allowed)
}

/// Selects the turns of another host that `host` should store but does not.
pub fn missing_replicas<'a>(
    host: &HostId,
    listed: &'a [IndexedTurn],
    replicas: usize,
    hosts: &[HostLocation],
    regions: &RegionMap,
    is_stored: impl Fn(&TurnKey) -> bool,
) -> Vec<&'a TurnKey> {
    let missing = listed
        .iter()
        .filter(|turn| !is_stored(&turn.key) && is_allowed_replica(host, turn, replicas, hosts, regions));
    missing.map(|turn| &turn.key).collect()
}

/// Progress of a turn's replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationProgress {
    /// Further responses are needed.
    Pending,
    /// The turn survives the tolerated losses.
    Durable,
    /// Too many hosts failed, so the turn may be lost.
    Failed,
}

/// Replication of one turn.
///
/// A turn is durable when `tolerated_losses` + 1 hosts have stored it. When all other hosts are lost, one
/// replica less is enough for each lost host, because that many fewer hosts may still be lost. A host that
/// fails without being lost is tried again. A host that is silent for long counts as lost, but a turn that is not
/// durable without it waits for its response: its disk may only be slow. When fewer hosts are registered than should store a turn, because
/// the operator has removed others, all of them store it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replication {
    tolerated_losses: usize,
    untried: VecDeque<HostId>,
    in_flight: usize,
    stored: usize,
    lost: usize,
    /// Hosts that count as lost and may still respond.
    silent: usize,
}

impl Replication {
    /// Starts the replication of `turn` to those of `hosts` that are not lost. Failing hosts are tried last,
    /// so that the turn does not wait for them.
    pub fn new(
        turn: &Turn,
        hosts: &[HostLocation],
        tolerated_losses: usize,
        health: &TurnHostHealth,
    ) -> Self {
        let order = replica_order(&turn.root, &turn.home_domain, hosts);
        let (untried, lost) = health.split_order(order);
        Self {
            tolerated_losses: tolerated_losses.min(hosts.len().saturating_sub(1)),
            untried,
            in_flight: 0,
            stored: 0,
            lost,
            silent: 0,
        }
    }

    /// Returns the next host to send the turn to now; `None` while enough requests are in flight.
    pub fn next_host(&mut self) -> Option<HostId> {
        if self.stored + self.in_flight > self.tolerated_losses {
            return None;
        }
        let host = self.untried.pop_front()?;
        self.in_flight += 1;
        Some(host)
    }

    /// Returns a further host to send the turn to because the requests in flight take too long; `None` if
    /// every host was tried.
    pub fn next_extra_host(&mut self) -> Option<HostId> {
        let host = self.untried.pop_front()?;
        self.in_flight += 1;
        Some(host)
    }

    /// Records that a host stored the turn.
    pub fn record_stored(&mut self) {
        self.in_flight -= 1;
        self.stored += 1;
    }

    /// Records that a host did not store the turn. Unless the host is lost, it is tried again after the
    /// others.
    pub fn record_failed(&mut self, host: HostId, is_lost: bool) {
        self.in_flight -= 1;
        if is_lost {
            self.lost += 1;
        } else {
            self.untried.push_back(host);
        }
    }

    /// Records that a host has been silent for so long that it counts as lost. Its response is recorded with
    /// [`record_late`](Self::record_late).
    pub fn record_silent(&mut self) {
        self.in_flight -= 1;
        self.silent += 1;
    }

    /// Records how the request to a silent host ended.
    pub fn record_late(&mut self, stored: bool) {
        self.silent -= 1;
        if stored {
            self.stored += 1;
        } else {
            self.lost += 1;
        }
    }

    /// Returns the number of hosts that have stored the turn.
    pub fn replicas(&self) -> usize {
        self.stored
    }

    /// Returns the progress.
    pub fn progress(&self) -> ReplicationProgress {
        let tolerated = self.tolerated_losses;
        if self.stored > tolerated {
            return ReplicationProgress::Durable;
        }
        if self.in_flight > 0 || !self.untried.is_empty() {
            return ReplicationProgress::Pending;
        }
        let lost = self.lost + self.silent;
        if self.stored > 0 && lost <= tolerated && self.stored + lost > tolerated {
            return ReplicationProgress::Durable;
        }
        if self.silent > 0 {
            return ReplicationProgress::Pending;
        }
        ReplicationProgress::Failed
    }
}
