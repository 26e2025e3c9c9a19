//! A call from its head to its answer.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{
    Account, Admission, CallerLimits, Directory, Endpoint, Failure, Lookup, Placement, Route, Target,
};
use bytes::Bytes;
use http::{Request, Response, header, request::Parts};
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use serde::Serialize;
use tokio::time::timeout;

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
    let record = CallRecord {
        directory_version: admitted.directory_version,
        directory_age: admitted.directory_age,
        event_tokens: admitted.event_tokens,
        started_at: Some(started_at),
        ..CallRecord::default()
    };
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
        Lookup::Account(account) => Some(account),
        Lookup::Anonymous => None,
        Lookup::Unknown => return Err(Refusal::UnknownKey),
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
    let unknown = program.filter(|program| !tables.programs.is_known(&program.id, now));
    if route.kind.is_stream() && unknown.is_some_and(|program| program.budget_tokens.is_some()) {
        let begins_after = match tables.allowances.may_begin(&account.name, now) {
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
    if let Admission::Refused { retry_after } = tables.allowances.admit(&account.name, begins, now) {
        return Err(Refusal::OverRate(retry_after));
    }
    if let Some(program) = &head.program {
        tables.programs.note(&program.id, now);
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

/// What a call did, for its log line.
#[derive(Debug, Default)]
pub(crate) struct CallRecord {
    pub(crate) directory_version: u64,
    pub(crate) directory_age: Duration,
    pub(crate) event_tokens: u64,
    pub(crate) started_at: Option<Instant>,
    pub(crate) status: u16,
    pub(crate) complete: bool,
    pub(crate) refused: Option<Refusal>,
    pub(crate) reserve_wait: Duration,
    /// Calls for each slot of the service when the call asked for its tokens.
    pub(crate) load_per_slot: Option<f64>,
    pub(crate) events: u64,
    pub(crate) resumed: u32,
    attempts: u32,
    endpoint: String,
    endpoint_load: u32,
    expected_ms: f64,
    first_byte: Option<Duration>,
}

impl CallRecord {
    /// Tokens that the caller was handed.
    pub(crate) fn tokens_used(&self) -> u64 {
        self.events * self.event_tokens
    }

    pub(crate) fn note_attempt(&mut self, placement: &Placement) {
        self.attempts += 1;
        self.endpoint.clone_from(&placement.endpoint.id);
        self.endpoint_load = placement.load;
        self.expected_ms = placement.expected_ms;
    }

    pub(crate) fn note_first_byte(&mut self) {
        self.first_byte = self.started_at.map(|at| at.elapsed());
    }

    pub(crate) fn note_failure(
        &self,
        shared: &Shared,
        head: &CallHead,
        endpoint: &Endpoint,
        failure: Failure,
    ) {
        let name = match failure {
            Failure::Gone => "gone",
            Failure::Unreachable => "unreachable",
            Failure::Full => "full",
            Failure::WrongEndpoint => "wrong_endpoint",
            Failure::Unknown => "unknown",
        };
        metrics::counter!("burdockroad_attempts_failed_total", "failure" => name).increment(1);
        shared.log.line(
            "attempt_failed",
            &FailureLine {
                id: &head.call_id,
                endpoint: &endpoint.id,
                failure: name,
                attempt: self.attempts,
            },
        );
    }

    /// Writes the call's line and counts it.
    pub(crate) fn close(&self, shared: &Shared, head: &CallHead, route: &Route, account: Option<&Account>) {
        let outcome = match (self.refused, self.complete) {
            (Some(refusal), _) => refusal.name(),
            (None, true) => "answered",
            (None, false) => "caller_left",
        };
        let total = self.started_at.map_or(Duration::ZERO, |at| at.elapsed());
        let account = account.map_or("-", |account| account.name.as_str());
        metrics::counter!("burdockroad_calls_total", "outcome" => outcome).increment(1);
        metrics::histogram!("burdockroad_call_duration_seconds", "route" => route.name.clone())
            .record(total.as_secs_f64());
        metrics::histogram!("burdockroad_account_call_duration_seconds", "account" => account.to_owned())
            .record(total.as_secs_f64());
        shared.log.line(
            "call",
            &CallLine {
                id: &head.call_id,
                outcome,
                status: self.status,
                route: &route.name,
                account,
                program: head.program.as_ref().map(|program| program.id.as_str()),
                budget_tokens: head.program.as_ref().and_then(|program| program.budget_tokens),
                answer_max_tokens: head.tokens.map(|tokens| tokens.answer_max),
                config_version: self.directory_version,
                config_age_ms: as_ms(self.directory_age),
                endpoint: &self.endpoint,
                endpoint_load: self.endpoint_load,
                expected_ms: self.expected_ms.round(),
                attempts: self.attempts,
                resumed: self.resumed,
                events: self.events,
                reserve_ms: as_ms(self.reserve_wait),
                load_per_slot: self.load_per_slot.map(two_digits),
                retry_after_ms: self.refused.and_then(Refusal::retry_after).map(as_ms),
                first_byte_ms: self.first_byte.map(as_ms),
                total_ms: as_ms(total),
            },
        );
    }
}

#[derive(Serialize)]
struct CallLine<'a> {
    id: &'a str,
    outcome: &'static str,
    status: u16,
    route: &'a str,
    account: &'a str,
    program: Option<&'a str>,
    budget_tokens: Option<u64>,
    answer_max_tokens: Option<u64>,
    config_version: u64,
    config_age_ms: u64,
    endpoint: &'a str,
    endpoint_load: u32,
    expected_ms: f64,
    attempts: u32,
    resumed: u32,
    events: u64,
    reserve_ms: u64,
    load_per_slot: Option<f64>,
    retry_after_ms: Option<u64>,
    first_byte_ms: Option<u64>,
    total_ms: u64,
}

#[derive(Serialize)]
struct FailureLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    failure: &'static str,
    attempt: u32,
}

fn two_digits(number: f64) -> f64 {
    (number * 100.0).round() / 100.0
}

fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
