//! Spares a service that is down from a storm of calls.

use std::time::{Duration, Instant};

use rand::RngExt;

/// Consecutive failures after which calls are refused for a while.
const FAILURES_MAX: u32 = 3;

/// Shortest time for which calls are refused.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest time for which calls are refused.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Time after which a trial call that was never reported is taken for lost.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Refuses calls after consecutive failures, and lets single trial calls through after a pause.
///
/// The pause doubles with each failed trial and is shortened by up to a half at random, so that many
/// hosts do not try at the same moment.
///
/// # Example
///
/// ```
/// use std::time::Instant;
///
/// use burdockroad_daemon::platform::Breaker;
///
/// let mut breaker = Breaker::default();
/// let now = Instant::now();
/// for _ in 0..3 {
///     assert_eq!(breaker.admit(now), Ok(()));
///     breaker.report(false, now);
/// }
/// assert!(breaker.admit(now).is_err());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Breaker {
    failures: u32,
    closed_until: Option<Instant>,
}

impl Breaker {
    /// Lets a call through, or tells how long to wait.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial call.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(closed_until) = self.closed_until else {
            return Ok(());
        };
        if now < closed_until {
            return Err(closed_until - now);
        }
        // This call is the trial; the others wait for its result.
        self.closed_until = Some(now + TRIAL_TIMEOUT);
        Ok(())
    }

    /// Takes note of how a call ended.
    pub fn report(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            *self = Self::default();
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_MAX {
            self.closed_until = Some(now + self.pause());
        }
    }

    fn pause(&self) -> Duration {
        let doublings = (self.failures - FAILURES_MAX).min(10);
        let longest = PAUSE_MIN.saturating_mul(1 << doublings).min(PAUSE_MAX);
        longest.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
