//! Chat completions: parsing of callers' requests, request bodies for engines, and assembly of
//! responses.

use std::collections::BTreeMap;

use burdockroad::program::CallResponse;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json, value::RawValue};

use crate::problem::{Problem, ProblemKind};

/// Media type of a completion that is not streamed.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// Media type of a streamed completion.
pub const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// Data of the last event of a stream.
pub const STREAM_END: &str = "[DONE]";

/// A caller's chat completion request.
#[derive(Clone, Debug)]
pub struct CompletionRequest {
    /// Model to use.
    pub model: String,
    /// New messages, each as JSON text.
    pub messages: Vec<String>,
    /// Whether to stream the response.
    pub stream: bool,
    /// Whether to include the usage event in a stream.
    pub include_usage: bool,
    /// Upper bound of tokens to generate.
    pub max_tokens: Option<u64>,
    /// All other fields, forwarded to the engine unchanged.
    pub fields: Map<String, Value>,
}

/// The fields of a request body that the daemon interprets.
#[derive(Deserialize)]
struct RequestBody {
    model: String,
    messages: Vec<Box<RawValue>>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl CompletionRequest {
    /// Parses a request body in the OpenAI format.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is not valid JSON, lacks a required field, or requests more than
    /// one choice.
    pub fn parse(body: &[u8]) -> Result<Self, Problem> {
        let request_body: RequestBody =
            serde_json::from_slice(body).map_err(|error| invalid(&error.to_string()))?;
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|error| invalid(&error.to_string()))?;
        if request_body.messages.is_empty() {
            return Err(invalid("`messages` must not be empty"));
        }
        if request_body.n.is_some_and(|choices| choices != 1) {
            return Err(invalid("`n` must be 1: a call has exactly one choice"));
        }
        if !request_body
            .messages
            .iter()
            .all(|message| message.get().starts_with('{'))
        {
            return Err(invalid("each element of `messages` must be an object"));
        }
        for replaced in [
            "messages",
            "stream",
            "stream_options",
            "max_tokens",
            "max_completion_tokens",
        ] {
            fields.remove(replaced);
        }
        Ok(Self {
            model: request_body.model,
            messages: request_body
                .messages
                .iter()
                .map(|message| message.get().to_owned())
                .collect(),
            stream: request_body.stream.unwrap_or(false),
            include_usage: request_body
                .stream_options
                .is_some_and(|options| options.include_usage),
            max_tokens: request_body.max_completion_tokens.or(request_body.max_tokens),
            fields,
        })
    }

    /// Returns the request body to send to the engine.
    ///
    /// The body requests a stream with usage even if the caller did not. Otherwise the number of
    /// generated tokens would be unknown when a response is truncated.
    pub fn engine_body(&self, prompt: &[String], max_tokens: u64) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), Value::Bool(true));
        fields.insert("stream_options".to_owned(), json!({ "include_usage": true }));
        fields.insert("max_tokens".to_owned(), max_tokens.into());
        let fields_json = Value::Object(fields).to_string();
        let messages = prompt.join(",");
        // The messages are inserted as raw JSON text. Parsing them could change number formats or the
        // order of keys, and the engine's prefix cache would no longer match.
        let unclosed_json = fields_json.strip_suffix('}').unwrap_or(&fields_json);
        Bytes::from(format!("{unclosed_json},\"messages\":[{messages}]}}"))
    }

    /// Estimates the number of tokens in a prompt of `bytes` bytes, at four bytes per token.
    pub fn estimated_tokens(bytes: u64) -> u64 {
        bytes.div_ceil(4)
    }
}

fn invalid(detail: &str) -> Problem {
    Problem::new(
        ProblemKind::InvalidRequest,
        format!("the body is not a chat completion request: {detail}"),
    )
}

/// Token counts of one call, as reported by its engine.
#[expect(
    clippy::struct_field_names,
    reason = "the names are those of the OpenAI format"
)]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineUsage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were served from the engine's cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// One chunk of a streamed completion.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: String,
    #[serde(default)]
    created: u64,
    #[serde(default)]
    model: String,
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: Delta,
    #[serde(default)]
    finish_reason: Option<String>,
}

