//! Rate of calls that an endpoint takes from all hosts together, stated or because it is cold, as one host knows it.

use std::time::{Duration, Instant};

use super::{
    cold_start::ColdTime,
    fleet::Fleet,
    rate_bucket::{RateBucket, RateLimit},
    rate_statement::{EndpointUsage, RateStatement, StatedRate},
};
use crate::ids::HostId;

/// Time constant of the demand average, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Time for which a host that may not send to an endpoint reports the endpoint's last statement.
const STATEMENT_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Statements of one run of an endpoint about its rate, and the calls to it.
#[derive(Debug, Default)]
pub(super) struct EndpointRate {
    /// Time of the last statement to any host.
    stated_at: Option<Instant>,
    /// Last statement to this host and its time. Only this one is reported to other hosts: a statement that they
    /// passed on to each other would seem newer with each report.
    own_statement: Option<(Option<f64>, Instant)>,
    /// Limit of the last statement to any host.
    stated_per_s: Option<f64>,
    /// Whether a stated limit was in force. Hosts report that it is gone.
    was_limited: bool,
    /// Time in which the endpoint is cold, and the rate of cold endpoints limits it, too.
    pub(super) cold: ColdTime,
    sent: u64,
    demand_per_s: f64,
    demand_at: Option<Instant>,
    /// Limit in force.
    bucket: Option<RateBucket>,
}

impl EndpointRate {
    /// Records a statement to this host. Returns whether the limit changes.
    pub(super) fn record_statement(&mut self, statement: RateStatement, now: Instant) -> bool {
        if statement == RateStatement::Unreadable {
            return false;
        }
        let limit_per_s = statement.calls_per_s();
        self.own_statement = Some((limit_per_s, now));
        self.adopt(limit_per_s, now, now)
    }

    /// Records another host's calls, and the statement to it if that is the latest one. Returns whether the limit
    /// changes.
    pub(super) fn record_peer(
        &mut self,
        host: &HostId,
        usage: &EndpointUsage,
        fleet: &Fleet,
        now: Instant,
    ) -> bool {
        let is_changed = usage.statement.is_some_and(|statement| {
            let stated_at = now.checked_sub(statement.age);
            stated_at.is_some_and(|stated_at| self.adopt(statement.calls_per_s, stated_at, now))
        });
        if let Some(bucket) = &mut self.bucket {
            bucket.record_peer(host, usage, fleet, now);
        }
        is_changed
    }

    /// Adopts a statement unless a later one is known. Returns whether the limit changes.
    fn adopt(&mut self, limit_per_s: Option<f64>, stated_at: Instant, now: Instant) -> bool {
        if self.stated_at.is_some_and(|known| stated_at < known) || self.stated_per_s == limit_per_s {
            self.stated_at = self.stated_at.max(Some(stated_at));
            return false;
        }
        self.stated_at = Some(stated_at);
        self.stated_per_s = limit_per_s;
        self.update_limit(now);
        true
    }

    /// Sets the limit in force: the stated one, or that of a cold endpoint if it is lower.
    pub(super) fn update_limit(&mut self, now: Instant) {
        match (self.limit(now), &mut self.bucket) {
            (Some(limit), Some(bucket)) => bucket.set_limit(limit),
            (Some(limit), None) => self.bucket = Some(RateBucket::new(limit)),
            (None, _) => self.bucket = None,
        }
    }

    fn limit(&self, now: Instant) -> Option<RateLimit> {
        let cold_per_s = self.cold.status(now).map(|status| status.calls_per_s);
        let limits = self.stated_per_s.into_iter().chain(cold_per_s);
        limits.reduce(f64::min).map(|calls_per_s| RateLimit {
            calls_per_s,
            is_cold: cold_per_s.is_some(),
        })
    }

    /// Returns this host's calls for its report; `None` if other hosts need not know them.
    pub(super) fn usage(&self, endpoint: &str, now: Instant) -> Option<EndpointUsage> {
        let statement = self.own_statement.map(|(calls_per_s, at)| StatedRate {
            calls_per_s,
            age: now.saturating_duration_since(at),
        });
        let is_sender = self.bucket.as_ref().is_some_and(RateBucket::is_sender);
        let is_recent = statement.is_some_and(|statement| statement.age < STATEMENT_REPORT_PERIOD);
        let may_be_limited = self.stated_per_s.is_some() || self.was_limited;
        (is_sender || is_recent && may_be_limited).then(|| EndpointUsage {
            endpoint: endpoint.to_owned(),
            statement,
            sent: self.sent,
            demand_per_s: self.demand_per_s,
        })
    }

    /// Adds the tokens accrued since the last refill.
    pub(super) fn refill(&mut self, endpoint: &str, fleet: &Fleet, now: Instant) {
        self.update_limit(now);
        let Some(bucket) = &mut self.bucket else {
            return;
        };
        self.was_limited |= self.stated_per_s.is_some();
        let since = self.demand_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(since).as_secs_f64();
        self.demand_per_s *= (-elapsed_s / DEMAND_WINDOW_S).exp();
        bucket.refill(endpoint, self.demand_per_s, fleet, now);
    }

    /// Counts a call that would be sent to the endpoint if it did not limit its rate.
    pub(super) fn record_demand(&mut self) {
        if self.bucket.is_some() {
            self.demand_per_s += 1.0 / DEMAND_WINDOW_S;
        }
    }

    /// Counts a call that is sent to the endpoint.
    pub(super) fn record_sent(&mut self) {
        self.sent += 1;
        if let Some(bucket) = &mut self.bucket {
            bucket.take();
        }
    }

    /// Returns the time after which this host may send a call, as of the last refill; `None` if it may not while
    /// the limit lasts.
    pub(super) fn wait(&self) -> Option<Duration> {
        self.bucket
            .as_ref()
            .map_or(Some(Duration::ZERO), RateBucket::wait)
    }

    /// Returns the time after which the limit ends; `None` if the endpoint states it, so that its end is unknown.
    pub(super) fn limit_left(&self, now: Instant) -> Option<Duration> {
        let status = self.cold.status(now).filter(|_| self.stated_per_s.is_none());
        status.map(|status| status.left)
    }

    /// Returns whether the limit leaves no calls for programs that start at this host.
    pub(super) fn is_exhausted(&self, now: Instant) -> bool {
        let bucket = self.bucket.as_ref().filter(|_| self.limit(now).is_some());
        bucket.is_some_and(|bucket| bucket.is_exhausted(self.demand_per_s))
    }
}
