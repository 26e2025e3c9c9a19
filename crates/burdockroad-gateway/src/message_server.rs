//! Server of calls between hosts, over HTTP with CBOR bodies.

use std::{convert::Infallible, sync::Arc, time::Duration};

use burdockroad::gateway::{ConnectionStage, MemoryUse};
use burdockroad_daemon::http::{CallerMemory, MemoryShare};
use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body::Body;
use http_body_util::{BodyExt, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Serialize, de::DeserializeOwned};
use tokio::net::TcpListener;

use crate::{
    Dialect,
    connections::ConnectionTable,
    listener::accept,
    misdirected::refuse_forwarded,
    response_body::{ResponseBody, TrackedBody},
};

/// Largest body of a call between hosts. A turn contains a request body, which the operator usually limits to
/// 4 MiB, and an output.
const MESSAGE_MAX_BYTES: usize = 8 << 20;

/// Memory of a message and of what is decoded from it, as a multiple of its length.
const DECODED_FACTOR: usize = 2;

/// Largest buffer for the head of a call, and for what is read of its body at once.
const READ_BUFFER_BYTES: usize = 32 << 10;

/// Time after which this host closes an idle connection from another host.
const IDLE_MAX: Duration = Duration::from_secs(10);

/// Serves calls of the type `Q` that arrive at `listener`.
pub(crate) async fn serve_messages<Q, R, F>(
    table: Arc<ConnectionTable>,
    memory: Arc<CallerMemory>,
    listener: TcpListener,
    dialect: Arc<dyn Dialect>,
    handler: impl Fn(Q) -> F + Clone + Send + 'static,
) where
    Q: DeserializeOwned + Send + 'static,
    R: Serialize + Send + 'static,
    F: Future<Output = R> + Send + 'static,
{
    serve_requests(table, listener, dialect, move |request| {
        let handler = handler.clone();
        let memory = Arc::clone(&memory);
        async move {
            let respond = move |call| {
                let reply = handler(call);
                async move { message_response(&reply.await) }
            };
            respond_to_message(&memory, respond, request).await
        }
    })
    .await;
}

/// Serves the requests that arrive at `listener`.
pub(crate) async fn serve_requests<F>(
    table: Arc<ConnectionTable>,
    listener: TcpListener,
    dialect: Arc<dyn Dialect>,
    respond: impl Fn(Request<Incoming>) -> F + Clone + Send + 'static,
) where
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    loop {
        // A host whose connection is refused sees it closed, and takes another way.
        let Ok(stream) = table.admit(accept(&listener).await).await else {
            continue;
        };
        let state = Arc::clone(stream.state());
        let connection_state = Arc::clone(&state);
        let respond = respond.clone();
        let dialect = Arc::clone(&dialect);
        let service = service_fn(move |request: Request<Incoming>| {
            let respond = respond.clone();
            let dialect = Arc::clone(&dialect);
            let state = Arc::clone(&connection_state);
            async move {
                state.set_stage(ConnectionStage::Running);
                let response = match dialect.read_forwarded(request.headers()) {
                    Some(head) => refuse_forwarded(&*dialect, &head, request.into_body()).await,
                    None => respond(request).await,
                };
                let is_upgrade = response.status() == StatusCode::SWITCHING_PROTOCOLS;
                Ok::<_, Infallible>(response.map(|body| {
                    if is_upgrade {
                        state.set_stage(ConnectionStage::Upgraded);
                        TrackedBody::untracked(body)
                    } else {
                        TrackedBody::new(body, state)
                    }
                }))
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_MAX)
            .max_buf_size(READ_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service)
            .with_upgrades();
        tokio::spawn(async move {
            tokio::select! {
                // The calling host detects a broken connection itself.
                _ended = connection => {}
                () = state.wait_for_close() => {}
            }
        });
    }
}

/// Decodes the call of a request, and returns the response of `handler` to it.
pub(crate) async fn respond_to_message<Q, F>(
    memory: &Arc<CallerMemory>,
    handler: impl Fn(Q) -> F,
    request: Request<Incoming>,
) -> Response<ResponseBody>
where
    Q: DeserializeOwned,
    F: Future<Output = Response<ResponseBody>>,
{
    // Held until the response is made: what was decoded takes the place of the message.
    let mut share = memory.share(MemoryUse::Message);
    let limited = Limited::new(request.into_body(), MESSAGE_MAX_BYTES);
    let call = match read_message(Some(&mut share), limited).await {
        Some(message) => ciborium::from_reader(&*message).ok(),
        None => None,
    };
    let Some(call) = call else {
        metrics::counter!("burdockroad_peer_calls_malformed_total").increment(1);
        let mut response = Response::new(ResponseBody::full(Bytes::new()));
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    handler(call).await
}

/// Reads a message. Returns `None` when it breaks off, or when its share has no room for it and for what is decoded from it.
pub(crate) async fn read_message<B>(mut share: Option<&mut MemoryShare>, mut body: B) -> Option<BytesMut>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut message = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let bytes = message.len() + data.len();
        if let Some(share) = &mut share
            && !share.resize(DECODED_FACTOR * bytes)
        {
            metrics::counter!("burdockroad_messages_refused_total").increment(1);
            return None;
        }
        message.extend_from_slice(&data);
    }
    Some(message)
}

/// Encodes the response to a call.
pub(crate) fn message_response(reply: &impl Serialize) -> Response<ResponseBody> {
    let mut bytes = Vec::new();
    let encoded = ciborium::into_writer(reply, &mut bytes);
    let mut response = Response::new(ResponseBody::full(Bytes::from(bytes)));
    if encoded.is_err() {
        *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
    }
    response
}
