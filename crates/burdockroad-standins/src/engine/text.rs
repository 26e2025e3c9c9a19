//! Tokens, prompts and the output text of the engine stand-in.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text per token; a remainder counts as one more token.
pub(crate) const TOKEN_BYTES: usize = 4;
const OUTPUT_MIN_TOKENS: u64 = 16;
const OUTPUT_SPREAD_TOKENS: u64 = 48;
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeiout";

/// Digest and size of one message of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct PromptPart {
    pub(crate) digest: u64,
    pub(crate) tokens: u64,
}

impl PromptPart {
    pub(crate) fn new(role: &str, text: &str) -> Self {
        let seed = xxh3_64(role.as_bytes());
        Self {
            digest: xxh3_64_with_seed(text.as_bytes(), seed),
            tokens: count_tokens(text),
        }
    }
}

/// The messages of a prompt, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct Prompt {
    pub(crate) parts: Vec<PromptPart>,
}

impl Prompt {
    pub(crate) fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns a hash of all messages.
    pub(crate) fn digest(&self) -> u64 {
        let parts = self.parts.iter();
        parts.fold(0, |digest, part| {
            xxh3_64_with_seed(&part.digest.to_le_bytes(), digest)
        })
    }

    /// Returns the prompt extended by its output; the same prompt when the output is empty.
    pub(crate) fn with_output(&self, output_tokens: u64) -> Self {
        let mut prompt = self.clone();
        if output_tokens > 0 {
            let text = output_text(self.digest(), 0, output_tokens);
            prompt.parts.push(PromptPart::new("assistant", &text));
        }
        prompt
    }

    /// Returns the number of tokens in the messages that both prompts start with.
    pub(crate) fn common_tokens(&self, other: &Self) -> u64 {
        let pairs = self.parts.iter().zip(&other.parts);
        pairs
            .take_while(|(part, other)| part == other)
            .map(|(part, _)| part.tokens)
            .sum()
    }
}

/// Counts the tokens of a text.
pub(crate) fn count_tokens(text: &str) -> u64 {
    text.len().div_ceil(TOKEN_BYTES) as u64
}

/// Returns the number of tokens that the model generates for a prompt if no limit applies.
pub(crate) fn output_tokens(digest: u64) -> u64 {
    OUTPUT_MIN_TOKENS + digest % OUTPUT_SPREAD_TOKENS
}

/// Returns the text of the output tokens `from..to` for a prompt.
pub(crate) fn output_text(digest: u64, from: u64, to: u64) -> String {
    (from..to).flat_map(|index| token_text(digest, index)).collect()
}

/// Returns one output token: three letters and a space.
fn token_text(digest: u64, index: u64) -> [char; 4] {
    let bits = xxh3_64_with_seed(&index.to_le_bytes(), digest).to_le_bytes();
    let letter = |byte: u8| char::from(LETTERS[usize::from(byte) % LETTERS.len()]);
    [letter(bits[0]), letter(bits[1]), letter(bits[2]), ' ']
}
