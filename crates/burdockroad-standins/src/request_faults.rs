//! Faults in answering requests, which the engine and the service stand-ins share.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

/// Faults in answering requests; a new set replaces the whole old one.
///
/// When several apply to a request, the first in the order of the fields is taken.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestFaults {
    /// This many requests are answered 500 before they run.
    pub fail_next: u64,
    /// Each request is answered 500 before it runs with this probability.
    pub fail_probability: f64,
    /// This many requests are taken in and never answered; an engine does not run them, a service does.
    pub hang_next: u64,
    /// The connections of this many requests are cut: by a service after the request ran, by an engine
    /// after `cut_after_tokens`.
    pub cut_next: u64,
    /// Each connection is cut in the same way with this probability.
    pub cut_probability: f64,
    /// Tokens of its answer that an engine sends before it cuts the connection.
    pub cut_after_tokens: u64,
    /// Each request waits this long before it runs.
    pub delay_ms: u64,
    /// Bytes that a service adds to each answer.
    pub answer_bytes: usize,
    /// Seed of the choices that go by probability.
    pub seed: u64,
}

/// What goes wrong with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    None,
    Fail,
    Hang,
    Cut { after_tokens: u64 },
}

/// The faults in force, with the generator that they draw from.
#[derive(Debug)]
pub(crate) struct RequestFaultState {
    pub(crate) faults: RequestFaults,
    rng: ChaCha8Rng,
}

impl RequestFaultState {
    pub(crate) fn new(faults: RequestFaults) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(faults.seed);
        Self { faults, rng }
    }

    /// Decides what goes wrong with the request at hand.
    pub(crate) fn next(&mut self) -> RequestFault {
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
            };
        }
        RequestFault::None
    }
}

fn take(left: &mut u64) -> bool {
    let some_left = *left > 0;
    *left = left.saturating_sub(1);
    some_left
}
