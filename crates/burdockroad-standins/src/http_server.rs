//! HTTP for the stand-ins: handlers, and answers in JSON.

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

/// Body of an answer; an error in it cuts the connection.
pub(crate) type AnswerBody = UnsyncBoxBody<Bytes, Cut>;

/// What a handler gives back.
pub(crate) type Answer = std::result::Result<Response<AnswerBody>, Cut>;

/// Ends the connection in place of an answer, or in the middle of one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cut;

impl fmt::Display for Cut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection cut")
    }
}

impl std::error::Error for Cut {}

/// Answers the requests of one listener.
#[async_trait]
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request; dropped when the client closes the connection.
    async fn handle(&self, request: Received) -> Answer;
}

/// One request with its whole body.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Received {
    /// Returns the method and the parts of the path, for a `match`.
    pub(crate) fn route(&self) -> (&str, Vec<&str>) {
        let path = self.uri.path().trim_matches('/');
        (self.method.as_str(), path.split('/').collect())
    }

    /// Returns the first value of a parameter of the query.
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

    /// Reads the body as JSON, or makes the answer that refuses it.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> std::result::Result<T, Box<Response<AnswerBody>>> {
        serde_json::from_slice(&self.body)
            .map_err(|error| Box::new(text(StatusCode::BAD_REQUEST, &format!("bad JSON: {error}"))))
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
    type Response = Response<AnswerBody>;
    type Error = Cut;
    type Future = Pin<Box<dyn Future<Output = Answer> + Send>>;

    fn call(&self, req: Request<Incoming>) -> Self::Future {
        let handler = Arc::clone(&self.handler);
        Box::pin(async move {
            let (head, body) = req.into_parts();
            // The rest of a body that breaks off never comes, so there is nobody to answer.
            let body = body
                .collect()
                .await
                .map_or(Err(Cut), |body| Ok(body.to_bytes()))?;
            let received = Received {
                method: head.method,
                uri: head.uri,
                headers: head.headers,
                body,
            };
            handler.handle(received).await
        })
    }
}

/// Makes a body of known bytes.
pub(crate) fn full(bytes: impl Into<Bytes>) -> AnswerBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Answers with a value as JSON.
pub(crate) fn json<T: Serialize + ?Sized>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => typed(status, "application/json", bytes),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Answers with plain text.
pub(crate) fn text(status: StatusCode, message: &str) -> Response<AnswerBody> {
    typed(status, "text/plain; charset=utf-8", message.to_owned())
}

/// Makes a body that is sent as a stream makes its pieces; an error cuts the connection.
pub(crate) fn streamed<S>(pieces: S) -> AnswerBody
where
    S: Stream<Item = std::result::Result<Bytes, Cut>> + Send + 'static,
{
    StreamBody::new(pieces.map_ok(Frame::data)).boxed_unsync()
}

/// Answers without a body.
pub(crate) fn empty(status: StatusCode) -> Response<AnswerBody> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Answers with bytes of a media type.
pub(crate) fn typed(
    status: StatusCode,
    media_type: &'static str,
    bytes: impl Into<Bytes>,
) -> Response<AnswerBody> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    let value = header::HeaderValue::from_static(media_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
