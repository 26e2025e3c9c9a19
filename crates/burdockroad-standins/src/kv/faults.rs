//! What the key-value stand-in is told to do wrong.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults of the key-value stand-in; a new set replaces the whole old one.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Calls fail as unavailable, and open watches break.
    pub down: bool,
    /// Each call waits this long before it takes effect.
    pub delay_ms: u64,
    /// Writes whose reply is lost after the write took effect.
    pub lose_replies: LoseReplies,
    /// How a lost reply looks to the client.
    pub lost_reply: LostReply,
    /// Breaks all watches that are open now, once.
    pub break_watches: bool,
    /// Seed of the choices that go by probability.
    pub seed: u64,
}

/// Which replies to writes are lost.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
pub enum LoseReplies {
    /// Those of this many writes from now on; in JSON a whole number.
    Next(u64),
    /// Each with this probability; in JSON a number with a decimal point.
    Probability(f64),
}

impl Default for LoseReplies {
    fn default() -> Self {
        Self::Next(0)
    }
}

/// How a lost reply looks to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LostReply {
    /// An error of the connection, with the same code as when the service is down.
    #[default]
    Error,
    /// Silence until the client gives up.
    Hang,
}

/// The faults in force, with the generator that they draw from.
#[derive(Debug)]
pub(crate) struct FaultState {
    pub(crate) faults: KvFaults,
    rng: ChaCha8Rng,
}

impl FaultState {
    pub(crate) fn new(faults: KvFaults) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(faults.seed);
        Self { faults, rng }
    }

    /// Decides whether the reply to the write at hand is lost.
    pub(crate) fn loses_reply(&mut self) -> bool {
        match &mut self.faults.lose_replies {
            LoseReplies::Next(0) => false,
            LoseReplies::Next(left) => {
                *left -= 1;
                true
            }
            LoseReplies::Probability(probability) => self.rng.random_bool(probability.clamp(0.0, 1.0)),
        }
    }
}
