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

/// Selects the turns of another host that `host` should store but does not, or not for as long.
pub fn missing_replicas<'a>(
    host: &HostId,
    listed: &'a [IndexedTurn],
    replicas: usize,
    hosts: &[HostLocation],
    regions: &RegionMap,
    is_stored: impl Fn(&IndexedTurn) -> bool,
) -> Vec<&'a TurnKey> {
    let missing = listed
        .iter()
        .filter(|turn| !is_stored(turn) && is_allowed_replica(host, turn, replicas, hosts, regions));
    missing.map(|turn| &turn.key).collect()
}

/// Progress of a turn's replication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationProgress {
    /// Further responses are needed.
    Pending,
    /// The turn survives the tolerated losses.
    Durable,
    /// The turn survives the tolerated losses only if the lost hosts have lost their disks. One that comes back with its
    /// disk may not have the turn, and another disk may be lost instead. So the turn needs a copy elsewhere.
    DurableIfDisksLost,
    /// There is no host that could store the turn.
    Failed,
}

/// Replication of one turn.
///
/// A turn is durable when `tolerated_losses` + 1 hosts have stored it. When all other hosts are lost, one
/// replica less is enough for each lost host if its disk is lost, because that many fewer disks may still be lost. A host
/// that fails without being lost is tried again.
///
/// A host counts as lost at the gateway host that sends the turn, whose own link may be the cause. Lost hosts are not
/// waited for while the turn can be durable without them. Otherwise they are tried repeatedly, and their responses
/// count. The replication has no time limit of its own; the caller's deadline ends it.
///
/// When fewer hosts are registered than should store a turn, because the operator has removed others, all of them
/// store it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replication {
    tolerated_losses: usize,
    untried: VecDeque<HostId>,
    /// Hosts that count as lost and have no call in flight.
    lost: VecDeque<HostId>,
    in_flight: usize,
    stored: usize,
    /// Calls in flight to hosts that count as lost.
    silent: usize,
}

impl Replication {
    /// Starts the replication of `turn`. Failing hosts are tried after the others, and lost hosts last, so that the
    /// turn does not wait for them.
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
            lost,
            in_flight: 0,
            stored: 0,
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

    /// Returns a host that counts as lost to send the turn to now; `None` while the turn can be durable without it, or
    /// enough requests are in flight. How the request ends is recorded with [`record_late_stored`] or
    /// [`record_late_failed`].
    ///
    /// [`record_late_stored`]: Self::record_late_stored
    /// [`record_late_failed`]: Self::record_late_failed
    pub fn next_lost_host(&mut self) -> Option<HostId> {
        if self.stored + self.in_flight + self.silent > self.tolerated_losses {
            return None;
        }
        self.next_extra_lost_host()
    }

    /// Returns a further host to send the turn to because the requests in flight take too long; `None` if
    /// every host was tried.
    pub fn next_extra_host(&mut self) -> Option<HostId> {
        let host = self.untried.pop_front()?;
        self.in_flight += 1;
        Some(host)
    }

    /// Like [`next_extra_host`](Self::next_extra_host), for a host that counts as lost; `None` while the turn can be
    /// durable without it.
    pub fn next_extra_lost_host(&mut self) -> Option<HostId> {
        if !self.untried.is_empty() || self.lost_hosts() <= self.tolerated_losses {
            return None;
        }
        let host = self.lost.pop_front()?;
        self.silent += 1;
        Some(host)
    }

    /// Records that a host stored the turn.
    pub fn record_stored(&mut self) {
        self.in_flight -= 1;
        self.stored += 1;
    }

    /// Records that a host did not store the turn. It is tried again after the others; if it is lost, only when the
    /// turn cannot be durable without it.
    pub fn record_failed(&mut self, host: HostId, is_lost: bool) {
        self.in_flight -= 1;
        self.retry_later(host, is_lost);
    }

    /// Records that a host has been silent for so long that it counts as lost. How its request ends is recorded with
    /// [`record_late_stored`](Self::record_late_stored) or [`record_late_failed`](Self::record_late_failed).
    pub fn record_silent(&mut self) {
        self.in_flight -= 1;
        self.silent += 1;
    }

    /// Records that a host which counted as lost has stored the turn.
    pub fn record_late_stored(&mut self) {
        self.silent -= 1;
        self.stored += 1;
    }

    /// Records that a host which counted as lost did not store the turn. It is tried again.
    pub fn record_late_failed(&mut self, host: HostId, is_lost: bool) {
        self.silent -= 1;
        self.retry_later(host, is_lost);
    }

    fn retry_later(&mut self, host: HostId, is_lost: bool) {
        let queue = if is_lost {
            &mut self.lost
        } else {
            &mut self.untried
        };
        queue.push_back(host);
    }

    /// Returns the number of hosts that count as lost and have not stored the turn.
    fn lost_hosts(&self) -> usize {
        self.lost.len() + self.silent
    }

    /// Returns the number of hosts that could store the turn.
    pub fn hosts(&self) -> usize {
        self.untried.len() + self.lost_hosts() + self.in_flight + self.stored
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
        let lost = self.lost_hosts();
        if self.stored > 0 && lost <= tolerated && self.stored + lost > tolerated {
            return ReplicationProgress::DurableIfDisksLost;
        }
        if lost > 0 {
            return ReplicationProgress::Pending;
        }
        ReplicationProgress::Failed
    }
}
