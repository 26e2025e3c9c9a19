//! The configuration document in force on this host.
//!
//! A watch on the store reports changes of the document. Cheap reads of the store, at most about one a
//! second, confirm that the document is current. They are skipped while the latest confirmation, which
//! may come from a peer, is younger than `CONFIRM_AGE`. Progress events of the watch do not count as
//! confirmations: they are not responses to a request of this host, so a process that was paused could
//! not distinguish old events from new ones. A host that cannot reach the store receives changes from
//! its peers.

mod in_force;
mod shared;
mod tasks;

use std::{fmt, sync::Arc, time::Instant};

use burdockroad::{DocumentVersion, HostId, config::VersionedDocument};
use burdockroad_proto::peer::DocumentFreshness;
use tokio::task::JoinSet;

pub use self::in_force::{InForce, InForceReceiver};
use self::shared::Shared;
use crate::{
    peer::{DocumentHandler, PeerClients},
    platform::{ListedHost, SharedKeyValue},
};

/// Key of the document in the store.
pub const DOCUMENT_KEY: &str = "burdockroad/config/document";

/// Exchange of the document's freshness between hosts through heartbeats.
pub trait DocumentGossip: fmt::Debug + Send + Sync {
    /// Returns the version of the document in force and the age of its newest confirmation. Each heartbeat
    /// and each heartbeat response carries both.
    fn document_freshness(&self) -> DocumentFreshness;

    /// Records the freshness in a peer's response to a heartbeat that this host sent at `requested_at`.
    ///
    /// The freshness in heartbeats that peers send is ignored, because this host cannot determine the age of
    /// a heartbeat.
    fn observe_peer(
        &self,
        host_id: &HostId,
        address: &str,
        requested_at: Instant,
        freshness: &DocumentFreshness,
    );

    /// Records the platform's host list. Called after each read of the list.
    fn observe_list(&self, hosts: &[ListedHost]);
}

/// Handler of documents that an operator's tool sends to this host.
///
/// The store may be unreachable for all hosts but reachable for the tool. The tool then sends the hosts
/// the document that it has just stored. A host that can confirm its own document ignores it.
pub trait DocumentOffer: fmt::Debug + Send + Sync {
    /// Puts a document in force if it is newer and this host cannot confirm its own. Returns the version
    /// that is in force afterwards.
    fn offer_document(&self, versioned: VersionedDocument) -> DocumentVersion;
}

/// Background tasks that keep the document in force up to date.
#[derive(Debug)]
pub struct ConfigWatch {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl ConfigWatch {
    /// Starts watching the document. Version 0, which has no routes, is in force until a document is found.
    ///
    /// Must be called within a tokio runtime.
    pub fn start(host_id: HostId, store: SharedKeyValue, peers: Arc<PeerClients>) -> Self {
        let shared = Arc::new(Shared::new(host_id, store, peers));
        let mut tasks = JoinSet::new();
        tasks.spawn(tasks::watch(Arc::clone(&shared)));
        tasks.spawn(tasks::confirm(Arc::clone(&shared)));
        tasks.spawn(tasks::fetch(Arc::clone(&shared)));
        Self { shared, tasks }
    }

    /// Returns a receiver of the document in force and of its changes.
    pub fn in_force(&self) -> InForceReceiver {
        self.shared.subscribe()
    }

    /// Returns the exchange of document freshness for heartbeats.
    pub fn gossip(&self) -> Arc<dyn DocumentGossip> {
        Arc::<Shared>::clone(&self.shared)
    }

    /// Returns the handler of document requests from peers.
    pub fn handler(&self) -> Arc<dyn DocumentHandler> {
        Arc::<Shared>::clone(&self.shared)
    }

    /// Returns the handler of documents that operators' tools send.
    pub fn offer(&self) -> Arc<dyn DocumentOffer> {
        Arc::<Shared>::clone(&self.shared)
    }

    /// Stops the background tasks. The document in force stays unchanged.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}
