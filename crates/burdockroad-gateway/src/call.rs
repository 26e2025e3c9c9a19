//! Serves one call, from its request head to the end of its response.

mod admission;
mod body;
mod regions;

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{CallerLimits, RunDecision};
use bytes::Bytes;
use http::{Request, Response, request::Parts};
use hyper::body::Incoming;
use serde::Serialize;

use self::{
    admission::{CallContext, RateStatus, admit, count},
    body::{ReceivedBody, read_body},
};
use crate::{
    CallHead,
    admitted_call::{AdmittedCall, CallerRequest},
    attempt::{Call, OpenedResponse, identify},
    budget_messages::ReservationRequest,
    budgets::{FULLY_RESERVED_RETRY_AFTER, ReservationError, reserve},
    call_record::{CallRecord, HistoryRead},
    call_timeout::call_timeout,
    clock::as_ms,
    connections::ConnectionState,
    crash_detection::{decide_run, log_refused},
    kept_turn::KeptTurn,
    pool::ENDPOINT_CONNECTION_BYTES,
    refusal::Refusal,
    response_body::ResponseBody,
    shared::Shared,
    stream::{read_whole, relay_events},
};

/// Serves one call.
pub(crate) async fn serve(
    shared: Arc<Shared>,
    connection: Arc<ConnectionState>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let started_at = Instant::now();
    let (parts, body) = request.into_parts();
    let head = match shared.dialect.read_call(&parts.headers) {
        Ok(head) => head,
        Err(invalid) => return refuse_unsent(&shared, None, Refusal::InvalidHead(invalid.field), started_at),
    };
    let context = match admit(&shared, &head, &parts) {
        Ok(context) => context,
        Err(refusal) => return refuse_unsent(&shared, Some(&head), refusal, started_at),
    };
    let call_time = call_timeout(&head, &context.route);
    let received = match read_body_until_stop(&shared, &connection, body, &context.limits, call_time).await {
        Ok(received) => received,
        Err(refusal) => return refuse_unsent(&shared, Some(&head), refusal, started_at),
    };
    connection.begin_call();
    let body = received.bytes;
    if !shared.shutdown.may_serve(started_at + call_time) {
        return refuse_unsent(&shared, Some(&head), Refusal::Stopping, started_at);
    }
    if let Err(refusal) = refuse_quarantined(&shared, &head, &context, &parts, &body) {
        return refuse_unsent(&shared, Some(&head), refusal, started_at);
    }
    let history_requested_at = Instant::now();
    let kept_turn = match begin_turn(&shared, &head, &context, &body).await {
        Ok(kept_turn) => kept_turn,
        Err(refusal) => return refuse_unsent(&shared, Some(&head), refusal, started_at),
    };
    let history_time = history_requested_at.elapsed();
    let mut share = received.share;
    let turn_bytes = kept_turn.as_ref().map_or(0, KeptTurn::memory_bytes);
    if !share.grow(turn_bytes + ENDPOINT_CONNECTION_BYTES).await {
        return refuse_unsent(&shared, Some(&head), Refusal::NoRoom, started_at);
    }
    let input = body.clone();
    let body = kept_turn.as_ref().map_or(body, KeptTurn::prompt);
    let request = CallerRequest {
        method: parts.method,
        target: parts.uri,
        headers: parts.headers,
        body,
        input,
        share,
    };
    let mut record = CallRecord::new(
        started_at,
        context.directory_version,
        context.directory_age,
        context.event_tokens,
    );
    record.allowed_regions = match &kept_turn {
        Some(turn) => turn.allowed_regions().map(<[_]>::to_vec),
        None => context.allowed_regions,
    };
    record.history = kept_turn.as_ref().map(|turn| HistoryRead {
        time: history_time,
        read_turns: turn.read_turns(),
    });
    let admitted_call = AdmittedCall {
        head,
        route: context.route,
        account: context.account,
        service: context.service,
        request,
        kept_turn,
        started_at,
        record,
    };
    let mut call = Call::new(Arc::clone(&shared), admitted_call);
    match run_until_stop(&mut call, context.rate_status).await {
        Ok(ServedResponse::Complete(response)) => response,
        Ok(ServedResponse::Events(opened)) => relay_stream(call, opened),
        Err(refusal) => {
            call.record.refusal = Some(refusal);
            refusal.response(&*shared.dialect, Some(&call.head.call_id))
        }
    }
}

