//! Requests that crash the endpoints that run them.
//!
//! Load pattern: a request crashes each endpoint that begins to run it, and comes again, through any host. Each
//! crash also ends the calls that ran beside it, which move on to other endpoints together with the culprit.
//!
//! The culprit is told from these by what all hosts saw together. It is a suspect of each crash and never has
//! output, while a sound request has some sooner or later, which clears it. A request is quarantined when
//! [`CRASHES_MIN`] crashes in succession may be its fault and no other request is as suspicious. Requests that
//! begin in the same way are quarantined together after [`SIMILAR_CRASHES_MIN`] crashes of several of them, while
//! none of them is served.

mod crash;
mod request_key;
mod sharing;

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::{Duration, Instant},
};

use self::crash::{Crash, CrashedRun};
pub use self::{
    crash::{CrashReport, Suspect},
    request_key::{RequestIdentity, RequestKey},
    sharing::{QuarantineReport, QuarantinedRequest, ServedSuspect},
};
use crate::ids::EndpointId;

/// Number of crashes in succession after which a request is quarantined. Two may be a coincidence when several
/// endpoints crash for another reason.
const CRASHES_MIN: usize = 3;

/// Number of crashes in succession after which similar requests are quarantined together. It is higher, because a
/// sound one among them may have run beside the crash of another endpoint.
const SIMILAR_CRASHES_MIN: usize = 5;

/// Number of other crashes that add one to the crashes after which a request is quarantined. When endpoints crash
/// often for other reasons, a sound request may meet several of these.
const OTHER_CRASHES_STEP: usize = 2;

/// Maximum number of crashes that this adds.
const ADDED_CRASHES_MAX: usize = 5;

/// Time before the last crash of a request in which other crashes are counted.
const OTHER_CRASHES_WINDOW: Duration = Duration::from_secs(10);

/// Time within which crashes of several endpoints have a common cause.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(30);

/// Time from a crash until it is judged, in which the hosts report what they had running at the endpoint.
const SETTLING_TIME: Duration = Duration::from_millis(300);

/// Time for which a crash is remembered.
const CRASH_MEMORY: Duration = Duration::from_mins(10);

/// Maximum number of crashes that are remembered.
const CRASHES_MAX: usize = 256;

/// Time by which a run may begin before an earlier crash and still count as its successor, because hosts learn
/// of a crash at slightly different times.
const OVERLAP_MAX: Duration = Duration::from_millis(10);

/// Time for which a request is quarantined at first. It doubles each time that the request crashes an endpoint
/// afterwards.
const QUARANTINE_TIME: Duration = Duration::from_mins(10);

/// Longest time for which a request is quarantined.
const QUARANTINE_TIME_MAX: Duration = Duration::from_hours(2);

/// Time after a quarantine in which a single crash renews it.
const PROBATION_TIME: Duration = Duration::from_hours(1);

/// Maximum number of quarantined requests of one account, so that no account displaces those of another.
const QUARANTINED_MAX: usize = 64;

/// Maximum number of suspects that are remembered as served.
const SERVED_MAX: usize = 1024;

/// Action on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
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
/// use burdockroad::gateway::{CrashReport, Quarantine, RequestIdentity, Suspect, Verdict};
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
/// assert_eq!(quarantine.judge(now), [request.equal.clone()]);
/// assert!(matches!(quarantine.verdict(&request, now), Verdict::Refuse { .. }));
/// ```
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    quarantined: BTreeMap<RequestKey, Entry>,
    /// Suspects that were served, with the time of their last output.
    served: HashMap<RequestKey, Served>,
    /// This host's runs of suspects, by endpoint.
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
struct Served {
    at: Instant,
    sends_left: u32,
}

/// Where the next report of this host goes on.
#[derive(Debug, Default)]
struct SharedUpTo {
    crash: usize,
    request: Option<RequestKey>,
}

impl Quarantine {
    /// Returns whether no request is suspect or quarantined, so that no verdict is needed.
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

    /// Returns what to do with a request. Settled crashes have to be [judged](Self::judge) before.
    pub fn verdict(&self, request: &RequestIdentity, now: Instant) -> Verdict {
        let keys = [&request.equal, &request.similar];
        let until = keys.iter().filter_map(|key| self.quarantined_until(key, now));
        if let Some(until) = until.max() {
            return Verdict::Refuse {
                retry_after: until.saturating_duration_since(now),
            };
        }
        let settles_at = keys.iter().filter_map(|key| {
            let runs = self.crashed_runs(key);
            let last = runs.last().filter(|_| runs.len() + 1 >= CRASHES_MIN)?;
            Some(last.crashed_at + SETTLING_TIME)
        });
        match settles_at.max() {
            Some(settles_at) if now < settles_at => Verdict::Hold {
                wait: settles_at.saturating_duration_since(now),
            },
            _ => Verdict::Admit,
        }
    }

