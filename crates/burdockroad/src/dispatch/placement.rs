//! Choice of a call's endpoint: the one that has the prefix cached, unless waiting for it costs more than
//! computing the prefix elsewhere.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    dispatch::{
        Call, CallId, EndpointInfo, LoadReport, Report, fairness::Priority, health::Health,
        kv_cache::PrefixCache,
    },
    ids::EndpointId,
};

/// Time to compute one prompt token before the first sample, in seconds.
const INITIAL_PROMPT_TOKEN_S: f64 = 0.000_1;

/// Weight of the latest sample in moving averages of times.
const TIME_SMOOTHING: f64 = 0.1;

/// Minimum number of computed prompt tokens for a call to count as a sample of an endpoint's speed.
const PROMPT_SAMPLE_MIN_TOKENS: u64 = 256;

/// Percentage of the prompt that the program's last endpoint is assumed to have cached if no cached prefix of
/// the program is tracked there and the capacity of the cache is unknown.
const ASSUMED_CACHED_PERCENT: u64 = 80;

/// Cost of placing a call on an endpoint whose slots are all occupied, in seconds. The cost is proportional to
/// the occupied fraction of the slots.
const OCCUPANCY_COST_S: f64 = 0.05;

/// Fraction of evicted tokens that is expected to be needed again.
const REUSE_FRACTION: f64 = 0.5;

/// Age from which a load report is ignored.
const LOAD_AGE_MAX: Duration = Duration::from_secs(5);

/// Endpoint of a pool.
#[derive(Clone, Debug)]
pub(super) struct EndpointRow {
    pub(super) slots: u32,
    pub(super) draining: bool,
    pub(super) in_flight: u32,
    pub(super) health: Health,
    pub(super) prefix_cache: PrefixCache,
    /// Calls that wait for this endpoint only, because it has their prefix cached.
    pub(super) parked: BTreeSet<(Priority, CallId)>,
    /// Past values of `in_flight`, for comparison with delayed load reports.
    history: VecDeque<(Instant, u32)>,
    /// Calls from outside the pool, as of the last load report.
    other_calls: u32,
    reported_at: Option<Instant>,
    pub(super) times: Times,
}

/// Mean times of calls at an endpoint; zero until the first sample.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    /// Time to compute one prompt token, in seconds.
    prompt_token_s: f64,
    /// Time that a slot is occupied, in seconds.
    service_s: f64,
}

/// Placement decision for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// The call goes to a free slot of this endpoint.
    Slot(EndpointId),
    /// The call waits for this endpoint until the given time.
    Park(EndpointId, Instant),
    /// No endpoint that the call may use is free.
    Blocked,
}

impl EndpointRow {
    pub(super) fn new(info: &EndpointInfo) -> Self {
        Self {
            slots: info.slots,
            draining: info.draining,
            in_flight: 0,
            health: Health::default(),
            prefix_cache: PrefixCache::default(),
            parked: BTreeSet::new(),
            history: VecDeque::new(),
            other_calls: 0,
            reported_at: None,
            times: Times::default(),
        }
    }

