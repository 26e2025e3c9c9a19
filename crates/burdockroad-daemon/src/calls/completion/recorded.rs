//! Recorded responses, in the form that the caller requested.

use burdockroad::program::CallResponse;
use bytes::Bytes;
use serde_json::{Value, json};

use super::STREAM_END;

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
