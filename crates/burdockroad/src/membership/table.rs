//! The table of hosts and the decisions over it.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use crate::{
    ids::HostId,
    membership::{
        options::Options,
        peer::{ListedMember, Member, Peer, Sighting},
    },
    ownership::{Process, rendezvous_order},
};

/// What one host knows of all others.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    me: Member,
    listed: BTreeMap<HostId, ListedMember>,
    peers: BTreeMap<HostId, Peer>,
    owners: BTreeSet<Process>,
    ticked_at: Instant,
    /// When this process last stopped listening, which is when it started or began to be paused.
    paused_at: Instant,
    /// Silence counts from here on: this process started, or woke from a pause.
    listening_since: Instant,
    /// Hosts that get heartbeats, worked out when the set of hosts changes.
    contacts: BTreeSet<HostId>,
}

/// Where to send a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The host.
    pub host_id: HostId,
    /// IP number and port for peers.
    pub address: String,
}

/// A process that owns partitions and may be taken over.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gone {
    /// The process.
    pub process: Process,
    /// Whether another process on its host has replaced it.
    pub replaced: bool,
}

impl Table {
    /// Makes a table that knows only this process.
    pub fn new(me: Member, options: Options, now: Instant) -> Self {
        Self {
            options,
            me,
            listed: BTreeMap::new(),
            peers: BTreeMap::new(),
            owners: BTreeSet::new(),
            ticked_at: now,
            paused_at: now,
            listening_since: now,
            contacts: BTreeSet::new(),
        }
    }

    /// This process.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Goes on as a new incarnation, after this process was fenced.
    pub fn rejoin(&mut self, process: Process) {
        self.me.process = process;
        for peer in self.peers.values_mut() {
            peer.acknowledged_at = None;
        }
    }

