//! Host side: tokens granted to one host for one account, and the calls that wait for them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::quota::{Grant, TokenRequest};

/// Id of a waiting call, assigned by the caller of [`Holder::admit`].
pub type WaiterId = u64;

/// Time after which a request to the owner counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between a failed request to the owner and the next request.
const FAILED_REQUEST_BACKOFF: Duration = Duration::from_millis(50);

/// Minimum and maximum interval between two requests while calls are waiting.
const REQUEST_INTERVAL: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

/// Delay after which spent tokens are reported if no other request reports them.
///
/// Until the report, the tokens still occupy the owner's bucket, which is not refilled in their place.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Maximum time that a call waits, regardless of its deadline.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Maximum number of waiting calls per account and host.
const WAITING_MAX: usize = 4_096;

/// Period of expected demand for which tokens are requested ahead.
const PREFETCH_WINDOW: Duration = Duration::from_millis(200);

/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Tokens of one account at one host.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Grants, in order of expiry.
    grants: VecDeque<ActiveGrant>,
    waiting: VecDeque<Waiter>,
    sequence: u64,
    in_flight: Option<InFlight>,
    next_request_at: Option<Instant>,
    spent_total: u64,
    /// Time at which spent tokens must be reported, if no other request reports them before.
    report_at: Option<Instant>,
    /// Owner's estimate for the calls that its last response left waiting.
    serve_estimate: Option<ServeEstimate>,
    /// Time between two tokens at the account's rate; zero if the rate is unknown.
    token_interval: Duration,
    owner_failed: bool,
    demand: Demand,
}

#[derive(Clone, Copy, Debug)]
struct ActiveGrant {
    expires_at: Instant,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    waiter_id: WaiterId,
    deadline: Instant,
}

/// Owner's estimate of when the calls that its response left waiting get their tokens.
#[derive(Clone, Copy, Debug)]
struct ServeEstimate {
    at: Instant,
    /// Number of calls that the estimate covers, from the front of the queue.
    calls: u64,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    sequence: u64,
    sent_at: Instant,
    wanted: u64,
}

/// Calls per second, as an exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    rate_per_s: f64,
    updated_at: Option<Instant>,
}

/// Decision on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call may run now.
    Admitted,
    /// The call waits in order of arrival. A later [`Settled`] says whether it is admitted.
    Waiting,
    /// The call must not run, and this is final.
    Refused {
        /// True if the account exceeds its rate, false if the owner was unreachable.
        over_rate: bool,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Call that no longer waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// Id of the call.
    pub waiter_id: WaiterId,
    /// Whether the call was admitted or refused.
    pub admission: Admission,
}

