//! Reading and authentication of HTTP requests, and removal of the caller's key.

use std::{sync::Arc, time::Duration};

use burdockroad::{
    config::{Access, RouteKind},
    gateway::MemoryUse,
};
use bytes::Bytes;
use http::{HeaderMap, Request, header, request::Parts};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::Instant;

use crate::{
    calls::{Caller, CompletionRequest, headers_without_key, target_without_key},
    config_watch::InForce,
    edge::EdgeRequest,
    http::{CallerMemory, CountedBody, MemoryShare, Operation, Target, hold_share},
    problem::{Problem, ProblemKind},
};

/// Retry delay for a request whose key this host cannot verify.
const KEYS_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Retry delay for a request for whose body this host has no room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Limits that apply to each request.
#[derive(Clone, Copy, Debug)]
pub(super) struct IntakeLimits {
    pub(super) body_max_bytes: usize,
    pub(super) body_timeout: Duration,
    pub(super) call_timeout: Duration,
}

/// Reads a request, authenticates its caller, and removes the caller's key from it.
pub(super) async fn read(
    request: Request<Incoming>,
    in_force: &InForce,
    limits: IntakeLimits,
    memory: &Arc<CallerMemory>,
) -> Result<EdgeRequest, Problem> {
    let deadline = Instant::now() + limits.call_timeout;
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let operation = Operation::parse(&parts.method, target, &parts.headers)?;
    let key = bearer_key(&parts.headers)?;
    // An unauthorized caller is refused before any of the body is read.
    let caller = find_caller(in_force, &operation, key.as_deref())?;
    let body = read_body(body, limits, memory).await?;
    check_model_access(in_force, &operation, &caller, &body)?;
    Ok(build_edge_request(
        &parts,
        caller,
        operation,
        body,
        key.as_deref(),
        deadline,
    ))
}

/// Builds the request to serve, without the caller's key.
fn build_edge_request(
    parts: &Parts,
    caller: Caller,
    operation: Operation,
    body: Bytes,
    key: Option<&str>,
    deadline: Instant,
) -> EdgeRequest {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let target = target_without_key(target, key);
    // The operation contains the path and query below a service's route, and the query may contain
    // the key.
    let operation = match Operation::parse(&parts.method, &target, &parts.headers) {
        Ok(without_key) => without_key,
        Err(_) => operation,
    };
    EdgeRequest {
        caller,
        method: parts.method.clone(),
        target,
        headers: headers_without_key(&parts.headers, key),
        body,
        operation,
        new_program_id: None,
        deadline,
    }
}

fn bearer_key(headers: &HeaderMap) -> Result<Option<String>, Problem> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    let key = text
        .strip_prefix("Bearer ")
        .or_else(|| text.strip_prefix("bearer "))
        .map(str::trim);
    match key {
        Some(key) if !key.is_empty() => Ok(Some(key.to_owned())),
        _ => Err(Problem::new(
            ProblemKind::InvalidKey,
            "the Authorization header must have the form: Bearer KEY",
        )),
    }
}

fn find_caller(in_force: &InForce, operation: &Operation, key: Option<&str>) -> Result<Caller, Problem> {
    let may_use_open_route = may_use_open_route(in_force, operation);
    let Some(key) = key else {
        return if may_use_open_route {
            Ok(Caller::default())
        } else {
            Err(key_missing_problem())
        };
    };
    if !in_force.accepts_keys() {
        let detail = "this host cannot verify the key at present; another host may be able to";
        return Err(Problem::new(ProblemKind::KeysUnverifiable, detail).retry_after(KEYS_RETRY_AFTER));
    }
    match in_force.keys.lookup(key) {
        Some(found) => Ok(Caller {
            account_id: found.account_id,
            key_id: Some(found.key_id),
        }),
        None if may_use_open_route => Ok(Caller::default()),
        None => Err(Problem::new(
            ProblemKind::InvalidKey,
            "the key is unknown or withdrawn",
        )),
    }
}

fn key_missing_problem() -> Problem {
    Problem::new(
        ProblemKind::InvalidKey,
        "a key is required; send the header Authorization: Bearer KEY",
    )
}

/// Returns whether a request without a key may be allowed, as far as its path determines this.
fn may_use_open_route(in_force: &InForce, operation: &Operation) -> bool {
    let mut routes = in_force
        .document
        .routes
        .iter()
        .filter(|route| route.access == Access::Open);
    match &operation.target {
        Target::Service { route_id, .. } => {
            routes.any(|route| route.kind == RouteKind::Service && route.id == *route_id)
        }
        // The body, which has not been read yet, contains the model.
        Target::Completion => routes.any(|route| route.kind == RouteKind::Model),
        Target::Models | Target::CreateProgram | Target::ShowProgram(_) | Target::EndProgram(_) => false,
    }
}

/// Checks that a completion without a key uses an open route.
fn check_model_access(
    in_force: &InForce,
    operation: &Operation,
    caller: &Caller,
    body: &[u8],
) -> Result<(), Problem> {
    if operation.target != Target::Completion || caller.key_id.is_some() {
        return Ok(());
    }
    let model = CompletionRequest::parse(body)?.model;
    let route = crate::edge::find_route(&in_force.document, &model, RouteKind::Model)?;
    if route.access == Access::Open {
        Ok(())
    } else {
        Err(key_missing_problem())
    }
}

/// Reads a body within the limits and the memory for the bodies of all requests. A body for which there is no room is refused at
/// once, before it has arrived if it states its length.
async fn read_body(
    body: Incoming,
    limits: IntakeLimits,
    memory: &Arc<CallerMemory>,
) -> Result<Bytes, Problem> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let reading = collect(body, limits.body_max_bytes, memory.share(MemoryUse::Request));
    let Ok(collected) = tokio::time::timeout(limits.body_timeout, reading).await else {
        let detail = "the request body did not arrive within the time limit";
        return Err(Problem::new(ProblemKind::RequestTimeout, detail));
    };
    collected
}

async fn collect(mut body: Incoming, max_bytes: usize, share: MemoryShare) -> Result<Bytes, Problem> {
    let stated = body.size_hint().exact().unwrap_or_default();
    let stated_bytes = usize::try_from(stated).unwrap_or(usize::MAX);
    check_size(stated_bytes, max_bytes)?;
    let mut whole = CountedBody::new(share);
    if !whole.reserve(stated_bytes).await {
        return Err(no_room_problem());
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            let detail = format!("reading the request body failed: {error}");
            Problem::new(ProblemKind::InvalidRequest, detail)
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        check_size(whole.length_bytes() + data.len(), max_bytes)?;
        if !whole.extend(&data, max_bytes).await {
            return Err(no_room_problem());
        }
    }
    let (bytes, share) = whole.into_parts();
    Ok(hold_share(bytes, share))
}

fn check_size(bytes: usize, max_bytes: usize) -> Result<(), Problem> {
    if bytes > max_bytes {
        let detail = format!("the request body exceeds the limit of {max_bytes} bytes");
        return Err(Problem::new(ProblemKind::BodyTooLarge, detail));
    }
    Ok(())
}

fn no_room_problem() -> Problem {
    metrics::counter!("burdockroad_bodies_refused_total").increment(1);
    let detail = "this host has no room for the request body beside those of other requests";
    Problem::new(ProblemKind::NoRoom, detail).retry_after(NO_ROOM_RETRY_AFTER)
}