    /// Says whether this host is being taken away.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.me.leaving = leaving;
    }

    /// Takes in the platform's host list.
    pub fn set_listed(&mut self, listed: impl IntoIterator<Item = ListedMember>) {
        self.listed = listed
            .into_iter()
            .map(|member| (member.host_id.clone(), member))
            .collect();
        self.choose_contacts();
    }

    /// Takes in the processes that the ownership map names.
    pub fn set_owners(&mut self, owners: BTreeSet<Process>) {
        self.owners = owners;
    }

    /// Takes in a heartbeat or the answer to one; false when it came late from a replaced process.
    pub fn observe(&mut self, sighting: Sighting, now: Instant) -> bool {
        let host_id = sighting.member.process.host_id.clone();
        if host_id == self.me.process.host_id {
            return false;
        }
        match self.peers.get_mut(&host_id) {
            Some(peer) => peer.observe(sighting, now),
            None => self.add_peer(host_id, sighting, now),
        }
    }

    /// Takes note that a process answered the heartbeat that was sent to it at `sent_at`.
    pub fn acknowledge(&mut self, process: &Process, sent_at: Instant) {
        let Some(peer) = self.peers.get_mut(&process.host_id) else {
            return;
        };
        if peer.member.process == *process {
            peer.acknowledged_at = peer.acknowledged_at.max(Some(sent_at));
        }
    }

    /// Takes note of the time; true when this process was paused, so that all hosts are given time
    /// again before one is suspected.
    pub fn tick(&mut self, now: Instant) -> bool {
        let gap = now.saturating_duration_since(self.ticked_at);
        let paused = gap > self.options.pause_gap;
        if paused {
            self.paused_at = self.ticked_at;
            self.listening_since = now;
        }
        self.ticked_at = now;
        paused
    }

    /// Where heartbeats are due: to the hosts that this one monitors or that monitor it, and, to ask
    /// about a silent one, to the others that monitor that.
    pub fn targets(&self, now: Instant) -> Vec<Target> {
        let mut hosts = self.contacts.clone();
        let me = &self.me.process.host_id;
        for process in self.owners.iter().filter(|process| !self.hears(process, now)) {
            let voters = self.voters(&process.host_id);
            if voters.contains(me) {
                hosts.extend(voters);
            }
        }
        hosts.remove(me);
        hosts.iter().filter_map(|host_id| self.target(host_id)).collect()
    }

    /// The processes that were heard from within the suspicion time.
    pub fn heard(&self, now: Instant) -> Vec<Process> {
        self.peers
            .values()
            .filter(|peer| self.is_alive(peer, now))
            .map(|peer| peer.member.process.clone())
            .collect()
    }

    /// All peers that were heard from, and whether each is up; listed hosts that were never heard from
    /// are left out.
    pub fn members(&self, now: Instant) -> Vec<(Member, bool)> {
        self.peers
            .values()
            .map(|peer| (self.described(peer), self.is_alive(peer, now)))
            .collect()
    }

    /// Hosts that the platform lists, without this one.
    pub fn listed(&self) -> impl Iterator<Item = &ListedMember> {
        self.listed
            .values()
            .filter(|listed| listed.host_id != self.me.process.host_id)
    }

    /// Whether every listed host was heard from within the suspicion time.
    pub fn hears_all_listed(&self, now: Instant) -> bool {
        self.listed().all(|listed| {
            self.peers
                .get(&listed.host_id)
                .is_some_and(|peer| self.is_alive(peer, now))
        })
    }

    /// The processes that may be taken over now.
    pub fn gone(&self, now: Instant) -> Vec<Gone> {
        self.owners
            .iter()
            .filter(|process| **process != self.me.process)
            .filter_map(|process| self.judge(process, now))
            .collect()
    }

    /// Until when this process may act as an owner; none when it never may not, for want of voters.
    ///
    /// # Errors
    ///
    /// Fails when it may not act at all, since too few voters have answered yet.
    pub fn lease_until(&self) -> Result<Option<Instant>, TooFewAnswers> {
        let voters = self.voters(&self.me.process.host_id);
        let needed = voters.len().div_ceil(2);
        let Some(position) = needed.checked_sub(1) else {
            return Ok(None);
        };
        let mut answers: Vec<Instant> = voters
            .iter()
            .filter_map(|host_id| self.peers.get(host_id)?.acknowledged_at)
            .collect();
        answers.sort_by_key(|&sent_at| Reverse(sent_at));
        let oldest = answers.get(position).ok_or(TooFewAnswers)?;
        Ok(Some(*oldest + self.options.lease_time))
    }

    fn judge(&self, process: &Process, now: Instant) -> Option<Gone> {
        let gone = |replaced| Gone {
            process: process.clone(),
            replaced,
        };
        if process.host_id == self.me.process.host_id {
            return Some(gone(true));
        }
        match self.peers.get(&process.host_id) {
            Some(peer) if self.is_alive(peer, now) => (peer.member.process != *process).then(|| gone(true)),
            _ => self.confirmed(process, now).then(|| gone(false)),
        }
    }

    /// Whether enough other hosts do not hear the process either.
    fn confirmed(&self, process: &Process, now: Instant) -> bool {
        if self.hears(process, now) {
            return false;
        }
        let voters = self.voters(&process.host_id);
        let silent = voters
            .iter()
            .filter(|host_id| self.votes_against(host_id, process, now))
            .count();
        let needed = if voters.is_empty() {
            0
        } else {
            voters.len() / 2 + 1
        };
        silent >= needed && self.most_heard_agree(process, now)
    }

    fn most_heard_agree(&self, process: &Process, now: Instant) -> bool {
        let heard: Vec<&Peer> = self
            .peers
            .values()
            .filter(|peer| self.is_alive(peer, now))
            .collect();
        let hearing = heard.iter().filter(|peer| peer.heard.contains(process)).count();
        // This process does not hear it, and counts.
        hearing * 2 < heard.len() + 1
    }

    fn votes_against(&self, host_id: &HostId, process: &Process, now: Instant) -> bool {
        if *host_id == self.me.process.host_id {
            return true;
        }
        let Some(peer) = self.peers.get(host_id) else {
            return false;
        };
        // A process that has just started hears nobody yet, which says nothing.
        let known_for = now.saturating_duration_since(peer.first_heard_at);
        self.is_alive(peer, now) && known_for >= self.options.suspicion_time && !peer.heard.contains(process)
    }

    /// Whether silence of a process has lasted shorter than the suspicion time.
    fn hears(&self, process: &Process, now: Instant) -> bool {
        let heard_at = self
            .peers
            .get(&process.host_id)
            .filter(|peer| peer.member.process == *process)
            .map_or(self.listening_since, |peer| {
                peer.last_heard_at.max(self.listening_since)
            });
        now.saturating_duration_since(heard_at) < self.options.suspicion_time
    }

    fn is_alive(&self, peer: &Peer, now: Instant) -> bool {
        // After a pause, peers that were up before it are taken to be up until they had time to show it.
        let since_heard = now.saturating_duration_since(peer.last_heard_at);
        let silent_before = self.paused_at.saturating_duration_since(peer.last_heard_at);
        let was_alive = silent_before < self.options.suspicion_time;
        let listening = now.saturating_duration_since(self.listening_since);
        since_heard < self.options.suspicion_time || (was_alive && listening < self.options.suspicion_time)
    }

    /// The hosts whose word counts on whether a host is up.
    fn voters(&self, host_id: &HostId) -> Vec<HostId> {
        self.closest(host_id, &self.electorate())
    }

    /// The hosts of the ownership map that still exist; before there is a map, those listed.
    ///
    /// The map is agreed on, the list lags: but a host that the list has dropped, and that sends
    /// nothing, must not count for ever.
    fn electorate(&self) -> BTreeSet<HostId> {
        if self.owners.is_empty() {
            return self.listed.keys().cloned().collect();
        }
        self.owners
            .iter()
            .map(|process| process.host_id.clone())
            .filter(|host_id| {
                self.listed.contains_key(host_id)
                    || self.peers.contains_key(host_id)
                    || *host_id == self.me.process.host_id
            })
            .collect()
    }

    fn add_peer(&mut self, host_id: HostId, sighting: Sighting, now: Instant) -> bool {
        self.peers.insert(host_id, Peer::new(sighting, now));
        self.choose_contacts();
        true
    }

    /// The hosts that monitor this one, and those that it monitors: all of a small fleet.
    fn choose_contacts(&mut self) {
        let me = self.me.process.host_id.clone();
        let mut hosts: BTreeSet<HostId> = self.listed.keys().cloned().collect();
        hosts.extend(self.peers.keys().cloned());
        hosts.insert(me.clone());
        let mut contacts: BTreeSet<HostId> = self.closest(&me, &hosts).into_iter().collect();
        for host_id in hosts.iter().filter(|host_id| **host_id != me) {
            if self.closest(host_id, &hosts).contains(&me) {
                contacts.insert(host_id.clone());
            }
        }
        self.contacts = contacts;
    }

    /// All other hosts of a small set; of a large one, those that rank first for `host_id`.
    fn closest(&self, host_id: &HostId, hosts: &BTreeSet<HostId>) -> Vec<HostId> {
        let others = hosts.iter().filter(|other| *other != host_id).cloned();
        if hosts.len() <= self.options.full_mesh_hosts_max {
            return others.collect();
        }
        let mut ordered = rendezvous_order(host_id, others);
        ordered.truncate(self.options.monitors_per_host);
        ordered
    }

    fn target(&self, host_id: &HostId) -> Option<Target> {
        let heard = self.peers.get(host_id).map(|peer| &peer.member.address);
        let listed = self.listed.get(host_id).map(|listed| &listed.address);
        let address = heard
            .filter(|address| !address.is_empty())
            .or(listed)
            .filter(|address| !address.is_empty())?;
        Some(Target {
            host_id: host_id.clone(),
            address: address.clone(),
        })
    }

    fn described(&self, peer: &Peer) -> Member {
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

/// Too few voters have answered for this process to act as an owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TooFewAnswers;
