//! Partition ownership: which process serves which partition.

mod actor;
mod staging;
mod store;

use std::{collections::BTreeMap, sync::Arc};

use burdockroad::{HostId, PartitionId, ownership::OwnershipMap};
use tokio::sync::watch;

pub use burdockroad::{
    PARTITIONS,
    ownership::{Owner, Process},
};

pub use self::{
    actor::{ChangeError, OwnershipArguments, OwnershipHandle},
    staging::{StageError, StageOrder, Staging},
    store::{MapError, MapStore, OWNERSHIP_KEY, Swap, VersionedMap},
};

/// Receiver of this host's copy of the ownership map and of its changes.
pub type OwnershipReceiver = watch::Receiver<Arc<OwnershipView>>;

/// Receiver of the peers that this host tracks and of their changes.
pub type PeersReceiver = watch::Receiver<Arc<PeersView>>;

/// One host's copy of the ownership map.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// This process.
    pub me: Process,
    /// Version of the map. A higher version replaces a lower one.
    pub version: u64,
    /// Owners of the partitions, indexed by partition number. Empty before the first map.
    pub owners: Vec<Owner>,
    /// Whether this process may still act as an owner, that is, has not been fenced.
    pub serving: bool,
}

/// Peers that a host tracks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeersView {
    /// Peers by host ID, without this host.
    pub peers: BTreeMap<HostId, PeerView>,
}

/// View of one peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The peer's process.
    pub process: Process,
    /// Address on which the peer serves other daemons.
    pub address: String,
    /// Failure domain of the peer.
    pub failure_domain: String,
    /// Whether the peer is draining before its removal.
    pub leaving: bool,
    /// Whether the last report from the peer is within the suspicion time.
    pub live: bool,
}

impl OwnershipView {
    /// Creates the view that `me` has of a map.
    pub fn new(me: Process, map: &OwnershipMap, serving: bool) -> Self {
        Self {
            me,
            version: map.version,
            owners: map.owners.clone(),
            serving,
        }
    }

    /// Returns the owner of a partition, or `None` before the first map.
    pub fn owner(&self, partition: PartitionId) -> Option<&Owner> {
        self.owners.get(usize::from(partition))
    }

    /// Returns whether this process owns a partition and may act as its owner.
    pub fn owns(&self, partition: PartitionId) -> bool {
        self.serving
            && self
                .owner(partition)
                .is_some_and(|owner| owner.process == self.me)
    }

    /// Returns the partitions that this process owns and may act on as their owner.
    pub fn own_partitions(&self) -> Vec<PartitionId> {
        (0..PARTITIONS)
            .filter(|&partition| self.owns(partition))
            .collect()
    }
}
