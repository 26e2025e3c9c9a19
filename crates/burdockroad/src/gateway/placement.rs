//! Choice of a call's endpoint among all endpoints of its service.
//!
//! Load pattern: programs whose prompts grow with each call, and endpoints of different speed. Some endpoints
//! are slow, failing or without cached prompts, and other hosts place calls on the same endpoints. Endpoints
//! that share their machines change their pace many times a second, and state it in their responses. The
//! expected time to the first byte is computed for each endpoint, and the endpoint with the shortest one is
//! chosen.

mod affinity;
mod base_time;
mod choice;
mod cold_start;
mod endpoint_rate;
mod evacuated;
mod fleet;
mod pace;
mod pace_change;
mod paces;
mod rate_bucket;
mod rates;
mod region_filter;
mod row;
mod spread;

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use self::{
    base_time::ServiceTimes, cold_start::ColdStarts, fleet::Fleet, pace_change::PaceChange, row::EndpointRow,
};
pub use self::{
    cold_start::{ColdCause, ColdChange, ColdStatus},
    endpoint_rate::{EndpointUsage, RateStatement, StatedRate},
    paces::ReportedPace,
};
use crate::{
    gateway::{RegionMap, evacuation::Evacuations},
    ids::{EndpointId, HostId, RegionId, SoftwareVersion},
};

/// Expected time to the first byte before the first sample, in milliseconds.
const INITIAL_TIME_MS: f64 = 100.0;

/// Age from which a report of other hosts' calls at an endpoint is ignored.
const PEER_LOAD_AGE_MAX: Duration = Duration::from_millis(800);

/// Time for which an endpoint that said that it leaves is remembered. Endpoints leave within less.
const LEAVING_MEMORY: Duration = Duration::from_hours(1);

/// Part of a call's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, identical in every prompt that contains the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// Endpoint as registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of this run of the endpoint.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Network address.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the endpoint is draining and takes no new calls.
    pub draining: bool,
    /// Start time of this run in Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
    /// Version of its software. Events of two versions do not fit together in one stream.
    pub software_version: SoftwareVersion,
    /// Time for which the endpoint stays cold, as of its registration; zero if it is warm.
    pub cold_left: Duration,
}

/// Load that an endpoint reports with its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReading {
    /// Running calls.
    pub running: u32,
    /// Calls queued at the endpoint.
    pub waiting: u32,
    /// Time that work takes at the endpoint now, in percent of its usual time; `None` if it does not report it.
    pub pace_percent: Option<f64>,
}

/// Outcome of a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint responded.
    Responded {
        /// Time from sending the request to the first byte of the response.
        first_byte: Duration,
    },
    /// The endpoint refused the call for lack of capacity.
    Full,
    /// The endpoint failed or was unreachable.
    Failed,
    /// The caller disconnected or the call timed out, which is no evidence of an endpoint failure.
    Abandoned,
}

/// Criteria for choosing an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Service that the call is for.
    pub service: &'a str,
    /// Version of the endpoint's software, for a stream that goes on; `None` for a new call.
    pub software_version: Option<&'a SoftwareVersion>,
    /// Failure domain of this host.
    pub failure_domain: &'a str,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Endpoints already tried for this call.
    pub tried: &'a [EndpointId],
    /// Endpoints that are chosen only if no other one is left.
    pub avoided: &'a [EndpointId],
    /// Maximum number of this host's calls at one endpoint.
    pub in_flight_max: u32,
    /// Whether the call is placed for the first time. Only then it counts as demand.
    pub is_first: bool,
    /// Key of the object that the call concerns, on a sticky route. Calls with one key prefer the same endpoint.
    pub affinity_key: Option<&'a str>,
    /// Regions in which the call's endpoint must be; `None` if any region is allowed.
    pub allowed_regions: Option<&'a [RegionId]>,
}

/// Endpoint chosen for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Chosen endpoint.
    pub endpoint: Endpoint,
    /// Expected time to the first byte of the response, in milliseconds.
    pub expected_ms: f64,
    /// Pace expected at the endpoint, in percent of its usual time; `None` if it does not state it.
    pub pace_percent: Option<f64>,
    /// Estimate of the calls running or queued at the endpoint.
    pub load: u32,
    /// Position of the endpoint in the order of the call's affinity key, 0 for the first one; `None` without a key.
    pub affinity_position: Option<usize>,
}

/// Calls of one host at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCalls {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Running and queued calls.
    pub calls: u32,
}

