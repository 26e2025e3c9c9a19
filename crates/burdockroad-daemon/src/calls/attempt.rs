//! One try of a call at one endpoint.

use std::time::{Duration, Instant};

use burdockroad::{ProgramId, program::CallResponse};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt, pin_mut};
use http::{HeaderMap, HeaderValue, Method, header};

use crate::{
    answer::{AnswerLog, Frame, Head},
    calls::{
        CallRunner, Plan, Work, clock,
        completion::{
            Assembly, CompletionRequest, EVENT_STREAM_CONTENT_TYPE, EventKind, JSON_CONTENT_TYPE, event,
            whole_body,
        },
        engine_stream::EngineStream,
        request_id,
        service::{ServiceRequest, answer_headers},
    },
    dispatch::{Slot, SlotReport},
    endpoint::{EndpointAnswer, EndpointRequest, SendError},
    problem::{Problem, ProblemKind, Ran},
};

/// Path at which engines take completions.
const COMPLETIONS_PATH: &str = "/v1/chat/completions";

/// Header that names the program whose prefix an engine may keep.
const PROGRAM_HEADER: &str = "x-program-id";

/// Header that names one attempt.
const REQUEST_HEADER: &str = "x-request-id";

/// Header that orders an engine's waiting calls; a lower number goes first.
const PRIORITY_HEADER: &str = "x-priority";

/// Times that one stream is resumed after its connection broke.
const RESUMES_MAX: u32 = 3;

/// Largest error text of an engine that is read, in bytes.
const ERROR_MAX_BYTES: usize = 64 * 1024;

/// What an attempt is made of.
#[derive(Debug)]
pub(super) struct Attempt<'a> {
    pub(super) plan: &'a Plan,
    pub(super) slot: &'a Slot,
    pub(super) program_id: Option<&'a ProgramId>,
    /// The whole conversation of a completion, as JSON texts.
    pub(super) prompt: &'a [String],
    /// Most tokens that may be generated.
    pub(super) max_tokens: u64,
    /// Tokens that the program's calls have had generated so far.
    pub(super) attained_tokens: u64,
    pub(super) log: &'a AnswerLog,
}

/// How an attempt ended.
#[derive(Debug)]
pub(super) struct AttemptEnd {
    pub(super) result: Result<Whole, Failure>,
    /// Tokens that count as spent.
    pub(super) spent_tokens: u64,
    pub(super) report: SlotReport,
}

/// A whole answer, of which the end has not been passed on yet.
#[derive(Debug)]
pub(super) struct Whole {
    pub(super) answer: CallResponse,
    /// What is still to be passed on, before the end.
    pub(super) rest: Vec<Frame>,
}

/// An attempt that brought no whole answer.
#[derive(Clone, Debug)]
pub(super) struct Failure {
    pub(super) problem: Problem,
    /// Whether another endpoint may do better.
    pub(super) elsewhere: bool,
}

impl CallRunner {
    /// Sends a call once and passes its answer on, but for the end.
    pub(super) async fn attempt(&self, attempt: &Attempt<'_>) -> AttemptEnd {
        match &attempt.plan.work {
            Work::Completion(request) => self.attempt_completion(attempt, request).await,
            Work::Service(request) => self.attempt_service(attempt, request).await,
        }
    }

    async fn attempt_service(&self, attempt: &Attempt<'_>, request: &ServiceRequest) -> AttemptEnd {
        let started = clock();
        let sent = self.endpoints.send(service_request(attempt, request)).await;
        let mut report = SlotReport {
            first_token: Some(started.elapsed()),
            ..SlotReport::default()
        };
        let result = match sent {
            Ok(answer) => self.read_service(answer).await,
            Err(error) => Err(error),
        };
        report.failed = result.is_err();
        let result = result.map_err(|error| endpoint_failed(&error));
        AttemptEnd {
            result,
            spent_tokens: 0,
            report,
        }
    }

    async fn read_service(&self, answer: EndpointAnswer) -> Result<Whole, SendError> {
        let head = Head {
            status: answer.status,
            headers: answer_headers(&answer.headers),
        };
        let body = answer.read(self.limits.answer_max_bytes).await?;
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
        Ok(Whole {
            answer: recorded,
            rest: vec![Frame::Head(head), Frame::Data(body)],
        })
    }

    async fn attempt_completion(&self, attempt: &Attempt<'_>, request: &CompletionRequest) -> AttemptEnd {
        let started = clock();
        let stream = EngineStream::new(&self.endpoints, &attempt.slot.address);
        let sent = self
            .endpoints
            .send(completion_request(attempt, request, &stream))
            .await;
        let answer = match sent {
            Ok(answer) if answer.status == 200 => answer,
            Ok(answer) => {
                stream.close();
                return refused(answer).await;
            }
            Err(error) => {
                let spent_tokens = if error.ran == Ran::No {
                    0
                } else {
                    attempt.max_tokens
                };
                return failed(endpoint_failed(&error), spent_tokens, true);
            }
        };
        let mut relay = Relay {
            request,
            log: attempt.log,
            assembly: Assembly::default(),
            started,
            first: None,
        };
        let outcome = follow(&mut relay, &stream, answer).await;
        if outcome.is_ok() {
            stream.close();
        }
        finish(attempt, &relay, outcome)
    }
}

