//! Callers' requests, and the request bodies for engines.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Map, Value, json, value::RawValue};

use crate::problem::{Problem, ProblemKind};

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
