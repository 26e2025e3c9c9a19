//! A call from its head to its answer.

mod record;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{Account, Admission, CallerLimits, Directory, AccountLookup, Route, Target};
use bytes::Bytes;
use http::{Request, Response, header, request::Parts};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::timeout;

pub(crate) use self::record::CallRecord;
use self::record::as_ms;
use crate::{
    CallHead,
    attempt::{Arrived, Call, CallerRequest, Opened, call_time},
    budgets::{HoldAsk, NotHeld, hold},
    refusal::Refusal,
    shared::{Shared, Tables},
    stream::{AnswerBody, read_whole, relay_events},
};

/// Serves one call.
pub(crate) async fn serve(shared: Arc<Shared>, request: Request<Incoming>) -> Response<AnswerBody> {
    let started_at = Instant::now();
    let (parts, body) = request.into_parts();
    let head = match shared.dialect.read_call(&parts.headers) {
        Ok(head) => head,
        Err(bad) => return refuse_early(&shared, None, Refusal::BadHead(bad.field), started_at),
    };
    let admitted = match admit(&shared, &head, &parts) {
        Ok(admitted) => admitted,
        Err(refusal) => return refuse_early(&shared, Some(&head), refusal, started_at),
    };
    let patience = call_time(&head, &admitted.route);
    let body = match read_body(body, &admitted.limits, patience).await {
        Ok(body) => body,
        Err(refusal) => return refuse_early(&shared, Some(&head), refusal, started_at),
    };
    let request = CallerRequest {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
    };
    let record = CallRecord::new(
        started_at,
        admitted.directory_version,
        admitted.directory_age,
        admitted.event_tokens,
    );
    let arrived = Arrived {
        head,
        route: admitted.route,
        account: admitted.account,
        service: admitted.service,
        request,
        started_at,
        record,
    };
    let mut call = Call::new(Arc::clone(&shared), arrived);
    match run(&mut call, admitted.standing).await {
        Ok(Opening::Whole(response)) => response,
        Ok(Opening::Events(opened)) => pass_on(call, opened),
        Err(refusal) => {
            call.record.refused = Some(refusal);
            refusal.answer(&*shared.dialect, Some(&call.head.call_id))
        }
    }
}

/// What the configuration and the account's rate allow a call.
struct Admitted {
    route: Arc<Route>,
    account: Option<Arc<Account>>,
    service: String,
    standing: Standing,
    limits: CallerLimits,
    directory_version: u64,
    directory_age: Duration,
    event_tokens: u64,
}

/// How a call stands with its account's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    /// It is counted.
    Counted,
    /// Whether its program has begun is for the keeper of the program's account to say.
    Open {
        /// When a program may begin; none when one may begin now.
        begins_after: Option<Duration>,
    },
}

/// An answer that has begun.
enum Opening {
    Whole(Response<AnswerBody>),
    Events(Opened),
}

/// Decides on what is known at arrival.
fn admit(shared: &Shared, head: &CallHead, parts: &Parts) -> Result<Admitted, Refusal> {
    let mut tables = shared.tables();
    let directory = tables.directory.clone().ok_or(Refusal::NotReady)?;
    if tables.hosts == 0 {
        return Err(Refusal::NotReady);
    }
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|host| host.to_str().ok());
    let host = host
        .or_else(|| parts.uri.host())
        .ok_or(Refusal::BadHead("host"))?;
    let route = directory.route(host, parts.uri.path()).ok_or(Refusal::NoRoute)?;
    let account = match directory.account(route, head.key.as_deref()) {
        AccountLookup::Account(account) => Some(account),
        AccountLookup::Anonymous => None,
        AccountLookup::Unknown => return Err(Refusal::UnknownKey),
    };
    let standing = match &account {
        Some(account) => count_in(&mut tables, head, route, account)?,
        None => Standing::Counted,
    };
    let service = choose_target(&route.targets).ok_or(Refusal::NoRoute)?;
    Ok(Admitted {
        route: Arc::clone(route),
        account,
        standing,
        limits: directory.document().limits,
        directory_version: directory.version(),
        directory_age: tables.directory_at.map_or(Duration::ZERO, |at| at.elapsed()),
        event_tokens: event_tokens(&directory, &service),
        service,
    })
}

/// Counts a call against its account's rate, unless it may begin a program: a program begins with a
/// generation, and one that this host does not know may have begun through another.
fn count_in(
    tables: &mut Tables,
    head: &CallHead,
    route: &Route,
    account: &Account,
) -> Result<Standing, Refusal> {
    let now = Instant::now();
    let program = head.program.as_ref();
    let unknown = program.filter(|program| !tables.programs.is_running(&program.id, now));
    if route.kind.is_stream() && unknown.is_some_and(|program| program.budget_tokens.is_some()) {
        let begins_after = match tables.rate_limiter.may_start_program(&account.name, now) {
            Admission::Admitted => None,
            Admission::Refused { retry_after } => Some(retry_after),
        };
        return Ok(Standing::Open { begins_after });
    }
    count(tables, head, account, false)?;
    Ok(Standing::Counted)
}

fn count(tables: &mut Tables, head: &CallHead, account: &Account, begins: bool) -> Result<(), Refusal> {
    let now = Instant::now();
    if let Admission::Refused { retry_after } = tables.rate_limiter.admit(&account.name, begins, now) {
        return Err(Refusal::OverRate(retry_after));
    }
    if let Some(program) = &head.program {
        tables.programs.record_call(&program.id, now);
    }
    Ok(())
}

