//! A host's side: tokens held for one account, and the calls that wait for them.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::quota::{Ask, Grant};

/// Name of a waiting call, given by whoever asks for its admission.
pub type WaiterId = u64;

/// Time after which a request to the owner counts as lost.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time until the owner is asked again after a failed request.
const FAILED_ASK_PAUSE: Duration = Duration::from_millis(50);

/// Shortest and longest time between two requests while calls wait.
const ASK_PAUSE: (Duration, Duration) = (Duration::from_millis(5), Duration::from_millis(100));

/// Longest time that a call waits, whatever its own limit.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Calls of one account that wait at one host.
const WAITING_MAX: usize = 4_096;

/// Demand for which tokens are asked ahead.
const AHEAD: Duration = Duration::from_millis(200);

/// Time constant of the demand estimate.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);

/// Tokens of one account at one host.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    /// Grants, the first to expire in front.
    grants: VecDeque<Held>,
    waiting: VecDeque<Waiter>,
    sequence: u64,
    in_flight: Option<InFlight>,
    ask_at: Option<Instant>,
    spent_total: u64,
    /// When the owner expects to have served those that waited when it was asked.
    ready: Option<Ready>,
    /// Time between two tokens at the account's rate; zero while it is not known.
    pace: Duration,
    owner_failed: bool,
    demand: Demand,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    expires_at: Instant,
    tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    waiter_id: WaiterId,
    latest: Instant,
}

/// When the calls that waited at the last answer are expected to have their tokens.
#[derive(Clone, Copy, Debug)]
struct Ready {
    at: Instant,
    covers: u64,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    sequence: u64,
    sent_at: Instant,
    wanted: u64,
}

/// Calls a second, exponentially averaged.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    rate_per_s: f64,
    updated_at: Option<Instant>,
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may run now.
    Admitted,
    /// It waits, in order, and is settled later.
    Waiting,
    /// It may not run; this is final.
    Refused {
        /// Whether the account is over its rate; if not, the owner could not be asked.
        over_rate: bool,
        /// When a later try may succeed.
        retry_after: Duration,
    },
}

/// A call that no longer waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The call.
    pub waiter_id: WaiterId,
    /// Whether it was admitted or refused.
    pub admission: Admission,
}

impl Holder {
    /// Makes a holder without tokens.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes note of the account's rate, which tells how long calls in a queue have to wait.
    pub fn set_rate(&mut self, rate_per_s: f64) {
        self.pace = Duration::try_from_secs_f64(1.0 / rate_per_s).unwrap_or(Duration::ZERO);
    }

    /// Admits a call, lets it wait, or refuses it when its wait would pass `latest`.
    pub fn admit(&mut self, waiter_id: WaiterId, latest: Instant, now: Instant) -> Admission {
        self.demand.record(now);
        self.drop_expired(now);
        if self.waiting.is_empty() && self.spend() {
            return Admission::Admitted;
        }
        let latest = latest.min(now + WAIT_MAX);
        let wait = self.expected_wait(self.waiting.len() + 1, now);
        if now + wait > latest || self.waiting.len() >= WAITING_MAX {
            return self.refusal(wait);
        }
        self.waiting.push_back(Waiter { waiter_id, latest });
        Admission::Waiting
    }

    /// Forgets a call whose caller has gone away.
    pub fn cancel(&mut self, waiter_id: WaiterId) {
        self.waiting.retain(|waiter| waiter.waiter_id != waiter_id);
    }

    /// Settles calls that can be admitted now, or can no longer be admitted in time.
    pub fn tick(&mut self, now: Instant) -> Vec<Settled> {
        self.drop_expired(now);
        self.expire_ask(now);
        let mut settled = self.admit_waiting();
        settled.extend(self.refuse_late(now));
        settled
    }

    /// The request to send to the owner now, if any; only one is under way at a time.
    pub fn ask(&mut self, now: Instant) -> Option<Ask> {
        self.drop_expired(now);
        self.expire_ask(now);
        if self.in_flight.is_some() || self.ask_at.is_some_and(|ask_at| now < ask_at) {
            return None;
        }
        let held = self.held();
        let expected = self.demand.expected(AHEAD, now);
        let wanted = self.waiting.len() as u64;
        // Asking for each token that was spent would cost a request a call.
        if wanted == 0 && held >= expected.div_ceil(2) {
            return None;
        }
        self.sequence += 1;
        self.in_flight = Some(InFlight {
            sequence: self.sequence,
            sent_at: now,
            wanted,
        });
        Some(Ask {
            sequence: self.sequence,
            wanted,
            ahead: expected.saturating_sub(held),
            spent_total: self.spent_total,
            unspent: held,
        })
    }

