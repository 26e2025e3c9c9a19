//! The service that answers other daemons; each call goes to the module that it concerns.

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

/// Largest message between peers, in bytes.
const MESSAGE_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Frames of a forwarded call's answer.
pub type ForwardStream = Pin<Box<dyn Stream<Item = Result<ForwardFrame, Status>> + Send>>;

/// Answers heartbeats.
#[async_trait]
pub trait HeartbeatHandler: fmt::Debug + Send + Sync {
    /// Takes note of the sender and tells how this host sees things.
    async fn heartbeat(&self, request: HeartbeatRequest) -> HeartbeatResponse;
}

/// Serves calls that a peer took from a caller.
#[async_trait]
pub trait ForwardHandler: fmt::Debug + Send + Sync {
    /// Serves one call.
    async fn forward(&self, request: ForwardRequest) -> ForwardStream;
}

/// Keeps copies of peers' journal tails.
#[async_trait]
pub trait TailHandler: fmt::Debug + Send + Sync {
    /// Keeps records, unless the tail is sealed.
    async fn replicate(&self, request: ReplicateTailRequest) -> ReplicateTailResponse;

    /// Seals a tail and returns what is held of it.
    async fn seal(&self, request: SealTailRequest) -> SealTailResponse;
}

/// Takes over program trees.
#[async_trait]
pub trait AdoptHandler: fmt::Debug + Send + Sync {
    /// Makes the trees durable here before they are served here.
    async fn adopt(&self, request: AdoptRequest) -> AdoptResponse;
}

/// Gives out the document in force.
#[async_trait]
pub trait DocumentHandler: fmt::Debug + Send + Sync {
    /// Returns the document in force here.
    async fn document(&self) -> FetchDocumentResponse;
}

/// Gives out tokens of the buckets that this host owns.
#[async_trait]
pub trait GrantHandler: fmt::Debug + Send + Sync {
    /// Grants what the bucket allows now.
    async fn grant(&self, request: GrantRequest) -> GrantResponse;
}

/// Gives out slots of the pools that this host owns.
#[async_trait]
pub trait SlotHandler: fmt::Debug + Send + Sync {
    /// Waits for a slot.
    async fn acquire(&self, request: AcquireSlotRequest) -> AcquireSlotResponse;

    /// Takes a slot back.
    async fn release(&self, request: ReleaseSlotRequest) -> ReleaseSlotResponse;
}

/// The modules that answer peers.
#[derive(Clone, Debug)]
pub struct PeerHandlers {
    /// Answers heartbeats.
    pub heartbeat: Arc<dyn HeartbeatHandler>,
    /// Serves forwarded calls.
    pub forward: Arc<dyn ForwardHandler>,
    /// Keeps journal tails.
    pub tail: Arc<dyn TailHandler>,
    /// Takes over program trees.
    pub adopt: Arc<dyn AdoptHandler>,
    /// Gives out the document.
    pub document: Arc<dyn DocumentHandler>,
    /// Gives out tokens.
    pub grant: Arc<dyn GrantHandler>,
    /// Gives out slots.
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

/// Answers peers on a listener until `stop` resolves.
///
/// # Errors
///
/// Fails when the listener breaks.
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
    // The builder's own setting concerns only listeners that it opens itself.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    Server::builder()
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, stop)
        .await?;
    Ok(address)
}