/// A response that is ready to be sent to the caller.
enum ServedResponse {
    /// A response that was read completely.
    Complete(Response<ResponseBody>),
    /// An event stream whose head has arrived.
    Events(OpenedResponse),
}

/// Reads the body of a call, at most until the stop plan's [`responses_due`](crate::shutdown::StopPlan::responses_due).
///
/// A body that stands still while others need room is refused.
async fn read_body_until_stop(
    shared: &Shared,
    connection: &Arc<ConnectionState>,
    body: Incoming,
    limits: &CallerLimits,
    body_timeout: Duration,
) -> Result<ReceivedBody, Refusal> {
    let reading = read_body(shared, connection, body, limits, body_timeout);
    tokio::select! {
        biased;
        body = shared.shutdown.run_until_responses_are_due(reading) => body.unwrap_or(Err(Refusal::Stopping)),
        () = connection.wait_for_refusal() => Err(Refusal::NoRoom),
    }
}

/// Reads the history that a call continues, at most until the stop plan's [`responses_due`](crate::shutdown::StopPlan::responses_due). Returns
/// `None` on routes whose turns the system does not keep.
async fn begin_turn(
    shared: &Shared,
    head: &CallHead,
    context: &CallContext,
    body: &Bytes,
) -> Result<Option<KeptTurn>, Refusal> {
    if !context.route.keeps_turns {
        return Ok(None);
    }
    let account = context.account.as_deref();
    let regions = context.allowed_regions.as_deref();
    let reading = KeptTurn::begin(shared, head, &context.route, account, regions, body.clone());
    let reading = pin!(reading);
    let kept_turn = shared.shutdown.run_until_responses_are_due(reading).await;
    kept_turn.unwrap_or(Err(Refusal::Stopping)).map(Some)
}

/// Refuses requests that crash endpoints, before anything is read or reserved for them.
fn refuse_quarantined(
    shared: &Shared,
    head: &CallHead,
    context: &CallContext,
    parts: &Parts,
    body: &[u8],
) -> Result<(), Refusal> {
    if shared.tables().quarantine.is_empty() {
        return Ok(());
    }
    let request = identify(context.account.as_deref(), &parts.method, &parts.uri, body);
    match decide_run(shared, &request) {
        RunDecision::Refuse { retry_after } => {
            log_refused(shared, &head.call_id, &request);
            Err(Refusal::Quarantined(retry_after))
        }
        // A suspect waits before it is sent, not here, where it may still be refused for another reason.
        RunDecision::Admit | RunDecision::Hold { .. } => Ok(()),
    }
}

/// Runs the call, at most until the stop plan's [`responses_due`](crate::shutdown::StopPlan::responses_due).
async fn run_until_stop(call: &mut Call, rate_status: RateStatus) -> Result<ServedResponse, Refusal> {
    let shared = Arc::clone(&call.shared);
    let result = shared
        .shutdown
        .run_until_responses_are_due(run(call, rate_status))
        .await;
    result.unwrap_or_else(|| Err(call.stop_refusal()))
}

/// Reserves the tokens that the call may generate, counts the call against the rate limit if it is not
/// counted yet, and sends the call to endpoints until one responds.
async fn run(call: &mut Call, rate_status: RateStatus) -> Result<ServedResponse, Refusal> {
    call.find_stream_version().await?;
    reserve_tokens(call, rate_status).await?;
    if let (RateStatus::Undecided { .. }, Some(account)) = (rate_status, &call.account) {
        let starts_program = call
            .reservation
            .as_ref()
            .is_some_and(|reservation| reservation.starts_program);
        count(&mut call.shared.tables(), &call.head, account, starts_program)?;
    }
    loop {
        let opened = call.open(call.head.last_event).await?;
        call.record.record_first_byte();
        call.record.status = opened.response.status().as_u16();
        if call.route.kind.is_stream() && opened.response.status().is_success() {
            return Ok(ServedResponse::Events(opened));
        }
        call.record_output();
        let (mut parts, body) = opened.response.into_parts();
        let Some(body) = read_whole(call, body).await else {
            if call.record_broken_response() && !call.time_left().is_zero() {
                continue;
            }
            let timed_out = call.time_left().is_zero();
            return Err(if timed_out {
                Refusal::DeadlineExceeded
            } else {
                Refusal::UnknownOutcome
            });
        };
        call.finish(opened.connection, opened.head.keep_alive);
        call.record.complete = true;
        call.shared.dialect.write_response(&mut parts.headers);
        return Ok(ServedResponse::Complete(Response::from_parts(
            parts,
            ResponseBody::full(body),
        )));
    }
}