#[derive(Default)]
#[derive(Deserialize)]
struct Delta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    refusal: Option<String>,
    #[serde(default)]
    tool_calls: Vec<ToolCallDelta>,
}

#[derive(Deserialize)]
struct ToolCallDelta {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    function: FunctionDelta,
}

#[derive(Default)]
#[derive(Deserialize)]
struct FunctionDelta {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    arguments: Option<String>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    #[serde(default)]
    prompt_tokens: u64,
    #[serde(default)]
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Deserialize)]
struct PromptTokensDetails {
    #[serde(default)]
    cached_tokens: u64,
}

/// An assembler that builds the complete response from the events of a stream.
#[derive(Debug, Default)]
pub struct ResponseAssembler {
    id: String,
    created: u64,
    model: String,
    content: Option<String>,
    refusal: Option<String>,
    tool_calls: BTreeMap<u64, ToolCall>,
    finish_reason: Option<String>,
    usage: Option<EngineUsage>,
    content_deltas: u64,
    ended: bool,
}

#[derive(Clone, Debug, Default)]
struct ToolCall {
    id: String,
    name: String,
    arguments: String,
}

/// The kind of an event in a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Chunk with a part of the response.
    Chunk,
    /// Usage report.
    Usage,
    /// End of the stream.
    End,
}

impl ResponseAssembler {
    /// Adds the data of the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the data is not a chunk in the OpenAI format.
    pub fn add(&mut self, data: &str) -> Result<EventKind, serde_json::Error> {
        if data == STREAM_END {
            self.ended = true;
            return Ok(EventKind::End);
        }
        let chunk: Chunk = serde_json::from_str(data)?;
        self.id = chunk.id;
        self.created = chunk.created;
        self.model = chunk.model;
        if let Some(usage) = chunk.usage {
            self.usage = Some(engine_usage(&usage));
        }
        let is_usage = chunk.choices.is_empty() && self.usage.is_some();
        for choice in chunk.choices {
            self.add_choice(choice);
        }
        Ok(if is_usage {
            EventKind::Usage
        } else {
            EventKind::Chunk
        })
    }

    /// Returns whether the response is complete: it has a finish reason, and the stream has ended.
    pub fn is_complete(&self) -> bool {
        self.ended && self.finish_reason.is_some()
    }

    /// Returns the number of content deltas received so far.
    ///
    /// Engines send one delta per token, so a resume request states this number as the token position.
    pub fn content_deltas(&self) -> u64 {
        self.content_deltas
    }

    /// Returns the token counts, if the engine has reported them.
    pub fn usage(&self) -> Option<EngineUsage> {
        self.usage
    }

    /// Returns the response to record in the journal, with the message beside the body, not in it.
    pub fn response(&self) -> CallResponse {
        let usage = self.usage.unwrap_or_default();
        let body = json!({
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
            "choices": [{ "index": 0, "finish_reason": self.finish_reason }],
            "usage": usage_json(usage),
        });
        CallResponse {
            status: 200,
            content_type: JSON_CONTENT_TYPE.to_owned(),
            body: body.to_string().into_bytes(),
            message: Some(self.message().to_string()),
        }
    }

    fn add_choice(&mut self, choice: ChunkChoice) {
        if choice
            .delta
            .content
            .as_ref()
            .is_some_and(|content| !content.is_empty())
        {
            self.content_deltas += 1;
        }
        append_delta(&mut self.content, choice.delta.content);
        append_delta(&mut self.refusal, choice.delta.refusal);
        for delta in choice.delta.tool_calls {
            let call = self.tool_calls.entry(delta.index).or_default();
            call.id.push_str(&delta.id.unwrap_or_default());
            call.name.push_str(&delta.function.name.unwrap_or_default());
            call.arguments
                .push_str(&delta.function.arguments.unwrap_or_default());
        }
        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
        }
    }

    fn message(&self) -> Value {
        let mut message = Map::new();
        message.insert("role".to_owned(), "assistant".into());
        message.insert("content".to_owned(), self.content.clone().into());
        if let Some(refusal) = &self.refusal {
            message.insert("refusal".to_owned(), refusal.clone().into());
        }
        if !self.tool_calls.is_empty() {
            let calls: Vec<Value> = self.tool_calls.values().map(ToolCall::to_json).collect();
            message.insert("tool_calls".to_owned(), calls.into());
        }
        Value::Object(message)
    }
}

