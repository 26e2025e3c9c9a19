//! HTTP servers for callers, readiness checks and the metrics page.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use burdockroad::gateway::ConnectionStage;
use burdockroad_daemon::http::requires_length;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

use crate::{
    Dialect, ForwardedHead, call,
    connections::{ConnectionState, ConnectionTable, RequestArrival, TrackedStream},
    listener::accept,
    memory::read_response,
    misdirected::{is_registered_at, refuse_forwarded},
    refusal::Refusal,
    response_body::{ResponseBody, TrackedBody},
    shared::Shared,
    stream::RESPONSE_MAX_BYTES,
};

/// Time after which an idle connection to the readiness or metrics page is closed.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest buffer for the head of a request for a page.
const PAGE_BUFFER_BYTES: usize = 8 << 10;

/// Interval at which stalled connections are looked for.
const STALL_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Refusal of a connection for which the host has no room.
const NO_ROOM_RESPONSE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 0.300\r\nconnection: close\r\n\
    content-type: application/json\r\ncontent-length: 22\r\n\r\n{\"refused\":\"no_room\"}\n";

/// Serves callers until the process ends, also during a stop.
pub(crate) async fn serve_callers(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        match shared.callers.admit(stream).await {
            Ok(stream) => {
                tokio::spawn(serve_caller(Arc::clone(&shared), stream));
            }
            Err(stream) => refuse_connection(&stream),
        }
    }
}

/// Closes the connections of callers that do not end their request's head in time, or do not read their response, and logs
/// when there was no room for requests or responses.
pub(crate) async fn close_stalled_callers(shared: Arc<Shared>) {
    loop {
        sleep(STALL_CHECK_INTERVAL).await;
        let limits = shared.caller_limits();
        shared
            .callers
            .close_stalled(limits.head_timeout, limits.idle_timeout);
        let refused = shared.room.take_refused();
        if refused > 0 {
            let budget = shared.room.budget();
            let line = NoRoomLine {
                refused,
                used_bytes: budget.used_bytes(),
                max_bytes: budget.max_bytes(),
            };
            shared.log.line("caller_memory_exhausted", &line);
        }
    }
}

/// Log line of the requests and responses for which there was no room in one interval.
#[derive(Serialize)]
struct NoRoomLine {
    refused: u64,
    /// Memory that callers use now.
    used_bytes: usize,
    /// Memory that callers may use.
    max_bytes: usize,
}

/// Refuses the first request on a connection for which the host has no room, without reading it.
fn refuse_connection(stream: &TcpStream) {
    // A caller that does not get the refusal sees a closed connection whose request was not read.
    let _written = stream.try_write(NO_ROOM_RESPONSE);
}

/// Serves a caller's connection. After the notice time of a stop, an idle connection is closed, unless it has carried
/// no call yet: the caller may just have sent its first one.
async fn serve_caller(shared: Arc<Shared>, stream: TrackedStream) {
    let limits = shared.caller_limits();
    let address = stream.stream().local_addr().ok();
    let state = Arc::clone(stream.state());
    let is_used = AtomicBool::new(false);
    let service = service_fn(|request| {
        is_used.store(true, Ordering::Relaxed);
        // An idle connection does not hold the memory of a call.
        Box::pin(respond(Arc::clone(&shared), Arc::clone(&state), address, request))
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.head_max_bytes.max(8 << 10))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // The log lines of the connection's calls show how they ended.
    tokio::select! {
        biased;
        _ended = connection.as_mut() => return,
        () = state.wait_for_close() => return,
        () = shared.shutdown.wait_for_notice_end() => {}
    }
    if !is_used.load(Ordering::Relaxed) && timeout(limits.head_timeout, connection.as_mut()).await.is_ok() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        biased;
        _ended = connection.as_mut() => {}
        () = state.wait_for_close() => {}
    }
}

