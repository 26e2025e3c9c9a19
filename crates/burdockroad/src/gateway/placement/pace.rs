//! Time that work takes at one endpoint now, relative to its usual time.
//!
//! Load pattern: an endpoint whose pace changes many times a second, with readings that arrive with the
//! responses to this host and, some hundred milliseconds later, in the reports of other hosts. The latest
//! reading counts, and loses weight with its age.

use std::time::{Duration, Instant};

/// Pace of an endpoint at its usual speed, in percent.
pub(super) const USUAL_PACE_PERCENT: f64 = 100.0;

/// Lower bound of a pace. An endpoint that states a lower one could otherwise get all calls.
const PACE_MIN_PERCENT: f64 = 10.0;

/// Upper bound of a pace. An endpoint that states a higher one could otherwise get no calls for a long time.
const PACE_MAX_PERCENT: f64 = 1000.0;

/// Pace that an endpoint stated, at the time of the statement.
#[derive(Clone, Copy, Debug)]
pub(super) struct PaceReading {
    /// Natural logarithm of the pace relative to the usual one. Half and twice the usual time weigh the same.
    pub(super) log_pace: f64,
    pub(super) read_at: Instant,
}

/// Readings of one endpoint.
#[derive(Debug, Default)]
pub(super) struct EndpointPace {
    /// Latest reading of any host.
    latest: Option<PaceReading>,
    /// Latest reading of this host.
    own: Option<PaceReading>,
    /// Whether a report contained `own`.
    is_own_reported: bool,
    /// Earlier reading with which new ones are compared.
    compared: Option<PaceReading>,
}

impl PaceReading {
    /// Creates a reading, bounded by `PACE_MIN_PERCENT` and `PACE_MAX_PERCENT`; `None` if the pace is not a positive
    /// finite number.
    pub(super) fn new(pace_percent: f64, read_at: Instant) -> Option<Self> {
        if !pace_percent.is_finite() || pace_percent <= 0.0 {
            return None;
        }
        let bounded_percent = pace_percent.clamp(PACE_MIN_PERCENT, PACE_MAX_PERCENT);
        Some(Self {
            log_pace: (bounded_percent / USUAL_PACE_PERCENT).ln(),
            read_at,
        })
    }

    pub(super) fn percent(self) -> f64 {
        self.log_pace.exp() * USUAL_PACE_PERCENT
    }

    /// Returns the pace relative to the usual one.
    fn factor(self) -> f64 {
        self.log_pace.exp()
    }

    fn age(self, now: Instant) -> Duration {
        now.saturating_duration_since(self.read_at)
    }
}

impl EndpointPace {
    /// Records a reading of this host.
    pub(super) fn record_own(&mut self, reading: PaceReading) {
        self.own = Some(reading);
        self.is_own_reported = false;
        self.record(reading);
    }

    /// Records a reading of any host, which replaces an earlier one. Returns whether it is the latest.
    pub(super) fn record(&mut self, reading: PaceReading) -> bool {
        let is_latest = self.latest.is_none_or(|latest| latest.read_at < reading.read_at);
        if is_latest {
            self.latest = Some(reading);
        }
        is_latest
    }

    /// Returns the earlier reading with which a new one is compared. It is replaced by the new one when it is
    /// older than `span`.
    pub(super) fn compare(&mut self, reading: PaceReading, span: Duration) -> Option<PaceReading> {
        let earlier = self.compared;
        if earlier.is_none_or(|earlier| reading.read_at >= earlier.read_at + span) {
            self.compared = Some(reading);
        }
        earlier.filter(|earlier| earlier.read_at < reading.read_at)
    }

    /// Returns whether the endpoint states its pace.
    pub(super) fn is_stated(&self) -> bool {
        self.latest.is_some()
    }

    /// Returns this host's latest reading if no report contained it yet.
    pub(super) fn take_unreported(&mut self) -> Option<PaceReading> {
        let unreported = self.own.filter(|_| !self.is_own_reported);
        self.is_own_reported = true;
        unreported
    }

    /// Returns the pace, relative to the usual one, that came with the response that arrived at a time; `None`
    /// if it stated none.
    pub(super) fn factor_of_response(&self, arrived_at: Instant) -> Option<f64> {
        let reading = self.own.filter(|own| own.read_at == arrived_at);
        reading.map(PaceReading::factor)
    }

    /// Returns the pace expected now, relative to the usual pace. The weight of the latest reading halves with
    /// each `half_life` of its age.
    pub(super) fn expected_factor(&self, half_life: Duration, now: Instant) -> f64 {
        let Some(latest) = self.latest else {
            return 1.0;
        };
        let half_lives = latest.age(now).div_duration_f64(half_life);
        (latest.log_pace * (-half_lives).exp2()).exp()
    }
}
