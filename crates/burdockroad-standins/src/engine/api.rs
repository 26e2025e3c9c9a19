//! Handlers of the requests that callers send to the engine stand-in.

use std::sync::Arc;

use async_trait::async_trait;
use http::{HeaderName, HeaderValue, Response, StatusCode, Version, header};
use tokio::time::Instant;

use crate::{
    engine::{
        Shared,
        batch::{NewSequence, Phase},
        cache::ExportedPrefix,
        chat::{self, ChatRequest, CompletionMetadata, FinishReason},
        orders::OrderRequest,
        reader::Reader,
        text,
    },
    http_server::{self, Handler, HandlerResult, ReceivedRequest, ResponseBody},
    request_faults::RequestFault,
};

const REQUEST_ID: &str = "x-request-id";
const PROGRAM_ID: &str = "x-program-id";
const PRIORITY: &str = "x-priority";

type ErrorResponse = Box<Response<ResponseBody>>;

/// Handler of the requests on the engine's own address.
pub(crate) struct ApiHandler {
    pub(crate) shared: Arc<Shared>,
}

#[async_trait]
impl Handler for ApiHandler {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        self.shared.recorder.record(&request);
        let (method, path) = request.route();
        let response = match (method, path.as_slice()) {
            ("POST", ["v1", "chat", "completions"]) => return self.complete(&request).await,
            ("GET", ["v1", "models"]) => chat::model_list(&self.shared.state().orders.models),
            ("POST", ["streams", id, "cancel"]) => self.cancel(id),
            ("GET", ["streams", id]) => self.resume(id, &request),
            ("GET", ["cache"]) => {
                http_server::json(StatusCode::OK, &self.shared.state().cache.cached_prefixes())
            }
            ("GET", ["cache", "events"]) => self.cache_events(&request),
            ("DELETE", ["cache", id]) => self.free(id),
            ("GET", ["cache", id, "export"]) => self.export(id).await,
            ("PUT", ["cache", id]) => self.import(id, &request).await,
            ("GET", ["load"]) => {
                http_server::json(StatusCode::OK, &self.shared.state().lagged_load(Instant::now()))
            }
            ("POST", ["orders"]) => self.submit_order(&request),
            ("GET", ["orders"]) => http_server::json(StatusCode::OK, &self.shared.state().orders),
            _ => chat::error(StatusCode::NOT_FOUND, "not_found", "no such request"),
        };
        Ok(response)
    }
}

impl ApiHandler {
    async fn complete(&self, request: &ReceivedRequest) -> HandlerResult {
        let (fault, delay) = self.shared.next_fault();
        tokio::time::sleep(delay).await;
        let cut = match fault {
            RequestFault::None => None,
            RequestFault::Cut {
                after_tokens,
                inside_event,
            } => Some((after_tokens, inside_event)),
            RequestFault::Hang => return std::future::pending().await,
            RequestFault::Fail => {
                let status = StatusCode::INTERNAL_SERVER_ERROR;
                return Ok(chat::error(status, "failed", "injected fault: request failed"));
            }
        };
        let (chat, stream_id, reader) = match self.queue(request) {
            Ok(queued) => queued,
            Err(error_response) => return Ok(*error_response),
        };
        let reader = match cut {
            Some((tokens, inside_event)) => reader.cut_after(tokens, inside_event),
            None => reader,
        };
        let metadata = CompletionMetadata::new(&stream_id, &chat.model, chat.include_usage());
        let response = if chat.stream {
            self.event_stream(reader, metadata)
        } else {
            reader.completion(metadata).await?
        };
        Ok(with_stream_id(response, &stream_id))
    }

    fn event_stream(&self, reader: Reader, metadata: CompletionMetadata) -> Response<ResponseBody> {
        let mut response = Response::new(http_server::stream_body(reader.events(metadata)));
        if self.shared.ends_streams_with_connection() {
            // The server sends a body of unknown length in HTTP/1.0 without chunks.
            *response.version_mut() = Version::HTTP_10;
        }
        let media_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(header::CONTENT_TYPE, media_type);
        response
    }

    /// Validates a request, queues its sequence and attaches a reader to it.
    fn queue(&self, request: &ReceivedRequest) -> Result<(ChatRequest, String, Reader), ErrorResponse> {
        let chat: ChatRequest = serde_json::from_slice(&request.body)
            .map_err(|error| Box::new(bad_request("invalid_json", &error.to_string())))?;
        chat.validate()
            .map_err(|reason| Box::new(bad_request("invalid_value", reason)))?;
        let priority = parse_priority(request)?;
        self.check_model(&chat.model)?;
        let stream_id = match request.header(REQUEST_ID) {
            Some(id) => id.to_owned(),
            None => self.shared.new_stream_id(),
        };
        let prompt = chat.prompt();
        let natural_length = self
            .shared
            .output_tokens
            .unwrap_or_else(|| text::output_tokens(prompt.digest()));
        let max_length = chat.max_output_tokens().unwrap_or(u64::MAX);
        let finish_reason = if max_length < natural_length {
            FinishReason::Length
        } else {
            FinishReason::Stop
        };
        let new = NewSequence {
            stream_id: stream_id.clone(),
            program_id: request.header(PROGRAM_ID).map(str::to_owned),
            priority,
            prompt,
            output_tokens: natural_length.min(max_length),
            finish_reason,
        };
        let queued = self.shared.state().batch.queue(new);
        let reader_id = queued.map_err(|_running| {
            let message = "a stream with this id is already running";
            Box::new(chat::error(StatusCode::CONFLICT, "stream_running", message))
        })?;
        self.shared.wake_batch_and_readers();
        let reader = Reader::new(&self.shared, stream_id.clone(), reader_id, 0);
        Ok((chat, stream_id, reader))
    }