    /// Takes the owner's answer and settles calls with it.
    ///
    /// An answer to any request but the one under way is void, since the next request told the owner
    /// that its tokens will not be spent.
    pub fn answered(&mut self, sequence: u64, grant: Grant, now: Instant) -> Vec<Settled> {
        let Some(in_flight) = self.take_in_flight(sequence) else {
            return Vec::new();
        };
        self.owner_failed = false;
        let unmet = in_flight.wanted.saturating_sub(grant.granted);
        self.ready = (unmet > 0).then(|| Ready {
            at: now + grant.retry_after,
            covers: unmet,
        });
        let pause = grant.retry_after / u32::try_from(unmet.max(1)).unwrap_or(u32::MAX);
        self.ask_at = (unmet > 0).then(|| now + pause.clamp(ASK_PAUSE.0, ASK_PAUSE.1));
        self.keep(in_flight.sent_at + grant.expires_after, grant.granted);
        self.tick(now)
    }

    /// Takes note that the owner did not answer a request, or is no longer the owner.
    pub fn failed(&mut self, sequence: u64, now: Instant) {
        if self.take_in_flight(sequence).is_some() {
            self.note_failure(now);
        }
    }

    /// When [`tick`](Self::tick) and [`ask`](Self::ask) have to be called next.
    pub fn wake_at(&self) -> Option<Instant> {
        let first_latest = self.waiting.iter().map(|waiter| waiter.latest).min()?;
        let ask_at = match self.in_flight {
            Some(in_flight) => Some(in_flight.sent_at + ASK_TIMEOUT),
            None => self.ask_at,
        };
        Some(ask_at.map_or(first_latest, |ask_at| ask_at.min(first_latest)))
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Tokens that may be spent.
    pub fn held(&self) -> u64 {
        self.grants.iter().map(|grant| grant.tokens).sum()
    }

    fn spend(&mut self) -> bool {
        let Some(first) = self.grants.front_mut() else {
            return false;
        };
        first.tokens -= 1;
        if first.tokens == 0 {
            self.grants.pop_front();
        }
        self.spent_total += 1;
        true
    }

    fn keep(&mut self, expires_at: Instant, tokens: u64) {
        if tokens > 0 {
            self.grants.push_back(Held { expires_at, tokens });
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        self.grants.retain(|grant| grant.expires_at > now);
    }

    fn admit_waiting(&mut self) -> Vec<Settled> {
        let mut settled = Vec::new();
        while !self.waiting.is_empty() && self.spend() {
            settled.extend(self.waiting.pop_front().map(|waiter| Settled {
                waiter_id: waiter.waiter_id,
                admission: Admission::Admitted,
            }));
        }
        settled
    }

    /// Refuses each call that would be admitted too late, counting only those that stay before it.
    fn refuse_late(&mut self, now: Instant) -> Vec<Settled> {
        let mut kept = VecDeque::with_capacity(self.waiting.len());
        let mut settled = Vec::new();
        for waiter in std::mem::take(&mut self.waiting) {
            let wait = self.expected_wait(kept.len() + 1, now);
            if now >= waiter.latest || now + wait > waiter.latest {
                settled.push(Settled {
                    waiter_id: waiter.waiter_id,
                    admission: self.refusal(wait),
                });
            } else {
                kept.push_back(waiter);
            }
        }
        self.waiting = kept;
        settled
    }

    /// Time until the call at a position of the queue gets a token, as far as the owner has told.
    ///
    /// The owner's word covers the calls that waited when it was asked. An owner that is new makes all
    /// of them wait alike, so its word must not be stretched to a time for each further call.
    fn expected_wait(&self, position: usize, now: Instant) -> Duration {
        let Some(ready) = self.ready else {
            return Duration::ZERO;
        };
        let further = u64::try_from(position)
            .unwrap_or(u64::MAX)
            .saturating_sub(ready.covers);
        let further = u32::try_from(further).unwrap_or(u32::MAX);
        ready.at.saturating_duration_since(now) + self.pace.saturating_mul(further)
    }

    fn refusal(&self, wait: Duration) -> Admission {
        Admission::Refused {
            over_rate: !self.owner_failed,
            retry_after: wait.max(ASK_PAUSE.1),
        }
    }

    fn expire_ask(&mut self, now: Instant) {
        if let Some(in_flight) = self.in_flight
            && now >= in_flight.sent_at + ASK_TIMEOUT
        {
            self.in_flight = None;
            self.note_failure(now);
        }
    }

    fn take_in_flight(&mut self, sequence: u64) -> Option<InFlight> {
        let in_flight = self.in_flight.filter(|ask| ask.sequence == sequence)?;
        self.in_flight = None;
        Some(in_flight)
    }

    fn note_failure(&mut self, now: Instant) {
        self.owner_failed = true;
        self.ready = None;
        self.ask_at = Some(now + FAILED_ASK_PAUSE);
    }
}

impl Demand {
    fn record(&mut self, now: Instant) {
        self.rate_per_s = self.decayed(now) + 1.0 / DEMAND_WINDOW.as_secs_f64();
        self.updated_at = Some(now);
    }

    fn decayed(&self, now: Instant) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let age = now.saturating_duration_since(updated_at);
        self.rate_per_s * (-age.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp()
    }

    /// Whole calls expected within a time to come.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a demand is not negative and far below 2^52"
    )]
    fn expected(&self, within: Duration, now: Instant) -> u64 {
        (self.decayed(now) * within.as_secs_f64()).floor() as u64
    }
}