    /// Returns the end of the quarantine of a key's requests; `None` if they are not quarantined.
    fn quarantined_until(&self, key: &RequestKey, now: Instant) -> Option<Instant> {
        let entry = self.quarantined.get(key)?;
        (now < entry.until).then_some(entry.until)
    }

    /// Returns whether a crash may be the fault of the request or of similar ones.
    pub fn is_suspect(&self, request: &RequestIdentity) -> bool {
        let mut keys = [&request.equal, &request.similar].into_iter();
        keys.any(|key| self.crashes.iter().any(|crash| crash.run_of(key).is_some()))
    }

    /// Judges the crashes that have settled, and returns the requests that are quarantined from now on.
    pub fn judge(&mut self, now: Instant) -> Vec<RequestKey> {
        let mut convicted = Vec::new();
        for index in 0..self.crashes.len() {
            let crash = &self.crashes[index];
            if crash.judged || now < crash.at + SETTLING_TIME {
                continue;
            }
            let culprits = self.culprits_of(crash);
            self.crashes[index].judged = true;
            for culprit in culprits {
                if self.quarantine(&culprit, now) {
                    convicted.push(culprit);
                }
            }
        }
        convicted
    }

    /// Records that an endpoint sent output of a request. Earlier crashes are then not its fault, and not that of
    /// what it has in common with similar ones. Returns whether it was a suspect.
    pub fn record_served(&mut self, request: &RequestIdentity, now: Instant) -> bool {
        let was_suspect = self.is_suspect(request);
        if was_suspect {
            self.clear(&request.equal, now, sharing::SENDS);
            self.clear(&request.similar, now, sharing::SENDS);
        }
        was_suspect
    }

    /// Counts a run of a suspect as started at an endpoint.
    pub fn start_run(&mut self, endpoint: &EndpointId) {
        *self.suspect_runs.entry(endpoint.clone()).or_default() += 1;
    }

    /// Counts a run of a suspect as ended at an endpoint.
    pub fn end_run(&mut self, endpoint: &EndpointId) {
        if let Some(runs) = self.suspect_runs.get_mut(endpoint) {
            *runs = runs.saturating_sub(1);
        }
        self.suspect_runs.retain(|_, runs| *runs > 0);
    }

    /// Returns the endpoints at which this host runs suspects. Another suspect is sent elsewhere, so that the next
    /// crash tells them apart.
    pub fn endpoints_with_suspects(&self) -> Vec<EndpointId> {
        self.suspect_runs.keys().cloned().collect()
    }

