//! Ejection of failing endpoints.
//!
//! Failures are counted per account. An endpoint is ejected for all accounts only if calls of several
//! accounts or probes fail. If only one account's calls fail, the endpoint is avoided for that account alone,
//! so an account cannot take an endpoint away from the others by sending calls that make it fail.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::AccountId;

/// Consecutive failures of an account's calls after which the account avoids an endpoint.
const CONSECUTIVE_FAILURES_MAX: u32 = 3;

/// Minimum number of accounts with failures for an endpoint to be ejected for all.
const ACCOUNTS_MIN: usize = 2;

/// Consecutive failed probes after which an endpoint is ejected for all accounts.
const PROBE_FAILURES_MAX: u32 = 3;

/// Minimum and maximum time for which an endpoint is ejected, or avoided by one account.
const EJECTION: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Failures of one endpoint since its last success.
#[derive(Clone, Debug, Default)]
pub(super) struct Health {
    failures: BTreeMap<AccountId, AccountFailures>,
    probe_failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
}

#[derive(Clone, Debug, Default)]
struct AccountFailures {
    consecutive: u32,
    avoided_until: Option<Instant>,
}

impl Health {
    /// Returns whether calls of an account may be sent to the endpoint.
    pub(super) fn admits(&self, account_id: &str, now: Instant) -> bool {
        let avoided = self
            .failures
            .get(account_id)
            .is_some_and(|failures| failures.avoided_until.is_some_and(|until| now < until));
        !avoided && !self.is_ejected(now)
    }

    /// Returns whether the endpoint is ejected for all accounts.
    pub(super) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the endpoint has been ejected and has not served a call successfully since.
    pub(super) fn is_on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    pub(super) fn record_success(&mut self) {
        *self = Self::default();
    }

    pub(super) fn record_failure(&mut self, account_id: &AccountId, now: Instant) {
        let failures = self.failures.entry(account_id.clone()).or_default();
        failures.consecutive += 1;
        if failures.consecutive >= CONSECUTIVE_FAILURES_MAX {
            let doublings = failures.consecutive - CONSECUTIVE_FAILURES_MAX;
            failures.avoided_until = Some(now + ejection_time(doublings));
        }
        let total: u32 = self.failures.values().map(|failures| failures.consecutive).sum();
        let multiple_accounts = self.failures.len() >= ACCOUNTS_MIN && total >= CONSECUTIVE_FAILURES_MAX;
        if multiple_accounts || (self.is_on_probation() && self.failures.len() >= ACCOUNTS_MIN) {
            self.eject(now);
        }
    }

    /// Records the result of a probe, which belongs to no account.
    pub(super) fn record_probe(&mut self, succeeded: bool, now: Instant) {
        if succeeded {
            self.probe_failures = 0;
            return;
        }
        self.probe_failures += 1;
        if self.probe_failures >= PROBE_FAILURES_MAX {
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

fn ejection_time(doublings: u32) -> Duration {
    EJECTION.0.saturating_mul(1 << doublings.min(8)).min(EJECTION.1)
}