/// Passes a stream on to its end, and resumes it where its connection breaks.
async fn follow(
    relay: &mut Relay<'_>,
    stream: &EngineStream,
    answer: EndpointAnswer,
) -> Result<(), SendError> {
    let mut outcome = relay.run(body_stream(answer)).await;
    for _ in 0..RESUMES_MAX {
        if outcome.is_ok() {
            break;
        }
        let Some(answer) = stream.resume(relay.assembly.tokens()).await else {
            break;
        };
        outcome = relay.run(body_stream(answer)).await;
    }
    outcome
}

/// Passes a stream on to the callers while putting the answer together.
#[derive(Debug)]
struct Relay<'a> {
    request: &'a CompletionRequest,
    log: &'a AnswerLog,
    assembly: Assembly,
    started: Instant,
    first: Option<Duration>,
}

impl Relay<'_> {
    async fn run(&mut self, body: impl Stream<Item = Result<Bytes, SendError>>) -> Result<(), SendError> {
        let events = body.eventsource();
        pin_mut!(events);
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| cut(&error.to_string()))?;
            self.first.get_or_insert_with(|| self.started.elapsed());
            let kind = self
                .assembly
                .add(&event.data)
                .map_err(|error| cut(&error.to_string()))?;
            if kind == EventKind::End {
                break;
            }
            self.pass_on(kind, &event.data);
        }
        if self.assembly.is_whole() {
            Ok(())
        } else {
            Err(cut("the stream ended early"))
        }
    }

    fn pass_on(&self, kind: EventKind, data: &str) {
        let wanted = kind == EventKind::Part || self.request.include_usage;
        if !self.request.stream || !wanted {
            return;
        }
        if !self.log.has_begun() {
            self.log
                .push(Frame::Head(Head::new(200, EVENT_STREAM_CONTENT_TYPE)));
        }
        self.log.push(Frame::Data(event(data)));
    }
}

fn finish(attempt: &Attempt<'_>, relay: &Relay<'_>, outcome: Result<(), SendError>) -> AttemptEnd {
    let usage = relay.assembly.usage();
    let report = SlotReport {
        prompt_tokens: usage.map_or(0, |usage| usage.prompt_tokens),
        cached_tokens: usage.map_or(0, |usage| usage.cached_tokens),
        output_tokens: usage.map_or(0, |usage| usage.completion_tokens),
        first_token: relay.first,
        failed: outcome.is_err(),
    };
    // Without the engine's own count, all that was set aside may have been generated.
    let spent_tokens = usage.map_or(attempt.max_tokens, |usage| usage.completion_tokens);
    let result = match outcome {
        Ok(()) => Ok(whole_completion(relay)),
        Err(error) => Err(endpoint_failed(&error)),
    };
    AttemptEnd {
        result,
        spent_tokens,
        report,
    }
}

fn whole_completion(relay: &Relay<'_>) -> Whole {
    let answer = relay.assembly.answer();
    let rest = if relay.request.stream {
        vec![Frame::Data(event(super::completion::STREAM_END))]
    } else {
        vec![
            Frame::Head(Head::new(200, JSON_CONTENT_TYPE)),
            Frame::Data(whole_body(&answer)),
        ]
    };
    Whole { answer, rest }
}

/// An engine's answer that is not a completion; nothing was generated.
async fn refused(answer: EndpointAnswer) -> AttemptEnd {
    let status = answer.status;
    let text = answer.read(ERROR_MAX_BYTES).await.unwrap_or_default();
    let detail = format!("the engine answered {status}: {}", String::from_utf8_lossy(&text));
    let busy = status == 429 || status >= 500;
    let kind = if busy {
        ProblemKind::EndpointFailed
    } else {
        ProblemKind::InvalidRequest
    };
    failed(
        Failure {
            problem: Problem::new(kind, detail),
            elsewhere: busy,
        },
        0,
        busy,
    )
}

fn failed(failure: Failure, spent_tokens: u64, endpoint_failed: bool) -> AttemptEnd {
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

fn endpoint_failed(error: &SendError) -> Failure {
    let detail = format!("the endpoint did not answer: {error}");
    let problem = Problem::new(ProblemKind::EndpointFailed, detail).ran(error.ran);
    Failure {
        problem,
        elsewhere: true,
    }
}

fn cut(reason: &str) -> SendError {
    SendError {
        reason: reason.to_owned(),
        ran: Ran::Unknown,
    }
}

fn body_stream(answer: EndpointAnswer) -> impl Stream<Item = Result<Bytes, SendError>> {
    futures_util::stream::unfold(Some(answer), |answer| async {
        let mut answer = answer?;
        match answer.next().await {
            Ok(Some(data)) => Some((Ok(data), Some(answer))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    })
}

fn service_request(attempt: &Attempt<'_>, request: &ServiceRequest) -> EndpointRequest {
    let mut headers = request.headers.clone();
    name_attempt(&mut headers, attempt, &request_id());
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
    name_attempt(&mut headers, attempt, stream.request_id());
    EndpointRequest {
        address: attempt.slot.address.clone(),
        method: Method::POST,
        target: COMPLETIONS_PATH.to_owned(),
        headers,
        body: request.engine_body(attempt.prompt, attempt.max_tokens),
        fresh_connection: false,
    }
}

fn name_attempt(headers: &mut HeaderMap, attempt: &Attempt<'_>, request_id: &str) {
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(REQUEST_HEADER, value);
    }
    if let Some(value) = attempt.program_id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(PROGRAM_HEADER, value);
    }
    if let Some(value) = &attempt.plan.traceparent {
        headers.insert("traceparent", value.clone());
    }
}