/// Endpoints of all services, with this host's estimate of their load.
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// Sorted, so that the same inputs give the same choice.
    rows: BTreeMap<EndpointId, EndpointRow>,
    /// Endpoints that said themselves that they leave, with the start time of the run that said so. It outlives
    /// their rows, because an entry that expired may come back.
    leaving: HashMap<EndpointId, LeavingRun>,
    /// Failure domains whose endpoints take no calls, whether or not they are known.
    evacuations: Evacuations,
    peers: HashMap<HostId, PeerCalls>,
    fleet: Fleet,
    regions: Arc<RegionMap>,
    /// Changes of the paces of each service whose endpoints state them.
    pace_changes: HashMap<String, PaceChange>,
    cold_starts: ColdStarts,
}

/// A run of an endpoint that said that it leaves.
#[derive(Debug)]
struct LeavingRun {
    started_unix_ms: u64,
    said_at: Instant,
}

/// Calls of one other host.
#[derive(Debug)]
struct PeerCalls {
    /// Reported calls at those endpoints that the table contained at the time of the report.
    reported: Vec<EndpointCalls>,
    reported_at: Instant,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates an endpoint. A new run of an endpoint starts with an empty cache.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let evacuated = self.evacuations.contains(&endpoint.failure_domain);
        let cold_start = self.cold_starts.get(&endpoint.service);
        match self.rows.get_mut(&endpoint.id) {
            Some(row)
                if row.endpoint.started_unix_ms == endpoint.started_unix_ms
                    && row.endpoint.address == endpoint.address =>
            {
                row.endpoint = endpoint;
                row.evacuated = evacuated;
                row.rate.cold.set_cold_start(cold_start);
            }
            previous => {
                let cold = previous.map(|row| row.rate.cold.clone()).unwrap_or_default();
                let mut row = EndpointRow::new(endpoint);
                row.rate.cold = cold;
                row.rate.cold.set_cold_start(cold_start);
                row.leaving = self.is_leaving(&row.endpoint);
                row.evacuated = evacuated;
                self.rows.insert(row.endpoint.id.clone(), row);
            }
        }
    }

    /// Records that an endpoint said that it leaves. Its run takes no new calls from then on, whatever its entry
    /// says. Returns whether it said so for the first time.
    pub fn record_leaving(&mut self, id: &str, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|row| !row.leaving) else {
            return false;
        };
        row.leaving = true;
        let run = LeavingRun {
            started_unix_ms: row.endpoint.started_unix_ms,
            said_at: now,
        };
        self.leaving.retain(|_, run| now < run.said_at + LEAVING_MEMORY);
        self.leaving.insert(id.to_owned(), run);
        true
    }

    fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        let run = self.leaving.get(&endpoint.id);
        run.is_some_and(|run| run.started_unix_ms == endpoint.started_unix_ms)
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.rows.remove(id);
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// Returns the ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.rows.keys()
    }

    /// Returns the number of a service's endpoints that take new calls, or that streams of a version can go
    /// on at.
    pub fn usable(&self, service: &str, version: Option<&SoftwareVersion>) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.endpoint.service == service && row.takes_calls())
            .filter(|row| row.has_version(version))
            .count()
    }

    /// Returns the software versions of a service's endpoints, one for each endpoint.
    pub fn software_versions(&self, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        let rows = self.rows.values();
        rows.filter(move |row| row.endpoint.service == service)
            .map(|row| &row.endpoint.software_version)
    }

    /// Returns the services that have endpoints.
    pub fn services(&self) -> BTreeSet<&str> {
        let rows = self.rows.values();
        rows.map(|row| row.endpoint.service.as_str()).collect()
    }

    /// Returns the calls per slot of a service's endpoints; 0 if it has none.
    ///
    /// Endpoints that get as many calls as they state to take are left out, as are cold ones that this host may not
    /// send to: their free slots take no more calls. Calls that still run in evacuated failure domains count against
    /// the slots that are left, because the next calls of their programs go there. The result is 1 if there are only
    /// endpoints of these kinds.
    pub fn load_per_slot(&self, service: &str, now: Instant) -> f64 {
        self.load_per_slot_in(None, service, now)
    }

    /// Returns the calls per slot, as [`load_per_slot`](Self::load_per_slot), of a service's endpoints in allowed
    /// regions.
    pub fn load_per_slot_in(&self, allowed: Option<&[RegionId]>, service: &str, now: Instant) -> f64 {
        let rows = self.rows.values();
        let rows = rows
            .filter(|row| row.endpoint.service == service)
            .filter(|row| self.allows(row, allowed));
        let (evacuated, others): (Vec<_>, Vec<_>) = rows.partition(|row| row.evacuated);
        let usable = others.into_iter().filter(|row| row.takes_calls());
        let (exhausted, open): (Vec<_>, Vec<_>) = usable.partition(|row| row.rate.is_exhausted(now));
        let slots = saturating_sum(open.iter().map(|row| row.endpoint.slots));
        if slots == 0 {
            let is_idle = exhausted.is_empty() && evacuated.is_empty();
            return if is_idle { 0.0 } else { 1.0 };
        }
        let load = saturating_sum(open.iter().chain(&evacuated).map(|row| row.load(now)));
        f64::from(load) / f64::from(slots)
    }

    /// Returns the number of this host's calls at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.rows.get(id).map_or(0, |row| row.in_flight)
    }

    /// Returns this host's calls at each endpoint that has any.
    pub fn all_in_flight(&self) -> Vec<EndpointCalls> {
        let busy = self.rows.iter().filter(|(_, row)| row.in_flight > 0);
        busy.map(|(id, row)| EndpointCalls {
            endpoint: id.clone(),
            calls: row.in_flight,
        })
        .collect()
    }

    /// Counts a call as started at an endpoint, and marks the call's prompt as cached there.
    pub fn start_call(&mut self, id: &str, parts: &[PromptPart]) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight += 1;
            row.rate.record_sent();
            for part in parts {
                row.cache_part(part.id);
            }
        }
    }

    /// Counts a call as ended at an endpoint.
    pub fn end_call(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.record_outcome(outcome, now);
        }
    }

    /// Records the load reported by an endpoint. Calls in excess of this host's own calls are counted as calls
    /// of other hosts. The outcome of the call with whose response the load arrived is recorded next, with the
    /// same `now`, so that its time is related to the pace at which the endpoint worked.
    pub fn record_load(&mut self, id: &str, load: LoadReading, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            let calls = load.running.saturating_add(load.waiting);
            row.peer_calls = calls.saturating_sub(row.in_flight);
            row.peer_calls_at = Some(now);
        }
        if let Some(pace_percent) = load.pace_percent {
            self.record_own_pace(id, pace_percent, now);
        }
    }

    /// Records another host's calls at each endpoint. Endpoints missing from the report have no calls of that
    /// host.
    pub fn record_peer(&mut self, host: &HostId, in_flight: &[EndpointCalls], now: Instant) {
        self.fleet.record_report(host, now);
        let stale = self
            .peers
            .extract_if(|other, peer| other == host || now >= peer.reported_at + PEER_LOAD_AGE_MAX);
        for (_, peer) in stale {
            for endpoint_calls in peer.reported {
                if let Some(row) = self.rows.get_mut(&endpoint_calls.endpoint) {
                    row.reported_calls = row.reported_calls.saturating_sub(endpoint_calls.calls);
                }
            }
        }
        let mut reported = in_flight.to_vec();
        reported.retain(
            |endpoint_calls| match self.rows.get_mut(&endpoint_calls.endpoint) {
                Some(row) => {
                    row.reported_calls = row.reported_calls.saturating_add(endpoint_calls.calls);
                    true
                }
                None => false,
            },
        );
        self.peers.insert(
            host.clone(),
            PeerCalls {
                reported,
                reported_at: now,
            },
        );
        for row in self.rows.values_mut() {
            row.peer_calls = row.reported_calls;
            row.peer_calls_at = Some(now);
        }
    }

    fn service_times(&self, service: &str, now: Instant) -> ServiceTimes {
        ServiceTimes {
            mean_ms: self.service_mean_ms(service),
            lacks_reports: self.lacks_reports(now),
        }
    }

    fn service_mean_ms(&self, service: &str) -> f64 {
        if self.pace_changes.contains_key(service) {
            return self.usual_mean_ms(service);
        }
        let measured = self
            .rows
            .values()
            .filter(|row| row.endpoint.service == service && row.sampled_at.is_some());
        let (count, sum) = measured.fold((0.0, 0.0), |(count, sum), row| {
            (count + 1.0, sum + row.mean_first_byte_ms)
        });
        if count > 0.0 { sum / count } else { INITIAL_TIME_MS }
    }
}

/// Returns the sum of numbers that entries, endpoints or other hosts state, at most the largest number.
fn saturating_sum(numbers: impl Iterator<Item = u32>) -> u32 {
    numbers.fold(0, u32::saturating_add)
}
