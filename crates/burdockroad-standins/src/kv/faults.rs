//! Injected faults of the key-value stand-in.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults of the key-value stand-in; a new set replaces the previous one entirely.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Calls fail with `Unavailable`, and open watches break.
    pub down: bool,
    /// Delay before each call takes effect.
    pub delay_ms: u64,
    /// Writes whose reply is lost after the write took effect.
    pub lose_replies: LoseReplies,
    /// What the client sees when a reply is lost.
    pub lost_reply: LostReply,
    /// Breaks all currently open watches, once.
    pub break_watches: bool,
    /// Seed of the random number generator for the probabilities.
    pub seed: u64,
}

/// Which replies to writes are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum LoseReplies {
    /// The replies to this many subsequent writes; in JSON an integer.
    Next(u64),
    /// Each reply with this probability; in JSON a number with a decimal point.
    Probability(f64),
}

impl Default for LoseReplies {
    fn default() -> Self {
        Self::Next(0)
    }
}

/// What the client sees when a reply is lost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostReply {
    /// A connection error, with the same code as when the service is down.
    #[default]
    Error,
    /// No reply until the client times out.
    Hang,
}

/// Active faults and their random number generator.
#[derive(Debug)]
pub(crate) struct FaultInjector {
    pub(crate) faults: KvFaults,
    rng: ChaCha8Rng,
}

impl FaultInjector {
    pub(crate) fn new(faults: KvFaults) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(faults.seed);
        Self { faults, rng }
    }

    /// Decides whether the reply to the next write is lost.
    pub(crate) fn should_lose_reply(&mut self) -> bool {
        match &mut self.faults.lose_replies {
            LoseReplies::Next(0) => false,
            LoseReplies::Next(remaining) => {
                *remaining -= 1;
                true
            }
            LoseReplies::Probability(probability) => self.rng.random_bool(probability.clamp(0.0, 1.0)),
        }
    }
}
