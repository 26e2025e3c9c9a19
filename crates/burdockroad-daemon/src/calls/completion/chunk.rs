//! Chunks of a streamed completion, as engines send them.

use serde::Deserialize;

/// One chunk of a streamed completion.
#[derive(Deserialize)]
pub(super) struct Chunk {
    #[serde(default)]
    pub(super) id: String,
    #[serde(default)]
    pub(super) created: u64,
    #[serde(default)]
    pub(super) model: String,
    #[serde(default)]
    pub(super) choices: Vec<ChunkChoice>,
    #[serde(default)]
    pub(super) usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
pub(super) struct ChunkChoice {
    #[serde(default)]
    pub(super) delta: Delta,
    #[serde(default)]
    pub(super) finish_reason: Option<String>,
}

#[derive(Default)]
#[derive(Deserialize)]
pub(super) struct Delta {
    #[serde(default)]
    pub(super) content: Option<String>,
    #[serde(default)]
    pub(super) refusal: Option<String>,
    #[serde(default)]
    pub(super) tool_calls: Vec<ToolCallDelta>,
}

#[derive(Deserialize)]
pub(super) struct ToolCallDelta {
    #[serde(default)]
    pub(super) index: u64,
    #[serde(default)]
    pub(super) id: Option<String>,
    #[serde(default)]
    pub(super) function: FunctionDelta,
}

#[derive(Default)]
#[derive(Deserialize)]
pub(super) struct FunctionDelta {
    #[serde(default)]
    pub(super) name: Option<String>,
    #[serde(default)]
    pub(super) arguments: Option<String>,
}

#[derive(Deserialize)]
pub(super) struct ChunkUsage {
    #[serde(default)]
    pub(super) prompt_tokens: u64,
    #[serde(default)]
    pub(super) completion_tokens: u64,
    #[serde(default)]
    pub(super) prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Deserialize)]
pub(super) struct PromptTokensDetails {
    #[serde(default)]
    pub(super) cached_tokens: u64,
}
