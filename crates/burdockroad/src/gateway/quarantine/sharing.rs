//! What hosts tell each other of requests that crash endpoints.
//!
//! News goes into the next few reports. Everything else is repeated in turns, so that a host that was restarted or
//! cut off from the others learns it from any of them.

use std::{ops::Bound, time::Instant};

use super::{CrashReport, Entry, Quarantine, RequestKey};

/// Number of reports that contain a news item. Single reports may be lost.
pub(super) const SENDS: u32 = 4;

/// Maximum number of new crashes, and of cleared suspects, in one report.
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
    /// Suspects that were cleared.
    pub cleared: Vec<ClearedSuspect>,
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

/// Suspect that had output, and is thus cleared of all earlier crashes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClearedSuspect {
    /// The request.
    pub key: RequestKey,
    /// Time of the output.
    pub at: Instant,
}

impl QuarantineReport {
    /// Returns whether there is nothing to report.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.quarantined.is_empty() && self.cleared.is_empty()
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
            cleared: self.new_cleared(),
        }
    }

    /// Records the report of another host. Returns the requests that are quarantined from now on.
    pub fn record_report(&mut self, report: QuarantineReport, now: Instant) -> Vec<RequestKey> {
        for cleared in report.cleared {
            let known = self.cleared.get(&cleared.key);
            if known.is_none_or(|known| known.at < cleared.at) {
                self.clear(&cleared.key, cleared.at, 0);
            }
        }
        for crash in report.crashes {
            self.merge_crash(crash, 0);
        }
        let mut quarantined = Vec::new();
        for request in report.quarantined {
            if self.record_quarantined(&request) && now < request.until {
                quarantined.push(request.key);
            }
        }
        quarantined
    }

    /// Records that another host has quarantined a request. Returns whether this host did not know it.
    fn record_quarantined(&mut self, request: &QuarantinedRequest) -> bool {
        let cleared = self.cleared.get(&request.key);
        if cleared.is_some_and(|cleared| cleared.at >= request.since) {
            return false;
        }
        // Hosts evaluate by themselves, too, at slightly different times: of one round, the first to be known holds.
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

    fn new_cleared(&mut self) -> Vec<ClearedSuspect> {
        let news = self
            .cleared
            .iter_mut()
            .filter(|(_, cleared)| cleared.sends_left > 0);
        news.take(NEWS_MAX)
            .map(|(key, cleared)| {
                cleared.sends_left -= 1;
                ClearedSuspect {
                    key: key.clone(),
                    at: cleared.at,
                }
            })
            .collect()
    }
}
