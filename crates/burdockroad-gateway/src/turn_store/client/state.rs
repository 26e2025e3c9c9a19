//! What this host keeps about the hosts that store turns, and recent turns.

use std::collections::BTreeSet;

use burdockroad::{
    HostId,
    gateway::{TurnCache, TurnTimes},
};

use crate::turn_store::members::TurnMembers;

/// Memory for recent turns, in bytes.
const CACHE_BYTES: usize = 8 << 20;

#[derive(Debug)]
pub(super) struct ClientState {
    pub(super) members: TurnMembers,
    /// Hosts that are or were being removed on the operator's order.
    pub(super) removed: BTreeSet<HostId>,
    pub(super) cache: TurnCache,
    pub(super) times: TurnTimes,
}

impl ClientState {
    pub(super) fn new() -> Self {
        Self {
            members: TurnMembers::new(),
            removed: BTreeSet::new(),
            cache: TurnCache::new(CACHE_BYTES),
            times: TurnTimes::default(),
        }
    }

    /// Records which hosts are being removed. A host that registers to store turns again is not.
    pub(super) fn record_removed(&mut self) {
        for (host, member) in &self.members {
            if !member.leaving {
                self.removed.remove(host);
            } else if !self.removed.contains(host) {
                self.removed.insert(host.clone());
            }
        }
    }
}
