//! HTTP server at the admin address.

use std::{convert::Infallible, sync::Arc, time::Duration};

use burdockroad::config::VersionedDocument;
use bytes::Bytes;
use http::{
    Method, Request, Response, StatusCode,
    header::{CONTENT_TYPE, HeaderValue},
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::JoinSet,
    time::{sleep, timeout},
};

use crate::{
    admin::{AdminHandlers, DocumentResponse, Readiness},
    platform::VALUE_MAX_BYTES,
};

/// Maximum number of open connections. Further connections wait.
const CONNECTIONS_MAX: usize = 64;

/// Maximum size of a request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Timeout for receiving a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum lifetime of a connection, even if a request on it is still in progress.
const CONNECTION_TIMEOUT: Duration = Duration::from_mins(1);

/// Backoff after a failed accept, for example when no file descriptors are available.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

const TEXT_CONTENT_TYPE: &str = "text/plain; charset=utf-8";
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON_CONTENT_TYPE: &str = "application/json";

type AdminResponse = Response<Full<Bytes>>;

/// Serves operators and the load balancer until `stop` completes, then closes open connections.
pub async fn serve(listener: TcpListener, handlers: AdminHandlers, stop: impl Future<Output = ()>) {
    let permits = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = accept(&listener, &permits) => accepted,
        };
        if let Some((stream, permit)) = accepted {
            let handlers = handlers.clone();
            connections.spawn(async move {
                serve_connection(stream, handlers).await;
                drop(permit);
            });
        }
        while connections.try_join_next().is_some() {}
    }
    connections.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, permit)),
        Err(error) => {
            log::warn!("event=admin_accept_failed reason={:?}", error.to_string());
            sleep(ACCEPT_BACKOFF).await;
            None
        }
    }
}

async fn serve_connection(stream: TcpStream, handlers: AdminHandlers) {
    let service = service_fn(move |request| {
        let handlers = handlers.clone();
        async move { Ok::<_, Infallible>(respond(&handlers, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    match timeout(CONNECTION_TIMEOUT, connection).await {
        Ok(Ok(())) | Err(_) => {}
        Ok(Err(error)) => log::debug!("event=admin_connection_failed reason={:?}", error.to_string()),
    }
}

async fn respond(handlers: &AdminHandlers, request: Request<Incoming>) -> AdminResponse {
    let path = request.uri().path().trim_matches('/').to_owned();
    let segments: Vec<&str> = path.split('/').collect();
    let query = request.uri().query().unwrap_or_default();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["live"]) => reply(StatusCode::OK, TEXT_CONTENT_TYPE, "live\n"),
        (&Method::GET, ["ready"]) => ready(handlers),
        (&Method::GET, ["metrics"]) => reply(StatusCode::OK, METRICS_CONTENT_TYPE, handlers.status.metrics()),
        (&Method::GET, ["status"]) => json(&handlers.status.status()),
        (&Method::GET, ["programs"]) => {
            let account_id = query.strip_prefix("account=").map(str::to_owned);
            json(&handlers.actions.programs(account_id).await)
        }
        (&Method::GET, ["programs", id]) => match handlers.actions.program((*id).to_owned()).await {
            Some(program) => json(&program),
            None => not_owned(),
        },
        (&Method::POST, ["programs", id, "end"]) => {
            log::info!("event=operator_ends_program program={id:?}");
            if handlers.actions.end_program((*id).to_owned()).await {
                return reply(StatusCode::OK, TEXT_CONTENT_TYPE, "ended\n");
            }
            not_owned()
        }
        (&Method::POST, ["document"]) => document(handlers, request.into_body()).await,
        (&Method::POST, ["drain"]) => {
            log::info!("event=operator_drains_host");
            handlers.actions.drain().await;
            reply(StatusCode::ACCEPTED, TEXT_CONTENT_TYPE, "draining\n")
        }
        (
            _,
            [
                "live" | "ready" | "metrics" | "status" | "programs" | "document" | "drain",
                ..,
            ],
        ) => reply(
            StatusCode::METHOD_NOT_ALLOWED,
            TEXT_CONTENT_TYPE,
            "method not allowed\n",
        ),
        _ => reply(StatusCode::NOT_FOUND, TEXT_CONTENT_TYPE, "not found\n"),
    }
}

async fn document(handlers: &AdminHandlers, body: Incoming) -> AdminResponse {
    let body = match Limited::new(body, VALUE_MAX_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return reply(StatusCode::BAD_REQUEST, TEXT_CONTENT_TYPE, format!("{error}\n")),
    };
    match VersionedDocument::from_bytes(&body) {
        Ok(versioned) => {
            let version = handlers.document.offer_document(versioned);
            json(&DocumentResponse { version })
        }
        Err(error) => reply(StatusCode::BAD_REQUEST, TEXT_CONTENT_TYPE, format!("{error}\n")),
    }
}

fn ready(handlers: &AdminHandlers) -> AdminResponse {
    match handlers.status.readiness() {
        Readiness::Ready => reply(StatusCode::OK, TEXT_CONTENT_TYPE, "ready\n"),
        Readiness::NotReady(reason) => reply(
            StatusCode::SERVICE_UNAVAILABLE,
            TEXT_CONTENT_TYPE,
            format!("{reason}\n"),
        ),
    }
}

fn not_owned() -> AdminResponse {
    reply(
        StatusCode::NOT_FOUND,
        TEXT_CONTENT_TYPE,
        "this host does not own the program\n",
    )
}

fn json(value: &impl Serialize) -> AdminResponse {
    match serde_json::to_vec(value) {
        Ok(body) => reply(StatusCode::OK, JSON_CONTENT_TYPE, body),
        Err(error) => reply(
            StatusCode::INTERNAL_SERVER_ERROR,
            TEXT_CONTENT_TYPE,
            error.to_string(),
        ),
    }
}

fn reply(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> AdminResponse {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
