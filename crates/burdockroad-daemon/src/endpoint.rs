//! Requests to endpoints: model engines and plain services.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::problem::Ran;

/// Time within which a connection to an endpoint must stand.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle connection to an endpoint is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests to endpoints.
#[async_trait]
pub trait Endpoints: fmt::Debug + Send + Sync {
    /// Sends one request, once, and returns the head of the answer and its body as it arrives.
    ///
    /// # Errors
    ///
    /// Says whether the endpoint may have seen any of the request.
    async fn send(&self, request: EndpointRequest) -> Result<EndpointResponse, SendError>;
}

/// One request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// IP number and port.
    pub address: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers; the caller's key is not among them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether to use a connection of its own. A pooled connection that the endpoint closes at that
    /// moment leaves it unknown whether the request ran, which matters for calls that may not be
    /// repeated.
    pub fresh_connection: bool,
}

/// The head of an endpoint's answer, and its body as it arrives.
#[derive(Debug)]
pub struct EndpointResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
}

/// Why an endpoint did not answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendError {
    /// What happened, for the log.
    pub reason: String,
    /// Whether the endpoint may have run the request.
    pub ran: Ran,
}

impl fmt::Display for SendError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for SendError {}

impl EndpointResponse {
    /// Waits for the next part of the body; none at its end.
    ///
    /// # Errors
    ///
    /// Fails when the body was cut short.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| cut_short(&error))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body was cut short or is larger than `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, SendError> {
        let mut whole = Vec::new();
        while let Some(part) = self.next().await? {
            whole.extend_from_slice(&part);
            if whole.len() > max_bytes {
                let reason = format!("the answer is larger than {max_bytes} bytes");
                return Err(SendError {
                    reason,
                    ran: Ran::Yes,
                });
            }
        }
        Ok(Bytes::from(whole))
    }
}

/// Sends requests by HTTP/1.1 over pooled connections.
#[derive(Clone)]
pub struct HttpEndpoints {
    pooled: Client<HttpConnector, Full<Bytes>>,
    fresh: Client<HttpConnector, Full<Bytes>>,
}

impl fmt::Debug for HttpEndpoints {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpEndpoints").finish_non_exhaustive()
    }
}

impl HttpEndpoints {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self {
            pooled: client(usize::MAX),
            fresh: client(0),
        }
    }
}

fn client(idle_max: usize) -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(idle_max)
        .pool_timer(TokioTimer::new())
        // The library would send a request again by itself when a pooled connection turns out to be
        // closed. Whether a request may be sent again is decided here, never below.
        .retry_canceled_requests(false)
        .build(connector)
}

impl Default for HttpEndpoints {
    fn default() -> Self {
        Self::new()
    }
}

#[async_trait]
impl Endpoints for HttpEndpoints {
    async fn send(&self, request: EndpointRequest) -> Result<EndpointResponse, SendError> {
        let uri = format!("http://{}{}", request.address, request.target);
        let mut outgoing = Request::builder()
            .method(request.method)
            .uri(uri)
            .body(Full::new(request.body))
            .map_err(|error| SendError {
                reason: error.to_string(),
                ran: Ran::No,
            })?;
        *outgoing.headers_mut() = request.headers;
        let client = if request.fresh_connection {
            &self.fresh
        } else {
            &self.pooled
        };
        let response = client
            .request(outgoing)
            .await
            .map_err(|error| not_answered(&error))?;
        let (head, body) = Response::into_parts(response);
        Ok(EndpointResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

fn not_answered(error: &hyper_util::client::legacy::Error) -> SendError {
    // Only a connection that never stood proves that no byte left. A pooled connection that was
    // closed proves nothing: bytes may have been written before the close was seen.
    let ran = if error.is_connect() { Ran::No } else { Ran::Unknown };
    SendError {
        reason: with_causes(error),
        ran,
    }
}

fn cut_short(error: &hyper::Error) -> SendError {
    SendError {
        reason: with_causes(error),
        ran: Ran::Unknown,
    }
}

fn with_causes(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
