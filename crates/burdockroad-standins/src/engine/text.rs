//! Tokens, prompts, and the text that the engine stand-in answers with.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Bytes of text that make one token; a rest counts as one more.
pub(crate) const TOKEN_BYTES: usize = 4;
const ANSWER_MIN_TOKENS: u64 = 16;
const ANSWER_SPREAD_TOKENS: u64 = 48;
const LETTERS: &[u8; 32] = b"abcdefghijklmnopqrstuvwxyzaeiout";

/// One message of a prompt, by digest and size.
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

/// All messages of a prompt in their order.
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

    /// Returns a number that any change of a message changes.
    pub(crate) fn digest(&self) -> u64 {
        let parts = self.parts.iter();
        parts.fold(0, |digest, part| {
            xxh3_64_with_seed(&part.digest.to_le_bytes(), digest)
        })
    }

    /// Returns the prompt that goes on with an answer to it; the same prompt when the answer is empty.
    pub(crate) fn answered(&self, answer_tokens: u64) -> Self {
        let mut prompt = self.clone();
        if answer_tokens > 0 {
            let text = answer_text(self.digest(), 0, answer_tokens);
            prompt.parts.push(PromptPart::new("assistant", &text));
        }
        prompt
    }

    /// Returns the tokens of the messages that both prompts begin with.
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

/// Returns how many tokens the model wants to answer a prompt with.
pub(crate) fn answer_tokens(digest: u64) -> u64 {
    ANSWER_MIN_TOKENS + digest % ANSWER_SPREAD_TOKENS
}

/// Returns the text of some tokens of the answer to a prompt.
pub(crate) fn answer_text(digest: u64, from: u64, to: u64) -> String {
    (from..to).flat_map(|index| token_text(digest, index)).collect()
}

/// Returns one token: three letters and a space.
fn token_text(digest: u64, index: u64) -> [char; 4] {
    let bits = xxh3_64_with_seed(&index.to_le_bytes(), digest).to_le_bytes();
    let letter = |byte: u8| char::from(LETTERS[usize::from(byte) % LETTERS.len()]);
    [letter(bits[0]), letter(bits[1]), letter(bits[2]), ' ']
}
