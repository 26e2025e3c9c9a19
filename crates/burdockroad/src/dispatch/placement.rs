//! Choice of the endpoint: the one that holds the prefix, unless its queue costs more than computing
//! the prefix at another.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::{Duration, Instant},
};

use crate::{
    dispatch::{
        Call, CallId, EndpointInfo, LoadReport, Report, fairness::Priority, health::Health,
        kv_cache::Residents,
    },
    ids::EndpointId,
};

/// Time to compute one prompt token before any was seen, in seconds.
const FIRST_PROMPT_TOKEN_S: f64 = 0.000_1;

/// Weight of the latest call in means of times.
const TIME_SMOOTHING: f64 = 0.1;

/// Prompt tokens from which a call tells how fast an endpoint computes them.
const PROMPT_SAMPLE_MIN_TOKENS: u64 = 256;

/// Part of the prompt believed to be held by the program's last endpoint when nothing is known of it.
const UNKNOWN_HELD_PERCENT: u64 = 80;

/// Cost of an endpoint whose slots are all taken but one, in seconds.
const BUSY_COST_S: f64 = 0.05;

/// Part of what a placement pushes out of a cache that is expected to be wanted again.
const WANTED_AGAIN: f64 = 0.5;

/// Age from which a load report says nothing.
const LOAD_AGE_MAX: Duration = Duration::from_secs(5);

/// One endpoint of a pool.
#[derive(Clone, Debug)]
pub(super) struct EndpointRow {
    pub(super) slots: u32,
    pub(super) leaving: bool,
    pub(super) in_flight: u32,
    pub(super) health: Health,
    pub(super) residents: Residents,
    /// Calls that wait for this endpoint alone, since it holds their prefix.
    pub(super) parked: BTreeSet<(Priority, CallId)>,
    /// Own calls in flight at earlier times, to compare lagged reports with.
    history: VecDeque<(Instant, u32)>,
    /// Calls of others, by the last report.
    foreign: u32,
    reported_at: Option<Instant>,
    pub(super) times: Times,
}

/// How fast an endpoint is; zero where nothing was seen yet.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Times {
    /// Seconds to compute one prompt token.
    prompt_token_s: f64,
    /// Seconds that a slot is held.
    service_s: f64,
}

/// Where a call goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Choice {
    /// To a free slot of this endpoint.
    Slot(EndpointId),
    /// Better to wait for this endpoint, until then.
    Park(EndpointId, Instant),
    /// No endpoint that the call may use is free.
    Blocked,
}

impl EndpointRow {
    pub(super) fn new(info: &EndpointInfo) -> Self {
        Self {
            slots: info.slots,
            leaving: info.leaving,
            in_flight: 0,
            health: Health::default(),
            residents: Residents::default(),
            parked: BTreeSet::new(),
            history: VecDeque::new(),
            foreign: 0,
            reported_at: None,
            times: Times::default(),
        }
    }

