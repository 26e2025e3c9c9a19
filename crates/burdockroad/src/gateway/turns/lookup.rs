//! Decision whether a turn exists.
//!
//! Load pattern: callers that name turns that never existed, beside callers whose turns are stored on hosts
//! that are unreachable at the moment. A caller gives its program up when a turn does not exist, so the turn
//! is reported as nonexistent only after every host that may store it has said so.

use std::collections::VecDeque;

use serde::Serialize;

use crate::{
    gateway::{HostLocation, TurnHostHealth, TurnKey, replica_order},
    ids::HostId,
};

/// Reply of one host to a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupReply {
    /// The host has the turn.
    Found,
    /// The host does not have the turn, and has all turns that it should store.
    Absent,
    /// The host does not have the turn, but may still have to copy it from another host.
    Incomplete,
    /// The host did not reply.
    NoReply,
}

/// Outcome of a lookup.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupOutcome {
    /// A host has the turn.
    Found,
    /// The turn does not exist.
    Nonexistent,
    /// The turn may exist.
    Uncertain,
}

/// Number of hosts by their reply to a lookup.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct LookupReplies {
    /// Hosts that do not have the turn, and have all turns that they should store.
    pub absent_hosts: usize,
    /// Hosts that do not have the turn, but may still have to copy it.
    pub incomplete_hosts: usize,
    /// Hosts that did not reply.
    pub silent_hosts: usize,
    /// Hosts that were not asked because they count as lost.
    pub lost_hosts: usize,
}

/// Lookup of one turn at the hosts that may store it, one after the other.
#[derive(Clone, Debug)]
pub struct Lookup {
    untried: VecDeque<HostId>,
    outcome: LookupOutcome,
    replies: LookupReplies,
}

impl Lookup {
    /// Starts a lookup by a host of `failure_domain`. Hosts of the same domain are asked first, failing hosts
    /// last. Lost hosts are not asked, and the lookup counts them as not having replied.
    pub fn new(key: &TurnKey, failure_domain: &str, hosts: &[HostLocation], health: &TurnHostHealth) -> Self {
        let order = replica_order(&key.turn, failure_domain, hosts);
        let (untried, lost) = health.split_order(order);
        let outcome = if hosts.is_empty() || !lost.is_empty() {
            LookupOutcome::Uncertain
        } else {
            LookupOutcome::Nonexistent
        };
        let replies = LookupReplies {
            lost_hosts: lost.len(),
            ..LookupReplies::default()
        };
        Self {
            untried,
            outcome,
            replies,
        }
    }

    /// Returns the next host to ask; `None` when the outcome is known.
    pub fn next_host(&mut self) -> Option<HostId> {
        if self.outcome == LookupOutcome::Found {
            return None;
        }
        self.untried.pop_front()
    }

    /// Records the reply of a host.
    pub fn record(&mut self, reply: LookupReply) {
        match reply {
            LookupReply::Found => self.outcome = LookupOutcome::Found,
            LookupReply::Absent => self.replies.absent_hosts += 1,
            LookupReply::Incomplete => {
                self.replies.incomplete_hosts += 1;
                self.outcome = LookupOutcome::Uncertain;
            }
            LookupReply::NoReply => {
                self.replies.silent_hosts += 1;
                self.outcome = LookupOutcome::Uncertain;
            }
        }
    }

    /// Returns how many hosts gave which reply so far.
    pub fn replies(&self) -> LookupReplies {
        self.replies
    }

    /// Returns the outcome of the replies so far.
    pub fn outcome(&self) -> LookupOutcome {
        self.outcome
    }
}
