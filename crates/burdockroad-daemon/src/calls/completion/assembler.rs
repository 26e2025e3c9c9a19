//! Assembly of the complete response from the events of a stream.

use std::collections::BTreeMap;

use burdockroad::program::CallResponse;
use serde_json::{Map, Value, json};

use super::{
    JSON_CONTENT_TYPE, STREAM_END,
    chunk::{Chunk, ChunkChoice, ChunkUsage},
};

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