    /// Slots that can be given out now.
    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        if self.leaving || self.health.is_ejected(now) {
            return 0;
        }
        // After an ejection one call at a time tries whether the endpoint works again.
        let slots = if self.health.is_on_trial() {
            self.slots.min(1)
        } else {
            self.slots
        };
        slots
            .saturating_sub(self.in_flight)
            .saturating_sub(self.foreign(now))
    }

    pub(super) fn add_in_flight(&mut self, now: Instant) {
        self.in_flight += 1;
        self.remember(now);
    }

    pub(super) fn remove_in_flight(&mut self, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.remember(now);
    }

    /// Takes a load report; what it counts beyond our own calls of that time are calls of others.
    pub(super) fn note_load(&mut self, report: LoadReport, now: Instant) {
        let seen_at = now.checked_sub(report.age).unwrap_or(now);
        let own = self.in_flight_at(seen_at);
        self.foreign = (report.running + report.waiting).saturating_sub(own);
        self.reported_at = Some(seen_at);
        if report.cache_max_tokens > 0 {
            self.residents.set_max_tokens(report.cache_max_tokens);
        }
    }

    /// Learns from a call how fast the endpoint is.
    pub(super) fn note_times(&mut self, report: &Report, held_for: Duration) {
        smooth(&mut self.times.service_s, held_for.as_secs_f64());
        let computed = report.prompt_tokens.saturating_sub(report.cached_tokens);
        if let Some(first_token) = report.first_token
            && computed >= PROMPT_SAMPLE_MIN_TOKENS
        {
            smooth(
                &mut self.times.prompt_token_s,
                first_token.as_secs_f64() / tokens(computed),
            );
        }
    }

    /// Takes over from another endpoint of the pool what this one has not shown yet.
    pub(super) fn assume_times(&mut self, like: &Times) {
        if self.times.prompt_token_s == 0.0 {
            self.times.prompt_token_s = like.prompt_token_s;
        }
        if self.times.service_s == 0.0 {
            self.times.service_s = like.service_s;
        }
    }

    /// Tokens of a call's prompt that the endpoint is believed to hold.
    pub(super) fn held(&self, endpoint_id: &str, call: &Call) -> u64 {
        let Some(program_id) = &call.program_id else {
            return 0;
        };
        let known = self.residents.held(program_id).min(call.prompt_tokens);
        let served_last = call.prefix_endpoint_id.as_deref() == Some(endpoint_id);
        // Where the cache's size is known the table is complete, so a missing entry was pushed out.
        if known == 0 && served_last && self.residents.max_tokens() == 0 {
            return call.prompt_tokens * UNKNOWN_HELD_PERCENT / 100;
        }
        known
    }

    /// Seconds that placing a call here costs, apart from waiting for a slot.
    fn cost_s(&self, endpoint_id: &str, call: &Call) -> f64 {
        let held = self.held(endpoint_id, call);
        let computed = call.prompt_tokens - held;
        let pushed_out = self.pushed_out(computed + call.max_output_tokens);
        let busy = f64::from(self.in_flight) / f64::from(self.slots.max(1));
        (tokens(computed) + tokens(pushed_out) * WANTED_AGAIN) * self.prompt_token_s() + busy * BUSY_COST_S
    }

    fn prompt_token_s(&self) -> f64 {
        if self.times.prompt_token_s == 0.0 {
            FIRST_PROMPT_TOKEN_S
        } else {
            self.times.prompt_token_s
        }
    }

    /// Tokens of others that leave the cache when these are added.
    fn pushed_out(&self, added: u64) -> u64 {
        if self.residents.max_tokens() == 0 {
            return 0;
        }
        let free = self
            .residents
            .max_tokens()
            .saturating_sub(self.residents.tokens());
        added.saturating_sub(free)
    }

    /// Seconds until one more parked call would get a slot.
    fn parked_wait_s(&self) -> f64 {
        let ahead = u32::try_from(self.parked.len()).unwrap_or(u32::MAX);
        self.times.service_s * f64::from(ahead.saturating_add(1)) / f64::from(self.slots.max(1))
    }

    fn foreign(&self, now: Instant) -> u32 {
        let fresh = self
            .reported_at
            .is_some_and(|reported_at| now.saturating_duration_since(reported_at) < LOAD_AGE_MAX);
        if fresh { self.foreign } else { 0 }
    }

    fn remember(&mut self, now: Instant) {
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

/// Chooses the endpoint of a call; `may_park` is false for one that has waited for its prefix already.
pub(super) fn choose(
    endpoints: &BTreeMap<EndpointId, EndpointRow>,
    call: &Call,
    may_park: bool,
    now: Instant,
) -> Choice {
    let Some((free_id, free_cost_s)) = cheapest(endpoints, call, now, true) else {
        return Choice::Blocked;
    };
    let holder = may_park.then(|| cheapest(endpoints, call, now, false)).flatten();
    if let Some((holder_id, holder_cost_s)) = holder
        && holder_id != free_id
    {
        let saved_s = free_cost_s - holder_cost_s;
        if endpoints[holder_id].parked_wait_s() < saved_s {
            return Choice::Park(holder_id.clone(), now + seconds(saved_s));
        }
    }
    Choice::Slot(free_id.clone())
}

/// The endpoint where a call costs least, among those with a free slot or among the busy ones that
/// hold some of its prefix.
fn cheapest<'a>(
    endpoints: &'a BTreeMap<EndpointId, EndpointRow>,
    call: &Call,
    now: Instant,
    free: bool,
) -> Option<(&'a EndpointId, f64)> {
    endpoints
        .iter()
        .filter(|(id, row)| usable(id, row, call, now))
        .filter(|(id, row)| (row.free_slots(now) > 0) == free && (free || row.held(id, call) > 0))
        .map(|(id, row)| (id, row.cost_s(id, call)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
}

fn usable(endpoint_id: &EndpointId, row: &EndpointRow, call: &Call, now: Instant) -> bool {
    !row.leaving && row.health.admits(&call.account_id, now) && !call.excluded.contains(endpoint_id)
}

fn smooth(mean: &mut f64, value: f64) {
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
fn tokens(count: u64) -> f64 {
    count as f64
}
