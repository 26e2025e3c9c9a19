//! Decides whether a host's document may still be relied on.
//!
//! A host that cannot learn of changes must not go on accepting keys, since one may have been
//! withdrawn. When the key-value service is down for everybody no change can happen, and then service
//! goes on. The rule that tells the two apart stands at [`FreshnessTracker::decide`].
//!
//! A *confirmation* is the statement that a version was the newest one at some moment. All moments are
//! those at which a question was *sent*, never those at which an answer arrived: a process that was
//! paused finds old answers in its buffers and would take them for new ones. For the same reason a
//! peer's statement counts only in the answer to this host's own question.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use crate::{DocumentVersion, HostId};

/// Whether a host may accept keys by its document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The document was confirmed lately, by this host or by a peer.
    Fresh,
    /// Nobody can confirm it, so nobody can change it either.
    OutageForAll,
    /// A change may have happened that this host has not heard of.
    CutOff,
}

/// Ages up to which something that was heard counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessLimits {
    /// Age up to which a confirmation counts.
    pub confirmation_max_age: Duration,
    /// Age up to which an answer of a peer counts as having heard the peer.
    pub heard_max_age: Duration,
}

/// What one peer said in its newest answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct PeerStatement {
    /// When the question was sent.
    asked_at: Instant,
    /// Version that the peer has in force.
    version: DocumentVersion,
    /// Moment for which the peer vouches that the version was the newest.
    confirmed_at: Option<Instant>,
}

/// What a host knows about how current its document is.
#[derive(Clone, Debug)]
pub struct FreshnessTracker {
    host_id: HostId,
    limits: FreshnessLimits,
    version: DocumentVersion,
    highest_heard: DocumentVersion,
    confirmed_at: Option<Instant>,
    listed: Option<BTreeSet<HostId>>,
    peers: BTreeMap<HostId, PeerStatement>,
}

impl Default for FreshnessLimits {
    fn default() -> Self {
        Self {
            confirmation_max_age: Duration::from_secs(3),
            heard_max_age: Duration::from_secs(2),
        }
    }
}

impl FreshnessTracker {
    /// Makes the tracker of a host that has no document yet, which is version 0.
    pub fn new(host_id: HostId, limits: FreshnessLimits) -> Self {
        Self {
            host_id,
            limits,
            version: 0,
            highest_heard: 0,
            confirmed_at: None,
            listed: None,
            peers: BTreeMap::new(),
        }
    }

    /// Returns the version in force.
    pub fn version(&self) -> DocumentVersion {
        self.version
    }

    /// Returns the highest version that this host or a peer has in force.
    pub fn highest_heard(&self) -> DocumentVersion {
        self.highest_heard
    }

    /// Puts a version in force, and returns whether it was higher than the one before.
    ///
    /// Earlier confirmations stay: what was newest at their moment was no newer than this version.
    pub fn put_in_force(&mut self, version: DocumentVersion) -> bool {
        if version <= self.version {
            return false;
        }
        self.version = version;
        self.highest_heard = self.highest_heard.max(version);
        for statement in self.peers.values() {
            self.confirmed_at = self.confirmed_at.max(statement.vouch_for(version));
        }
        true
    }

    /// Takes note that the store named a version as the newest, in answer to a question of `asked_at`.
    ///
    /// An answer that is older than what is known already confirms nothing.
    pub fn confirm(&mut self, version: DocumentVersion, asked_at: Instant) {
        if version == self.version && version == self.highest_heard {
            self.confirmed_at = self.confirmed_at.max(Some(asked_at));
        }
    }

    /// Takes note of a peer's answer to a question of `asked_at`.
    pub fn observe_peer(
        &mut self,
        host_id: &HostId,
        asked_at: Instant,
        version: DocumentVersion,
        vouch_age: Option<Duration>,
    ) {
        let newer = |known: &PeerStatement| known.asked_at >= asked_at;
        if *host_id == self.host_id || self.peers.get(host_id).is_some_and(newer) {
            return;
        }
        let statement = PeerStatement {
            asked_at,
            version,
            confirmed_at: vouch_age.and_then(|age| asked_at.checked_sub(age)),
        };
        self.highest_heard = self.highest_heard.max(version);
        self.confirmed_at = self.confirmed_at.max(statement.vouch_for(self.version));
        self.peers.insert(host_id.clone(), statement);
    }

