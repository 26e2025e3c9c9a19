//! What the other parts of a daemon see of the fleet.

use std::sync::Arc;

use burdockroad::{HostId, ownership::Process};
use tokio::sync::watch;

use crate::{
    membership::Lease,
    ownership::{OwnershipReceiver, OwnershipView, PeersReceiver, PeersView},
};

/// The ownership map, the peers and the lease, before a coordinator fills them.
#[derive(Clone, Debug)]
pub struct Views {
    me: Process,
    ownership: watch::Sender<Arc<OwnershipView>>,
    peers: watch::Sender<Arc<PeersView>>,
    lease: Arc<Lease>,
}

impl Views {
    /// Makes empty views for a new process on a host.
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

    /// The process as which this host starts.
    pub fn me(&self) -> Process {
        self.me.clone()
    }

    /// The ownership map as this host knows it.
    pub fn ownership(&self) -> OwnershipReceiver {
        self.ownership.subscribe()
    }

    /// Peers that this host has heard from lately.
    pub fn peers(&self) -> PeersReceiver {
        self.peers.subscribe()
    }

    /// Whether this process may act as an owner.
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
