//! Rate limiting and batching of segment writes.

use std::time::{Duration, Instant};

/// Divisor of the exponential moving average of write times: a new measurement has a weight of 1/4.
const SMOOTHING_DIVISOR: u32 = 4;

/// Length of the batching window as a multiple of the average write time, before the limits of the window
/// are applied.
const WINDOW_PER_WRITE_TIME: u32 = 4;

/// Limits the rate of writes with a token bucket, and lengthens the batching window when the store is
/// slow.
#[derive(Clone, Debug)]
pub(super) struct Pacer {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    updated_at: Instant,
    window_min: Duration,
    window_max: Duration,
    write_time: Duration,
}

impl Pacer {
    pub(super) fn new(
        rate_per_s: f64,
        burst: f64,
        window_min: Duration,
        window_max: Duration,
        now: Instant,
    ) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            updated_at: now,
            window_min,
            window_max,
            write_time: Duration::ZERO,
        }
    }

    /// Returns the time for which records are batched while no append requires an immediate write.
    pub(super) fn window(&self) -> Duration {
        (self.write_time * WINDOW_PER_WRITE_TIME).clamp(self.window_min, self.window_max)
    }

    /// Returns the earliest time at which the next write is allowed.
    pub(super) fn allowed_at(&self, now: Instant) -> Instant {
        let tokens = self.tokens_at(now);
        if tokens >= 1.0 {
            return now;
        }
        now + Duration::from_secs_f64((1.0 - tokens) / self.rate_per_s)
    }

    /// Takes a token for one write.
    pub(super) fn take(&mut self, now: Instant) {
        // At the time returned by `allowed_at`, rounding may leave the token count slightly below 1.
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// Updates the average write time with a new measurement.
    pub(super) fn record_write_time(&mut self, time: Duration) {
        self.write_time = (self.write_time * (SMOOTHING_DIVISOR - 1) + time) / SMOOTHING_DIVISOR;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at);
        (self.tokens + passed.as_secs_f64() * self.rate_per_s).min(self.burst)
    }
}