    /// Takes note of the platform's list of entry hosts.
    pub fn observe_list(&mut self, host_ids: impl IntoIterator<Item = HostId>) {
        let listed: BTreeSet<HostId> = host_ids.into_iter().collect();
        self.peers.retain(|host_id, _| listed.contains(host_id));
        self.listed = Some(listed);
    }

    /// Returns the age of the newest confirmation, which this host may pass on; none if there is none.
    pub fn vouch_age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.saturating_duration_since(confirmed_at))
    }

    /// Returns the peer with the highest version above this host's, from which to fetch it.
    ///
    /// A host without a document takes one only from a peer that can confirm it: before a restart it
    /// may have had a higher version than peers that nothing confirms.
    pub fn peer_to_fetch_from(&self, now: Instant) -> Option<&HostId> {
        let peers = self.peers.iter();
        let ahead = peers.filter(|(_, statement)| statement.version > self.version);
        let usable = ahead.filter(|(_, statement)| {
            self.version > 0 || is_within(statement.confirmed_at, now, self.limits.confirmation_max_age)
        });
        usable
            .max_by_key(|(_, statement)| (statement.version, statement.asked_at))
            .map(|(host_id, _)| host_id)
    }

    /// Decides whether the document may be relied on now.
    ///
    /// 1. Confirmed within the limit, by this host or by a peer that vouches for the same version:
    ///    [`Fresh`](Freshness::Fresh).
    /// 2. Otherwise, when most of the listed hosts answer, this one counted, and none of them has a higher
    ///    version or can confirm any: [`OutageForAll`](Freshness::OutageForAll).
    /// 3. Otherwise, and whenever there is no document: [`CutOff`](Freshness::CutOff).
    ///
    /// Exactly half of the hosts is not most of them, so of two halves neither goes on.
    pub fn decide(&self, now: Instant) -> Freshness {
        if self.version == 0 {
            return Freshness::CutOff;
        }
        if is_within(self.confirmed_at, now, self.limits.confirmation_max_age) {
            return Freshness::Fresh;
        }
        let behind = self.highest_heard > self.version;
        if behind || self.any_peer_confirms(now) || !self.hears_most(now) {
            return Freshness::CutOff;
        }
        Freshness::OutageForAll
    }

    /// Whether most of the listed hosts answer; a host always hears itself.
    ///
    /// A list without this host is an old or a wrong one, by which nothing can be told: an empty one would
    /// make a host that is cut off the only one of its fleet.
    fn hears_most(&self, now: Instant) -> bool {
        let Some(listed) = &self.listed else {
            return false;
        };
        if !listed.contains(&self.host_id) {
            return false;
        }
        let others = listed.iter().filter(|host_id| **host_id != self.host_id);
        let heard = others.filter(|host_id| self.hears(host_id, now)).count() + 1;
        2 * heard > listed.len()
    }

    fn hears(&self, host_id: &HostId, now: Instant) -> bool {
        let asked_at = self.peers.get(host_id).map(|statement| statement.asked_at);
        is_within(asked_at, now, self.limits.heard_max_age)
    }

    /// Whether a peer that answers can confirm any version, so that the store is not down for everybody.
    fn any_peer_confirms(&self, now: Instant) -> bool {
        let max_age = self.limits.confirmation_max_age;
        let mut statements = self.peers.values();
        statements.any(|statement| is_within(statement.confirmed_at, now, max_age))
    }
}

impl PeerStatement {
    /// The moment for which the peer confirms a version; a lower version's vouch would be an old answer,
    /// and a higher one's does not cover it.
    fn vouch_for(&self, version: DocumentVersion) -> Option<Instant> {
        self.confirmed_at.filter(|_| self.version == version)
    }
}

fn is_within(moment: Option<Instant>, now: Instant, max_age: Duration) -> bool {
    moment.is_some_and(|moment| now.saturating_duration_since(moment) <= max_age)
}
