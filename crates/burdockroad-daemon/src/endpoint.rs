//! HTTP client for endpoints, which are model engines and plain services.

use std::{fmt, ops::RangeInclusive, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

use crate::problem::Ran;

/// Timeout for connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Statuses that end a request.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A client for requests to endpoints.
#[async_trait]
pub trait Endpoints: fmt::Debug + Send + Sync {
    /// Sends a request without retries, and returns the response with its body as a stream.
    ///
    /// # Errors
    ///
    /// Returns an error that states whether the endpoint may have received any of the request.
    async fn send(&self, request: EndpointRequest) -> Result<EndpointResponse, SendError>;
}

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointRequest {
    /// IP address and port.
    pub address: String,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers, without the caller's key.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Whether to use a new connection instead of a pooled one.
    ///
    /// If the endpoint closes a pooled connection while a request is sent on it, it is unknown
    /// whether the request ran. This matters for calls that must not be repeated. A faulty endpoint may also send the
    /// response to an earlier request of the connection once more.
    pub fresh_connection: bool,
}

/// A response of an endpoint, with its body as a stream.
#[derive(Debug)]
pub struct EndpointResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
}

/// The error of a request to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SendError {
    /// Description of the error, for logs and problem details.
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
    /// Waits for the next part of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was truncated.
    pub async fn next(&mut self) -> Result<Option<Bytes>, SendError> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| body_truncated(&error))?;
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the body was truncated or is larger than `max_bytes`.
    pub async fn read(mut self, max_bytes: usize) -> Result<Bytes, SendError> {
        let mut body = Vec::new();
        while let Some(part) = self.next().await? {
            body.extend_from_slice(&part);
            if body.len() > max_bytes {
                let reason = format!("the response exceeds the limit of {max_bytes} bytes");
                return Err(SendError {
                    reason,
                    ran: Ran::Yes,
                });
            }
        }
        Ok(Bytes::from(body))
    }
}

/// An HTTP/1.1 client with pooled connections.
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
    /// Creates a client without open connections.
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
        // By default, the library resends a request when a pooled connection turns out to be closed.
        // Only the daemon may decide whether a request is resent.
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
            .map_err(|error| request_failed(&error))?;
        let (head, body) = Response::into_parts(response);
        check_status(head.status)?;
        Ok(EndpointResponse {
            status: head.status.as_u16(),
            headers: head.headers,
            body,
        })
    }
}

/// Fails for a status that ends no request: no request asks to switch protocols, and statuses outside the classes of HTTP have no meaning.
fn check_status(status: StatusCode) -> Result<(), SendError> {
    if FINAL_STATUSES.contains(&status.as_u16()) {
        return Ok(());
    }
    Err(SendError {
        reason: format!("the endpoint responded with the invalid status {status}"),
        ran: Ran::Unknown,
    })
}

fn request_failed(error: &hyper_util::client::legacy::Error) -> SendError {
    // Only a failure to connect proves that no byte was sent. A closed pooled connection proves
    // nothing: bytes may have been written before the close was detected.
    let ran = if error.is_connect() { Ran::No } else { Ran::Unknown };
    SendError {
        reason: with_causes(error),
        ran,
    }
}

fn body_truncated(error: &hyper::Error) -> SendError {
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
