//! Finds the requests that crashes are attributed to.

use std::time::{Duration, Instant};

use super::{
    CRASHES_MIN, Quarantine, RequestIdentity, RequestKey,
    crash::{Crash, CrashedRun},
};

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

/// Time by which a run may begin before an earlier crash and still count as its successor, because hosts learn
/// of a crash at slightly different times.
const OVERLAP_MAX: Duration = Duration::from_millis(10);

impl Quarantine {
    /// Returns the requests that a crash is attributed to: those that most crashes may be the fault of, if these are
    /// enough and no other request of the crash has as many.
    pub(super) fn culprits_of(&self, crash: &Crash) -> Vec<RequestKey> {
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
    /// Similar requests are a wider set, in which sound ones may be that had no output yet. So they are
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

    /// Returns the number of crashes before the last one of a request that are not attributed to others, and not the
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
    pub(super) fn crashed_runs(&self, key: &RequestKey) -> Vec<CrashedRun<'_>> {
        let crashes = self.crashes.iter();
        let mut runs: Vec<CrashedRun<'_>> = crashes.filter_map(|crash| crash.run_of(key)).collect();
        runs.sort_by_key(|run| run.crashed_at);
        runs.dedup_by(|later, earlier| later.crashed_at < earlier.crashed_at + COMMON_CAUSE_WINDOW);
        runs
    }
}
