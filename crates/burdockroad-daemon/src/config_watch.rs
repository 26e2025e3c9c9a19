//! The configuration document in force on this host.
//!
//! The document is watched in the store. Its confirmations are cheap reads, at most one a second and
//! none while a peer has confirmed lately. The progress events of the watch were refused as
//! confirmations: they answer no question of this host, so a process that was paused could not tell
//! old ones from new. A host that the store does not reach learns of changes from its peers.

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

/// What heartbeats carry about the document, and what comes of them.
pub trait DocumentGossip: fmt::Debug + Send + Sync {
    /// Returns what this host vouches for, to be sent with each heartbeat and with each answer to one.
    fn document_freshness(&self) -> DocumentFreshness;

    /// Takes note of a peer's answer to a heartbeat that this host sent at `asked_at`.
    ///
    /// Only answers count, not the heartbeats that peers send: this host cannot tell their age.
    fn observe_peer(&self, host_id: &HostId, address: &str, asked_at: Instant, freshness: &DocumentFreshness);

    /// Takes note of the platform's host list, whenever it was read.
    fn observe_list(&self, hosts: &[ListedHost]);
}

/// Takes the stored document from an operator's tool.
///
/// The store may be cut off from all hosts and yet be reached by the tool, which then hands over what
/// it has just stored. A host that can confirm its document takes none by this way.
pub trait DocumentOffer: fmt::Debug + Send + Sync {
    /// Puts a document in force if it is newer and this host cannot confirm its own, and returns the
    /// version that is in force then.
    fn offer_document(&self, versioned: VersionedDocument) -> DocumentVersion;
}

/// Keeps the document in force up to date.
#[derive(Debug)]
pub struct ConfigWatch {
    shared: Arc<Shared>,
    tasks: JoinSet<()>,
}

impl ConfigWatch {
    /// Starts to watch the document; until it is found, version 0 is in force, which has no routes.
    ///
    /// Needs a running tokio runtime.
    pub fn start(host_id: HostId, store: SharedKeyValue, peers: Arc<PeerClients>) -> Self {
        let shared = Arc::new(Shared::new(host_id, store, peers));
        let mut tasks = JoinSet::new();
        tasks.spawn(tasks::watch(Arc::clone(&shared)));
        tasks.spawn(tasks::confirm(Arc::clone(&shared)));
        tasks.spawn(tasks::fetch(Arc::clone(&shared)));
        Self { shared, tasks }
    }

    /// Returns the document in force, and every change of it.
    pub fn in_force(&self) -> InForceReceiver {
        self.shared.subscribe()
    }

    /// Returns what heartbeats are to carry and to report to.
    pub fn gossip(&self) -> Arc<dyn DocumentGossip> {
        Arc::<Shared>::clone(&self.shared)
    }

    /// Returns what gives the document to peers.
    pub fn handler(&self) -> Arc<dyn DocumentHandler> {
        Arc::<Shared>::clone(&self.shared)
    }

    /// Returns what takes documents from operators' tools.
    pub fn offer(&self) -> Arc<dyn DocumentOffer> {
        Arc::<Shared>::clone(&self.shared)
    }

    /// Stops to watch; the document stays as it is.
    pub async fn close(mut self) {
        self.tasks.shutdown().await;
    }
}
