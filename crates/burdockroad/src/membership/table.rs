//! Membership table and the decisions based on it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use crate::{
    ids::HostId,
    membership::{
        options::Options,
        peer::{HeartbeatReport, ListedMember, Member, Peer},
    },
    ownership::{Process, rendezvous_order},
};

/// State of all other hosts, as seen by one host.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    local_member: Member,
    listed: BTreeMap<HostId, ListedMember>,
    peers: BTreeMap<HostId, Peer>,
    owners: BTreeSet<Process>,
    last_tick_at: Instant,
    /// When this process last stopped receiving heartbeats: at its start, or at the beginning of a
    /// pause.
    paused_at: Instant,
    /// Start of the current observation period: the start of this process, or the end of its last
    /// pause. Time without heartbeats is counted from here.
    observing_since: Instant,
    /// Hosts that receive heartbeats; updated when the set of hosts changes.
    heartbeat_hosts: BTreeSet<HostId>,
}

/// Destination of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub host_id: HostId,
    /// IP address and port for peers.
    pub address: String,
}

/// A process that owns partitions and can be taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DeadProcess {
    /// The process.
    pub process: Process,
    /// Whether another process on the same host has replaced it.
    pub replaced: bool,
}

impl Table {
    /// Creates a table that contains only this process.
    pub fn new(local_member: Member, options: Options, now: Instant) -> Self {
        Self {
            options,
            local_member,
            listed: BTreeMap::new(),
            peers: BTreeMap::new(),
            owners: BTreeSet::new(),
            last_tick_at: now,
            paused_at: now,
            observing_since: now,
            heartbeat_hosts: BTreeSet::new(),
        }
    }

    /// Returns the description that this process sends to its peers.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Continues as a new incarnation after this process was fenced.
    pub fn rejoin(&mut self, process: Process) {
        self.local_member.process = process;
        for peer in self.peers.values_mut() {
            peer.acknowledged_at = None;
        }
    }

