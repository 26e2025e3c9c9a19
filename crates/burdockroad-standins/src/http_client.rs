//! HTTP client for tests and stand-ins, with helpers for JSON.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::error::{Result, StandinError};

/// Default timeout for receiving a complete response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client that reuses its connections.
#[derive(Clone, Debug)]
pub struct HttpClient {
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not valid JSON for `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let body = String::from_utf8_lossy(&self.body);
            StandinError::Request(format!(
                "unexpected body in response with status {}: {error}: {body}",
                self.status
            ))
        })
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A response whose body is read chunk by chunk; dropping it closes the connection.
#[derive(Debug)]
pub struct HttpStream {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    timeout: Duration,
    request_line: String,
    body: Incoming,
}

impl HttpStream {
    /// Waits for the next chunk of the body; returns `None` at its end.
    ///
    /// # Errors
    ///
    /// Fails when the connection is lost, or no chunk arrives within the timeout.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(self.timeout, self.body.frame()).await;
            let frame =
                frame.map_err(|_elapsed| self.request_error("timed out waiting for the next body chunk"))?;
            let Some(frame) = frame else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.request_error(&error.to_string()))?;
            // Trailers are ignored.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn request_error(&self, reason: &str) -> StandinError {
        StandinError::Request(format!("{}: {reason}", self.request_line))
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with the default timeout of 30 s.
    pub fn new() -> Self {
        Self::with_timeout(TIMEOUT)
    }

    /// Creates a client whose requests fail when the complete response takes longer than `timeout`.
    ///
    /// For an [`HttpStream`], the timeout applies to the headers and to each chunk.
    pub fn with_timeout(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and waits for the complete response.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives within the timeout. The server may have executed the
    /// request nevertheless.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse> {
        let request_line = format!("{} {}", request.method(), request.uri());
        let result = tokio::time::timeout(self.timeout, self.send_and_collect(request)).await;
        match result {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(reason)) => Err(StandinError::Request(format!("{request_line}: {reason}"))),
            Err(_elapsed) => Err(StandinError::Request(format!(
                "{request_line}: timed out waiting for the complete response"
            ))),
        }
    }

    /// Sends a GET request and parses the response body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when no complete response arrives, its status is not 2xx, or its body is not valid JSON for
    /// `T`.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let response = self.send(request(Method::GET, url, Bytes::new())?).await?;
        require_success(url, response)?.json()
    }

    /// Sends a JSON value and returns the response with any status.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be serialized, or no complete response arrives within the timeout.
    pub async fn send_json<T: Serialize + Sync>(
        &self,
        method: Method,
        url: &str,
        value: &T,
    ) -> Result<HttpResponse> {
        self.send(json_request(method, url, value)?).await
    }

    /// Sends a request and returns the response as soon as its headers have arrived.
    ///
    /// # Errors
    ///
    /// Fails when no headers arrive within the timeout. The server may have executed the request
    /// nevertheless.
    pub async fn open(&self, request: Request<Full<Bytes>>) -> Result<HttpStream> {
        let request_line = format!("{} {}", request.method(), request.uri());
        let result = tokio::time::timeout(self.timeout, self.client.request(request)).await;
        let response = result
            .map_err(|_elapsed| {
                StandinError::Request(format!(
                    "{request_line}: timed out waiting for the response headers"
                ))
            })?
            .map_err(|error| StandinError::Request(format!("{request_line}: {error}")))?;
        let (head, body) = response.into_parts();
        Ok(HttpStream {
            status: head.status,
            headers: head.headers,
            timeout: self.timeout,
            request_line,
            body,
        })
    }

    async fn send_and_collect(
        &self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<HttpResponse, String> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let (head, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?;
        Ok(HttpResponse {
            status: head.status,
            headers: head.headers,
            body: body.to_bytes(),
        })
    }
}

/// Creates a request without headers.
///
/// # Errors
///
/// Fails when the URL is invalid.
pub fn request(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
    let request = Request::builder().method(method).uri(url);
    request
        .body(Full::new(body))
        .map_err(|error| StandinError::Request(format!("{url}: {error}")))
}

/// Creates a request with a JSON body.
///
/// # Errors
///
/// Fails when the URL is invalid, or the value cannot be serialized.
pub fn json_request<T: Serialize>(method: Method, url: &str, value: &T) -> Result<Request<Full<Bytes>>> {
    let bytes = serde_json::to_vec(value).map_err(|error| StandinError::Request(error.to_string()))?;
    let mut request = request(method, url, bytes.into())?;
    let json = header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(request)
}

fn require_success(url: &str, response: HttpResponse) -> Result<HttpResponse> {
    if response.status.is_success() {
        return Ok(response);
    }
    let reason = format!("{url}: {} {}", response.status, response.text());
    Err(StandinError::Request(reason))
}
