//! HTTP servers for callers, readiness checks and the metrics page.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use burdockroad_daemon::http::{TruncatedBody, requires_length, with_length};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use metrics_exporter_prometheus::PrometheusHandle;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use crate::{
    Dialect, ForwardedHead, call,
    listener::accept,
    misdirected::{is_registered_at, refuse_forwarded},
    refusal::Refusal,
    response_body::ResponseBody,
    shared::Shared,
    stream::RESPONSE_MAX_BYTES,
};

/// Time after which an idle connection to the readiness or metrics page is closed.
const PAGE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of open caller connections.
#[derive(Debug, Default)]
pub(crate) struct OpenConnections {
    count: AtomicUsize,
}

impl OpenConnections {
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// Serves callers until the process ends, also during a stop.
pub(crate) async fn serve_callers(shared: Arc<Shared>, listener: TcpListener, open: Arc<OpenConnections>) {
    loop {
        let stream = accept(&listener).await;
        let shared = Arc::clone(&shared);
        let open = Arc::clone(&open);
        open.count.fetch_add(1, Ordering::Relaxed);
        tokio::spawn(async move {
            serve_caller(shared, stream).await;
            open.count.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Serves a caller's connection. After the notice time of a stop, an idle connection is closed, unless it has carried
/// no call yet: the caller may just have sent its first one.
async fn serve_caller(shared: Arc<Shared>, stream: TcpStream) {
    let limits = shared
        .tables()
        .directory
        .as_ref()
        .map(|directory| directory.document().limits)
        .unwrap_or_default();
    let address = stream.local_addr().ok();
    let is_used = AtomicBool::new(false);
    let service = service_fn(|request| {
        is_used.store(true, Ordering::Relaxed);
        respond(Arc::clone(&shared), address, request)
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
        () = shared.shutdown.wait_for_notice_end() => {}
    }
    if !is_used.load(Ordering::Relaxed) && timeout(limits.head_timeout, connection.as_mut()).await.is_ok() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ended = connection.await;
}

/// Responds to a request that arrived at `address`.
async fn respond(
    shared: Arc<Shared>,
    address: Option<SocketAddr>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    if let Some(head) = forwarded_to(&shared, address, request.headers()) {
        return Ok(refuse_forwarded(&*shared.dialect, &head, request.into_body()).await);
    }
    let version = request.version();
    let mut response = call::serve(Arc::clone(&shared), request).await;
    if requires_length(version) {
        response = buffered_response(&shared, response).await;
    }
    if shared.is_stopping() || shared.is_isolated() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
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
    match with_length(response, RESPONSE_MAX_BYTES).await {
        Ok(response) => response.map(ResponseBody::Full),
        Err(TruncatedBody) => Refusal::UnknownOutcome.response(&*shared.dialect, None),
    }
}

/// Serves the balancer's readiness checks.
pub(crate) async fn serve_readiness(shared: Arc<Shared>, listener: TcpListener) {
    let dialect = Arc::clone(&shared.dialect);
    serve_pages(listener, dialect, move |path| {
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
    dialect: Arc<dyn Dialect>,
    handle: PrometheusHandle,
    listener: TcpListener,
) {
    serve_pages(listener, dialect, move |path| match path {
        "/metrics" => page_response(StatusCode::OK, Bytes::from(handle.render())),
        _ => page_response(StatusCode::NOT_FOUND, Bytes::new()),
    })
    .await;
}

async fn serve_pages(
    listener: TcpListener,
    dialect: Arc<dyn Dialect>,
    respond: impl Fn(&str) -> Response<ResponseBody> + Clone + Send + 'static,
) {
    loop {
        let stream = accept(&listener).await;
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
            .serve_connection(TokioIo::new(stream), service);
        tokio::spawn(run_connection(connection));
    }
}

async fn run_connection(connection: impl Future<Output = hyper::Result<()>>) {
    // A client that disconnects does not need the page.
    let _ended = connection.await;
}

fn page_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::full(body));
    *response.status_mut() = status;
    response
}
