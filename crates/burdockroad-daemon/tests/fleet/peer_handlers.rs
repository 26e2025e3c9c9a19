//! Peer handlers of a test host. Those of the coordinator are real, and the others are stubs.

use std::{sync::Arc, time::Instant};

use async_trait::async_trait;
use burdockroad::HostId;
use burdockroad_daemon::{
    config_watch::DocumentGossip,
    peer::{
        AdoptHandler, DocumentHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler,
        PeerHandlers, SlotHandler, TailHandler,
    },
    platform::ListedHost,
};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, DocumentFreshness, FetchDocumentResponse, ForwardRequest,
    GrantRequest, GrantResponse, ReleaseSlotRequest, ReleaseSlotResponse, ReplicateTailRequest,
    ReplicateTailResponse, SealTailRequest, SealTailResponse,
};

/// Peer handlers that return default responses, and a document gossip that ignores its peers.
#[derive(Debug)]
pub struct StubHandlers;

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

impl DocumentGossip for StubHandlers {
    fn document_freshness(&self) -> DocumentFreshness {
        DocumentFreshness::default()
    }

    fn observe_peer(&self, _: &HostId, _: &str, _: Instant, _: &DocumentFreshness) {}

    fn observe_list(&self, _: &[ListedHost]) {}
}

#[async_trait]
impl ForwardHandler for StubHandlers {
    async fn forward(&self, _: ForwardRequest) -> ForwardStream {
        Box::pin(futures_util::stream::empty())
    }
}

#[async_trait]
impl TailHandler for StubHandlers {
    async fn replicate(&self, _: ReplicateTailRequest) -> ReplicateTailResponse {
        ReplicateTailResponse::default()
    }

    async fn seal(&self, _: SealTailRequest) -> SealTailResponse {
        SealTailResponse::default()
    }
}

#[async_trait]
impl DocumentHandler for StubHandlers {
    async fn document(&self) -> FetchDocumentResponse {
        FetchDocumentResponse::default()
    }
}

#[async_trait]
impl GrantHandler for StubHandlers {
    async fn grant(&self, _: GrantRequest) -> GrantResponse {
        GrantResponse::default()
    }
}

#[async_trait]
impl SlotHandler for StubHandlers {
    async fn acquire(&self, _: AcquireSlotRequest) -> AcquireSlotResponse {
        AcquireSlotResponse::default()
    }

    async fn release(&self, _: ReleaseSlotRequest) -> ReleaseSlotResponse {
        ReleaseSlotResponse::default()
    }
}