impl Holder {
    /// Creates a holder without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the account's rate, which determines the expected wait of queued calls.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.token_interval = Duration::try_from_secs_f64(1.0 / rate_per_s).unwrap_or(Duration::ZERO);
    }

    /// Admits a call, queues it, or refuses it if it would wait beyond `deadline`.
    pub fn admit(&mut self, waiter_id: WaiterId, deadline: Instant, now: Instant) -> Admission {
        self.demand.record(now);
        self.remove_expired(now);
        if self.waiting.is_empty() && self.spend(now) {
            return Admission::Admitted;
        }
        let deadline = deadline.min(now + WAIT_MAX);
        let wait = self.expected_wait(self.waiting.len() + 1, now);
        if now + wait > deadline || self.waiting.len() >= WAITING_MAX {
            return self.refusal(wait);
        }
        self.waiting.push_back(Waiter { waiter_id, deadline });
        Admission::Waiting
    }

    /// Removes a call whose caller has disconnected.
    pub fn cancel(&mut self, waiter_id: WaiterId) {
        self.waiting.retain(|waiter| waiter.waiter_id != waiter_id);
    }

    /// Settles calls that can be admitted now or can no longer be admitted before their deadline.
    pub fn tick(&mut self, now: Instant) -> Vec<Settled> {
        self.remove_expired(now);
        self.expire_request(now);
        let mut settled = self.admit_waiting(now);
        settled.extend(self.refuse_expired(now));
        settled
    }

    /// Returns the request to send to the owner now, if any. Only one request is in flight at a time.
    pub fn token_request(&mut self, now: Instant) -> Option<TokenRequest> {
        self.remove_expired(now);
        self.expire_request(now);
        if self.in_flight.is_some()
            || self
                .next_request_at
                .is_some_and(|next_request_at| now < next_request_at)
        {
            return None;
        }
        let available_tokens = self.available_tokens();
        let expected = self.demand.expected(PREFETCH_WINDOW, now);
        let wanted = self.waiting.len() as u64;
        // Spent tokens are reported together: a request for each would cost one request per call.
        let report_due = self.report_at.is_some_and(|report_at| report_at <= now);
        if wanted == 0 && available_tokens >= expected.div_ceil(2) && !report_due {
            return None;
        }
        self.report_at = None;
        self.sequence += 1;
        self.in_flight = Some(InFlight {
            sequence: self.sequence,
            sent_at: now,
            wanted,
        });
        Some(TokenRequest {
            sequence: self.sequence,
            wanted,
            ahead: expected.saturating_sub(available_tokens),
            spent_total: self.spent_total,
            unspent: available_tokens,
        })
    }

    /// Processes the owner's response to a request and settles calls with it.
    ///
    /// A response to any other request than the one in flight is ignored. The request that follows the ignored
    /// one reports to the owner that its tokens will not be spent.
    pub fn on_response(&mut self, sequence: u64, grant: Grant, now: Instant) -> Vec<Settled> {
        let Some(in_flight) = self.take_in_flight(sequence) else {
            return Vec::new();
        };
        self.owner_failed = false;
        let unmet = in_flight.wanted.saturating_sub(grant.granted);
        self.serve_estimate = (unmet > 0).then(|| ServeEstimate {
            at: now + grant.retry_after,
            calls: unmet,
        });
        let interval = grant.retry_after / u32::try_from(unmet.max(1)).unwrap_or(u32::MAX);
        self.next_request_at =
            (unmet > 0).then(|| now + interval.clamp(REQUEST_INTERVAL.0, REQUEST_INTERVAL.1));
        self.add_grant(in_flight.sent_at + grant.expires_after, grant.granted);
        self.tick(now)
    }

    /// Records that the owner did not respond to a request or is no longer the owner.
    pub fn on_failure(&mut self, sequence: u64, now: Instant) {
        if self.take_in_flight(sequence).is_some() {
            self.record_failure(now);
        }
    }

    /// Returns the time at which [`tick`](Self::tick) and [`token_request`](Self::token_request) must be
    /// called next.
    pub fn wake_at(&self) -> Option<Instant> {
        let first_deadline = self.waiting.iter().map(|waiter| waiter.deadline).min();
        let next_request_at = match self.in_flight {
            Some(in_flight) => Some(in_flight.sent_at + REQUEST_TIMEOUT),
            None if self.waiting.is_empty() => self.report_at.map(|at| {
                self.next_request_at
                    .map_or(at, |next_request_at| next_request_at.max(at))
            }),
            None => self.next_request_at,
        };
        [first_deadline, next_request_at].into_iter().flatten().min()
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of tokens that may be spent.
    pub fn available_tokens(&self) -> u64 {
        self.grants.iter().map(|grant| grant.tokens).sum()
    }

    fn spend(&mut self, now: Instant) -> bool {
        let Some(first) = self.grants.front_mut() else {
            return false;
        };
        first.tokens -= 1;
        if first.tokens == 0 {
            self.grants.pop_front();
        }
        self.spent_total += 1;
        self.report_at.get_or_insert(now + REPORT_DELAY);
        true
    }

    fn add_grant(&mut self, expires_at: Instant, tokens: u64) {
        if tokens > 0 {
            self.grants.push_back(ActiveGrant { expires_at, tokens });
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        self.grants.retain(|grant| grant.expires_at > now);
    }

    fn admit_waiting(&mut self, now: Instant) -> Vec<Settled> {
        let mut settled = Vec::new();
        while !self.waiting.is_empty() && self.spend(now) {
            settled.extend(self.waiting.pop_front().map(|waiter| Settled {
                waiter_id: waiter.waiter_id,
                admission: Admission::Admitted,
            }));
        }
        settled
    }

    /// Refuses each call that is expected to be admitted after its deadline. Calls that are refused here do not
    /// delay the calls behind them.
    fn refuse_expired(&mut self, now: Instant) -> Vec<Settled> {
        let mut remaining = VecDeque::with_capacity(self.waiting.len());
        let mut settled = Vec::new();
        for waiter in std::mem::take(&mut self.waiting) {
            let wait = self.expected_wait(remaining.len() + 1, now);
            if now >= waiter.deadline || now + wait > waiter.deadline {
                settled.push(Settled {
                    waiter_id: waiter.waiter_id,
                    admission: self.refusal(wait),
                });
            } else {
                remaining.push_back(waiter);
            }
        }
        self.waiting = remaining;
        settled
    }

    /// Returns the expected time until the call at a queue position gets a token, based on the owner's last
    /// estimate.
    ///
    /// The estimate covers the calls that the owner's response left waiting; each call behind them adds one
    /// token interval. The estimate must not be divided into a time per call and multiplied: all calls wait
    /// equally long until a new owner may grant tokens.
    fn expected_wait(&self, position: usize, now: Instant) -> Duration {
        let Some(serve_estimate) = self.serve_estimate else {
            return Duration::ZERO;
        };
        let extra_calls = u64::try_from(position)
            .unwrap_or(u64::MAX)
            .saturating_sub(serve_estimate.calls);
        let extra_calls = u32::try_from(extra_calls).unwrap_or(u32::MAX);
        serve_estimate.at.saturating_duration_since(now) + self.token_interval.saturating_mul(extra_calls)
    }

    fn refusal(&self, wait: Duration) -> Admission {
        Admission::Refused {
            over_rate: !self.owner_failed,
            retry_after: wait.max(REQUEST_INTERVAL.1),
        }
    }

    fn expire_request(&mut self, now: Instant) {
        if let Some(in_flight) = self.in_flight
            && now >= in_flight.sent_at + REQUEST_TIMEOUT
        {
            self.in_flight = None;
            self.record_failure(now);
        }
    }

    fn take_in_flight(&mut self, sequence: u64) -> Option<InFlight> {
        let in_flight = self.in_flight.filter(|request| request.sequence == sequence)?;
        self.in_flight = None;
        Some(in_flight)
    }

    fn record_failure(&mut self, now: Instant) {
        self.owner_failed = true;
        // The next request reports the spent tokens. A separate report would be retried continuously while
        // the owner is unreachable.
        self.report_at = None;
        self.serve_estimate = None;
        self.next_request_at = Some(now + FAILED_REQUEST_BACKOFF);
    }
}

impl Demand {
    fn record(&mut self, now: Instant) {
        self.rate_per_s = self.decayed_rate_per_s(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.updated_at = Some(now);
    }

    fn decayed_rate_per_s(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.rate_per_s * (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Returns the number of whole calls expected within a period.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a demand is not negative and far below 2^52"
    )]
    fn expected(&self, period: Duration, now: Instant) -> u64 {
        (self.decayed_rate_per_s(now) * period.as_secs_f64()).floor() as u64
    }
}
