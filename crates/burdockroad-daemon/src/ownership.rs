//! Which host serves which partition.

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

/// The ownership map as this host knows it, and every change of it.
pub type OwnershipReceiver = watch::Receiver<Arc<OwnershipView>>;

/// Peers that this host has heard from lately, and every change of them.
pub type PeersReceiver = watch::Receiver<Arc<PeersView>>;

/// The ownership map, as seen by one host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// This process.
    pub me: Process,
    /// Version of the map; a higher one replaces a lower one.
    pub version: u64,
    /// Owner of each partition, by the partition's number; empty before the first map.
    pub owners: Vec<Owner>,
    /// Whether this process may still act as an owner: it has not been fenced.
    pub serving: bool,
}

/// Peers that a host has heard from lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeersView {
    /// The peers by their hosts, this host left out.
    pub peers: BTreeMap<HostId, PeerView>,
}

/// One peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The peer's process.
    pub process: Process,
    /// Where it is reached.
    pub address: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Whether it is being taken away.
    pub leaving: bool,
    /// Whether it was heard from within the suspicion time.
    pub alive: bool,
}

impl OwnershipView {
    /// What a process sees of a map.
    pub fn new(me: Process, map: &OwnershipMap, serving: bool) -> Self {
        Self {
            me,
            version: map.version,
            owners: map.owners.clone(),
            serving,
        }
    }

    /// The owner of a partition; none before the first map.
    pub fn owner(&self, partition: PartitionId) -> Option<&Owner> {
        self.owners.get(usize::from(partition))
    }

    /// Whether this process owns a partition and may act as its owner.
    pub fn owns(&self, partition: PartitionId) -> bool {
        self.serving
            && self
                .owner(partition)
                .is_some_and(|owner| owner.process == self.me)
    }

    /// The partitions that this process owns.
    pub fn own_partitions(&self) -> Vec<PartitionId> {
        (0..PARTITIONS)
            .filter(|&partition| self.owns(partition))
            .collect()
    }
}
