//! Ejection of endpoints that fail.
//!
//! Failures are counted by account. An endpoint is ejected for everybody only when calls of several
//! accounts fail, or probes do; failures of one account alone keep only that account away, so that no
//! account can take an endpoint from the others with calls that make it fail.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::AccountId;

/// Failures in a row after which an endpoint is avoided.
const FAILURES_MAX: u32 = 3;

/// Accounts that must have seen failures before all are kept away.
const ACCOUNTS_MIN: usize = 2;

/// Failed probes in a row after which all are kept away.
const PROBES_MAX: u32 = 3;

/// Shortest and longest time that an endpoint is avoided.
const EJECTION: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// What is known of one endpoint's failures since its last success.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failures: BTreeMap<AccountId, AccountFailures>,
    probe_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct AccountFailures {
    in_row: u32,
    avoided_until: Option<Instant>,
}

impl Health {
    /// Whether calls of an account may go to the endpoint.
    pub(super) fn admits(&self, account_id: &str, now: Instant) -> bool {
        let avoided = self
            .failures
            .get(account_id)
            .is_some_and(|failures| failures.avoided_until.is_some_and(|until| now < until));
        !avoided && !self.is_ejected(now)
    }

    /// Whether the endpoint is kept from all accounts.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the endpoint was ejected and has had no success since.
    pub(super) fn is_on_trial(&self) -> bool {
        self.ejected_until.is_some()
    }

    pub(super) fn note_success(&mut self) {
        *self = Self::default();
    }

    pub(super) fn note_failure(&mut self, account_id: &AccountId, now: Instant) {
        let failures = self.failures.entry(account_id.clone()).or_default();
        failures.in_row += 1;
        if failures.in_row >= FAILURES_MAX {
            let steps = failures.in_row - FAILURES_MAX;
            failures.avoided_until = Some(now + ejection_time(steps));
        }
        let total: u32 = self.failures.values().map(|failures| failures.in_row).sum();
        let several = self.failures.len() >= ACCOUNTS_MIN && total >= FAILURES_MAX;
        if several || (self.is_on_trial() && self.failures.len() >= ACCOUNTS_MIN) {
            self.eject(now);
        }
    }

    /// Takes note of a check that runs for no account.
    pub(super) fn note_probe(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            self.probe_failures = 0;
            return;
        }
        self.probe_failures += 1;
        if self.probe_failures >= PROBES_MAX {
            self.eject(now);
        }
    }

    fn eject(&mut self, now: Instant) {
        if self.is_ejected(now) {
            return;
        }
        self.ejected_until = Some(now + ejection_time(self.ejections));
        self.ejections += 1;
    }
}

fn ejection_time(steps: u32) -> Duration {
    EJECTION.0.saturating_mul(1 << steps.min(8)).min(EJECTION.1)
}
