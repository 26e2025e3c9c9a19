//! Chat completions: parsing of callers' requests, request bodies for engines, and assembly of
//! responses.

mod assembler;
mod chunk;
mod recorded;
mod request;

pub use self::{
    assembler::{EventKind, ResponseAssembler},
    recorded::{json_body, sse_event, stream_body},
    request::CompletionRequest,
};

/// Media type of a completion that is not streamed.
pub const JSON_CONTENT_TYPE: &str = "application/json";

/// Media type of a streamed completion.
pub const EVENT_STREAM_CONTENT_TYPE: &str = "text/event-stream";

/// Data of the last event of a stream.
pub const STREAM_END: &str = "[DONE]";
