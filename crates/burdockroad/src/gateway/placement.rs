//! Choice of the endpoint of a call, over all endpoints of its service.
//!
//! Load pattern: turns of programs whose prompts grow, over endpoints that differ in speed, some of them
//! slow, failing or cold, while other hosts place calls on the same endpoints. Each endpoint is given the
//! time that the call is expected to take there; the shortest wins.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::ids::{EndpointId, HostId};

/// Weight of the latest call in means of times.
const TIME_SMOOTHING: f64 = 0.15;

/// Time after which an endpoint's own mean is half forgotten, so that a slow one is tried again.
const TIME_HALF_LIFE: Duration = Duration::from_secs(3);

/// Expected time of a call before any was seen, in milliseconds.
const FIRST_TIME_MS: f64 = 100.0;

/// Part by which a call takes longer on an endpoint whose slots are all taken.
const CROWDING: f64 = 0.25;

/// Time to compute one prompt token that the endpoint does not hold, in milliseconds.
const PROMPT_TOKEN_MS: f64 = 0.008;

/// Largest part of the expected time by which choices are spread.
const SPREAD_PART: f64 = 0.06;

/// What a way to another failure domain counts, in milliseconds.
const OTHER_DOMAIN_MS: f64 = 3.0;

/// Age from which what others place on an endpoint says nothing.
const FOREIGN_AGE_MAX: Duration = Duration::from_millis(800);

/// First time for which an endpoint is passed over after failing; it doubles with each further failure.
const EJECTION_FIRST: Duration = Duration::from_millis(400);

/// Longest time for which an endpoint is passed over.
const EJECTION_MAX: Duration = Duration::from_secs(4);

/// Prompt parts remembered for one endpoint.
const HELD_PARTS_MAX: usize = 1500;

/// One part of a call's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, the same wherever the part is.
    pub id: u64,
    /// Its length.
    pub tokens: u32,
}

/// One endpoint, as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of this run of the endpoint.
    pub id: EndpointId,
    /// Service that it belongs to.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it is going and gets no new calls.
    pub leaving: bool,
    /// Start of this run, in milliseconds of the Unix time; 0 when it is not told.
    pub started_unix_ms: u64,
}

/// Load that an endpoint's answer tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadReading {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait there.
    pub waiting: u32,
}

/// How a call at an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// It was answered; the time is from sending to the first byte of the answer.
    Answered {
        /// Time to the first byte.
        first_byte: Duration,
    },
    /// The endpoint had no room.
    Full,
    /// The endpoint failed or could not be reached.
    Failed,
    /// The caller left, or the time was over; this says nothing of the endpoint.
    Abandoned,
}

/// What a call wants of its endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// Service that the call goes to.
    pub service: &'a str,
    /// Failure domain of this host.
    pub failure_domain: &'a str,
    /// Parts of the prompt, the first in front.
    pub parts: &'a [PromptPart],
    /// Endpoints that the call has been to.
    pub tried: &'a [EndpointId],
    /// Calls that this host may have at one endpoint.
    pub in_flight_max: u32,
}

/// Endpoint chosen for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Time that the call is expected to take to its first byte, in milliseconds.
    pub expected_ms: f64,
    /// Calls running or waiting there, as far as known.
    pub load: u32,
}

/// Calls of one host at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCalls {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Calls that run or wait there.
    pub calls: u32,
}

/// All endpoints, and what this host knows of their load.
#[derive(Debug, Default)]
pub struct EndpointTable {
    rows: HashMap<EndpointId, Row>,
    peers: HashMap<HostId, PeerCalls>,
}

/// Calls of one other host.
#[derive(Debug)]
struct PeerCalls {
    /// What it told of endpoints that were known then.
    told: Vec<EndpointCalls>,
    heard_at: Instant,
}

#[derive(Debug)]
struct Row {
    endpoint: Endpoint,
    in_flight: u32,
    /// Calls of other hosts, as last told by the endpoint or by them.
    foreign: u32,
    /// Sum of what the other hosts last told; it changes by what each tells, since a sum over all hosts for
    /// each report would take the square of their number.
    told: u32,
    foreign_at: Option<Instant>,
    mean_ms: f64,
    mean_at: Option<Instant>,
    failures: u32,
    ejected_until: Option<Instant>,
    held: HashSet<u64>,
    held_order: VecDeque<u64>,
}

