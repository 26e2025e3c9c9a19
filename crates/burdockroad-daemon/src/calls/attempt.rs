//! One attempt of a call at one endpoint.

use std::time::{Duration, Instant};

use burdockroad::{ProgramId, program::CallResponse};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt, pin_mut};
use http::{HeaderMap, HeaderValue, Method, header};

use crate::{
    answer::{Frame, Head, ResponseLog},
    calls::{
        CallPayload, CallPlan, CallRunner,
        completion::{
            CompletionRequest, EVENT_STREAM_CONTENT_TYPE, EventKind, JSON_CONTENT_TYPE, ResponseAssembler,
            json_body, sse_event,
        },
        engine_stream::EngineStream,
        request_id,
        service::{ServiceRequest, response_headers},
        start_timer,
    },
    dispatch::{Slot, SlotReport},
    endpoint::{EndpointRequest, EndpointResponse, SendError},
    problem::{Problem, ProblemKind, Ran},
};

/// Path of an engine's completion API.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Header with the program whose prefix the engine may cache.
const PROGRAM_HEADER: &str = "x-program-id";

/// Header with the id of the attempt.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header by which an engine orders its waiting calls; lower values are served first.
const PRIORITY_HEADER: &str = "x-priority";

/// Maximum number of times that a stream is resumed after its connection broke.
const RESUMES_MAX: u32 = 3;

/// Maximum size of an engine's error response, in bytes.
const ERROR_MAX_BYTES: usize = 64 * 1024;

/// The inputs of an attempt.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    pub(super) plan: &'a CallPlan,
    pub(super) slot: &'a Slot,
    /// Program whose prefix the engine may cache; `None` if it must not cache one.
    pub(super) program_id: Option<&'a ProgramId>,
    /// Whole conversation of a completion, one JSON text per message.
    pub(super) prompt: &'a [String],
    /// Upper bound of tokens to generate.
    pub(super) max_tokens: u64,
    /// Tokens generated so far for the program's calls.
    pub(super) attained_tokens: u64,
    pub(super) log: &'a ResponseLog,
}

/// The outcome of an attempt.
#[derive(Debug)]
pub(super) struct AttemptEnd {
    pub(super) result: Result<CompleteResponse, Failure>,
    /// Tokens to charge to the program's budget.
    pub(super) spent_tokens: u64,
    pub(super) report: SlotReport,
}

/// A complete response whose last frames have not been forwarded yet.
#[derive(Debug)]
pub(super) struct CompleteResponse {
    pub(super) call_response: CallResponse,
    /// Frames to forward before [`Frame::End`], once the result is durable.
    pub(super) remaining_frames: Vec<Frame>,
}

/// The failure of an attempt that got no complete response.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) problem: Problem,
    /// Whether the call may succeed at another endpoint.
    pub(super) retryable: bool,
}

impl CallRunner {
    /// Sends a call once and forwards its response.
    ///
    /// The last frames of a complete response are returned instead, because the result must be durable
    /// before they are forwarded.
    pub(super) async fn attempt(&self, attempt: &Attempt<'_>) -> AttemptEnd {
        // A call may wait for its intent to become durable after its slot was granted.
        if self.is_evacuated(&attempt.slot.endpoint_id) {
            return evacuated_attempt();
        }
        match &attempt.plan.payload {
            CallPayload::Completion(request) => self.attempt_completion(attempt, request).await,
            CallPayload::Service(request) => self.attempt_service(attempt, request).await,
        }
    }

    async fn attempt_service(&self, attempt: &Attempt<'_>, request: &ServiceRequest) -> AttemptEnd {
        let started = start_timer();
        let send_result = self.endpoints.send(service_request(attempt, request)).await;
        let mut report = SlotReport {
            first_token: Some(started.elapsed()),
            ..SlotReport::default()
        };
        let result = match send_result {
            Ok(response) => self.read_service_response(response).await,
            Err(error) => Err(error),
        };
        report.failed = result.is_err();
        let result = result.map_err(|error| endpoint_failure(&error));
        AttemptEnd {
            result,
            spent_tokens: 0,
            report,
        }
    }

