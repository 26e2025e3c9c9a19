//! One endpoint, with this host's estimate of its load and speed.

use std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
};

use super::{
    base_time::{ServiceTimes, retained_base_ms},
    endpoint::{Endpoint, Outcome, PromptPart},
    endpoint_rate::EndpointRate,
    pace::EndpointPace,
    query::PlacementQuery,
    spread::SpreadEndpoint,
    time_factors::{CONGESTION_FACTOR, JITTER_FRACTION, QUEUE_FACTOR},
};
use crate::ids::SoftwareVersion;

/// Expected time to the first byte before the first sample, in milliseconds.
pub(super) const INITIAL_TIME_MS: f64 = 100.0;

/// Age from which a report of other hosts' calls at an endpoint is ignored.
pub(super) const PEER_LOAD_AGE_MAX: Duration = Duration::from_millis(800);

/// Weight of the latest sample in an endpoint's mean time to the first byte.
const TIME_SMOOTHING: f64 = 0.15;

/// Lower bound of an endpoint's time. At zero, its logarithm and the quotients by it are not finite.
pub(super) const TIME_MIN_MS: f64 = 0.01;

/// Half-life of the difference between an endpoint's mean and the service's mean. The decay lets calls return
/// to an endpoint that was slow.
const MEAN_HALF_LIFE: Duration = Duration::from_secs(3);

/// Time to compute one prompt token that the endpoint has not cached, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 0.008;

/// Additional time of a call to another failure domain, in milliseconds.
const CROSS_DOMAIN_MS: f64 = 3.0;

/// Duration of the first ejection of a failing endpoint; each further failure doubles it.
const EJECTION_MIN: Duration = Duration::from_millis(400);

/// Maximum duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// Maximum number of cached prompt parts tracked per endpoint.
const CACHED_PARTS_MAX: usize = 1500;

#[derive(Debug)]
pub(super) struct EndpointRow {
    pub(super) endpoint: Endpoint,
    /// Whether this run of the endpoint said that it leaves.
    pub(super) leaving: bool,
    /// Whether the endpoint is in an evacuated failure domain.
    pub(super) evacuated: bool,
    pub(super) rate: EndpointRate,
    pub(super) pace: EndpointPace,
    pub(super) in_flight: u32,
    /// Estimated calls of other hosts, from the latest report of the endpoint or of another host.
    pub(super) peer_calls: u32,
    /// Sum of the other hosts' last reports. It is updated by the difference of each report, because summing
    /// over all hosts on each report would take time quadratic in the number of hosts.
    pub(super) reported_calls: u32,
    pub(super) peer_calls_at: Option<Instant>,
    /// Mean time to the first byte, at the usual pace if the endpoint states its pace.
    pub(super) mean_first_byte_ms: f64,
    /// Time of the last sample of `mean_first_byte_ms`.
    pub(super) sampled_at: Option<Instant>,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// Ids of the prompt parts assumed to be cached.
    cached_parts: HashSet<u64>,
    /// The same ids, oldest first, for eviction.
    cached_order: VecDeque<u64>,
}