impl EndpointTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an endpoint, or changes what is known of it; a new run of it begins with nothing held.
    pub fn insert(&mut self, endpoint: Endpoint) {
        match self.rows.get_mut(&endpoint.id) {
            Some(row)
                if row.endpoint.started_unix_ms == endpoint.started_unix_ms
                    && row.endpoint.address == endpoint.address =>
            {
                row.endpoint = endpoint;
            }
            _ => {
                self.rows.insert(endpoint.id.clone(), Row::new(endpoint));
            }
        }
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.rows.remove(id);
    }

    /// An endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// Ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.rows.keys()
    }

    /// Endpoints that take new calls.
    pub fn usable(&self, service: &str) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.endpoint.service == service && !row.endpoint.leaving)
            .count()
    }

    /// Calls for each slot of a service's endpoints; 0 when it has none.
    pub fn load_per_slot(&self, service: &str, now: Instant) -> f64 {
        let rows = self.rows.values();
        let usable = rows.filter(|row| row.endpoint.service == service && !row.endpoint.leaving);
        let (load, slots) = usable.fold((0, 0), |(load, slots), row| {
            (load + row.load(now), slots + row.endpoint.slots)
        });
        if slots == 0 {
            return 0.0;
        }
        f64::from(load) / f64::from(slots)
    }

    /// Calls of this host at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.rows.get(id).map_or(0, |row| row.in_flight)
    }

    /// Calls of this host at each endpoint that has any.
    pub fn all_in_flight(&self) -> Vec<EndpointCalls> {
        let busy = self.rows.iter().filter(|(_, row)| row.in_flight > 0);
        busy.map(|(id, row)| EndpointCalls {
            endpoint: id.clone(),
            calls: row.in_flight,
        })
        .collect()
    }

    /// Chooses the endpoint with the shortest expected time; none when no endpoint is left to try.
    ///
    /// `spread` is a random number below 1, which parts endpoints that are alike. Endpoints that failed of
    /// late are used only when no other is left.
    pub fn choose(&self, query: Query<'_>, spread: u64, now: Instant) -> Option<Placement> {
        let service_mean_ms = self.service_mean_ms(query.service);
        let candidates = self
            .rows
            .values()
            .filter(|row| row.endpoint.service == query.service)
            .filter(|row| !row.endpoint.leaving && !query.tried.contains(&row.endpoint.id))
            .filter(|row| row.in_flight < query.in_flight_max);
        let costed = candidates.map(|row| {
            let cost_ms = row.cost_ms(&query, service_mean_ms, now) + row.spread_ms(spread);
            (row.is_ejected(now), cost_ms, row)
        });
        let best = costed.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(_, expected_ms, row)| Placement {
            endpoint: row.endpoint.clone(),
            expected_ms,
            load: row.load(now),
        })
    }

    /// Counts a call that goes to an endpoint, which from then on is taken to hold its prompt.
    pub fn begin(&mut self, id: &str, parts: &[PromptPart]) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight += 1;
            for part in parts {
                row.hold(part.id);
            }
        }
    }

    /// Counts a call that has ended at an endpoint.
    pub fn end(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Learns from how a call went.
    pub fn note_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.note_outcome(outcome, now);
        }
    }

    /// Takes an endpoint's word of its load; what it counts beyond our calls are calls of others.
    pub fn note_load(&mut self, id: &str, load: LoadReading, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.foreign = (load.running + load.waiting).saturating_sub(row.in_flight);
            row.foreign_at = Some(now);
        }
    }

    /// Takes another host's word of its calls at each endpoint; those that it does not name have none.
    pub fn note_peer(&mut self, host: &HostId, in_flight: &[EndpointCalls], now: Instant) {
        let stale = self
            .peers
            .extract_if(|other, peer| other == host || now >= peer.heard_at + FOREIGN_AGE_MAX);
        for (_, peer) in stale {
            for told in peer.told {
                if let Some(row) = self.rows.get_mut(&told.endpoint) {
                    row.told = row.told.saturating_sub(told.calls);
                }
            }
        }
        let mut told = in_flight.to_vec();
        told.retain(|told| match self.rows.get_mut(&told.endpoint) {
            Some(row) => {
                row.told += told.calls;
                true
            }
            None => false,
        });
        self.peers.insert(host.clone(), PeerCalls { told, heard_at: now });
        for row in self.rows.values_mut() {
            row.foreign = row.told;
            row.foreign_at = Some(now);
        }
    }

    fn service_mean_ms(&self, service: &str) -> f64 {
        let known = self
            .rows
            .values()
            .filter(|row| row.endpoint.service == service && row.mean_at.is_some());
        let (count, sum) = known.fold((0.0, 0.0), |(count, sum), row| (count + 1.0, sum + row.mean_ms));
        if count > 0.0 { sum / count } else { FIRST_TIME_MS }
    }
}

