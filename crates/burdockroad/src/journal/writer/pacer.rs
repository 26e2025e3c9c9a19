//! When the next group is written.

use std::time::{Duration, Instant};

/// Part of the last measurement that a new one replaces, as one in so many.
const SMOOTHING: u32 = 4;

/// How many times the time of a write the window is kept open at least.
const WINDOW_WRITES: u32 = 4;

/// Bounds writes a second, and lengthens the window as the store slows.
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

    /// Time for which records that nobody waits for are gathered.
    pub(super) fn window(&self) -> Duration {
        (self.write_time * WINDOW_WRITES).clamp(self.window_min, self.window_max)
    }

    /// When the next write is allowed.
    pub(super) fn allowed_at(&self, now: Instant) -> Instant {
        let tokens = self.tokens_at(now);
        if tokens >= 1.0 {
            return now;
        }
        now + Duration::from_secs_f64((1.0 - tokens) / self.rate_per_s)
    }

    /// Counts one write.
    pub(super) fn take(&mut self, now: Instant) {
        // Rounding may leave the count a hair below one at the time that `allowed_at` gave.
        self.tokens = (self.tokens_at(now) - 1.0).max(0.0);
        self.updated_at = now;
    }

    /// Takes note of how long a write took.
    pub(super) fn measured(&mut self, time: Duration) {
        self.write_time = (self.write_time * (SMOOTHING - 1) + time) / SMOOTHING;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at);
        (self.tokens + passed.as_secs_f64() * self.rate_per_s).min(self.burst)
    }
}
