//! Circuit breaker that protects an unavailable service from excessive requests.

use std::time::{Duration, Instant};

use rand::RngExt;

/// Number of consecutive failures that open the breaker.
const FAILURES_MAX: u32 = 3;

/// Initial time for which the breaker stays open, before jitter.
const BACKOFF_MIN: Duration = Duration::from_millis(100);

/// Maximum time for which the breaker stays open, before jitter.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Time after which a trial request without a recorded result counts as lost.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Circuit breaker: it refuses requests after consecutive failures, and admits a single trial request
/// after each backoff.
///
/// The backoff doubles with each failed trial, up to a maximum. Random jitter shortens it by up to half,
/// so that many hosts do not retry at the same moment.
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
    open_until: Option<Instant>,
}

impl Breaker {
    /// Admits a request, unless the breaker is open.
    ///
    /// # Errors
    ///
    /// Returns the time until the next trial request is admitted.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        let Some(open_until) = self.open_until else {
            return Ok(());
        };
        if now < open_until {
            return Err(open_until - now);
        }
        // This request is the trial. Others are refused until its result is recorded or it times out.
        self.open_until = Some(now + TRIAL_TIMEOUT);
        Ok(())
    }

    /// Records the result of a request.
    pub fn report(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            *self = Self::default();
            return;
        }
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES_MAX {
            self.open_until = Some(now + self.backoff());
        }
    }

    fn backoff(&self) -> Duration {
        let doublings = (self.failures - FAILURES_MAX).min(10);
        let upper_bound = BACKOFF_MIN.saturating_mul(1 << doublings).min(BACKOFF_MAX);
        upper_bound.mul_f64(rand::rng().random_range(0.5..=1.0))
    }
}
