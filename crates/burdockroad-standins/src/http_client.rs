//! A small HTTP client for tests and stand-ins, with answers in JSON.

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

/// Time after which a request without a whole answer fails, unless another is asked for.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends requests over connections that are kept open.
#[derive(Clone, Debug)]
pub struct HttpClient {
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// A whole answer.
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
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not JSON of the type asked for.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(|error| {
            let body = String::from_utf8_lossy(&self.body);
            StandinError::Request(format!(
                "answer {} is not as expected: {error}: {body}",
                self.status
            ))
        })
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// An answer whose body is read piece by piece; dropping it closes the connection.
#[derive(Debug)]
pub struct HttpStream {
    /// Status code.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    timeout: Duration,
    target: String,
    body: Incoming,
}

impl HttpStream {
    /// Waits for the next piece of the body; none after the last.
    ///
    /// # Errors
    ///
    /// Fails when the connection is cut, or no piece comes in time.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        loop {
            let frame = tokio::time::timeout(self.timeout, self.body.frame()).await;
            let frame = frame.map_err(|_elapsed| self.failed("no further piece in time"))?;
            let Some(frame) = frame else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| self.failed(&error.to_string()))?;
            // Trailers carry nothing that is of use here.
            if let Ok(data) = frame.into_data() {
                return Ok(Some(data));
            }
        }
    }

    fn failed(&self, reason: &str) -> StandinError {
        StandinError::Request(format!("{}: {reason}", self.target))
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Makes a client without connections.
    pub fn new() -> Self {
        Self::with_timeout(TIMEOUT)
    }

    /// Makes a client whose requests fail when the whole answer takes longer than `timeout`.
    ///
    /// For an answer that is read piece by piece, that is the longest wait for each piece.
    pub fn with_timeout(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            timeout,
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes in time; the request may have been served.
    pub async fn send(&self, request: Request<Full<Bytes>>) -> Result<HttpResponse> {
        let target = format!("{} {}", request.method(), request.uri());
        let answer = tokio::time::timeout(self.timeout, self.exchange(request)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(reason)) => Err(StandinError::Request(format!("{target}: {reason}"))),
            Err(_elapsed) => Err(StandinError::Request(format!(
                "{target}: no whole answer in time"
            ))),
        }
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    ///
    /// Fails when there is no whole answer, its status is no success, or it is not of the type.
    pub async fn get_json<T: DeserializeOwned>(&self, url: &str) -> Result<T> {
        let answer = self.send(request(Method::GET, url, Bytes::new())?).await?;
        successful(url, answer)?.json()
    }

    /// Sends a JSON value and returns the answer, whatever its status.
    ///
    /// # Errors
    ///
    /// Fails when the value cannot be written as JSON, or no whole answer comes in time.
    pub async fn send_json<T: Serialize + Sync>(
        &self,
        method: Method,
        url: &str,
        value: &T,
    ) -> Result<HttpResponse> {
        self.send(json_request(method, url, value)?).await
    }

    /// Sends a request and returns its answer as soon as the headers are there.
    ///
    /// # Errors
    ///
    /// Fails when no headers come in time; the request may have been served.
    pub async fn open(&self, request: Request<Full<Bytes>>) -> Result<HttpStream> {
        let target = format!("{} {}", request.method(), request.uri());
        let answer = tokio::time::timeout(self.timeout, self.client.request(request)).await;
        let response = answer
            .map_err(|_elapsed| StandinError::Request(format!("{target}: no answer in time")))?
            .map_err(|error| StandinError::Request(format!("{target}: {error}")))?;
        let (head, body) = response.into_parts();
        Ok(HttpStream {
            status: head.status,
            headers: head.headers,
            timeout: self.timeout,
            target,
            body,
        })
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> std::result::Result<HttpResponse, String> {
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

/// Makes a request without headers.
///
/// # Errors
///
/// Fails when the URL cannot be read.
pub fn request(method: Method, url: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
    let request = Request::builder().method(method).uri(url);
    request
        .body(Full::new(body))
        .map_err(|error| StandinError::Request(format!("{url}: {error}")))
}

/// Makes a request that carries a JSON value.
///
/// # Errors
///
/// Fails when the URL cannot be read, or the value cannot be written as JSON.
pub fn json_request<T: Serialize>(method: Method, url: &str, value: &T) -> Result<Request<Full<Bytes>>> {
    let bytes = serde_json::to_vec(value).map_err(|error| StandinError::Request(error.to_string()))?;
    let mut request = request(method, url, bytes.into())?;
    let json = header::HeaderValue::from_static("application/json");
    request.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(request)
}

fn successful(url: &str, answer: HttpResponse) -> Result<HttpResponse> {
    if answer.status.is_success() {
        return Ok(answer);
    }
    let reason = format!("{url}: {} {}", answer.status, answer.text());
    Err(StandinError::Request(reason))
}