    /// Returns the number of slots that can be assigned now.
    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        if self.draining || self.health.is_ejected(now) {
            return 0;
        }
        // After an ejection, only one call at a time tests whether the endpoint works again.
        let slots = if self.health.is_on_probation() {
            self.slots.min(1)
        } else {
            self.slots
        };
        slots
            .saturating_sub(self.in_flight)
            .saturating_sub(self.other_calls(now))
    }

    pub(super) fn add_in_flight(&mut self, now: Instant) {
        self.in_flight += 1;
        self.record_in_flight(now);
    }

    pub(super) fn remove_in_flight(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.record_in_flight(now);
    }

    /// Records a load report. Calls beyond the pool's own calls at the time of the report count as calls from
    /// outside the pool.
    pub(super) fn record_load(&mut self, report: LoadReport, now: Instant) {
        let seen_at = now.checked_sub(report.age).unwrap_or(now);
        let own_calls = self.in_flight_at(seen_at);
        self.other_calls = (report.running + report.waiting).saturating_sub(own_calls);
        self.reported_at = Some(seen_at);
        if report.cache_max_tokens > 0 {
            self.prefix_cache.set_max_tokens(report.cache_max_tokens);
        }
    }

    /// Records the times of a completed call.
    pub(super) fn record_times(&mut self, report: &Report, service_time: Duration) {
        update_mean(&mut self.times.service_s, service_time.as_secs_f64());
        let computed_tokens = report.prompt_tokens.saturating_sub(report.cached_tokens);
        if let Some(first_token) = report.first_token
            && computed_tokens >= PROMPT_SAMPLE_MIN_TOKENS
        {
            update_mean(
                &mut self.times.prompt_token_s,
                first_token.as_secs_f64() / tokens_as_f64(computed_tokens),
            );
        }
    }

    /// Sets the times for which this endpoint has no sample to those of another endpoint of the pool.
    pub(super) fn fill_missing_times(&mut self, reference: &Times) {
        if self.times.prompt_token_s == 0.0 {
            self.times.prompt_token_s = reference.prompt_token_s;
        }
        if self.times.service_s == 0.0 {
            self.times.service_s = reference.service_s;
        }
    }

    /// Returns the estimated number of a call's prompt tokens that the endpoint has cached.
    pub(super) fn cached_prompt_tokens(&self, endpoint_id: &str, call: &Call) -> u64 {
        let Some(program_id) = &call.program_id else {
            return 0;
        };
        let tracked = self
            .prefix_cache
            .cached_tokens(program_id)
            .min(call.prompt_tokens);
        let served_last = call.prefix_endpoint_id.as_deref() == Some(endpoint_id);
        // If the cache capacity is known, all entries are tracked, so a missing entry has been evicted.
        if tracked == 0 && served_last && self.prefix_cache.max_tokens() == 0 {
            return call.prompt_tokens * ASSUMED_CACHED_PERCENT / 100;
        }
        tracked
    }

    /// Returns the cost of placing a call here in seconds, excluding the wait for a slot.
    fn cost_s(&self, endpoint_id: &str, call: &Call) -> f64 {
        let cached_tokens = self.cached_prompt_tokens(endpoint_id, call);
        let computed_tokens = call.prompt_tokens - cached_tokens;
        let evicted_tokens = self.evicted_tokens(computed_tokens + call.max_output_tokens);
        let occupancy = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        (tokens_as_f64(computed_tokens) + tokens_as_f64(evicted_tokens) * REUSE_FRACTION)
            * self.prompt_token_s()
            + occupancy * OCCUPANCY_COST_S
    }

    fn prompt_token_s(&self) -> f64 {
        if self.times.prompt_token_s == 0.0 {
            INITIAL_PROMPT_TOKEN_S
        } else {
            self.times.prompt_token_s
        }
    }

    /// Returns the number of other programs' tokens that would be evicted by adding tokens to the cache.
    fn evicted_tokens(&self, added: u64) -> u64 {
        if self.prefix_cache.max_tokens() == 0 {
            return 0;
        }
        let free = self
            .prefix_cache
            .max_tokens()
            .saturating_sub(self.prefix_cache.tokens());
        added.saturating_sub(free)
    }

    /// Returns the time until one more parked call would get a slot, in seconds.
    fn parked_wait_s(&self) -> f64 {
        let ahead = u32::try_from(self.parked.len()).unwrap_or(u32::MAX);
        self.times.service_s * f64::from(ahead.saturating_add(1)) / f64::from(self.slots.max(1))
    }

    fn other_calls(&self, now: Instant) -> u32 {
        let is_recent = self
            .reported_at
            .is_some_and(|reported_at| now.saturating_duration_since(reported_at) < LOAD_AGE_MAX);
        if is_recent { self.other_calls } else { 0 }
    }

    fn record_in_flight(&mut self, now: Instant) {
        self.history.push_back((now, self.in_flight));
        while self
            .history
            .front()
            .is_some_and(|(at, _)| now.saturating_duration_since(*at) > LOAD_AGE_MAX)
        {
            self.history.pop_front();
        }
    }

    fn in_flight_at(&self, at: Instant) -> u32 {
        let later = self.history.partition_point(|(changed_at, _)| *changed_at <= at);
        match later.checked_sub(1) {
            Some(index) => self.history[index].1,
            None => self.in_flight,
        }
    }
}

/// Chooses the endpoint of a call. `may_park` is false for a call that has already been parked.
pub(super) fn choose(
    endpoints: &BTreeMap<EndpointId, EndpointRow>,
    call: &Call,
    may_park: bool,
    now: Instant,
) -> Choice {
    let Some((free_id, free_cost_s)) = cheapest(endpoints, call, now, true) else {
        return Choice::Blocked;
    };
    let cached = may_park.then(|| cheapest(endpoints, call, now, false)).flatten();
    if let Some((cached_id, cached_cost_s)) = cached
        && cached_id != free_id
    {
        let saved_s = free_cost_s - cached_cost_s;
        if endpoints[cached_id].parked_wait_s() < saved_s {
            return Choice::Park(cached_id.clone(), now + seconds(saved_s));
        }
    }
    Choice::Slot(free_id.clone())
}

/// Returns the endpoint with the lowest cost for a call, either among those with a free slot or among the
/// busy ones that have some of its prefix cached.
fn cheapest<'a>(
    endpoints: &'a BTreeMap<EndpointId, EndpointRow>,
    call: &Call,
    now: Instant,
    has_free_slot: bool,
) -> Option<(&'a EndpointId, f64)> {
    endpoints
        .iter()
        .filter(|(id, row)| is_usable(id, row, call, now))
        .filter(|(id, row)| {
            (row.free_slots(now) > 0) == has_free_slot
                && (has_free_slot || row.cached_prompt_tokens(id, call) > 0)
        })
        .map(|(id, row)| (id, row.cost_s(id, call)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

fn is_usable(endpoint_id: &EndpointId, row: &EndpointRow, call: &Call, now: Instant) -> bool {
    !row.draining && row.health.admits(&call.account_id, now) && !call.excluded.contains(endpoint_id)
}

fn update_mean(mean: &mut f64, value: f64) {
    if *mean == 0.0 {
        *mean = value;
    } else {
        *mean += (value - *mean) * TIME_SMOOTHING;
    }
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(LOAD_AGE_MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens stay far below 2^52")]
fn tokens_as_f64(count: u64) -> f64 {
    count as f64
}
