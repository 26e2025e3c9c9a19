//! Service statistics of each account in the current and the previous window.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use burdockroad::AccountId;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::telemetry::{Measure, RefusalReason};

/// Maximum duration that histograms distinguish, in milliseconds. Longer durations are clamped to it.
const DURATION_MAX_MS: u64 = 3_600_000;

/// Significant digits of histograms. With one digit a histogram takes about 1 kB, so that many thousand
/// accounts fit in memory.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Service statistics of one account in the current and the previous window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AccountService {
    /// ID of the client account.
    pub account_id: AccountId,
    /// Number of programs that ended.
    pub programs: u64,
    /// Median program latency, in milliseconds, or 0 without programs.
    pub program_p50_ms: u64,
    /// 99th percentile of the program latency, in milliseconds, or 0 without programs.
    pub program_p99_ms: u64,
    /// 99th percentile of the queue time, in milliseconds, or 0 without calls.
    pub queue_p99_ms: u64,
    /// Number of calls refused although the account was within its rate.
    pub refused_inside_rate: u64,
    /// Number of calls refused because the account exceeded its rate.
    pub refused_over_rate: u64,
}

/// Statistics of all accounts with events in the current or the previous window.
#[derive(Debug, Default)]
pub(super) struct AccountTable {
    current: HashMap<AccountId, AccountStatistics>,
    previous: HashMap<AccountId, AccountStatistics>,
}

#[derive(Clone, Debug)]
struct AccountStatistics {
    program_ms: Histogram<u32>,
    queue_ms: Histogram<u32>,
    refused_inside_rate: u64,
    refused_over_rate: u64,
}

impl AccountTable {
    pub(super) fn record(&mut self, account_id: &AccountId, measure: Measure, duration: Duration) {
        let statistics = self.statistics(account_id);
        let histogram = match measure {
            Measure::Program => &mut statistics.program_ms,
            Measure::Queue => &mut statistics.queue_ms,
            Measure::FirstToken => return,
        };
        let ms = u64::try_from(duration.as_millis()).unwrap_or(DURATION_MAX_MS);
        histogram.saturating_record(ms);
    }

    pub(super) fn refused(&mut self, account_id: &AccountId, reason: RefusalReason) {
        let statistics = self.statistics(account_id);
        match reason {
            RefusalReason::InsideRate => statistics.refused_inside_rate += 1,
            RefusalReason::OverRate => statistics.refused_over_rate += 1,
        }
    }

    pub(super) fn rotate(&mut self) {
        self.previous = std::mem::take(&mut self.current);
    }

    pub(super) fn worst_served(&self, count: usize) -> Vec<AccountService> {
        let only_previous = self
            .previous
            .iter()
            .filter(|(account_id, _)| !self.current.contains_key(*account_id));
        let all = self.current.iter().chain(only_previous);
        let mut services: Vec<AccountService> = all.map(|(account_id, _)| self.service(account_id)).collect();
        services.sort_by(|a, b| a.severity_key().cmp(&b.severity_key()));
        services.truncate(count);
        services
    }

    fn service(&self, account_id: &AccountId) -> AccountService {
        let mut sum = AccountStatistics::new();
        for window in [&self.current, &self.previous] {
            if let Some(statistics) = window.get(account_id) {
                sum.add(statistics);
            }
        }
        AccountService {
            account_id: account_id.clone(),
            programs: sum.program_ms.len(),
            program_p50_ms: sum.program_ms.value_at_quantile(0.5),
            program_p99_ms: sum.program_ms.value_at_quantile(0.99),
            queue_p99_ms: sum.queue_ms.value_at_quantile(0.99),
            refused_inside_rate: sum.refused_inside_rate,
            refused_over_rate: sum.refused_over_rate,
        }
    }

    fn statistics(&mut self, account_id: &AccountId) -> &mut AccountStatistics {
        self.current
            .entry(account_id.clone())
            .or_insert_with(AccountStatistics::new)
    }
}

impl AccountService {
    fn severity_key(&self) -> (Reverse<u64>, Reverse<u64>, Reverse<u64>, &str) {
        (
            Reverse(self.refused_inside_rate),
            Reverse(self.program_p99_ms),
            Reverse(self.queue_p99_ms),
            &self.account_id,
        )
    }
}

impl AccountStatistics {
    fn new() -> Self {
        Self {
            program_ms: histogram(),
            queue_ms: histogram(),
            refused_inside_rate: 0,
            refused_over_rate: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        // Both histograms have the same bounds, so adding cannot fail.
        let _ = self.program_ms.add(&other.program_ms);
        let _ = self.queue_ms.add(&other.queue_ms);
        self.refused_inside_rate += other.refused_inside_rate;
        self.refused_over_rate += other.refused_over_rate;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, DURATION_MAX_MS, SIGNIFICANT_DIGITS)
        .expect("the constant bounds are valid for the library")
}