/// Responds to a request that arrived at `address`.
async fn respond(
    shared: Arc<Shared>,
    connection: Arc<ConnectionState>,
    address: Option<SocketAddr>,
    request: Request<Incoming>,
) -> Result<Response<TrackedBody>, Infallible> {
    let arrival = connection.begin_request();
    let mut response = respond_to_request(&shared, &connection, address, request).await;
    connection.set_stage(ConnectionStage::Running);
    if arrival == RequestArrival::BeforeResponse {
        metrics::counter!("burdockroad_requests_pipelined_total").increment(1);
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response.map(|body| TrackedBody::new(body, connection)))
}

async fn respond_to_request(
    shared: &Arc<Shared>,
    connection: &Arc<ConnectionState>,
    address: Option<SocketAddr>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    if let Some(head) = forwarded_to(shared, address, request.headers()) {
        return refuse_forwarded(&*shared.dialect, &head, request.into_body()).await;
    }
    let version = request.version();
    let mut response = call::serve(Arc::clone(shared), Arc::clone(connection), request).await;
    if requires_length(version) {
        response = buffered_response(shared, response).await;
    }
    if shared.is_stopping() || shared.is_isolated() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the head of a request that was forwarded to an endpoint which is registered with `address`, at which the
/// request arrived. Callers may name any endpoint, so a name alone says nothing.
///
/// Before the endpoints were read, it is not known which of them are registered with `address`. Each forwarded request
/// then counts as one to such an endpoint, because the host cannot serve it anyway.
fn forwarded_to(shared: &Shared, address: Option<SocketAddr>, headers: &HeaderMap) -> Option<ForwardedHead> {
    let head = shared.dialect.read_forwarded(headers)?;
    let tables = shared.tables();
    if !tables.has_read_endpoints {
        return Some(head);
    }
    let endpoint = tables.endpoints.get(&head.endpoint)?;
    is_registered_at(endpoint, address?).then_some(head)
}

/// Returns a response with its length, or a refusal if it was broken off.
async fn buffered_response(shared: &Shared, response: Response<ResponseBody>) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    match read_response(shared.room.response_share(), body, RESPONSE_MAX_BYTES).await {
        Some(body) => Response::from_parts(head, ResponseBody::full(body)),
        None => Refusal::UnknownOutcome.response(&*shared.dialect, None),
    }
}

/// Serves the balancer's readiness checks.
pub(crate) async fn serve_readiness(shared: Arc<Shared>, listener: TcpListener) {
    let dialect = Arc::clone(&shared.dialect);
    let table = Arc::clone(&shared.page_connections.readiness);
    serve_pages(table, listener, dialect, move |path| {
        let status = match (path, shared.is_ready()) {
            ("/ready", true) => StatusCode::OK,
            ("/ready", false) => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::NOT_FOUND,
        };
        page_response(status, Bytes::new())
    })
    .await;
}

/// Serves the metrics page.
pub(crate) async fn serve_metrics(
    table: Arc<ConnectionTable>,
    dialect: Arc<dyn Dialect>,
    handle: PrometheusHandle,
    listener: TcpListener,
) {
    serve_pages(table, listener, dialect, move |path| match path {
        "/metrics" => page_response(StatusCode::OK, Bytes::from(handle.render())),
        _ => page_response(StatusCode::NOT_FOUND, Bytes::new()),
    })
    .await;
}

async fn serve_pages(
    table: Arc<ConnectionTable>,
    listener: TcpListener,
    dialect: Arc<dyn Dialect>,
    respond: impl Fn(&str) -> Response<ResponseBody> + Clone + Send + 'static,
) {
    loop {
        let Ok(stream) = table.admit(accept(&listener).await).await else {
            continue;
        };
        let state = Arc::clone(stream.state());
        let respond = respond.clone();
        let dialect = Arc::clone(&dialect);
        let service = service_fn(move |request: Request<Incoming>| {
            let page = respond(request.uri().path());
            let dialect = Arc::clone(&dialect);
            async move {
                let response = match dialect.read_forwarded(request.headers()) {
                    Some(head) => refuse_forwarded(&*dialect, &head, request.into_body()).await,
                    None => page,
                };
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(PAGE_IDLE_TIMEOUT)
            .max_buf_size(PAGE_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move {
            tokio::select! {
                // A client that disconnects does not need the page.
                _ended = connection => {}
                () = state.wait_for_close() => {}
            }
        });
    }
}

fn page_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    response
}
