//! Views of the fleet that the coordinator publishes to the rest of the daemon.

use std::sync::Arc;

use burdockroad::{HostId, ownership::Process};
use tokio::sync::watch;

use crate::{
    membership::Lease,
    ownership::{OwnershipReceiver, OwnershipView, PeersReceiver, PeersView},
};

/// Published ownership map, peers and lease. They are empty until a coordinator updates them.
#[derive(Clone, Debug)]
pub struct Views {
    me: Process,
    ownership: watch::Sender<Arc<OwnershipView>>,
    peers: watch::Sender<Arc<PeersView>>,
    lease: Arc<Lease>,
}

impl Views {
    /// Creates empty views for a new process on a host.
    pub fn new(host_id: HostId) -> Self {
        let me = Process {
            host_id,
            incarnation: rand::random(),
        };
        let first = OwnershipView {
            me: me.clone(),
            serving: true,
            ..OwnershipView::default()
        };
        Self {
            me,
            ownership: watch::Sender::new(Arc::new(first)),
            peers: watch::Sender::new(Arc::default()),
            lease: Arc::default(),
        }
    }

    /// Returns the process under which this host starts. After a rejoin this host runs under another one.
    pub fn me(&self) -> Process {
        self.me.clone()
    }

    /// Returns a receiver of this host's copy of the ownership map.
    pub fn ownership(&self) -> OwnershipReceiver {
        self.ownership.subscribe()
    }

    /// Returns a receiver of the peers that this host tracks.
    pub fn peers(&self) -> PeersReceiver {
        self.peers.subscribe()
    }

    /// Returns the lease under which this process may act as an owner.
    pub fn lease(&self) -> Arc<Lease> {
        Arc::clone(&self.lease)
    }

    pub(super) fn ownership_sender(&self) -> watch::Sender<Arc<OwnershipView>> {
        self.ownership.clone()
    }

    pub(super) fn peers_sender(&self) -> watch::Sender<Arc<PeersView>> {
        self.peers.clone()
    }
}
