//! Peer handlers of a test host. Those of the coordinator are real, and the others are stubs.

use std::{sync::Arc, time::Instant};

use burdockroad::HostId;
use burdockroad_daemon::{
    config_watch::DocumentGossip,
    peer::{AdoptHandler, HeartbeatHandler, PeerHandlers},
    platform::ListedHost,
};
use burdockroad_proto::peer::DocumentFreshness;

pub use crate::stub_handlers::StubHandlers;

pub fn handlers(heartbeat: Arc<dyn HeartbeatHandler>, adopt: Arc<dyn AdoptHandler>) -> PeerHandlers {
    PeerHandlers {
        heartbeat,
        adopt,
        forward: Arc::new(StubHandlers),
        tail: Arc::new(StubHandlers),
        document: Arc::new(StubHandlers),
        grant: Arc::new(StubHandlers),
        slot: Arc::new(StubHandlers),
    }
}

/// Document gossip that ignores its peers.
impl DocumentGossip for StubHandlers {
    fn document_freshness(&self) -> DocumentFreshness {
        DocumentFreshness::default()
    }

    fn observe_peer(&self, _: &HostId, _: &str, _: Instant, _: &DocumentFreshness) {}

    fn observe_list(&self, _: &[ListedHost]) {}
}