    async fn read_service_response(&self, response: EndpointResponse) -> Result<CompleteResponse, SendError> {
        let head = Head {
            status: response.status,
            headers: response_headers(&response.headers),
        };
        let body = response.read(self.limits.response_max_bytes).await?;
        let content_type = head
            .headers
            .get(header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok());
        let recorded = CallResponse {
            status: head.status,
            content_type: content_type.unwrap_or_default().to_owned(),
            body: body.to_vec(),
            message: None,
        };
        Ok(CompleteResponse {
            call_response: recorded,
            remaining_frames: vec![Frame::Head(head), Frame::Data(body)],
        })
    }

    async fn attempt_completion(&self, attempt: &Attempt<'_>, request: &CompletionRequest) -> AttemptEnd {
        let started = start_timer();
        let stream = EngineStream::new(&self.endpoints, &attempt.slot.address);
        let send_result = self
            .endpoints
            .send(completion_request(attempt, request, &stream))
            .await;
        let response = match send_result {
            Ok(response) if response.status == 200 => response,
            Ok(response) => {
                stream.disarm();
                return rejected_attempt(response).await;
            }
            Err(error) => {
                let spent_tokens = if error.ran == Ran::No {
                    0
                } else {
                    attempt.max_tokens
                };
                return failed_attempt(endpoint_failure(&error), spent_tokens, true);
            }
        };
        let mut relay = StreamRelay {
            request,
            log: attempt.log,
            assembler: ResponseAssembler::default(),
            started,
            first: None,
        };
        let outcome = relay_with_resume(&mut relay, &stream, response).await;
        if outcome.is_ok() {
            stream.disarm();
        }
        completion_end(attempt, &relay, outcome)
    }
}

/// Relays a stream to its end, and resumes it up to [`RESUMES_MAX`] times when its connection breaks.
async fn relay_with_resume(
    relay: &mut StreamRelay<'_>,
    stream: &EngineStream,
    response: EndpointResponse,
) -> Result<(), SendError> {
    let mut outcome = relay.run(body_stream(response)).await;
    for _ in 0..RESUMES_MAX {
        if outcome.is_ok() {
            break;
        }
        let Some(response) = stream.resume(relay.assembler.content_deltas()).await else {
            break;
        };
        outcome = relay.run(body_stream(response)).await;
    }
    outcome
}

/// A relay that forwards a stream to the callers and assembles the complete response from it.
#[derive(Debug)]
struct StreamRelay<'a> {
    request: &'a CompletionRequest,
    log: &'a ResponseLog,
    assembler: ResponseAssembler,
    started: Instant,
    /// Time to the first event, once it has arrived.
    first: Option<Duration>,
}

impl StreamRelay<'_> {
    async fn run(&mut self, body: impl Stream<Item = Result<Bytes, SendError>>) -> Result<(), SendError> {
        let events = body.eventsource();
        pin_mut!(events);
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| truncated_stream(&error.to_string()))?;
            self.first.get_or_insert_with(|| self.started.elapsed());
            let kind = self
                .assembler
                .add(&event.data)
                .map_err(|error| truncated_stream(&error.to_string()))?;
            if kind == EventKind::End {
                break;
            }
            self.forward_event(kind, &event.data);
        }
        if self.assembler.is_complete() {
            Ok(())
        } else {
            Err(truncated_stream(
                "the stream ended before the completion was finished",
            ))
        }
    }

    fn forward_event(&self, kind: EventKind, data: &str) {
        let included = kind == EventKind::Chunk || self.request.include_usage;
        if !self.request.stream || !included {
            return;
        }
        if !self.log.has_started() {
            self.log
                .push(Frame::Head(Head::new(200, EVENT_STREAM_CONTENT_TYPE)));
        }
        self.log.push(Frame::Data(sse_event(data)));
    }
}

fn completion_end(
    attempt: &Attempt<'_>,
    relay: &StreamRelay<'_>,
    outcome: Result<(), SendError>,
) -> AttemptEnd {
    let usage = relay.assembler.usage();
    let report = SlotReport {
        prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
        cached_tokens: usage.map_or(0, |usage| usage.cached_tokens),
        output_tokens: usage.map_or(0, |usage| usage.completion_tokens),
        first_token: relay.first,
        failed: outcome.is_err(),
    };
    // An engine that reported no usage may have generated all reserved tokens.
    let spent_tokens = usage.map_or(attempt.max_tokens, |usage| usage.completion_tokens);
    let result = match outcome {
        Ok(()) => Ok(complete_response(relay)),
        Err(error) => Err(endpoint_failure(&error)),
    };
    AttemptEnd {
        result,
        spent_tokens,
        report,
    }
}

