//! Which of the hosts that store turns are lost.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use crate::ids::HostId;

/// Time between the first and the last of a host's consecutive failures after which it counts as lost. A host
/// that is only slow for a moment must not count as lost, because a turn then gets fewer replicas.
const LOST_MIN: Duration = Duration::from_millis(500);

/// Time since a host's last response after which a call that it has not answered counts as a failure.
const SILENCE_MIN: Duration = Duration::from_millis(80);

/// Interval at which a failing host is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Health of the hosts that store turns, as seen by one host that calls them.
#[derive(Clone, Debug, Default)]
pub struct TurnHostHealth {
    failing: HashMap<HostId, Failures>,
    /// Time of each host's last response.
    responded_at: HashMap<HostId, Instant>,
}

/// Consecutive failures of a host.
#[derive(Clone, Copy, Debug)]
struct Failures {
    first: Instant,
    last: Instant,
    last_probe: Instant,
}

impl Failures {
    fn is_lost(&self) -> bool {
        self.last.saturating_duration_since(self.first) >= LOST_MIN
    }
}

impl TurnHostHealth {
    /// Records that a host responded.
    pub fn record_response(&mut self, host: &HostId, now: Instant) {
        self.failing.remove(host);
        self.responded_at.insert(host.clone(), now);
    }

    /// Records that a host has not responded to a call that was sent at `sent_at`. If it has just responded to another
    /// call since, it is only slow, and does not count as failing.
    pub fn record_silence(&mut self, host: &HostId, sent_at: Instant, now: Instant) {
        let responded_at = self.responded_at.get(host).filter(|at| **at >= sent_at);
        if responded_at.is_none_or(|at| now >= *at + SILENCE_MIN) {
            self.record_failure(host, now);
        }
    }

    /// Records that a host did not respond, or failed to store a turn.
    pub fn record_failure(&mut self, host: &HostId, now: Instant) {
        let failures = self.failing.entry(host.clone()).or_insert(Failures {
            first: now,
            last: now,
            last_probe: now,
        });
        failures.last = now;
    }

    /// Returns whether the last call to a host failed.
    pub fn is_failing(&self, host: &str) -> bool {
        self.failing.contains_key(host)
    }

    /// Returns the time since the first of a host's consecutive failures; `None` if its last call succeeded.
    pub fn failing_time(&self, host: &str, now: Instant) -> Option<Duration> {
        let failures = self.failing.get(host)?;
        Some(now.saturating_duration_since(failures.first))
    }

    /// Returns whether a host counts as lost.
    pub fn is_lost(&self, host: &str) -> bool {
        let failures = self.failing.get(host);
        failures.is_some_and(Failures::is_lost)
    }

    /// Splits an order of hosts into those to use, failing hosts last, and the lost hosts.
    pub(super) fn split_order(&self, order: Vec<HostId>) -> (VecDeque<HostId>, VecDeque<HostId>) {
        let (lost, mut usable): (Vec<HostId>, Vec<HostId>) =
            order.into_iter().partition(|host| self.is_lost(host));
        usable.sort_by_key(|host| self.is_failing(host));
        (VecDeque::from(usable), VecDeque::from(lost))
    }

    /// Returns the failing hosts that should be probed now. They are next returned after [`PROBE_INTERVAL`].
    /// Without probes, a host that failed once would not be used again while the others respond.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<HostId> {
        let due = self
            .failing
            .iter_mut()
            .filter(|(_, failures)| now >= failures.last_probe + PROBE_INTERVAL);
        let due = due.map(|(host, failures)| {
            failures.last_probe = now;
            host.clone()
        });
        due.collect()
    }
}