fn event_tokens(directory: &Directory, service: &str) -> u64 {
    let engine = directory.service(service).and_then(|service| service.engine);
    engine.map_or(1, |engine| engine.event_tokens.max(1))
}

/// Picks one of a route's services by weight.
fn choose_target(targets: &[Target]) -> Option<String> {
    if let [only] = targets {
        return Some(only.service.clone());
    }
    let sum: u32 = targets.iter().map(|target| target.weight).sum();
    let mut left = rand::random::<u32>().checked_rem(sum)?;
    for target in targets {
        if left < target.weight {
            return Some(target.service.clone());
        }
        left -= target.weight;
    }
    None
}

async fn read_body(body: Incoming, limits: &CallerLimits, patience: Duration) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, limits.body_max_bytes);
    match timeout(patience, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyIncomplete),
    }
}

/// Reserves what the call may generate, and finds an endpoint that answers it.
async fn run(call: &mut Call, standing: Standing) -> Result<Opening, Refusal> {
    set_aside_tokens(call, standing).await?;
    if let (Standing::Open { .. }, Some(account)) = (standing, &call.account) {
        let begins = call.hold.as_ref().is_some_and(|hold| hold.begins);
        count(&mut call.shared.tables(), &call.head, account, begins)?;
    }
    loop {
        let opened = call.open(call.head.last_event).await?;
        call.record.note_first_byte();
        call.record.status = opened.response.status().as_u16();
        if call.route.kind.is_stream() && opened.response.status().is_success() {
            return Ok(Opening::Events(opened));
        }
        let (mut parts, body) = opened.response.into_parts();
        let Some(body) = read_whole(call, body).await else {
            if call.note_broken() && !call.time_left().is_zero() {
                continue;
            }
            let over = call.time_left().is_zero();
            return Err(if over {
                Refusal::TimeOver
            } else {
                Refusal::UnknownOutcome
            });
        };
        call.finish(opened.connection, opened.head.keep_alive);
        call.record.complete = true;
        call.shared.dialect.write_answer(&mut parts.headers);
        return Ok(Opening::Whole(Response::from_parts(
            parts,
            AnswerBody::full(body),
        )));
    }
}

/// Sets a generation's tokens aside from its program's budget.
async fn set_aside_tokens(call: &mut Call, standing: Standing) -> Result<(), Refusal> {
    let Some(program) = &call.head.program else {
        return Ok(());
    };
    let (Some(budget_tokens), Some(tokens)) = (program.budget_tokens, call.head.tokens) else {
        return Ok(());
    };
    if !call.route.kind.is_stream() {
        return Ok(());
    }
    let most_tokens = tokens.answer_max.next_multiple_of(call.record.event_tokens);
    let waited_from = Instant::now();
    let load_per_slot = call.load_per_slot();
    call.record.load_per_slot = Some(load_per_slot);
    let ask = HoldAsk {
        call_id: call.head.call_id.clone(),
        program: program.id.clone(),
        budget_tokens,
        most_tokens,
        load_per_slot,
        priority: call.priority(),
        begins_after: match standing {
            Standing::Counted => None,
            Standing::Open { begins_after } => begins_after,
        },
        time_left: call.time_left(),
    };
    let answered = hold(&call.shared, ask).await;
    call.record.reserve_wait = waited_from.elapsed();
    match answered {
        Ok(hold) => {
            call.hold = Some(hold);
            Ok(())
        }
        Err(NotHeld::Later { retry_after }) => Err(Refusal::NoEndpoint(retry_after)),
        Err(NotHeld::OverRate { retry_after }) => Err(Refusal::OverRate(retry_after)),
        Err(NotHeld::Spent) => Err(Refusal::BudgetSpent),
        Err(NotHeld::NoStore { retry_after }) => Err(Refusal::NoReservation(retry_after)),
    }
}

fn pass_on(mut call: Call, mut opened: Opened) -> Response<AnswerBody> {
    let status = opened.response.status();
    let mut headers = std::mem::take(opened.response.headers_mut());
    call.shared.dialect.write_answer(&mut headers);
    call.record.status = status.as_u16();
    let mut response = Response::new(relay_events(call, opened));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Answers a call of which nothing was sent anywhere.
fn refuse_early(
    shared: &Shared,
    head: Option<&CallHead>,
    refusal: Refusal,
    started_at: Instant,
) -> Response<AnswerBody> {
    let call_id = head.map(|head| head.call_id.as_str());
    metrics::counter!("burdockroad_calls_total", "outcome" => refusal.name()).increment(1);
    shared.log.line(
        "call_refused",
        &RefusalLine {
            id: call_id,
            reason: refusal.name(),
            detail: match refusal {
                Refusal::BadHead(field) => Some(field),
                _ => None,
            },
            program: head.and_then(|head| Some(head.program.as_ref()?.id.as_str())),
            key: head.and_then(|head| head.key.as_deref()).map(key_mark),
            status: refusal.status().as_u16(),
            retry_after_ms: refusal.retry_after().map(as_ms),
            total_ms: as_ms(started_at.elapsed()),
        },
    );
    refusal.answer(&*shared.dialect, call_id)
}

/// A mark that tells keys apart in the log.
fn key_mark(key: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish()
}

#[derive(Serialize)]
struct RefusalLine<'a> {
    id: Option<&'a str>,
    reason: &'static str,
    detail: Option<&'static str>,
    program: Option<&'a str>,
    /// Hash of the key, which tells callers apart and opens nothing.
    key: Option<u64>,
    status: u16,
    retry_after_ms: Option<u64>,
    total_ms: u64,
}