    fn check_model(&self, model: &str) -> Result<(), ErrorResponse> {
        let state = self.shared.state();
        let models = &state.orders.models;
        if models.is_empty() || models.iter().any(|name| name == model) {
            return Ok(());
        }
        let message = format!("the model {model:?} is not loaded");
        let error_response = chat::error(StatusCode::NOT_FOUND, "model_not_found", &message);
        Err(Box::new(error_response))
    }

    fn cancel(&self, stream_id: &str) -> Response<ResponseBody> {
        let mut state = self.shared.state();
        if state.batch.sequence(stream_id).is_none() {
            return no_such_stream();
        }
        state.stop(stream_id, Phase::Cancelled, Instant::now());
        drop(state);
        self.shared.wake_batch_and_readers();
        http_server::empty(StatusCode::NO_CONTENT)
    }

    fn resume(&self, stream_id: &str, request: &ReceivedRequest) -> Response<ResponseBody> {
        let from = match request.query("from").unwrap_or("0").parse() {
            Ok(from) => from,
            Err(_not_a_number) => return bad_request("invalid_value", "from is not a token number"),
        };
        let mut state = self.shared.state();
        let phase = state.batch.sequence(stream_id).map(|sequence| sequence.phase);
        if phase == Some(Phase::Cancelled) {
            return chat::error(StatusCode::GONE, "stream_cancelled", "the stream was cancelled");
        }
        let Some(reader_id) = state.batch.resume(stream_id) else {
            return no_such_stream();
        };
        drop(state);
        self.shared.wake_batch_and_readers();
        let reader = Reader::new(&self.shared, stream_id.to_owned(), reader_id, from);
        let metadata = CompletionMetadata::new(stream_id, "", true);
        with_stream_id(self.event_stream(reader, metadata), stream_id)
    }

    fn cache_events(&self, request: &ReceivedRequest) -> Response<ResponseBody> {
        let since = request.query("since").unwrap_or("0").parse();
        match since {
            Ok(since) => {
                let events = self.shared.state().cache.events.since(since, Instant::now());
                http_server::json(StatusCode::OK, &events)
            }
            Err(_not_a_number) => bad_request("invalid_value", "since is not an event number"),
        }
    }

    fn free(&self, program_id: &str) -> Response<ResponseBody> {
        let now = Instant::now();
        let mut state = self.shared.state();
        state.cache.free(program_id, now);
        state.sample_load(now);
        http_server::empty(StatusCode::NO_CONTENT)
    }

    async fn export(&self, program_id: &str) -> Response<ResponseBody> {
        let exported = self.shared.state().cache.export(program_id);
        let Some(exported) = exported else {
            let message = "no prefix of this program is cached";
            return chat::error(StatusCode::NOT_FOUND, "not_held", message);
        };
        self.shared.transfer(exported.prompt.tokens()).await;
        http_server::json(StatusCode::OK, &exported)
    }

    async fn import(&self, program_id: &str, request: &ReceivedRequest) -> Response<ResponseBody> {
        let exported: ExportedPrefix = match request.json() {
            Ok(exported) => exported,
            Err(error_response) => return *error_response,
        };
        self.shared.transfer(exported.prompt.tokens()).await;
        let now = Instant::now();
        let mut state = self.shared.state();
        let stored = state.cache.store(program_id, exported.prompt, now);
        state.sample_load(now);
        match stored {
            Ok(()) => http_server::empty(StatusCode::NO_CONTENT),
            Err(_too_large) => {
                let message = "the prefix is larger than the cache";
                chat::error(StatusCode::INSUFFICIENT_STORAGE, "too_large", message)
            }
        }
    }

    fn submit_order(&self, request: &ReceivedRequest) -> Response<ResponseBody> {
        let order: OrderRequest = match request.json() {
            Ok(order) => order,
            Err(error_response) => return *error_response,
        };
        let accepted = self.shared.state().orders.accept(order, self.shared.fencing);
        match accepted {
            Ok(index) => {
                self.shared.enqueue_order(index);
                http_server::empty(StatusCode::ACCEPTED)
            }
            Err(_stale) => {
                let message = "the fencing number is lower than the highest number seen";
                chat::error(StatusCode::CONFLICT, "old_fencing_number", message)
            }
        }
    }
}

fn parse_priority(request: &ReceivedRequest) -> Result<i64, ErrorResponse> {
    let text = request.header(PRIORITY).unwrap_or("0");
    text.parse()
        .map_err(|_not_a_number| Box::new(bad_request("invalid_value", "X-Priority is not an integer")))
}

fn with_stream_id(mut response: Response<ResponseBody>, stream_id: &str) -> Response<ResponseBody> {
    if let Ok(value) = HeaderValue::from_str(stream_id) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(REQUEST_ID), value);
    }
    response
}

fn bad_request(code: &str, message: &str) -> Response<ResponseBody> {
    chat::error(StatusCode::BAD_REQUEST, code, message)
}

fn no_such_stream() -> Response<ResponseBody> {
    chat::error(StatusCode::NOT_FOUND, "stream_not_found", "no such stream")
}
