//! Requests that crash the endpoints that run them.
//!
//! Load pattern: a request crashes each endpoint that begins to run it, and comes again, through any host. Each
//! crash also ends the calls that ran beside it, which move on to other endpoints together with the culprit.
//!
//! The culprit is told from these by what all hosts saw together. It is a suspect of each crash and never has
//! output, while a sound request has some sooner or later, which clears it. A request is quarantined when
//! [`CRASHES_MIN`] crashes in succession may be its fault and no other request is as suspicious. Requests that
//! begin in the same way are quarantined together after a few more crashes of several of them, while
//! none of them has output.

mod crash;
mod evaluation;
mod request_key;
mod sharing;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use self::crash::Crash;
pub use self::{
    crash::{CrashReport, Suspect},
    request_key::{RequestIdentity, RequestKey},
    sharing::{ClearedSuspect, QuarantineReport, QuarantinedRequest},
};
use crate::ids::EndpointId;

/// Number of crashes in succession after which a request is quarantined. Two may be a coincidence when several
/// endpoints crash for another reason.
const CRASHES_MIN: usize = 3;

/// Time from a crash until it is evaluated, in which the hosts report what they had running at the endpoint.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Time for which a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_mins(10);

/// Maximum number of crashes that are remembered.
const CRASHES_MAX: usize = 256;

/// Time for which a request is quarantined at first. It doubles each time that the request crashes an endpoint
/// afterwards.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// Longest time for which a request is quarantined.
const QUARANTINE_TIME_MAX: Duration = Duration::from_hours(2);

/// Time after a quarantine in which a single crash renews it.
const PROBATION_TIME: Duration = Duration::from_hours(1);

/// Maximum number of quarantined requests of one account, so that no account displaces those of another.
const QUARANTINED_MAX: usize = 64;

/// Maximum number of suspects that are remembered as cleared.
const CLEARED_MAX: usize = 1024;

/// Action on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// It may be sent to an endpoint.
    Admit,
    /// It may have crashed endpoints, and whether it did is decided after this time.
    Hold {
        /// Time until the decision.
        wait: Duration,
    },
    /// It is quarantined.
    Refuse {
        /// Time until the quarantine ends.
        retry_after: Duration,
    },
}

/// Requests that crash endpoints, by what all hosts saw.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use burdockroad::gateway::{CrashReport, Quarantine, RequestIdentity, RunDecision, Suspect};
///
/// let start = Instant::now();
/// let request = RequestIdentity::new("acme", "POST", "/plan/1", b"body");
/// let mut quarantine = Quarantine::default();
/// for number in 0..3 {
///     let suspect = Suspect {
///         request: request.clone(),
///         ran: Duration::from_millis(80),
///     };
///     let report = CrashReport {
///         endpoint: format!("e-{number}"),
///         at: start + Duration::from_secs(number),
///         suspects: vec![suspect],
///     };
///     quarantine.record_crash(report);
/// }
/// let now = start + Duration::from_secs(3);
/// assert_eq!(quarantine.evaluate(now), [request.equal.clone()]);
/// assert!(matches!(quarantine.decide(&request, now), RunDecision::Refuse { .. }));
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    quarantined: BTreeMap<RequestKey, Entry>,
    /// Requests that were suspects until an endpoint sent output of them.
    cleared: HashMap<RequestKey, Cleared>,
    /// This host's runs of requests that should run apart, by endpoint.
    suspect_runs: HashMap<EndpointId, u32>,
    /// Position up to which this host has shared the crashes and the quarantined requests.
    shared_up_to: SharedUpTo,
}

/// Quarantine of one request.
#[derive(Clone, Copy, Debug)]
struct Entry {
    since: Instant,
    until: Instant,
    /// Number of times that the request was quarantined.
    rounds: u32,
}

#[derive(Clone, Copy, Debug)]
struct Cleared {
    at: Instant,
    sends_left: u32,
}

/// Where the next report of this host continues.
#[derive(Debug, Default)]
struct SharedUpTo {
    crash: usize,
    request: Option<RequestKey>,
}

