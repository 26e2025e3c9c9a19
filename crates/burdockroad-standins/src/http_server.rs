//! HTTP server for the stand-ins: request handlers and response builders.

use std::{fmt, net::SocketAddr, pin::Pin, sync::Arc};

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame, Incoming},
    service::Service,
};
use serde::{Serialize, de::DeserializeOwned};

use crate::{error::Result, server::Server};

/// Response body; an error in it cuts the connection.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ConnectionCut>;

/// Result of handling a request; an error cuts the connection.
pub(crate) type HandlerResult = std::result::Result<Response<ResponseBody>, ConnectionCut>;

/// Error that closes the connection before the response or in the middle of it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionCut;

impl fmt::Display for ConnectionCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection cut")
    }
}

impl std::error::Error for ConnectionCut {}

/// Handler of the requests of one listener.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Handles one request; the future is dropped when the client closes the connection.
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult;
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedRequest {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl ReceivedRequest {
    /// Returns the method and the path segments, for use in a `match`.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        let path = self.uri.path().trim_matches('/');
        (self.method.as_str(), path.split('/').collect())
    }

    /// Returns the first value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.uri.query()?.split('&');
        pairs
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }

    /// Returns a header's value as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Parses the body as JSON; the error is the response that rejects the request.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Box<Response<ResponseBody>>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Box::new(text(StatusCode::BAD_REQUEST, &format!("invalid JSON: {error}"))))
    }

    /// Applies the value that the body contains as JSON, and returns the response to the request.
    pub(crate) fn apply_json<T: DeserializeOwned>(&self, apply: impl FnOnce(T)) -> Response<ResponseBody> {
        match self.json() {
            Ok(value) => {
                apply(value);
                empty(StatusCode::NO_CONTENT)
            }
            Err(error_response) => *error_response,
        }
    }
}

/// Serves a handler on an address.
pub(crate) async fn serve(listen: SocketAddr, handler: Arc<dyn Handler>) -> Result<Server> {
    Server::serve(listen, HandlerService { handler }).await
}

#[derive(Clone)]
struct HandlerService {
    handler: Arc<dyn Handler>,
}

impl Service<Request<Incoming>> for HandlerService {
    type Response = Response<ResponseBody>;
    type Error = ConnectionCut;
    type Future = Pin<Box<dyn Future<Output = HandlerResult> + Send>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let handler = Arc::clone(&self.handler);
        Box::pin(async move {
            let (head, body) = req.into_parts();
            // Collecting the body fails when the client aborts the request; no response can be delivered then.
            let body = body
                .collect()
                .await
                .map_or(Err(ConnectionCut), |body| Ok(body.to_bytes()))?;
            let request = ReceivedRequest {
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body,
            };
            handler.handle(request).await
        })
    }
}

/// Creates a body from bytes.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|infallible| match infallible {})
        .boxed_unsync()
}

/// Creates a JSON response.
pub(crate) fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => with_media_type(status, "application/json", bytes),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Creates a plain-text response.
pub(crate) fn text(status: StatusCode, message: &str) -> Response<ResponseBody> {
    with_media_type(status, "text/plain; charset=utf-8", message.to_owned())
}

/// Creates a body that is sent chunk by chunk; an error in the stream cuts the connection.
pub(crate) fn stream_body<S>(chunks: S) -> ResponseBody
where
    S: Stream<Item = std::result::Result<Bytes, ConnectionCut>> + Send + 'static,
{
    StreamBody::new(chunks.map_ok(Frame::data)).boxed_unsync()
}

/// Creates a response without a body.
pub(crate) fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Creates a response with a body of the given media type.
pub(crate) fn with_media_type(
    status: StatusCode,
    media_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
