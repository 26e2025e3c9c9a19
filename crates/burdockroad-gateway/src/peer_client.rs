//! Client for calls to other hosts, over HTTP with CBOR bodies.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::MemoryUse;
use burdockroad_daemon::http::CallerMemory;
use bytes::{Bytes, BytesMut};
use http::{HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use crate::{
    message_server::read_message,
    pool::{Connection, ConnectionPool, connect},
};

/// Maximum number of idle connections to one host.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// Longest time for which the body of a large response is received.
const FETCH_TIME_MAX: Duration = Duration::from_secs(2);

/// Reason why a call to another host failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PeerError {
    /// The call did not reach the host.
    Unreachable,
    /// The host did not respond, but may have received the call.
    NoResponse,
}

/// How far a response came that did not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FailedFetch {
    /// What was waited for.
    pub(crate) phase: FetchPhase,
    /// Bytes of the body that arrived.
    pub(crate) received_bytes: usize,
}

/// Part of a call to another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FetchPhase {
    /// Waiting to be sent the update.
    Queue,
    /// Connecting, and receiving the head of the response.
    Head,
    /// Receiving the body.
    Body,
    /// Reading a body that arrived.
    Decoding,
}

/// Client for calls to other hosts.
#[derive(Debug, Default)]
pub(crate) struct PeerClient {
    pool: ConnectionPool,
    /// Memory of which the responses to calls take a part; `None` if they are not bounded together.
    memory: Option<Arc<CallerMemory>>,
}

impl PeerClient {
    /// Creates a client whose responses take a part of the memory of callers: histories come as such responses.
    pub(crate) fn with_memory(memory: Arc<CallerMemory>) -> Self {
        Self {
            memory: Some(memory),
            ..Self::default()
        }
    }

    /// Calls the host at `address`. Connecting, receiving the response head and receiving the body may each
    /// take up to `response_timeout`.
    pub(crate) async fn call<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &impl Serialize,
        response_timeout: Duration,
    ) -> Result<R, PeerError> {
        self.call_encoded(address, encode_message(call)?, response_timeout)
            .await
    }

    /// Like [`call`](Self::call), with a call that is encoded already because several hosts receive it.
    pub(crate) async fn call_encoded<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: Bytes,
        response_timeout: Duration,
    ) -> Result<R, PeerError> {
        let (connection, response) = self.send(address, call, response_timeout).await?;
        // Held until the response is decoded.
        let mut share = self
            .memory
            .as_ref()
            .map(|memory| memory.share(MemoryUse::History));
        let reading = read_message(share.as_mut(), response.into_body());
        let Ok(Some(message)) = timeout(response_timeout, reading).await else {
            return Err(PeerError::NoResponse);
        };
        self.keep(address, connection);
        ciborium::from_reader(&*message).map_err(|_malformed| PeerError::NoResponse)
    }

    /// Like [`call`](Self::call), for a response that may be large: its body may take longer while data arrives, up to
    /// [`FETCH_TIME_MAX`]. Returns how far it came when it does not arrive.
    pub(crate) async fn fetch<R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        call: &impl Serialize,
        progress_timeout: Duration,
    ) -> Result<R, FailedFetch> {
        let failed = |phase, received_bytes| FailedFetch {
            phase,
            received_bytes,
        };
        let call = encode_message(call).map_err(|_unencodable| failed(FetchPhase::Head, 0))?;
        let sent = self.send(address, call, progress_timeout).await;
        let (connection, response) = sent.map_err(|_no_head| failed(FetchPhase::Head, 0))?;
        let mut received = BytesMut::new();
        let reading = read_into(&mut received, response.into_body(), progress_timeout);
        let read = timeout(FETCH_TIME_MAX, reading).await;
        let bytes = received.len();
        if !matches!(read, Ok(Some(()))) {
            return Err(failed(FetchPhase::Body, bytes));
        }
        self.keep(address, connection);
        ciborium::from_reader(&*received).map_err(|_malformed| failed(FetchPhase::Decoding, bytes))
    }

    /// Sends a call, and returns the connection and the head of the response.
    async fn send(
        &self,
        address: SocketAddr,
        call: Bytes,
        response_timeout: Duration,
    ) -> Result<(Connection, Response<Incoming>), PeerError> {
        let key = address.to_string();
        let mut request = message_request(call);
        if let Some(mut connection) = self.pool.take(&key, address, Instant::now()) {
            let result = timeout(response_timeout, connection.http.sender.try_send_request(request)).await;
            match result {
                Ok(Ok(response)) => return Ok((connection, response)),
                Ok(Err(mut unsent)) => {
                    request = unsent.take_message().ok_or(PeerError::NoResponse)?;
                }
                Err(_elapsed) => {
                    self.pool.close_idle(&key);
                    return Err(PeerError::NoResponse);
                }
            }
        }
        let connecting = connect(address, response_timeout).await;
        let mut connection = connecting.map_err(|_unreachable| PeerError::Unreachable)?;
        let result = timeout(response_timeout, connection.http.sender.send_request(request)).await;
        match result {
            Ok(Ok(response)) => Ok((connection, response)),
            Ok(Err(_)) | Err(_) => Err(PeerError::NoResponse),
        }
    }

    /// Keeps a connection whose response was read completely.
    fn keep(&self, address: SocketAddr, connection: Connection) {
        let key = address.to_string();
        self.pool
            .put(&key, connection, None, IDLE_CONNECTIONS_MAX, Instant::now());
    }
}

/// Appends the data of a body to `received` until the body ends; `None` if it breaks off or no data arrives in time.
async fn read_into(received: &mut BytesMut, mut body: Incoming, progress_timeout: Duration) -> Option<()> {
    while let Some(frame) = timeout(progress_timeout, body.frame()).await.ok()? {
        if let Ok(data) = frame.ok()?.into_data() {
            received.extend_from_slice(&data);
        }
    }
    Some(())
}

/// Encodes a call to another host.
pub(crate) fn encode_message(call: &impl Serialize) -> Result<Bytes, PeerError> {
    let mut bytes = Vec::new();
    ciborium::into_writer(call, &mut bytes).map_err(|_unencodable| PeerError::Unreachable)?;
    Ok(Bytes::from(bytes))
}

fn message_request(message: Bytes) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(message));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = Uri::from_static("/peer");
    let headers = request.headers_mut();
    headers.insert(header::HOST, HeaderValue::from_static("peer"));
    request
}