    /// Evicts what is no longer remembered.
    pub fn evict_expired(&mut self, now: Instant) {
        self.crashes.retain(|crash| now < crash.at + CRASH_MEMORY);
        self.served.retain(|_, served| now < served.at + CRASH_MEMORY);
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
            if self.served.get(key).is_some_and(|served| served.at >= at) {
                crash.clear(key);
            }
        }
    }

    /// Returns the requests that a crash is put down to: those that most crashes may be the fault of, if these are
    /// enough and no other request of the crash has as many.
    fn culprits_of(&self, crash: &Crash) -> Vec<RequestKey> {
        let suspects = crash.suspects();
        let leader = suspects.clone().max_by_key(|request| self.crash_count(request));
        let Some(leader) = leader.filter(|_| crash.culprit.is_none()) else {
            return Vec::new();
        };
        let mut keys = self.keys_to_quarantine(leader);
        keys.retain(|key| {
            let mut others = suspects.clone().filter(|request| !request.matches(key));
            others.all(|other| self.is_less_suspicious(other, leader))
        });
        keys.into_iter().cloned().collect()
    }

    /// Returns whether fewer crashes may be the fault of one request than of another.
    fn is_less_suspicious(&self, request: &RequestIdentity, other: &RequestIdentity) -> bool {
        if request.similar == other.similar {
            let count = |key| self.suspicious_runs(key).len();
            return count(&request.equal) < count(&other.equal);
        }
        self.crash_count(request) < self.crash_count(other)
    }

    /// Returns the number of crashes that may be the fault of a request or of similar ones.
    fn crash_count(&self, request: &RequestIdentity) -> usize {
        let equal = self.suspicious_runs(&request.equal).len();
        equal.max(self.crashed_runs(&request.similar).len())
    }

    /// Returns the sets of requests that enough crashes may be the fault of.
    ///
    /// Similar requests are a wider set, in which sound ones may be that were not served yet. So they are
    /// quarantined only if several of them are suspects.
    fn keys_to_quarantine<'a>(&self, request: &'a RequestIdentity) -> Vec<&'a RequestKey> {
        let added = (self.other_crashes(request) / OTHER_CRASHES_STEP).min(ADDED_CRASHES_MAX);
        let mut keys = Vec::new();
        let equal = self.suspicious_runs(&request.equal).len() + self.former_crashes(&request.equal);
        if equal >= CRASHES_MIN + added {
            keys.push(&request.equal);
        }
        let similar = self.crashed_runs(&request.similar);
        let has_several = similar.iter().any(|run| run.request.equal != request.equal);
        let count = similar.len() + self.former_crashes(&request.similar);
        if has_several && count >= SIMILAR_CRASHES_MIN + added {
            keys.push(&request.similar);
        }
        keys
    }

    /// Returns the number of crashes before the last one of a request that are not put down to others, and not the
    /// fault of the request or of similar ones. Crashes with a common cause count once.
    fn other_crashes(&self, request: &RequestIdentity) -> usize {
        let is_other = |crash: &Crash| {
            let is_fault = |key| crash.run_of(key).is_some();
            crash.culprit.is_none() && !is_fault(&request.equal) && !is_fault(&request.similar)
        };
        let own = self
            .crashes
            .iter()
            .filter_map(|crash| crash.run_of(&request.equal));
        let Some(until) = own.map(|run| run.crashed_at).max() else {
            return 0;
        };
        let others = self.crashes.iter().filter(|crash| {
            let is_recent = crash.at <= until && until < crash.at + OTHER_CRASHES_WINDOW;
            is_recent && is_other(crash)
        });
        let mut times: Vec<Instant> = others.map(|crash| crash.at).collect();
        times.sort_unstable();
        times.dedup_by(|later, earlier| *later < *earlier + COMMON_CAUSE_WINDOW);
        times.len()
    }

    /// Returns the number of crashes that a former quarantine stands for. One more crash renews it.
    fn former_crashes(&self, key: &RequestKey) -> usize {
        if self.quarantined.contains_key(key) {
            CRASHES_MIN - 1
        } else {
            0
        }
    }

    /// Returns the runs of a request that ended with a crash and began after the crash of the one before, oldest
    /// first.
    ///
    /// Runs at the same time count once, because a frequent request may run at several endpoints that crash one after
    /// the other.
    fn suspicious_runs(&self, key: &RequestKey) -> Vec<CrashedRun<'_>> {
        let mut runs = self.crashed_runs(key);
        let mut last_crash: Option<Instant> = None;
        runs.retain(|run| {
            let follows = last_crash.is_none_or(|last| run.started_at + OVERLAP_MAX >= last);
            if follows {
                last_crash = Some(run.crashed_at);
            }
            follows
        });
        runs
    }

    /// Returns a run of each crash that may be the fault of a key's requests, oldest first. Crashes with a common
    /// cause count once.
    fn crashed_runs(&self, key: &RequestKey) -> Vec<CrashedRun<'_>> {
        let crashes = self.crashes.iter();
        let mut runs: Vec<CrashedRun<'_>> = crashes.filter_map(|crash| crash.run_of(key)).collect();
        runs.sort_by_key(|run| run.crashed_at);
        runs.dedup_by(|later, earlier| later.crashed_at < earlier.crashed_at + COMMON_CAUSE_WINDOW);
        runs
    }

    /// Quarantines a request, and puts all crashes down to it that may be its fault. Returns whether it was not
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
    fn clear(&mut self, key: &RequestKey, served_at: Instant, sends: u32) {
        let earlier = self.crashes.iter_mut().filter(|crash| crash.at <= served_at);
        earlier.for_each(|crash| crash.clear(key));
        self.quarantined.remove(key);
        if self.served.len() >= SERVED_MAX {
            let oldest = self.served.iter().min_by_key(|(_, served)| served.at);
            if let Some(oldest) = oldest.map(|(oldest, _)| oldest.clone()) {
                self.served.remove(&oldest);
            }
        }
        let served = Served {
            at: served_at,
            sends_left: sends,
        };
        self.served.insert(key.clone(), served);
    }
}
