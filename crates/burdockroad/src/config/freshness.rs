//! Decides whether a host may still rely on its document.
//!
//! A host that may have missed a change must stop accepting keys, because one of them may have been
//! withdrawn. If the key-value service is down for all hosts, no change can happen, and hosts continue
//! to serve. [`FreshnessTracker::decide`] describes the rule that distinguishes the two cases.
//!
//! A *confirmation* states that a version was the newest one at some time. That time is always when the
//! request was *sent*, never when the response arrived: after a pause, a process finds old responses in
//! its buffers and would otherwise treat them as recent. For the same reason, a statement of a peer
//! counts only in a response to a request from this host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{DocumentVersion, HostId};

/// Decision on whether a host may accept keys according to its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The document was confirmed within [`FreshnessLimits::confirmation_max_age`], by this host or by
    /// a peer.
    Fresh,
    /// No host can confirm the document, so it cannot have been changed.
    OutageForAll,
    /// The document may have been changed, and this host may not have received the change.
    CutOff,
}

/// Maximum ages of confirmations and peer responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Maximum age of a confirmation.
    pub confirmation_max_age: Duration,
    /// Age of the newest response of a peer up to which the peer counts as live.
    pub peer_response_max_age: Duration,
}

/// Content of the newest response of a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerStatement {
    /// When the request was sent.
    requested_at: Instant,
    /// Version in force at the peer.
    version: DocumentVersion,
    /// Time at which the version was the newest one, as attested by the peer.
    confirmed_at: Option<Instant>,
}

/// Tracks how recently the document of a host was confirmed.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    host_id: HostId,
    limits: FreshnessLimits,
    version: DocumentVersion,
    highest_seen: DocumentVersion,
    confirmed_at: Option<Instant>,
    listed_hosts: Option<BTreeSet<HostId>>,
    peers: BTreeMap<HostId, PeerStatement>,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self {
            confirmation_max_age: Duration::from_secs(3),
            peer_response_max_age: Duration::from_secs(2),
        }
    }
}

