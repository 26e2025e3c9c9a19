//! gRPC services of the key-value stand-in.

use std::{pin::Pin, sync::Arc};

use burdockroad_proto::etcdserverpb::{
    DeleteRangeRequest, DeleteRangeResponse, LeaseGrantRequest, LeaseGrantResponse, LeaseKeepAliveRequest,
    LeaseKeepAliveResponse, LeaseRevokeRequest, LeaseRevokeResponse, PutRequest, PutResponse, RangeRequest,
    RangeResponse, RequestOp, TxnRequest, TxnResponse, WatchRequest, WatchResponse, kv_server::Kv,
    lease_server::Lease, request_op::Request as Op, watch_server::Watch,
};
use futures_util::{Stream, StreamExt, stream};
use tokio::{sync::mpsc, time::Instant};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::kv::{Shared, meter::CallKind, watch_stream};

const WATCH_QUEUE_LEN: usize = 16;

type ResponseStream<T> = Pin<Box<dyn Stream<Item = Result<T, Status>> + Send>>;

/// Implementation of the gRPC services on the shared state.
#[derive(Clone, Debug)]
pub(crate) struct KvService {
    pub(crate) shared: Arc<Shared>,
}

#[tonic::async_trait]
impl Kv for KvService {
    async fn range(&self, request: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.shared.admit_call(CallKind::Read).await?;
        let response = self.shared.with_store(|store| store.range(request.get_ref()))?;
        Ok(Response::new(response))
    }

    async fn put(&self, request: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        self.shared.admit_call(CallKind::Write).await?;
        let response = self.shared.with_store(|store| store.put(request.get_ref()))?;
        self.shared.reply_to_write(response).await
    }

    async fn delete_range(
        &self,
        request: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        self.shared.admit_call(CallKind::Write).await?;
        let response = self
            .shared
            .with_store(|store| store.delete_range(request.get_ref()))?;
        self.shared.reply_to_write(response).await
    }

    async fn txn(&self, request: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        let writes = may_write(request.get_ref());
        let kind = if writes { CallKind::Write } else { CallKind::Read };
        self.shared.admit_call(kind).await?;
        let response = self.shared.with_store(|store| store.txn(request.get_ref()))?;
        if writes {
            self.shared.reply_to_write(response).await
        } else {
            Ok(Response::new(response))
        }
    }
}

#[tonic::async_trait]
impl Lease for KvService {
    type LeaseKeepAliveStream = ResponseStream<LeaseKeepAliveResponse>;

    async fn lease_grant(
        &self,
        request: Request<LeaseGrantRequest>,
    ) -> Result<Response<LeaseGrantResponse>, Status> {
        self.shared.admit_call(CallKind::Write).await?;
        let message = request.get_ref();
        let response = self.shared.with_store(|store| {
            let (id, ttl) = store.lease_grant(message.id, message.ttl, Instant::now())?;
            Ok(LeaseGrantResponse {
                header: Some(store.header()),
                id,
                ttl,
                error: String::new(),
            })
        })?;
        self.shared.reply_to_write(response).await
    }

    async fn lease_revoke(
        &self,
        request: Request<LeaseRevokeRequest>,
    ) -> Result<Response<LeaseRevokeResponse>, Status> {
        self.shared.admit_call(CallKind::Write).await?;
        let response = self.shared.with_store(|store| {
            store.lease_revoke(request.get_ref().id)?;
            Ok(LeaseRevokeResponse {
                header: Some(store.header()),
            })
        })?;
        self.shared.reply_to_write(response).await
    }

    async fn lease_keep_alive(
        &self,
        request: Request<Streaming<LeaseKeepAliveRequest>>,
    ) -> Result<Response<Self::LeaseKeepAliveStream>, Status> {
        let state = (Arc::clone(&self.shared), request.into_inner());
        let responses = stream::unfold(state, |(shared, mut requests)| async move {
            let message = requests.next().await?;
            let response = match message {
                Ok(message) => keep_alive(&shared, message.id).await,
                Err(status) => Err(status),
            };
            Some((response, (shared, requests)))
        });
        Ok(Response::new(Box::pin(responses)))
    }
}

#[tonic::async_trait]
impl Watch for KvService {
    type WatchStream = ReceiverStream<Result<WatchResponse, Status>>;

    async fn watch(
        &self,
        request: Request<Streaming<WatchRequest>>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let (response_sender, receiver) = mpsc::channel(WATCH_QUEUE_LEN);
        let shared = Arc::clone(&self.shared);
        tokio::spawn(watch_stream::run(shared, request.into_inner(), response_sender));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }
}

async fn keep_alive(shared: &Shared, id: i64) -> Result<LeaseKeepAliveResponse, Status> {
    shared.admit_call(CallKind::Write).await?;
    shared.with_store(|store| {
        let ttl = store.lease_keep_alive(id, Instant::now());
        Ok(LeaseKeepAliveResponse {
            header: Some(store.header()),
            id,
            ttl,
        })
    })
}

fn may_write(txn: &TxnRequest) -> bool {
    let mut ops = txn.success.iter().chain(&txn.failure);
    ops.any(op_may_write)
}

fn op_may_write(op: &RequestOp) -> bool {
    match &op.request {
        Some(Op::RequestPut(_) | Op::RequestDeleteRange(_)) => true,
        Some(Op::RequestTxn(nested)) => may_write(nested),
        Some(Op::RequestRange(_)) | None => false,
    }
}
