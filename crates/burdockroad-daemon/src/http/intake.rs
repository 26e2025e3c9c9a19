//! From an HTTP request to a request with a known caller and without a key.

use std::time::Duration;

use burdockroad::config::{Access, RouteKind};
use bytes::Bytes;
use http::{HeaderMap, Request, header, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    calls::{Caller, CompletionRequest, headers_without_key, target_without_key},
    config_watch::InForce,
    edge::EdgeRequest,
    http::{Operation, Target},
    problem::{Problem, ProblemKind},
};

/// Time after which a host that could not verify keys may be able to.
const KEYS_RETRY: Duration = Duration::from_secs(2);

/// Limits of one request.
#[derive(Clone, Copy, Debug)]
pub(super) struct IntakeLimits {
    pub(super) body_max_bytes: usize,
    pub(super) body_timeout: Duration,
    pub(super) call_timeout: Duration,
}

/// Reads a request, finds its caller, and takes the caller's key out of it.
pub(super) async fn read(
    request: Request<Incoming>,
    in_force: &InForce,
    limits: IntakeLimits,
) -> Result<EdgeRequest, Problem> {
    let deadline = Instant::now() + limits.call_timeout;
    let (parts, body) = request.into_parts();
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let operation = Operation::parse(&parts.method, target, &parts.headers)?;
    let key = bearer_key(&parts.headers)?;
    // Who may not call at all is told before a byte of the body is read.
    let caller = find_caller(in_force, &operation, key.as_deref())?;
    let body = read_body(body, limits).await?;
    check_model_access(in_force, &operation, &caller, &body)?;
    Ok(without_key(
        &parts,
        caller,
        operation,
        body,
        key.as_deref(),
        deadline,
    ))
}

fn without_key(
    parts: &Parts,
    caller: Caller,
    operation: Operation,
    body: Bytes,
    key: Option<&str>,
    deadline: Instant,
) -> EdgeRequest {
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    let target = target_without_key(target, key);
    // The path below a service's route is part of the operation, and may hold the key in its query.
    let operation = match Operation::parse(&parts.method, &target, &parts.headers) {
        Ok(cleaned) => cleaned,
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
            "the Authorization header must be: Bearer KEY",
        )),
    }
}

fn find_caller(in_force: &InForce, operation: &Operation, key: Option<&str>) -> Result<Caller, Problem> {
    let may_be_open = may_be_open(in_force, operation);
    let Some(key) = key else {
        return if may_be_open {
            Ok(Caller::default())
        } else {
            Err(key_missing())
        };
    };
    if !in_force.accepts_keys() {
        let detail = "this host cannot tell whether the key is still good; another host may";
        return Err(Problem::new(ProblemKind::KeysUnverifiable, detail).retry_after(KEYS_RETRY));
    }
    match in_force.keys.lookup(key) {
        Some(found) => Ok(Caller {
            account_id: found.account_id,
            key_id: Some(found.key_id),
        }),
        None if may_be_open => Ok(Caller::default()),
        None => Err(Problem::new(
            ProblemKind::InvalidKey,
            "the key is unknown or was withdrawn",
        )),
    }
}

fn key_missing() -> Problem {
    Problem::new(
        ProblemKind::InvalidKey,
        "a key is needed: Authorization: Bearer KEY",
    )
}

/// Whether a request without a key can be allowed, as far as its path tells.
fn may_be_open(in_force: &InForce, operation: &Operation) -> bool {
    let mut routes = in_force
        .document
        .routes
        .iter()
        .filter(|route| route.access == Access::Open);
    match &operation.target {
        Target::Service { route_id, .. } => {
            routes.any(|route| route.kind == RouteKind::Service && route.id == *route_id)
        }
        // Which model is asked for stands in the body.
        Target::Completion => routes.any(|route| route.kind == RouteKind::Model),
        Target::Models | Target::CreateProgram | Target::ShowProgram(_) | Target::EndProgram(_) => false,
    }
}

/// A completion without a key runs only on an open route.
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
        Err(key_missing())
    }
}

async fn read_body(body: Incoming, limits: IntakeLimits) -> Result<Bytes, Problem> {
    let limited = Limited::new(body, limits.body_max_bytes);
    let Ok(collected) = tokio::time::timeout(limits.body_timeout, limited.collect()).await else {
        let detail = "the body did not arrive in time";
        return Err(Problem::new(ProblemKind::RequestTimeout, detail));
    };
    match collected {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let detail = format!("the body may hold at most {} bytes", limits.body_max_bytes);
            Err(Problem::new(ProblemKind::BodyTooLarge, detail))
        }
        Err(error) => Err(Problem::new(
            ProblemKind::InvalidRequest,
            format!("the body broke off: {error}"),
        )),
    }
}