/// Reserves the tokens of a generation in its program's budget. Other calls need no reservation.
async fn reserve_tokens(call: &mut Call, rate_status: RateStatus) -> Result<(), Refusal> {
    let Some(program) = &call.head.program else {
        return Ok(());
    };
    let (Some(budget_tokens), Some(tokens)) = (program.budget_tokens, call.head.tokens) else {
        return Ok(());
    };
    if !call.route.kind.is_stream() {
        return Ok(());
    }
    let max_tokens = tokens.max_output.next_multiple_of(call.record.event_tokens);
    let requested_at = Instant::now();
    let load_per_slot = call.load_per_slot();
    call.record.load_per_slot = Some(load_per_slot);
    let request = ReservationRequest {
        call_id: call.head.call_id.clone(),
        number: rand::random(),
        program: program.id.clone(),
        budget_tokens,
        max_tokens,
        load_per_slot,
        priority: call.priority(),
        start_after: match rate_status {
            RateStatus::Counted => None,
            RateStatus::Undecided { start_after } => start_after,
        },
        time_left: call.time_left(),
    };
    let result = reserve(&call.shared, request).await;
    call.record.reservation_wait = requested_at.elapsed();
    match result {
        Ok(reservation) => {
            call.reservation = Some(reservation);
            Ok(())
        }
        Err(ReservationError::Deferred { retry_after }) => Err(Refusal::NoEndpoint(retry_after)),
        Err(ReservationError::OverRate { retry_after }) => Err(Refusal::OverRate(retry_after)),
        Err(ReservationError::BudgetExhausted) => Err(Refusal::BudgetExhausted),
        Err(ReservationError::FullyReserved) => Err(Refusal::NoReservation(FULLY_RESERVED_RETRY_AFTER)),
        Err(ReservationError::StoreUnavailable { retry_after }) => Err(Refusal::NoReservation(retry_after)),
    }
}

/// Builds the caller's response around an endpoint's event stream.
fn relay_stream(mut call: Call, opened: OpenedResponse) -> Response<ResponseBody> {
    let status = opened.response.status();
    let mut headers = opened.response.headers().clone();
    call.shared.dialect.write_response(&mut headers);
    call.record.status = status.as_u16();
    let mut response = Response::new(relay_events(call, opened));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Refuses a call that was not sent to any endpoint.
fn refuse_unsent(
    shared: &Shared,
    head: Option<&CallHead>,
    refusal: Refusal,
    started_at: Instant,
) -> Response<ResponseBody> {
    let call_id = head.map(|head| head.call_id.as_str());
    metrics::counter!("burdockroad_calls_total", "outcome" => refusal.name()).increment(1);
    shared.log.line(
        "call_refused",
        &RefusalLine {
            id: call_id,
            reason: refusal.name(),
            detail: refusal.detail(),
            program: head.and_then(|head| Some(head.program.as_ref()?.id.as_str())),
            key: head.and_then(|head| head.api_key.as_deref()).map(key_hash),
            status: refusal.status().as_u16(),
            retry_after_ms: refusal.retry_after().map(as_ms),
            total_ms: as_ms(started_at.elapsed()),
        },
    );
    refusal.response(&*shared.dialect, call_id)
}

/// Returns a hash that distinguishes keys in the log.
fn key_hash(key: &str) -> u64 {
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
    /// Hash of the key. It distinguishes callers in the log without revealing the key.
    key: Option<u64>,
    status: u16,
    retry_after_ms: Option<u64>,
    total_ms: u64,
}