impl Quarantine {
    /// Returns whether no request is suspect or quarantined, so that no decision is needed.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty()
    }

    /// Returns the number of requests that are quarantined.
    pub fn quarantined_count(&self, now: Instant) -> usize {
        let active = self.quarantined.values().filter(|entry| now < entry.until);
        active.count()
    }

    /// Returns the number of crashes that are remembered.
    pub fn remembered_crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Records a crash that this host saw, and announces it in the following reports.
    pub fn record_crash(&mut self, report: CrashReport) {
        self.merge_crash(report, sharing::SENDS);
    }

    /// Returns what to do with a request. Settled crashes have to be [evaluated](Self::evaluate) before.
    pub fn decide(&self, request: &RequestIdentity, now: Instant) -> RunDecision {
        let keys = [&request.equal, &request.similar];
        let until = keys.iter().filter_map(|key| self.quarantined_until(key, now));
        if let Some(until) = until.max() {
            return RunDecision::Refuse {
                retry_after: until.saturating_duration_since(now),
            };
        }
        let last_crash = keys.iter().filter_map(|key| self.last_of_repeated_crashes(key));
        let settles_at = last_crash.map(|at| at + SETTLING_TIME);
        match settles_at.max() {
            Some(settles_at) if now < settles_at => RunDecision::Hold {
                wait: settles_at.saturating_duration_since(now),
            },
            _ => RunDecision::Admit,
        }
    }

    /// Returns the end of the quarantine of a key's requests; `None` if they are not quarantined.
    fn quarantined_until(&self, key: &RequestKey, now: Instant) -> Option<Instant> {
        let entry = self.quarantined.get(key)?;
        (now < entry.until).then_some(entry.until)
    }

    /// Returns whether the request should run apart from other suspects, so that the next crash tells them apart.
    ///
    /// After a single crash it should not: sound requests would miss the endpoints that suit them best.
    pub fn should_run_apart(&self, request: &RequestIdentity) -> bool {
        let mut keys = [&request.equal, &request.similar].into_iter();
        keys.any(|key| self.last_of_repeated_crashes(key).is_some())
    }

    /// Returns the time of the last crash that may be the fault of a key's requests, if one more is enough to
    /// quarantine a request.
    fn last_of_repeated_crashes(&self, key: &RequestKey) -> Option<Instant> {
        let runs = self.crashed_runs(key);
        let last = runs.last().filter(|_| runs.len() + 1 >= CRASHES_MIN)?;
        Some(last.crashed_at)
    }

    /// Returns whether a crash may be the fault of the request or of similar ones.
    pub fn is_suspect(&self, request: &RequestIdentity) -> bool {
        let mut keys = [&request.equal, &request.similar].into_iter();
        keys.any(|key| self.crashes.iter().any(|crash| crash.run_of(key).is_some()))
    }

    /// Evaluates the crashes that have settled, and returns the requests that are quarantined from now on.
    pub fn evaluate(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut quarantined = Vec::new();
        for index in 0..self.crashes.len() {
            let crash = &self.crashes[index];
            if crash.evaluated || now < crash.at + SETTLING_TIME {
                continue;
            }
            let culprits = self.culprits_of(crash);
            self.crashes[index].evaluated = true;
            for culprit in culprits {
                if self.quarantine(&culprit, now) {
                    quarantined.push(culprit);
                }
            }
        }
        quarantined
    }

    /// Records that an endpoint sent output of a request. Earlier crashes are then not its fault, and not that of
    /// what it has in common with similar ones. Returns whether it was a suspect.
    pub fn record_output(&mut self, request: &RequestIdentity, now: Instant) -> bool {
        let was_suspect = self.is_suspect(request);
        if was_suspect {
            self.clear(&request.equal, now, sharing::SENDS);
            self.clear(&request.similar, now, sharing::SENDS);
        }
        was_suspect
    }

    /// Counts a run of a request that [should run apart](Self::should_run_apart) as started at an endpoint.
    pub fn start_run(&mut self, endpoint: &EndpointId) {
        *self.suspect_runs.entry(endpoint.clone()).or_default() += 1;
    }

    /// Counts such a run as ended at an endpoint.
    pub fn end_run(&mut self, endpoint: &EndpointId) {
        if let Some(runs) = self.suspect_runs.get_mut(endpoint) {
            *runs = runs.saturating_sub(1);
        }
        self.suspect_runs.retain(|_, runs| *runs > 0);
    }

    /// Returns the endpoints of such runs of this host. Another one is sent elsewhere.
    pub fn endpoints_with_suspects(&self) -> Vec<EndpointId> {
        self.suspect_runs.keys().cloned().collect()
    }

    /// Evicts what is no longer remembered.
    pub fn evict_expired(&mut self, now: Instant) {
        self.crashes.retain(|crash| now < crash.at + CRASH_MEMORY);
        self.cleared.retain(|_, cleared| now < cleared.at + CRASH_MEMORY);
        self.quarantined
            .retain(|_, entry| now < entry.until + PROBATION_TIME);
    }

    fn merge_crash(&mut self, report: CrashReport, sends: u32) {
        let at = report.at;
        let known = self.crashes.iter().position(|crash| crash.is_same(&report));
        let index = known.unwrap_or_else(|| {
            if self.crashes.len() >= CRASHES_MAX {
                self.crashes.pop_front();
            }
            self.crashes.push_back(Crash::new(report.endpoint, at, sends));
            self.crashes.len() - 1
        });
        let crash = &mut self.crashes[index];
        crash.at = crash.at.min(at);
        let requests: Vec<RequestIdentity> = report
            .suspects
            .iter()
            .map(|suspect| suspect.request.clone())
            .collect();
        if crash.add(report.suspects) {
            crash.sends_left = crash.sends_left.max(sends);
        }
        for key in requests
            .iter()
            .flat_map(|request| [&request.equal, &request.similar])
        {
            if self.cleared.get(key).is_some_and(|cleared| cleared.at >= at) {
                crash.clear(key);
            }
        }
    }

    /// Quarantines a request, and attributes all crashes to it that may be its fault. Returns whether it was not
    /// quarantined before.
    fn quarantine(&mut self, key: &RequestKey, now: Instant) -> bool {
        for crash in &mut self.crashes {
            if crash.culprit.is_none() && crash.run_of(key).is_some() {
                crash.culprit = Some(key.clone());
            }
        }
        let former = self.quarantined.get(key).copied();
        if former.is_some_and(|entry| now < entry.until) {
            return false;
        }
        let rounds = former.map_or(0, |entry| entry.rounds);
        let time = QUARANTINE_TIME * 2_u32.pow(rounds.min(8));
        let entry = Entry {
            since: now,
            until: now + time.min(QUARANTINE_TIME_MAX),
            rounds: rounds + 1,
        };
        self.insert(key.clone(), entry);
        true
    }

    /// Inserts an entry. When the account has too many, its oldest one is evicted.
    fn insert(&mut self, key: RequestKey, entry: Entry) {
        let of_account = self
            .quarantined
            .iter()
            .filter(|(other, _)| other.account == key.account && **other != key);
        if of_account.clone().count() >= QUARANTINED_MAX {
            let oldest = of_account.min_by_key(|(_, entry)| entry.since);
            if let Some(oldest) = oldest.map(|(oldest, _)| oldest.clone()) {
                self.quarantined.remove(&oldest);
            }
        }
        self.quarantined.insert(key, entry);
    }

    /// Clears a request of all crashes up to a time.
    fn clear(&mut self, key: &RequestKey, cleared_at: Instant, sends: u32) {
        let earlier = self.crashes.iter_mut().filter(|crash| crash.at <= cleared_at);
        earlier.for_each(|crash| crash.clear(key));
        self.quarantined.remove(key);
        if self.cleared.len() >= CLEARED_MAX {
            let oldest = self.cleared.iter().min_by_key(|(_, cleared)| cleared.at);
            if let Some(oldest) = oldest.map(|(oldest, _)| oldest.clone()) {
                self.cleared.remove(&oldest);
            }
        }
        let cleared = Cleared {
            at: cleared_at,
            sends_left: sends,
        };
        self.cleared.insert(key.clone(), cleared);
    }
}