impl Row {
    fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            in_flight: 0,
            foreign: 0,
            told: 0,
            foreign_at: None,
            mean_ms: FIRST_TIME_MS,
            mean_at: None,
            failures: 0,
            ejected_until: None,
            held: HashSet::new(),
            held_order: VecDeque::new(),
        }
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn load(&self, now: Instant) -> u32 {
        let fresh = self.foreign_at.is_some_and(|at| now < at + FOREIGN_AGE_MAX);
        self.in_flight + if fresh { self.foreign } else { 0 }
    }

    /// Expected time to the first byte of the call's answer.
    fn cost_ms(&self, query: &Query<'_>, service_mean_ms: f64, now: Instant) -> f64 {
        let mean_ms = self.faded_mean_ms(service_mean_ms, now);
        let slots = f64::from(self.endpoint.slots.max(1));
        let load = f64::from(self.load(now));
        let crowding = mean_ms * CROWDING * (load / slots).min(1.0);
        let waves = ((load + 1.0 - slots) / slots).max(0.0);
        let missing = self.missing_tokens(query.parts);
        let way_ms = if self.endpoint.failure_domain == query.failure_domain {
            0.0
        } else {
            OTHER_DOMAIN_MS
        };
        mean_ms + crowding + waves * service_mean_ms.max(mean_ms) * 2.0 + missing * PROMPT_TOKEN_MS + way_ms
    }

    fn faded_mean_ms(&self, service_mean_ms: f64, now: Instant) -> f64 {
        let Some(at) = self.mean_at else {
            return service_mean_ms;
        };
        let age = now.saturating_duration_since(at).as_secs_f64() / TIME_HALF_LIFE.as_secs_f64();
        service_mean_ms + (self.mean_ms - service_mean_ms) * 0.5_f64.powf(age)
    }

    /// Prompt tokens behind the longest run of parts that is held.
    fn missing_tokens(&self, parts: &[PromptPart]) -> f64 {
        let missing = parts.iter().skip_while(|part| self.held.contains(&part.id));
        missing.map(|part| f64::from(part.tokens)).sum()
    }

    /// A small part of the expected time, other for each endpoint and call: hosts that know the same would
    /// else all choose the same endpoint.
    fn spread_ms(&self, spread: u64) -> f64 {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(self.endpoint.id.as_bytes(), spread);
        let steps = u32::try_from(hash % 1024).unwrap_or(0);
        f64::from(steps) / 1024.0 * self.mean_ms * SPREAD_PART
    }

    fn hold(&mut self, part: u64) {
        if !self.held.insert(part) {
            return;
        }
        self.held_order.push_back(part);
        if self.held_order.len() > HELD_PARTS_MAX
            && let Some(oldest) = self.held_order.pop_front()
        {
            self.held.remove(&oldest);
        }
    }

    fn note_outcome(&mut self, outcome: Outcome, now: Instant) {
        match outcome {
            Outcome::Answered { first_byte } => {
                let sample_ms = first_byte.as_secs_f64() * 1000.0;
                if self.mean_at.is_none() {
                    self.mean_ms = sample_ms;
                }
                self.mean_ms += (sample_ms - self.mean_ms) * TIME_SMOOTHING;
                self.mean_at = Some(now);
                self.failures = 0;
                self.ejected_until = None;
            }
            Outcome::Failed => {
                let doubled = EJECTION_FIRST * 2_u32.pow(self.failures.min(8));
                self.failures += 1;
                self.ejected_until = Some(now + doubled.min(EJECTION_MAX));
            }
            Outcome::Full => {
                self.foreign = self.foreign.max(self.endpoint.slots * 2);
                self.foreign_at = Some(now);
            }
            Outcome::Abandoned => {}
        }
    }
}