impl EndpointRow {
    pub(super) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            leaving: false,
            evacuated: false,
            rate: EndpointRate::default(),
            pace: EndpointPace::default(),
            in_flight: 0,
            peer_calls: 0,
            reported_calls: 0,
            peer_calls_at: None,
            mean_first_byte_ms: INITIAL_TIME_MS,
            sampled_at: None,
            consecutive_failures: 0,
            ejected_until: None,
            cached_parts: HashSet::new(),
            cached_order: VecDeque::new(),
        }
    }

    pub(super) fn takes_calls(&self) -> bool {
        !self.endpoint.draining && !self.leaving && !self.evacuated
    }

    /// Returns whether the endpoint's rate lets this host send it another call, as of the last refill.
    pub(super) fn has_room(&self) -> bool {
        self.rate.wait() == Some(Duration::ZERO)
    }

    /// Returns whether the endpoint has a version; any version if it is `None`.
    pub(super) fn has_version(&self, version: Option<&SoftwareVersion>) -> bool {
        version.is_none_or(|version| self.endpoint.software_version == *version)
    }

    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    pub(super) fn load(&self, now: Instant) -> u32 {
        let is_recent = self.peer_calls_at.is_some_and(|at| now < at + PEER_LOAD_AGE_MAX);
        let peer_calls = if is_recent { self.peer_calls } else { 0 };
        self.in_flight.saturating_add(peer_calls)
    }

    /// Returns the expected time to the first byte of the response, at a pace relative to the usual one.
    pub(super) fn estimate_ms(
        &self,
        query: &PlacementQuery<'_>,
        service: ServiceTimes,
        pace: f64,
        now: Instant,
    ) -> f64 {
        let mean_ms = self.decayed_mean_ms(service, now) * pace;
        let slots = f64::from(self.endpoint.slots.max(1));
        let load = f64::from(self.load(now));
        let congestion_ms = mean_ms * CONGESTION_FACTOR * (load / slots).min(1.0);
        let queued_batches = ((load + 1.0 - slots) / slots).max(0.0);
        let uncached_tokens = self.uncached_tokens(query.parts);
        let distance_ms = if self.endpoint.failure_domain == query.failure_domain {
            0.0
        } else {
            CROSS_DOMAIN_MS
        };
        mean_ms
            + congestion_ms
            + queued_batches * (service.mean_ms * pace).max(mean_ms) * QUEUE_FACTOR
            + uncached_tokens * PROMPT_TOKEN_MS * pace
            + distance_ms
    }

    /// Returns the figures by which calls are spread among endpoints.
    pub(super) fn spread_endpoint(&self, service: ServiceTimes, pace: f64, now: Instant) -> SpreadEndpoint {
        SpreadEndpoint {
            time_ms: (self.decayed_mean_ms(service, now) * pace).max(TIME_MIN_MS),
            slots: f64::from(self.endpoint.slots.max(1)),
            own_calls: f64::from(self.in_flight),
            peer_calls: f64::from(self.load(now) - self.in_flight),
            is_open: self.has_room() && !self.is_ejected(now),
        }
    }

    /// Returns the endpoint's mean time to the first byte, which approaches the service's mean without samples. It does
    /// so sooner without reports: a sample then contains unknown waiting behind the calls of other hosts.
    pub(super) fn decayed_mean_ms(&self, service: ServiceTimes, now: Instant) -> f64 {
        let Some(at) = self.sampled_at else {
            return service.mean_ms;
        };
        let age = now.saturating_duration_since(at);
        if self.pace.is_stated() && !service.lacks_reports {
            return retained_base_ms(self.mean_first_byte_ms, service.mean_ms, age);
        }
        let half_lives = age.as_secs_f64() / MEAN_HALF_LIFE.as_secs_f64();
        service.mean_ms + (self.mean_first_byte_ms - service.mean_ms) * 0.5_f64.powf(half_lives)
    }

    /// Returns the pace expected now, relative to the usual one. An endpoint that this host has not called yet
    /// counts as no faster than usual, so that a false pace does not attract the first calls of all hosts.
    pub(super) fn expected_pace(&self, half_life: Duration, now: Instant) -> f64 {
        let pace = self.pace.expected_factor(half_life, now);
        if self.sampled_at.is_none() {
            pace.max(1.0)
        } else {
            pace
        }
    }

    /// Returns the number of prompt tokens after the longest cached prefix.
    fn uncached_tokens(&self, parts: &[PromptPart]) -> f64 {
        let uncached_parts = parts
            .iter()
            .skip_while(|part| self.cached_parts.contains(&part.id));
        uncached_parts.map(|part| f64::from(part.tokens)).sum()
    }

    /// Returns a pseudorandom addition to the expected time, determined by the seed and the endpoint. Without
    /// it, hosts with the same information would all choose the same endpoint.
    pub(super) fn jitter_ms(&self, jitter_seed: u64) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.endpoint.id.as_bytes(), jitter_seed);
        let steps = u32::try_from(hash % 1024).unwrap_or(0);
        f64::from(steps) / 1024.0 * self.mean_first_byte_ms * JITTER_FRACTION
    }

    pub(super) fn cache_part(&mut self, part: u64) {
        if !self.cached_parts.insert(part) {
            return;
        }
        self.cached_order.push_back(part);
        if self.cached_order.len() > CACHED_PARTS_MAX
            && let Some(oldest) = self.cached_order.pop_front()
        {
            self.cached_parts.remove(&oldest);
        }
    }

    /// Records a time to the first byte, at the usual pace if the response came with a pace.
    fn record_time(&mut self, measured_ms: f64, now: Instant) {
        let pace = self.pace.factor_of_response(now);
        let sample_ms = pace.map_or(measured_ms, |pace| measured_ms / pace);
        if self.sampled_at.is_none() {
            self.mean_first_byte_ms = sample_ms;
        }
        self.mean_first_byte_ms += (sample_ms - self.mean_first_byte_ms) * TIME_SMOOTHING;
    }

    pub(super) fn record_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Responded { first_byte } => {
                self.record_time(first_byte.as_secs_f64() * 1000.0, now);
                self.sampled_at = Some(now);
                self.consecutive_failures = 0;
                self.ejected_until = None;
            }
            Outcome::Failed => {
                let backoff = EJECTION_MIN * 2_u32.pow(self.consecutive_failures.min(8));
                self.consecutive_failures += 1;
                self.ejected_until = Some(now + backoff.min(EJECTION_MAX));
            }
            Outcome::Full => {
                self.peer_calls = self.peer_calls.max(self.endpoint.slots.saturating_mul(2));
                self.peer_calls_at = Some(now);
            }
            Outcome::Abandoned => {}
        }
    }
}
