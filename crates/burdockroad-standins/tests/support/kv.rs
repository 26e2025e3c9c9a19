//! A key-value stand-in with clients.

use std::time::Duration;

use burdockroad_proto::etcdserverpb::{
    PutRequest, RangeRequest, WatchCreateRequest, WatchRequest, WatchResponse, kv_client::KvClient,
    lease_client::LeaseClient, watch_client::WatchClient, watch_request::RequestUnion,
};
use burdockroad_standins::kv::{KvOptions, KvStandin};
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Code, Streaming, transport::Channel};

/// Timeout for expected events; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in with a client for each of its services.
pub(crate) struct Fixture {
    pub(crate) standin: KvStandin,
    pub(crate) keys: KvClient<Channel>,
    pub(crate) leases: LeaseClient<Channel>,
    pub(crate) watches: WatchClient<Channel>,
}

pub(crate) async fn start(options: KvOptions) -> Fixture {
    let standin = KvStandin::start(options).await.unwrap();
    let target = format!("http://{}", standin.address());
    Fixture {
        standin,
        keys: KvClient::connect(target.clone()).await.unwrap(),
        leases: LeaseClient::connect(target.clone()).await.unwrap(),
        watches: WatchClient::connect(target).await.unwrap(),
    }
}

pub(crate) struct WatchHandle {
    pub(crate) requests: mpsc::Sender<WatchRequest>,
    pub(crate) responses: Streaming<WatchResponse>,
}

impl WatchHandle {
    pub(crate) async fn send(&self, request: RequestUnion) {
        let request_union = Some(request);
        self.requests.send(WatchRequest { request_union }).await.unwrap();
    }

    pub(crate) async fn next(&mut self) -> Result<Option<WatchResponse>, tonic::Status> {
        tokio::time::timeout(TIMEOUT, self.responses.message())
            .await
            .unwrap()
    }
}

pub(crate) async fn open_watch(fixture: &mut Fixture, create: WatchCreateRequest) -> WatchHandle {
    let (requests, receiver) = mpsc::channel(8);
    let request_union = Some(RequestUnion::CreateRequest(create));
    requests.send(WatchRequest { request_union }).await.unwrap();
    let stream = fixture
        .watches
        .watch(ReceiverStream::new(receiver))
        .await
        .unwrap();
    let mut handle = WatchHandle {
        requests,
        responses: stream.into_inner(),
    };
    assert!(handle.next().await.unwrap().unwrap().created);
    handle
}

pub(crate) fn put(key: &str, value: &str) -> PutRequest {
    PutRequest {
        key: key.into(),
        value: value.into(),
        ..PutRequest::default()
    }
}

pub(crate) fn range(key: &str, range_end: &[u8]) -> RangeRequest {
    RangeRequest {
        key: key.into(),
        range_end: range_end.to_vec(),
        ..RangeRequest::default()
    }
}

pub(crate) fn code_of<T>(result: Result<T, tonic::Status>) -> Code {
    result.map_or_else(|status| status.code(), |_| Code::Ok)
}
