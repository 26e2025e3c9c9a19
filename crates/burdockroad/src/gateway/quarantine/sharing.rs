//! What hosts tell each other of requests that crash endpoints.
//!
//! News goes into the next few reports. Everything else is repeated in turns, so that a host that was restarted or
//! cut off from the others learns it from any of them.

use std::{ops::Bound, time::Instant};

use super::{CrashReport, Entry, Quarantine, RequestKey};

/// Number of reports that contain a news item. Single reports may be lost.
pub(super) const SENDS: u32 = 4;

/// Maximum number of new crashes, and of suspects that were served, in one report.
const NEWS_MAX: usize = 16;

/// Number of crashes that one report repeats.
const CRASHES_REPEATED: usize = 2;

/// Number of quarantined requests that one report repeats. Reports of 3 s repeat 240 at least.
const REQUESTS_REPEATED: usize = 12;

/// What one host knows of requests that crash endpoints, or the part of it that one report has room for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Crashes of endpoints.
    pub crashes: Vec<CrashReport>,
    /// Requests that are or were quarantined.
    pub quarantined: Vec<QuarantinedRequest>,
    /// Suspects that were served.
    pub served: Vec<ServedSuspect>,
}

/// Request that is or was quarantined.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedRequest {
    /// The request.
    pub key: RequestKey,
    /// Start of the quarantine.
    pub since: Instant,
    /// End of the quarantine.
    pub until: Instant,
    /// Number of times that the request was quarantined.
    pub rounds: u32,
}

/// Suspect that was served, and thus cleared of all earlier crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServedSuspect {
    /// The request.
    pub key: RequestKey,
    /// Time of the response.
    pub at: Instant,
}

impl QuarantineReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty() && self.served.is_empty()
    }
}

impl Quarantine {
    /// Returns what this host tells the others in its next report.
    pub fn next_report(&mut self) -> QuarantineReport {
        let mut crashes = self.new_crashes();
        crashes.extend(self.repeated_crashes());
        QuarantineReport {
            crashes,
            quarantined: self.repeated_requests(),
            served: self.new_served(),
        }
    }

    /// Records the report of another host. Returns the requests that are quarantined from now on.
    pub fn record_report(&mut self, report: QuarantineReport, now: Instant) -> Vec<RequestKey> {
        for served in report.served {
            let known = self.served.get(&served.key);
            if known.is_none_or(|known| known.at < served.at) {
                self.clear(&served.key, served.at, 0);
            }
        }
        for crash in report.crashes {
            self.merge_crash(crash, 0);
        }
        let mut convicted = Vec::new();
        for request in report.quarantined {
            if self.record_quarantined(&request) && now < request.until {
                convicted.push(request.key);
            }
        }
        convicted
    }

    /// Records that another host has quarantined a request. Returns whether this host did not know it.
    fn record_quarantined(&mut self, request: &QuarantinedRequest) -> bool {
        let served = self.served.get(&request.key);
        if served.is_some_and(|served| served.at >= request.since) {
            return false;
        }
        // Hosts judge by themselves, too, at slightly different times: of one round, the first to be known holds.
        let known = self.quarantined.get(&request.key);
        if known.is_some_and(|known| known.rounds >= request.rounds) {
            return false;
        }
        let entry = Entry {
            since: request.since,
            until: request.until,
            rounds: request.rounds,
        };
        self.insert(request.key.clone(), entry);
        true
    }

    fn new_crashes(&mut self) -> Vec<CrashReport> {
        let news = self.crashes.iter_mut().filter(|crash| crash.sends_left > 0);
        news.take(NEWS_MAX)
            .map(|crash| {
                crash.sends_left -= 1;
                crash.report()
            })
            .collect()
    }

    fn repeated_crashes(&mut self) -> Vec<CrashReport> {
        let count = self.crashes.len().min(CRASHES_REPEATED);
        let start = self.shared_up_to.crash;
        self.shared_up_to.crash = start.wrapping_add(count);
        let indices = (0..count).map(|offset| start.wrapping_add(offset) % self.crashes.len());
        indices.map(|index| self.crashes[index].report()).collect()
    }

    fn repeated_requests(&mut self) -> Vec<QuarantinedRequest> {
        let after = match &self.shared_up_to.request {
            Some(last) => Bound::Excluded(last.clone()),
            None => Bound::Unbounded,
        };
        let rest = self.quarantined.range((after, Bound::Unbounded));
        let in_turn = rest.chain(&self.quarantined);
        let requests: Vec<QuarantinedRequest> = in_turn
            .take(REQUESTS_REPEATED.min(self.quarantined.len()))
            .map(|(key, entry)| QuarantinedRequest {
                key: key.clone(),
                since: entry.since,
                until: entry.until,
                rounds: entry.rounds,
            })
            .collect();
        self.shared_up_to.request = requests.last().map(|request| request.key.clone());
        requests
    }

    fn new_served(&mut self) -> Vec<ServedSuspect> {
        let news = self.served.iter_mut().filter(|(_, served)| served.sends_left > 0);
        news.take(NEWS_MAX)
            .map(|(key, served)| {
                served.sends_left -= 1;
                ServedSuspect {
                    key: key.clone(),
                    at: served.at,
                }
            })
            .collect()
    }
}
