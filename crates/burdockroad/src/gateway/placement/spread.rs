//! Spreading of calls among endpoints while other hosts choose with the same figures.
//!
//! Load pattern: many hosts that learn the paces of endpoints from each other's reports. In the time until the
//! next reports, each of them would send its calls to the endpoints that are fast now, and these would get
//! several times the calls that they have slots for. Therefore the calls that other hosts send in this time are
//! distributed first, each to the endpoint that is best for it with the calls before it, and this host's call
//! is one of them at random.

use std::time::Duration;

use super::time_factors::{CONGESTION_FACTOR, JITTER_FRACTION, QUEUE_FACTOR};

/// Number of bisections that approximate the common time. The result is exact to a thousandth.
const BISECTIONS: u32 = 14;

/// An endpoint among which calls are spread.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpreadEndpoint {
    /// Expected time of a call that is alone at the endpoint.
    pub(super) time_ms: f64,
    pub(super) slots: f64,
    /// Calls of this host.
    pub(super) own_calls: f64,
    /// Calls of other hosts, as of their last reports.
    pub(super) peer_calls: f64,
    /// Whether it takes calls at this moment.
    pub(super) is_open: bool,
}

/// Calls of the other hosts distributed among endpoints.
#[derive(Debug)]
pub(super) struct Spread {
    /// Additions to the expected times, in milliseconds.
    additions_ms: Vec<f64>,
}

impl SpreadEndpoint {
    /// Returns the expected time of another call at an endpoint that runs `calls` calls.
    fn time_with_ms(self, calls: f64) -> f64 {
        let congestion = CONGESTION_FACTOR * (calls / self.slots).min(1.0);
        let queued = QUEUE_FACTOR * ((calls + 1.0 - self.slots) / self.slots).max(0.0);
        self.time_ms * (1.0 + congestion + queued)
    }

    /// Returns the number of calls at the endpoint at which another call takes `time_ms`; the inverse of
    /// [`time_with_ms`](Self::time_with_ms).
    fn calls_for(self, time_ms: f64) -> f64 {
        let excess = time_ms / self.time_ms - 1.0;
        let unqueued_calls = self.slots - 1.0;
        let congestion = CONGESTION_FACTOR * unqueued_calls / self.slots;
        if excess <= congestion {
            return excess * self.slots / CONGESTION_FACTOR;
        }
        unqueued_calls + (excess - congestion) * self.slots / (CONGESTION_FACTOR + QUEUE_FACTOR)
    }

    /// Returns the number of calls that the endpoint can take besides `present` calls before another call takes
    /// `time_ms`.
    fn taken_calls(self, present: f64, time_ms: f64) -> f64 {
        if self.is_open {
            (self.calls_for(time_ms) - present).max(0.0)
        } else {
            0.0
        }
    }

    /// Returns the number of calls that other hosts send until the next reports. They are assumed to replace the
    /// calls that end in this time.
    fn arriving_calls(self, report_age: Duration) -> f64 {
        let age_ms = report_age.as_secs_f64() * 1000.0;
        self.peer_calls * age_ms / self.time_with_ms(self.own_calls + self.peer_calls)
    }

    /// Returns the number of calls of this host, and of those reported calls of other hosts that still run when the
    /// reports have the age `report_age`.
    fn remaining_calls(self, report_age: Duration) -> f64 {
        let ended = report_age.as_secs_f64() * 1000.0 / self.time_ms;
        self.own_calls + self.peer_calls * (-ended).exp()
    }
}

impl Spread {
    /// Distributes the calls that other hosts send within the age of their reports.
    pub(super) fn new(endpoints: &[SpreadEndpoint], report_age: Duration, jitter_seed: u64) -> Self {
        let arriving = endpoints
            .iter()
            .map(|endpoint| endpoint.arriving_calls(report_age))
            .sum::<f64>();
        let remaining: Vec<f64> = endpoints
            .iter()
            .map(|endpoint| endpoint.remaining_calls(report_age))
            .collect();
        let common_ms = common_time_ms(endpoints, &remaining, arriving + 1.0);
        let selected = select(endpoints, &remaining, common_ms, jitter_seed);
        let pairs = endpoints.iter().zip(&remaining).enumerate();
        let additions_ms = pairs.map(|(index, (endpoint, remaining))| {
            let alone_ms = endpoint.time_with_ms(*remaining);
            let later_ms = if endpoint.is_open {
                alone_ms.max(common_ms)
            } else {
                alone_ms
            };
            let jitter_ms = if selected == Some(index) {
                0.0
            } else {
                common_ms * JITTER_FRACTION
            };
            later_ms - endpoint.time_with_ms(endpoint.own_calls + endpoint.peer_calls) + jitter_ms
        });
        Self {
            additions_ms: additions_ms.collect(),
        }
    }

    /// Returns the addition to the expected time at an endpoint, for the calls of other hosts.
    pub(super) fn addition_ms(&self, index: usize) -> f64 {
        self.additions_ms.get(index).copied().unwrap_or(0.0)
    }
}

/// Returns the time that calls take at all endpoints that get any of them, when each call goes to the endpoint
/// that is best for it.
fn common_time_ms(endpoints: &[SpreadEndpoint], remaining: &[f64], calls: f64) -> f64 {
    let pairs = || endpoints.iter().zip(remaining);
    let open = || pairs().filter(|(endpoint, _)| endpoint.is_open);
    let mut lower_ms = open()
        .map(|(endpoint, remaining)| endpoint.time_with_ms(*remaining))
        .fold(f64::MAX, f64::min);
    let mut upper_ms = open()
        .map(|(endpoint, remaining)| endpoint.time_with_ms(*remaining + calls))
        .fold(f64::MAX, f64::min);
    for _ in 0..BISECTIONS {
        let middle_ms = f64::midpoint(lower_ms, upper_ms);
        let taken: f64 = open()
            .map(|(endpoint, remaining)| endpoint.taken_calls(*remaining, middle_ms))
            .sum();
        if taken < calls {
            lower_ms = middle_ms;
        } else {
            upper_ms = middle_ms;
        }
    }
    upper_ms
}

/// Returns an endpoint at random, in proportion to the calls that each of them gets.
fn select(
    endpoints: &[SpreadEndpoint],
    remaining: &[f64],
    common_ms: f64,
    jitter_seed: u64,
) -> Option<usize> {
    let taken: Vec<f64> = endpoints
        .iter()
        .zip(remaining)
        .map(|(endpoint, remaining)| endpoint.taken_calls(*remaining, common_ms))
        .collect();
    let seed_part = u32::try_from(jitter_seed >> 32).unwrap_or(0);
    let mut rest = f64::from(seed_part) / 2.0_f64.powi(32) * taken.iter().sum::<f64>();
    taken.iter().position(|taken| {
        rest -= taken;
        rest < 0.0
    })
}