    /// Sets whether this host is being removed.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.local_member.leaving = leaving;
    }

    /// Sets the hosts listed by the platform.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = ListedMember>) {
        self.listed = listed
            .into_iter()
            .map(|member| (member.host_id.clone(), member))
            .collect();
        self.update_heartbeat_hosts();
    }

    /// Sets the processes named by the ownership map.
    pub fn set_owners(&mut self, owners: BTreeSet<Process>) {
        self.owners = owners;
    }

    /// Processes a heartbeat or the response to one, and returns whether it was accepted. A message from
    /// this host or from a replaced process is rejected.
    pub fn observe(&mut self, report: HeartbeatReport, now: Instant) -> bool {
        let host_id = report.member.process.host_id.clone();
        if host_id == self.local_member.process.host_id {
            return false;
        }
        match self.peers.get_mut(&host_id) {
            Some(peer) => peer.observe(report, now),
            None => self.add_peer(host_id, report, now),
        }
    }

    /// Records that a process acknowledged the heartbeat sent to it at `sent_at`.
    pub fn acknowledge(&mut self, process: &Process, sent_at: Instant) {
        let Some(peer) = self.peers.get_mut(&process.host_id) else {
            return;
        };
        if peer.member.process == *process {
            peer.acknowledged_at = peer.acknowledged_at.max(Some(sent_at));
        }
    }

    /// Advances the time, and returns whether this process was paused. After a pause, no host is suspected
    /// until the full suspicion time has passed again.
    pub fn tick(&mut self, now: Instant) -> bool {
        let gap = now.saturating_duration_since(self.last_tick_at);
        let paused = gap > self.options.pause_gap;
        if paused {
            self.paused_at = self.last_tick_at;
            self.observing_since = now;
        }
        self.last_tick_at = now;
        paused
    }

    /// Returns the hosts that should receive a heartbeat: those that this host monitors, those that
    /// monitor it, and the voters for each unresponsive process for which this host is also a voter.
    /// Their responses contain their votes.
    pub fn targets(&self, now: Instant) -> Vec<Target> {
        let mut hosts = self.heartbeat_hosts.clone();
        let local_host_id = &self.local_member.process.host_id;
        for process in self
            .owners
            .iter()
            .filter(|process| !self.is_live_process(process, now))
        {
            let voters = self.voters(&process.host_id);
            if voters.contains(local_host_id) {
                hosts.extend(voters);
            }
        }
        hosts.remove(local_host_id);
        hosts.iter().filter_map(|host_id| self.target(host_id)).collect()
    }

    /// Returns the processes that are live: those from which a heartbeat or response was received within
    /// the suspicion time. Pauses of this process do not count towards that time.
    pub fn live_processes(&self, now: Instant) -> Vec<Process> {
        self.peers
            .values()
            .filter(|peer| self.is_live(peer, now))
            .map(|peer| peer.member.process.clone())
            .collect()
    }

    /// Returns all peers that have sent a message, and whether each is live. Listed hosts that never
    /// sent a message are not included.
    pub fn members(&self, now: Instant) -> Vec<(Member, bool)> {
        self.peers
            .values()
            .map(|peer| (self.merged_member(peer), self.is_live(peer, now)))
            .collect()
    }

    /// Iterates over the hosts listed by the platform, except this one.
    pub fn listed(&self) -> impl Iterator<Item = &ListedMember> {
        self.listed
            .values()
            .filter(|listed| listed.host_id != self.local_member.process.host_id)
    }

    /// Returns whether every other listed host is live.
    pub fn all_listed_live(&self, now: Instant) -> bool {
        self.listed().all(|listed| {
            self.peers
                .get(&listed.host_id)
                .is_some_and(|peer| self.is_live(peer, now))
        })
    }

    /// Returns the processes that can be taken over.
    pub fn dead(&self, now: Instant) -> Vec<DeadProcess> {
        self.owners
            .iter()
            .filter(|process| **process != self.local_member.process)
            .filter_map(|process| self.check_dead(process, now))
            .collect()
    }

    /// Returns the time until which this process may act as an owner, or none if there is no limit
    /// because no host votes on this process.
    ///
    /// # Errors
    ///
    /// Fails if too few voters have acknowledged a heartbeat yet. The process must not act as an owner
    /// then.
    pub fn lease_until(&self) -> Result<Option<Instant>, TooFewAcknowledgements> {
        let voters = self.voters(&self.local_member.process.host_id);
        let needed = voters.len().div_ceil(2);
        let Some(position) = needed.checked_sub(1) else {
            return Ok(None);
        };
        let mut acknowledged: Vec<Instant> = voters
            .iter()
            .filter_map(|host_id| self.peers.get(host_id)?.acknowledged_at)
            .collect();
        acknowledged.sort_by_key(|&sent_at| Reverse(sent_at));
        let oldest = acknowledged.get(position).ok_or(TooFewAcknowledgements)?;
        Ok(Some(*oldest + self.options.lease_time))
    }

    fn check_dead(&self, process: &Process, now: Instant) -> Option<DeadProcess> {
        let dead = |replaced| DeadProcess {
            process: process.clone(),
            replaced,
        };
        if process.host_id == self.local_member.process.host_id {
            return Some(dead(true));
        }
        match self.peers.get(&process.host_id) {
            Some(peer) if self.is_live(peer, now) => (peer.member.process != *process).then(|| dead(true)),
            _ => self.is_confirmed_dead(process, now).then(|| dead(false)),
        }
    }

    /// Returns whether the process is not live for this host, for more than half of its voters, and for
    /// more than half of all live hosts.
    fn is_confirmed_dead(&self, process: &Process, now: Instant) -> bool {
        if self.is_live_process(process, now) {
            return false;
        }
        let voters = self.voters(&process.host_id);
        let dead_votes = voters
            .iter()
            .filter(|host_id| self.votes_dead(host_id, process, now))
            .count();
        let needed = if voters.is_empty() {
            0
        } else {
            voters.len() / 2 + 1
        };
        dead_votes >= needed && self.majority_reports_dead(process, now)
    }

    fn majority_reports_dead(&self, process: &Process, now: Instant) -> bool {
        let live_peers: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| self.is_live(peer, now))
            .collect();
        let still_live = live_peers
            .iter()
            .filter(|peer| peer.live_processes.contains(process))
            .count();
        // 1 is added for this host, for which the process is not live.
        still_live * 2 < live_peers.len() + 1
    }

    fn votes_dead(&self, host_id: &HostId, process: &Process, now: Instant) -> bool {
        if *host_id == self.local_member.process.host_id {
            return true;
        }
        let Some(peer) = self.peers.get(host_id) else {
            return false;
        };
        // A process that started recently has not yet received heartbeats from all others, so a process
        // missing from its report does not count as a vote.
        let tracked_for = now.saturating_duration_since(peer.first_received_at);
        self.is_live(peer, now)
            && tracked_for >= self.options.suspicion_time
            && !peer.live_processes.contains(process)
    }

    /// Returns whether the process sent a heartbeat or response within the suspicion time, or the current
    /// observation period is shorter than the suspicion time.
    fn is_live_process(&self, process: &Process, now: Instant) -> bool {
        let last_received_at = self
            .peers
            .get(&process.host_id)
            .filter(|peer| peer.member.process == *process)
            .map_or(self.observing_since, |peer| {
                peer.last_received_at.max(self.observing_since)
            });
        now.saturating_duration_since(last_received_at) < self.options.suspicion_time
    }

    fn is_live(&self, peer: &Peer, now: Instant) -> bool {
        // After a pause, peers that were live before it count as live until the suspicion time has
        // passed again.
        let since_received = now.saturating_duration_since(peer.last_received_at);
        let age_at_pause = self.paused_at.saturating_duration_since(peer.last_received_at);
        let was_live = age_at_pause < self.options.suspicion_time;
        let observed_for = now.saturating_duration_since(self.observing_since);
        since_received < self.options.suspicion_time
            || (was_live && observed_for < self.options.suspicion_time)
    }

    /// Returns the hosts that vote on whether a host is live.
    fn voters(&self, host_id: &HostId) -> Vec<HostId> {
        self.monitors_of(host_id, &self.voting_hosts())
    }

    /// Returns the hosts in the ownership map that still exist, or the listed hosts if there is no map
    /// yet.
    ///
    /// All hosts agree on the map, whereas the list may be outdated. However, a host in the map that is no
    /// longer listed and has never sent this host a message must not remain a voter indefinitely.
    fn voting_hosts(&self) -> BTreeSet<HostId> {
        if self.owners.is_empty() {
            return self.listed.keys().cloned().collect();
        }
        self.owners
            .iter()
            .map(|process| process.host_id.clone())
            .filter(|host_id| {
                self.listed.contains_key(host_id)
                    || self.peers.contains_key(host_id)
                    || *host_id == self.local_member.process.host_id
            })
            .collect()
    }

    fn add_peer(&mut self, host_id: HostId, report: HeartbeatReport, now: Instant) -> bool {
        self.peers.insert(host_id, Peer::new(report, now));
        self.update_heartbeat_hosts();
        true
    }

    /// Sets the heartbeat destinations: hosts that monitor this one and hosts that it monitors. In a
    /// small fleet, these are all hosts.
    fn update_heartbeat_hosts(&mut self) {
        let local_host_id = self.local_member.process.host_id.clone();
        let mut hosts: BTreeSet<HostId> = self.listed.keys().cloned().collect();
        hosts.extend(self.peers.keys().cloned());
        hosts.insert(local_host_id.clone());
        let mut heartbeat_hosts: BTreeSet<HostId> =
            self.monitors_of(&local_host_id, &hosts).into_iter().collect();
        for host_id in hosts.iter().filter(|host_id| **host_id != local_host_id) {
            if self.monitors_of(host_id, &hosts).contains(&local_host_id) {
                heartbeat_hosts.insert(host_id.clone());
            }
        }
        self.heartbeat_hosts = heartbeat_hosts;
    }

    /// Returns the hosts that monitor `host_id`: all other hosts of a small set, or those with the
    /// highest rank for `host_id` in a large one.
    fn monitors_of(&self, host_id: &HostId, hosts: &BTreeSet<HostId>) -> Vec<HostId> {
        let others = hosts.iter().filter(|other| *other != host_id).cloned();
        if hosts.len() <= self.options.full_mesh_hosts_max {
            return others.collect();
        }
        let mut ordered = rendezvous_order(host_id, others);
        ordered.truncate(self.options.monitors_per_host);
        ordered
    }

    fn target(&self, host_id: &HostId) -> Option<Target> {
        let reported = self.peers.get(host_id).map(|peer| &peer.member.address);
        let listed = self.listed.get(host_id).map(|listed| &listed.address);
        let address = reported
            .filter(|address| !address.is_empty())
            .or(listed)
            .filter(|address| !address.is_empty())?;
        Some(Target {
            host_id: host_id.clone(),
            address: address.clone(),
        })
    }

    fn merged_member(&self, peer: &Peer) -> Member {
        let listed = self.listed.get(&peer.member.process.host_id);
        let mut member = peer.member.clone();
        if let Some(listed) = listed {
            member.leaving |= listed.leaving;
            if member.address.is_empty() {
                member.address.clone_from(&listed.address);
            }
        }
        member
    }
}

/// Error returned if too few voters have acknowledged a heartbeat for this process to act as an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooFewAcknowledgements;
