//! Server of requests from other daemons, which dispatches each request to the responsible module.

use std::{fmt, net::SocketAddr, pin::Pin, sync::Arc};

use async_trait::async_trait;
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, AdoptRequest, AdoptResponse, FetchDocumentRequest,
    FetchDocumentResponse, ForwardFrame, ForwardRequest, GrantRequest, GrantResponse, HeartbeatRequest,
    HeartbeatResponse, ReleaseSlotRequest, ReleaseSlotResponse, ReplicateTailRequest, ReplicateTailResponse,
    SealTailRequest, SealTailResponse,
    peer_server::{Peer, PeerServer},
};
use futures_util::Stream;
use tokio::net::TcpListener;
use tonic::{
    Request, Response, Status,
    transport::{Server, server::TcpIncoming},
};

/// Maximum size of a message between peers, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Stream of the response frames of a forwarded call.
pub type ForwardStream = Pin<Box<dyn Stream<Item = Result<ForwardFrame, Status>> + Send>>;

/// Handler of heartbeats.
#[async_trait]
pub trait HeartbeatHandler: fmt::Debug + Send + Sync {
    /// Records the sender and returns this host's view of the fleet.
    async fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatResponse;
}

/// Handler of calls that a peer has received from a caller and forwards to this host.
#[async_trait]
pub trait ForwardHandler: fmt::Debug + Send + Sync {
    /// Serves one call.
    async fn forward(&self, request: ForwardRequest) -> ForwardStream;
}

/// Handler of copies of peers' journal tails.
#[async_trait]
pub trait TailHandler: fmt::Debug + Send + Sync {
    /// Stores copies of records, unless the tail is sealed.
    async fn replicate(&self, request: ReplicateTailRequest) -> ReplicateTailResponse;

    /// Seals a tail and returns its copy.
    async fn seal(&self, request: SealTailRequest) -> SealTailResponse;
}

/// Handler of program trees that are handed off to this host.
#[async_trait]
pub trait AdoptHandler: fmt::Debug + Send + Sync {
    /// Makes the trees durable on this host, before this host serves them.
    async fn adopt(&self, request: AdoptRequest) -> AdoptResponse;
}

/// Handler of requests for the document in force.
#[async_trait]
pub trait DocumentHandler: fmt::Debug + Send + Sync {
    /// Returns the document in force on this host.
    async fn document(&self) -> FetchDocumentResponse;
}

/// Handler of requests for tokens from the buckets that this host owns.
#[async_trait]
pub trait GrantHandler: fmt::Debug + Send + Sync {
    /// Grants the tokens that the bucket allows at present.
    async fn grant(&self, request: GrantRequest) -> GrantResponse;
}

/// Handler of requests for slots of the pools that this host owns.
#[async_trait]
pub trait SlotHandler: fmt::Debug + Send + Sync {
    /// Waits for a slot.
    async fn acquire(&self, request: AcquireSlotRequest) -> AcquireSlotResponse;

    /// Releases a slot.
    async fn release(&self, request: ReleaseSlotRequest) -> ReleaseSlotResponse;
}

/// Handlers of requests from peers.
#[derive(Clone, Debug)]
pub struct PeerHandlers {
    /// Handler of heartbeats.
    pub heartbeat: Arc<dyn HeartbeatHandler>,
    /// Handler of forwarded calls.
    pub forward: Arc<dyn ForwardHandler>,
    /// Handler of journal tails.
    pub tail: Arc<dyn TailHandler>,
    /// Handler of program trees.
    pub adopt: Arc<dyn AdoptHandler>,
    /// Handler of document requests.
    pub document: Arc<dyn DocumentHandler>,
    /// Handler of token grants.
    pub grant: Arc<dyn GrantHandler>,
    /// Handler of slots.
    pub slot: Arc<dyn SlotHandler>,
}

#[async_trait]
impl Peer for PeerHandlers {
    type ForwardStream = ForwardStream;

    async fn heartbeat(
        &self,
        request: Request<HeartbeatRequest>,
    ) -> Result<Response<HeartbeatResponse>, Status> {
        Ok(Response::new(
            self.heartbeat.heartbeat(request.into_inner()).await,
        ))
    }

    async fn forward(
        &self,
        request: Request<ForwardRequest>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        Ok(Response::new(self.forward.forward(request.into_inner()).await))
    }

    async fn replicate_tail(
        &self,
        request: Request<ReplicateTailRequest>,
    ) -> Result<Response<ReplicateTailResponse>, Status> {
        Ok(Response::new(self.tail.replicate(request.into_inner()).await))
    }

    async fn seal_tail(
        &self,
        request: Request<SealTailRequest>,
    ) -> Result<Response<SealTailResponse>, Status> {
        Ok(Response::new(self.tail.seal(request.into_inner()).await))
    }

    async fn adopt(&self, request: Request<AdoptRequest>) -> Result<Response<AdoptResponse>, Status> {
        Ok(Response::new(self.adopt.adopt(request.into_inner()).await))
    }

    async fn fetch_document(
        &self,
        _request: Request<FetchDocumentRequest>,
    ) -> Result<Response<FetchDocumentResponse>, Status> {
        Ok(Response::new(self.document.document().await))
    }

    async fn grant(&self, request: Request<GrantRequest>) -> Result<Response<GrantResponse>, Status> {
        Ok(Response::new(self.grant.grant(request.into_inner()).await))
    }

    async fn acquire_slot(
        &self,
        request: Request<AcquireSlotRequest>,
    ) -> Result<Response<AcquireSlotResponse>, Status> {
        Ok(Response::new(self.slot.acquire(request.into_inner()).await))
    }

    async fn release_slot(
        &self,
        request: Request<ReleaseSlotRequest>,
    ) -> Result<Response<ReleaseSlotResponse>, Status> {
        Ok(Response::new(self.slot.release(request.into_inner()).await))
    }
}

/// Serves peers on a listener until `stop` completes.
///
/// # Errors
///
/// Fails when connections cannot be accepted on the listener.
pub async fn serve(
    listener: TcpListener,
    handlers: PeerHandlers,
    stop: impl Future<Output = ()> + Send,
) -> Result<SocketAddr, tonic::transport::Error> {
    let address = listener
        .local_addr()
        .unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    let service = PeerServer::new(handlers)
        .max_decoding_message_size(MESSAGE_MAX_BYTES)
        .max_encoding_message_size(MESSAGE_MAX_BYTES);
    // The builder's own `tcp_nodelay` setting applies only to listeners that it opens itself.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop)
        .await?;
    Ok(address)
}