impl FreshnessTracker {
    /// Creates the tracker of a host without a document, which is version 0.
    pub fn new(host_id: HostId, limits: FreshnessLimits) -> Self {
        Self {
            host_id,
            limits,
            version: 0,
            highest_seen: 0,
            confirmed_at: None,
            listed_hosts: None,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> DocumentVersion {
        self.version
    }

    /// Returns the highest version in force at this host or at any peer that responded.
    pub fn highest_seen(&self) -> DocumentVersion {
        self.highest_seen
    }

    /// Puts a version in force, and returns whether it is higher than the previous one.
    ///
    /// Earlier confirmations stay valid: the version that was newest at their time is not newer than
    /// this one.
    pub fn put_in_force(&mut self, version: DocumentVersion) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.highest_seen = self.highest_seen.max(version);
        for statement in self.peers.values() {
            self.confirmed_at = self.confirmed_at.max(statement.attestation_for(version));
        }
        true
    }

    /// Records that the store returned a version as the newest, in response to a request sent at
    /// `requested_at`.
    ///
    /// The response confirms the document only if its version is in force here and is the highest seen.
    pub fn confirm(&mut self, version: DocumentVersion, requested_at: Instant) {
        if version == self.version && version == self.highest_seen {
            self.confirmed_at = self.confirmed_at.max(Some(requested_at));
        }
    }

    /// Records the response of a peer to a request sent at `requested_at`.
    pub fn observe_peer(
        &mut self,
        host_id: &HostId,
        requested_at: Instant,
        version: DocumentVersion,
        attestation_age: Option<Duration>,
    ) {
        let is_newer = |previous: &PeerStatement| previous.requested_at >= requested_at;
        if *host_id == self.host_id || self.peers.get(host_id).is_some_and(is_newer) {
            return;
        }
        let statement = PeerStatement {
            requested_at,
            version,
            confirmed_at: attestation_age.and_then(|age| requested_at.checked_sub(age)),
        };
        self.highest_seen = self.highest_seen.max(version);
        self.confirmed_at = self.confirmed_at.max(statement.attestation_for(self.version));
        self.peers.insert(host_id.clone(), statement);
    }

    /// Sets the hosts listed by the platform. Responses of peers that are not listed are discarded.
    pub fn observe_list(&mut self, host_ids: impl IntoIterator<Item = HostId>) {
        let listed_hosts: BTreeSet<HostId> = host_ids.into_iter().collect();
        self.peers.retain(|host_id, _| listed_hosts.contains(host_id));
        self.listed_hosts = Some(listed_hosts);
    }

    /// Returns the age of the newest confirmation, which this host attests to its peers, or none if
    /// there is no confirmation.
    pub fn attestation_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// Returns the peer with the highest version above this host's, from which the document should be
    /// fetched.
    ///
    /// A host without a document fetches one only from a peer that can confirm it. Before a restart,
    /// the host may have had a higher version than peers without a recent confirmation.
    pub fn peer_to_fetch_from(&self, now: Instant) -> Option<&HostId> {
        let peers = self.peers.iter();
        let ahead = peers.filter(|(_, statement)| statement.version > self.version);
        let usable = ahead.filter(|(_, statement)| {
            self.version > 0 || is_within(statement.confirmed_at, now, self.limits.confirmation_max_age)
        });
        usable
            .max_by_key(|(_, statement)| (statement.version, statement.requested_at))
            .map(|(host_id, _)| host_id)
    }

    /// Decides whether the document may be relied on at this time.
    ///
    /// 1. If the version was confirmed within the limit, by this host or by a peer that attests the same
    ///    version: [`Fresh`](Freshness::Fresh).
    /// 2. Otherwise, if a majority of the listed hosts, including this one, is live, and no peer has a
    ///    higher version or can confirm any version: [`OutageForAll`](Freshness::OutageForAll).
    /// 3. Otherwise, and always without a document: [`CutOff`](Freshness::CutOff).
    ///
    /// Exactly half of the hosts is not a majority, so neither half of an evenly partitioned fleet
    /// continues.
    pub fn decide(&self, now: Instant) -> Freshness {
        if self.version == 0 {
            return Freshness::CutOff;
        }
        if is_within(self.confirmed_at, now, self.limits.confirmation_max_age) {
            return Freshness::Fresh;
        }
        let behind = self.highest_seen > self.version;
        if behind || self.any_peer_confirms(now) || !self.majority_live(now) {
            return Freshness::CutOff;
        }
        Freshness::OutageForAll
    }

    /// Returns whether a majority of the listed hosts is live. The host itself always counts as live.
    ///
    /// A list without this host is outdated or wrong, so no majority can be derived from it. If an empty
    /// list were accepted, a partitioned host would count as a majority by itself.
    fn majority_live(&self, now: Instant) -> bool {
        let Some(listed_hosts) = &self.listed_hosts else {
            return false;
        };
        if !listed_hosts.contains(&self.host_id) {
            return false;
        }
        let others = listed_hosts.iter().filter(|host_id| **host_id != self.host_id);
        let live = others.filter(|host_id| self.is_live(host_id, now)).count() + 1;
        2 * live > listed_hosts.len()
    }

    fn is_live(&self, host_id: &HostId, now: Instant) -> bool {
        let requested_at = self.peers.get(host_id).map(|statement| statement.requested_at);
        is_within(requested_at, now, self.limits.peer_response_max_age)
    }

    /// Returns whether a peer reported a confirmation of any version within the limit. The store is then
    /// not down for all hosts.
    fn any_peer_confirms(&self, now: Instant) -> bool {
        let max_age = self.limits.confirmation_max_age;
        let mut statements = self.peers.values();
        statements.any(|statement| is_within(statement.confirmed_at, now, max_age))
    }
}

impl PeerStatement {
    /// Returns the time at which `version` was the newest one, as attested by the peer. Returns none if the
    /// peer has a different version in force: a lower version is outdated, and a higher one does not
    /// confirm `version`.
    fn attestation_for(&self, version: DocumentVersion) -> Option<Instant> {
        self.confirmed_at.filter(|_| self.version == version)
    }
}

fn is_within(time: Option<Instant>, now: Instant, max_age: Duration) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) <= max_age)
}