fn complete_response(relay: &StreamRelay<'_>) -> CompleteResponse {
    let call_response = relay.assembler.response();
    let remaining_frames = if relay.request.stream {
        vec![Frame::Data(sse_event(super::completion::STREAM_END))]
    } else {
        vec![
            Frame::Head(Head::new(200, JSON_CONTENT_TYPE)),
            Frame::Data(json_body(&call_response)),
        ]
    };
    CompleteResponse {
        call_response,
        remaining_frames,
    }
}

/// Converts an engine's error response into a failed attempt; nothing was generated.
async fn rejected_attempt(response: EndpointResponse) -> AttemptEnd {
    let status = response.status;
    let text = response.read(ERROR_MAX_BYTES).await.unwrap_or_default();
    let detail = format!(
        "the engine responded with status {status}: {}",
        String::from_utf8_lossy(&text)
    );
    let endpoint_fault = status == 429 || status >= 500;
    let kind = if endpoint_fault {
        ProblemKind::EndpointFailed
    } else {
        ProblemKind::InvalidRequest
    };
    failed_attempt(
        Failure {
            problem: Problem::new(kind, detail),
            retryable: endpoint_fault,
        },
        0,
        endpoint_fault,
    )
}

/// Returns the end of an attempt that was not sent because the endpoint's failure domain was evacuated after
/// its slot was granted. This does not count as a failure of the endpoint.
fn evacuated_attempt() -> AttemptEnd {
    let detail = "the endpoint's failure domain was evacuated before the request was sent";
    let failure = Failure {
        problem: Problem::new(ProblemKind::EndpointFailed, detail).ran(Ran::No),
        retryable: true,
    };
    failed_attempt(failure, 0, false)
}

fn failed_attempt(failure: Failure, spent_tokens: u64, endpoint_failed: bool) -> AttemptEnd {
    let report = SlotReport {
        failed: endpoint_failed,
        ..SlotReport::default()
    };
    AttemptEnd {
        result: Err(failure),
        spent_tokens,
        report,
    }
}

fn endpoint_failure(error: &SendError) -> Failure {
    let detail = format!("the request to the endpoint failed: {error}");
    let problem = Problem::new(ProblemKind::EndpointFailed, detail).ran(error.ran);
    Failure {
        problem,
        retryable: true,
    }
}

fn truncated_stream(reason: &str) -> SendError {
    SendError {
        reason: reason.to_owned(),
        ran: Ran::Unknown,
    }
}

fn body_stream(response: EndpointResponse) -> impl Stream<Item = Result<Bytes, SendError>> {
    futures_util::stream::unfold(Some(response), |response| async {
        let mut response = response?;
        match response.next().await {
            Ok(Some(data)) => Some((Ok(data), Some(response))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

fn service_request(attempt: &Attempt<'_>, request: &ServiceRequest) -> EndpointRequest {
    let mut headers = request.headers.clone();
    insert_attempt_headers(&mut headers, attempt, &request_id());
    EndpointRequest {
        address: attempt.slot.address.clone(),
        method: request.method.clone(),
        target: request.target.clone(),
        headers,
        body: request.body.clone(),
        fresh_connection: !attempt.plan.idempotent,
    }
}

fn completion_request(
    attempt: &Attempt<'_>,
    request: &CompletionRequest,
    stream: &EngineStream,
) -> EndpointRequest {
    let mut headers = HeaderMap::new();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(JSON_CONTENT_TYPE));
    headers.insert(PRIORITY_HEADER, HeaderValue::from(attempt.attained_tokens));
    insert_attempt_headers(&mut headers, attempt, stream.request_id());
    EndpointRequest {
        address: attempt.slot.address.clone(),
        method: Method::POST,
        target: COMPLETIONS_PATH.to_owned(),
        headers,
        body: request.engine_body(attempt.prompt, attempt.max_tokens),
        // An error status states that the call did not run, so it must not be the response to an earlier one.
        fresh_connection: true,
    }
}

fn insert_attempt_headers(headers: &mut HeaderMap, attempt: &Attempt<'_>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_ID_HEADER, value);
    }
    if let Some(value) = attempt.program_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(PROGRAM_HEADER, value);
    }
    if let Some(value) = &attempt.plan.traceparent {
        headers.insert("traceparent", value.clone());
    }
}
