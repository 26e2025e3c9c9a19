//! Peer handlers that return default responses.

use async_trait::async_trait;
use burdockroad_daemon::peer::{
    AdoptHandler, DocumentHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler,
    SlotHandler, TailHandler,
};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, AdoptRequest, AdoptResponse, FetchDocumentResponse,
    ForwardRequest, GrantRequest, GrantResponse, HeartbeatRequest, HeartbeatResponse, ReleaseSlotRequest,
    ReleaseSlotResponse, ReplicateTailRequest, ReplicateTailResponse, SealTailRequest, SealTailResponse,
};

/// Peer handlers that return default responses.
#[derive(Debug)]
pub struct StubHandlers;

#[async_trait]
impl HeartbeatHandler for StubHandlers {
    async fn heartbeat(&self, _request: HeartbeatRequest) -> HeartbeatResponse {
        HeartbeatResponse::default()
    }
}

#[async_trait]
impl ForwardHandler for StubHandlers {
    async fn forward(&self, _request: ForwardRequest) -> ForwardStream {
        Box::pin(futures_util::stream::empty())
    }
}

#[async_trait]
impl TailHandler for StubHandlers {
    async fn replicate(&self, _request: ReplicateTailRequest) -> ReplicateTailResponse {
        ReplicateTailResponse::default()
    }

    async fn seal(&self, _request: SealTailRequest) -> SealTailResponse {
        SealTailResponse::default()
    }
}

#[async_trait]
impl AdoptHandler for StubHandlers {
    async fn adopt(&self, _request: AdoptRequest) -> AdoptResponse {
        AdoptResponse::default()
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
    async fn grant(&self, _request: GrantRequest) -> GrantResponse {
        GrantResponse::default()
    }
}

#[async_trait]
impl SlotHandler for StubHandlers {
    async fn acquire(&self, _request: AcquireSlotRequest) -> AcquireSlotResponse {
        AcquireSlotResponse::default()
    }

    async fn release(&self, _request: ReleaseSlotRequest) -> ReleaseSlotResponse {
        ReleaseSlotResponse::default()
    }
}
