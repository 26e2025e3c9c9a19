//! Request faults shared by the engine and the service stand-ins.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults that a stand-in injects into requests; a new set replaces the previous one entirely.
///
/// When several faults match a request, the first in field order applies.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestFaults {
    /// Number of subsequent requests that fail with status 500 without being executed.
    pub fail_next: u64,
    /// Probability that a request fails with status 500 without being executed.
    pub fail_probability: f64,
    /// Number of subsequent requests that are accepted but never receive a response.
    ///
    /// An engine does not execute them; a service does.
    pub hang_next: u64,
    /// Number of subsequent requests whose connection is cut.
    ///
    /// A service cuts it after executing the request, an engine after `cut_after_tokens`.
    pub cut_next: u64,
    /// Probability that the connection of a request is cut in the same way.
    pub cut_probability: f64,
    /// Tokens that an engine sends before it cuts the connection.
    pub cut_after_tokens: u64,
    /// Whether an engine sends a part of the next event before it cuts the connection.
    pub cut_inside_event: bool,
    /// Whether an engine's event streams have neither a length nor chunks and end with their connection.
    pub until_close: bool,
    /// Delay before each request is executed.
    pub delay_ms: u64,
    /// Bytes of padding that a service adds to each response.
    pub answer_bytes: usize,
    /// Seed of the random number generator for the probabilities.
    pub seed: u64,
}

/// Fault that is injected into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    None,
    Fail,
    Hang,
    Cut { after_tokens: u64, inside_event: bool },
}

/// Active faults and their random number generator.
#[derive(Debug)]
pub(crate) struct RequestFaultInjector {
    pub(crate) faults: RequestFaults,
    rng: ChaCha8Rng,
}

impl RequestFaultInjector {
    pub(crate) fn new(faults: RequestFaults) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(faults.seed);
        Self { faults, rng }
    }

    /// Chooses the fault to inject into the next request.
    pub(crate) fn next_fault(&mut self) -> RequestFault {
        let faults = &mut self.faults;
        if take(&mut faults.fail_next) || self.rng.random_bool(faults.fail_probability.clamp(0.0, 1.0)) {
            return RequestFault::Fail;
        }
        if take(&mut faults.hang_next) {
            return RequestFault::Hang;
        }
        if take(&mut faults.cut_next) || self.rng.random_bool(faults.cut_probability.clamp(0.0, 1.0)) {
            return RequestFault::Cut {
                after_tokens: faults.cut_after_tokens,
                inside_event: faults.cut_inside_event,
            };
        }
        RequestFault::None
    }
}

/// Decrements a counter and returns whether it was above zero.
fn take(remaining: &mut u64) -> bool {
    let any_remaining = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    any_remaining
}
