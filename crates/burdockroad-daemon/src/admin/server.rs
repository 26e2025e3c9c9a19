//! The HTTP server at the admin address.

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

/// Open connections; further ones wait.
const CONNECTIONS_MAX: usize = 64;

/// Largest request head, in bytes.
const HEAD_MAX_BYTES: usize = 16 * 1024;

/// Time in which a request's head must have arrived.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which a connection is closed, whatever it does.
const CONNECTION_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause after a connection could not be accepted, such as for want of file descriptors.
const ACCEPT_RETRY_AFTER: Duration = Duration::from_millis(100);

const TEXT: &str = "text/plain; charset=utf-8";
const METRICS: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON: &str = "application/json";

type Answer = Response<Full<Bytes>>;

/// Serves operators and the balancer until `stop` is done; then open connections are closed.
pub async fn serve(listener: TcpListener, handlers: AdminHandlers, stop: impl Future<Output = ()>) {
    let slots = Arc::new(Semaphore::new(CONNECTIONS_MAX));
    let mut connections = JoinSet::new();
    tokio::pin!(stop);
    loop {
        let accepted = tokio::select! {
            () = &mut stop => break,
            accepted = accept(&listener, &slots) => accepted,
        };
        if let Some((stream, slot)) = accepted {
            let handlers = handlers.clone();
            connections.spawn(async move {
                serve_connection(stream, handlers).await;
                drop(slot);
            });
        }
        while connections.try_join_next().is_some() {}
    }
    connections.shutdown().await;
}

async fn accept(
    listener: &TcpListener,
    slots: &Arc<Semaphore>,
) -> Option<(TcpStream, tokio::sync::OwnedSemaphorePermit)> {
    let slot = Arc::clone(slots).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, _)) => Some((stream, slot)),
        Err(error) => {
            log::warn!("event=admin_accept_failed reason={:?}", error.to_string());
            sleep(ACCEPT_RETRY_AFTER).await;
            None
        }
    }
}

async fn serve_connection(stream: TcpStream, handlers: AdminHandlers) {
    let service = service_fn(move |request| {
        let handlers = handlers.clone();
        async move { Ok::<_, Infallible>(answer(&handlers, request).await) }
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

async fn answer(handlers: &AdminHandlers, request: Request<Incoming>) -> Answer {
    let path = request.uri().path().trim_matches('/').to_owned();
    let segments: Vec<&str> = path.split('/').collect();
    let query = request.uri().query().unwrap_or_default();
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["live"]) => text(StatusCode::OK, TEXT, "live\n"),
        (&Method::GET, ["ready"]) => ready(handlers),
        (&Method::GET, ["metrics"]) => text(StatusCode::OK, METRICS, handlers.status.metrics()),
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
                return text(StatusCode::OK, TEXT, "ended\n");
            }
            not_owned()
        }
        (&Method::POST, ["document"]) => document(handlers, request.into_body()).await,
        (&Method::POST, ["drain"]) => {
            log::info!("event=operator_drains_host");
            handlers.actions.drain().await;
            text(StatusCode::ACCEPTED, TEXT, "draining\n")
        }
        (
            _,
            [
                "live" | "ready" | "metrics" | "status" | "programs" | "document" | "drain",
                ..,
            ],
        ) => text(StatusCode::METHOD_NOT_ALLOWED, TEXT, "not with this method\n"),
        _ => text(StatusCode::NOT_FOUND, TEXT, "there is nothing here\n"),
    }
}

async fn document(handlers: &AdminHandlers, body: Incoming) -> Answer {
    let body = match Limited::new(body, VALUE_MAX_BYTES).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return text(StatusCode::BAD_REQUEST, TEXT, format!("{error}\n")),
    };
    match VersionedDocument::from_bytes(&body) {
        Ok(versioned) => {
            let version = handlers.document.offer_document(versioned);
            json(&DocumentResponse { version })
        }
        Err(error) => text(StatusCode::BAD_REQUEST, TEXT, format!("{error}\n")),
    }
}

fn ready(handlers: &AdminHandlers) -> Answer {
    match handlers.status.readiness() {
        Readiness::Ready => text(StatusCode::OK, TEXT, "ready\n"),
        Readiness::NotReady(reason) => text(StatusCode::SERVICE_UNAVAILABLE, TEXT, format!("{reason}\n")),
    }
}

fn not_owned() -> Answer {
    text(
        StatusCode::NOT_FOUND,
        TEXT,
        "this host does not own the program\n",
    )
}

fn json(value: &impl Serialize) -> Answer {
    match serde_json::to_vec(value) {
        Ok(body) => text(StatusCode::OK, JSON, body),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, TEXT, error.to_string()),
    }
}

fn text(status: StatusCode, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Full::new(body.into()));
    *answer.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}
