//! Requests and responses in the published format of chat completions.

use std::time::{SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Response, StatusCode};
use serde::{Deserialize, Serialize};

use crate::{
    engine::text::{Prompt, PromptPart},
    http_server::{self, ResponseBody},
};

const CHUNK_OBJECT: &str = "chat.completion.chunk";
const COMPLETION_OBJECT: &str = "chat.completion";
const ASSISTANT: &str = "assistant";

/// Body of `POST /v1/chat/completions`; fields that the stand-in does not use are ignored.
#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct ChatRequest {
    pub(crate) model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    max_completion_tokens: Option<u64>,
    #[serde(default)]
    n: Option<u64>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ChatMessage {
    role: String,
    #[serde(default)]
    content: Option<Content>,
    #[serde(default)]
    tool_calls: Option<serde_json::Value>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<ContentPart>),
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ContentPart {
    #[serde(default)]
    text: String,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

impl ChatRequest {
    /// Checks the constraints that the types do not express.
    pub(crate) fn validate(&self) -> Result<(), &'static str> {
        if self.messages.is_empty() {
            return Err("messages is empty");
        }
        if self.max_output_tokens() == Some(0) {
            return Err("max_tokens must be at least 1");
        }
        if self.n.is_some_and(|n| n != 1) {
            return Err("n must be 1");
        }
        Ok(())
    }

    pub(crate) fn max_output_tokens(&self) -> Option<u64> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    pub(crate) fn include_usage(&self) -> bool {
        self.stream_options
            .as_ref()
            .is_some_and(|options| options.include_usage)
    }

    pub(crate) fn prompt(&self) -> Prompt {
        let parts = self
            .messages
            .iter()
            .map(|message| PromptPart::new(&message.role, &message.text()));
        Prompt {
            parts: parts.collect(),
        }
    }
}

impl ChatMessage {
    fn text(&self) -> String {
        let mut text = match &self.content {
            None => String::new(),
            Some(Content::Text(text)) => text.clone(),
            Some(Content::Parts(parts)) => parts.iter().map(|part| part.text.as_str()).collect(),
        };
        if let Some(tool_calls) = &self.tool_calls {
            text.push_str(&tool_calls.to_string());
        }
        text
    }
}

/// Fields common to all chunks of one completion, or to its complete response.
#[derive(Clone, Debug)]
pub(crate) struct CompletionMetadata {
    id: String,
    model: String,
    created: u64,
    include_usage: bool,
}

/// Token usage of a call.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(crate) struct Usage {
    pub(crate) prompt_tokens: u64,
    pub(crate) completion_tokens: u64,
    pub(crate) total_tokens: u64,
    pub(crate) prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of the prompt tokens.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(crate) struct PromptTokensDetails {
    pub(crate) cached_tokens: u64,
}

/// Reason why a completion ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum FinishReason {
    Stop,
    Length,
}

#[derive(Serialize)]
struct Chunk<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: Vec<ChunkChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<UsageField>,
}

/// The `usage` field of a chunk: null in all chunks but the last.
///
/// The field is omitted from all chunks unless the request sets `include_usage`.
#[derive(Serialize)]
#[serde(untagged)]
enum UsageField {
    Null,
    Known(Usage),
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<FinishReason>,
}

#[derive(Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct Completion<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: [CompletionChoice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    message: CompletionMessage<'a>,
    finish_reason: FinishReason,
}

#[derive(Serialize)]
struct CompletionMessage<'a> {
    role: &'a str,
    content: &'a str,
}

impl CompletionMetadata {
    pub(crate) fn new(stream_id: &str, model: &str, include_usage: bool) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id: format!("chatcmpl-{stream_id}"),
            model: model.to_owned(),
            created: since_epoch.map_or(0, |time| time.as_secs()),
            include_usage,
        }
    }

    /// Creates the event for one token.
    pub(crate) fn token_event(&self, index: u64, text: &str) -> Bytes {
        let delta = Delta {
            role: (index == 0).then_some(ASSISTANT),
            content: Some(text),
        };
        self.event(vec![choice(delta, None)], UsageField::Null)
    }

    /// Creates the events that end a stream: the finish reason, the usage if requested, and `[DONE]`.
    pub(crate) fn final_events(&self, reason: FinishReason, usage: Usage) -> Bytes {
        let delta = Delta {
            role: None,
            content: None,
        };
        let mut events = self
            .event(vec![choice(delta, Some(reason))], UsageField::Null)
            .to_vec();
        if self.include_usage {
            events.extend_from_slice(&self.event(Vec::new(), UsageField::Known(usage)));
        }
        events.extend_from_slice(b"data: [DONE]\n\n");
        events.into()
    }

    /// Creates the complete response of a call that is not streamed.
    pub(crate) fn completion(
        &self,
        text: &str,
        reason: FinishReason,
        usage: Usage,
    ) -> Response<ResponseBody> {
        let message = CompletionMessage {
            role: ASSISTANT,
            content: text,
        };
        let choice = CompletionChoice {
            index: 0,
            message,
            finish_reason: reason,
        };
        let completion = Completion {
            id: &self.id,
            object: COMPLETION_OBJECT,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        http_server::json(StatusCode::OK, &completion)
    }

    fn event(&self, choices: Vec<ChunkChoice<'_>>, usage: UsageField) -> Bytes {
        let chunk = Chunk {
            id: &self.id,
            object: CHUNK_OBJECT,
            created: self.created,
            model: &self.model,
            choices,
            usage: self.include_usage.then_some(usage),
        };
        let json = serde_json::to_string(&chunk).unwrap_or_default();
        format!("data: {json}\n\n").into()
    }
}

fn choice(delta: Delta<'_>, finish_reason: Option<FinishReason>) -> ChunkChoice<'_> {
    ChunkChoice {
        index: 0,
        delta,
        finish_reason,
    }
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    message: &'a str,
    r#type: &'a str,
    param: Option<&'a str>,
    code: Option<&'a str>,
}

/// Creates an error response in the published format.
pub(crate) fn error(status: StatusCode, code: &str, message: &str) -> Response<ResponseBody> {
    let kind = if status.is_server_error() {
        "server_error"
    } else {
        "invalid_request_error"
    };
    let detail = ErrorDetail {
        message,
        r#type: kind,
        param: None,
        code: Some(code),
    };
    http_server::json(status, &ErrorBody { error: detail })
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<Model<'a>>,
}

#[derive(Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'a str,
    created: u64,
    owned_by: &'a str,
}

/// Creates the response that lists the models.
pub(crate) fn model_list(names: &[String]) -> Response<ResponseBody> {
    let models = names.iter().map(|name| Model {
        id: name,
        object: "model",
        created: 0,
        owned_by: "stand-in",
    });
    let list = ModelList {
        object: "list",
        data: models.collect(),
    };
    http_server::json(StatusCode::OK, &list)
}
