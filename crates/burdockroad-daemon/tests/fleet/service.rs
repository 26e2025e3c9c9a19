//! A peer service of which only the coordinator's part answers.

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

/// Answers everything with nothing.
#[derive(Debug)]
pub struct Silent;

pub fn handlers(heartbeat: Arc<dyn HeartbeatHandler>, adopt: Arc<dyn AdoptHandler>) -> PeerHandlers {
    PeerHandlers {
        heartbeat,
        adopt,
        forward: Arc::new(Silent),
        tail: Arc::new(Silent),
        document: Arc::new(Silent),
        grant: Arc::new(Silent),
        slot: Arc::new(Silent),
    }
}

impl DocumentGossip for Silent {
    fn document_freshness(&self) -> DocumentFreshness {
        DocumentFreshness::default()
    }

    fn observe_peer(&self, _: &HostId, _: &str, _: Instant, _: &DocumentFreshness) {}

    fn observe_list(&self, _: &[ListedHost]) {}
}

#[async_trait]
impl ForwardHandler for Silent {
    async fn forward(&self, _: ForwardRequest) -> ForwardStream {
        Box::pin(futures_util::stream::empty())
    }
}

#[async_trait]
impl TailHandler for Silent {
    async fn replicate(&self, _: ReplicateTailRequest) -> ReplicateTailResponse {
        ReplicateTailResponse::default()
    }

    async fn seal(&self, _: SealTailRequest) -> SealTailResponse {
        SealTailResponse::default()
    }
}

#[async_trait]
impl DocumentHandler for Silent {
    async fn document(&self) -> FetchDocumentResponse {
        FetchDocumentResponse::default()
    }
}

#[async_trait]
impl GrantHandler for Silent {
    async fn grant(&self, _: GrantRequest) -> GrantResponse {
        GrantResponse::default()
    }
}

#[async_trait]
impl SlotHandler for Silent {
    async fn acquire(&self, _: AcquireSlotRequest) -> AcquireSlotResponse {
        AcquireSlotResponse::default()
    }

    async fn release(&self, _: ReleaseSlotRequest) -> ReleaseSlotResponse {
        ReleaseSlotResponse::default()
    }
}