impl ToolCall {
    fn to_json(&self) -> Value {
        json!({
            "id": self.id,
            "type": "function",
            "function": { "name": self.name, "arguments": self.arguments },
        })
    }
}

/// Returns the complete `chat.completion` object of a recorded response.
pub fn json_body(response: &CallResponse) -> Bytes {
    let parsed: Result<Value, _> = serde_json::from_slice(&response.body);
    let message = response
        .message
        .as_deref()
        .and_then(|text| serde_json::from_str::<Value>(text).ok());
    match (parsed, message) {
        (Ok(mut body), Some(message)) => {
            body["choices"][0]["message"] = message;
            Bytes::from(body.to_string())
        }
        _ => Bytes::from(response.body.clone()),
    }
}

/// Returns the events of a recorded response, for a caller that requested a stream.
pub fn stream_body(response: &CallResponse, include_usage: bool) -> Bytes {
    let body: Value = serde_json::from_slice(&response.body).unwrap_or_default();
    let mut delta: Value = response
        .message
        .as_deref()
        .and_then(|text| serde_json::from_str(text).ok())
        .unwrap_or_default();
    index_tool_calls(&mut delta);
    let finish_reason = body["choices"][0]["finish_reason"].clone();
    let chunk = |choices: Value, usage: Value| {
        json!({
            "id": body["id"], "object": "chat.completion.chunk", "created": body["created"],
            "model": body["model"], "choices": choices, "usage": usage,
        })
    };
    let mut text = String::new();
    let message = json!([{ "index": 0, "delta": delta, "finish_reason": Value::Null }]);
    push_sse_event(&mut text, &chunk(message, Value::Null).to_string());
    let finish = json!([{ "index": 0, "delta": {}, "finish_reason": finish_reason }]);
    push_sse_event(&mut text, &chunk(finish, Value::Null).to_string());
    if include_usage {
        push_sse_event(&mut text, &chunk(json!([]), body["usage"].clone()).to_string());
    }
    push_sse_event(&mut text, STREAM_END);
    Bytes::from(text)
}

/// Returns a server-sent event with the given data.
pub fn sse_event(data: &str) -> Bytes {
    let mut text = String::with_capacity(data.len() + 8);
    push_sse_event(&mut text, data);
    Bytes::from(text)
}

fn push_sse_event(text: &mut String, data: &str) {
    text.push_str("data: ");
    text.push_str(data);
    text.push_str("\n\n");
}

/// Sets the index of each tool call, which a delta requires and a complete message omits.
fn index_tool_calls(delta: &mut Value) {
    let Some(calls) = delta.get_mut("tool_calls").and_then(Value::as_array_mut) else {
        return;
    };
    for (index, call) in calls.iter_mut().enumerate() {
        call["index"] = index.into();
    }
}

fn append_delta(text: &mut Option<String>, delta: Option<String>) {
    let Some(delta) = delta else {
        return;
    };
    text.get_or_insert_default().push_str(&delta);
}

fn engine_usage(usage: &ChunkUsage) -> EngineUsage {
    let cached_tokens = usage
        .prompt_tokens_details
        .as_ref()
        .map_or(0, |details| details.cached_tokens);
    EngineUsage {
        prompt_tokens: usage.prompt_tokens,
        cached_tokens,
        completion_tokens: usage.completion_tokens,
    }
}

fn usage_json(usage: EngineUsage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}
