//! A peer that answers with the given modules, and with nothing elsewhere.

use std::sync::Arc;

use async_trait::async_trait;
use burdockroad_daemon::peer::{
    AdoptHandler, DocumentHandler, ForwardHandler, ForwardStream, GrantHandler, HeartbeatHandler,
    PeerHandlers, SlotHandler, TailHandler, serve,
};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, AdoptRequest, AdoptResponse, FetchDocumentResponse,
    ForwardRequest, GrantRequest, GrantResponse, HeartbeatRequest, HeartbeatResponse, ReleaseSlotRequest,
    ReleaseSlotResponse, ReplicateTailRequest, ReplicateTailResponse, SealTailRequest, SealTailResponse,
};
use tokio::net::TcpListener;

/// Answers every call with an empty message.
#[derive(Debug)]
pub struct Silent;

#[async_trait]
impl HeartbeatHandler for Silent {
    async fn heartbeat(&self, _request: HeartbeatRequest) -> HeartbeatResponse {
        HeartbeatResponse::default()
    }
}

#[async_trait]
impl ForwardHandler for Silent {
    async fn forward(&self, _request: ForwardRequest) -> ForwardStream {
        Box::pin(futures_util::stream::empty())
    }
}

#[async_trait]
impl TailHandler for Silent {
    async fn replicate(&self, _request: ReplicateTailRequest) -> ReplicateTailResponse {
        ReplicateTailResponse::default()
    }

    async fn seal(&self, _request: SealTailRequest) -> SealTailResponse {
        SealTailResponse::default()
    }
}

#[async_trait]
impl AdoptHandler for Silent {
    async fn adopt(&self, _request: AdoptRequest) -> AdoptResponse {
        AdoptResponse::default()
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
    async fn grant(&self, _request: GrantRequest) -> GrantResponse {
        GrantResponse::default()
    }
}

#[async_trait]
impl SlotHandler for Silent {
    async fn acquire(&self, _request: AcquireSlotRequest) -> AcquireSlotResponse {
        AcquireSlotResponse::default()
    }

    async fn release(&self, _request: ReleaseSlotRequest) -> ReleaseSlotResponse {
        ReleaseSlotResponse::default()
    }
}

/// Serves these two modules on a free port and returns the address.
pub async fn serve_peer(grant: Arc<dyn GrantHandler>, slot: Arc<dyn SlotHandler>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address").to_string();
    let handlers = PeerHandlers {
        heartbeat: Arc::new(Silent),
        forward: Arc::new(Silent),
        tail: Arc::new(Silent),
        adopt: Arc::new(Silent),
        document: Arc::new(Silent),
        grant,
        slot,
    };
    tokio::spawn(serve(listener, handlers, std::future::pending()));
    address
}
