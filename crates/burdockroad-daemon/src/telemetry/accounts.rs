//! What each account got lately.

use std::{cmp::Reverse, collections::HashMap, time::Duration};

use burdockroad::AccountId;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::telemetry::{Measure, RefusalReason};

/// Longest duration that is told apart, in milliseconds.
const DURATION_MAX_MS: u64 = 3_600_000;

/// Significant digits; one keeps a histogram near 1 kB, so that many thousand accounts fit.
const SIGNIFICANT_DIGITS: u8 = 1;

/// What one account got in this window and the one before.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AccountService {
    /// The account.
    pub account_id: AccountId,
    /// Programs that ended.
    pub programs: u64,
    /// Median of the program latency, in milliseconds; 0 without programs.
    pub program_p50_ms: u64,
    /// 99th percentile of the program latency, in milliseconds; 0 without programs.
    pub program_p99_ms: u64,
    /// 99th percentile of the queue time, in milliseconds; 0 without calls.
    pub queue_p99_ms: u64,
    /// Calls refused although the account was within its rate.
    pub refused_inside_rate: u64,
    /// Calls refused because the account was over its rate.
    pub refused_over_rate: u64,
}

/// Figures of all accounts that had events in this window or the one before.
#[derive(Debug, Default)]
pub(super) struct AccountTable {
    current: HashMap<AccountId, Figures>,
    previous: HashMap<AccountId, Figures>,
}

#[derive(Clone, Debug)]
struct Figures {
    program_ms: Histogram<u32>,
    queue_ms: Histogram<u32>,
    refused_inside_rate: u64,
    refused_over_rate: u64,
}

impl AccountTable {
    pub(super) fn record(&mut self, account_id: &AccountId, measure: Measure, duration: Duration) {
        let figures = self.figures(account_id);
        let histogram = match measure {
            Measure::Program => &mut figures.program_ms,
            Measure::Queue => &mut figures.queue_ms,
            Measure::FirstToken => return,
        };
        let ms = u64::try_from(duration.as_millis()).unwrap_or(DURATION_MAX_MS);
        histogram.saturating_record(ms);
    }

    pub(super) fn refused(&mut self, account_id: &AccountId, because: RefusalReason) {
        let figures = self.figures(account_id);
        match because {
            RefusalReason::InsideRate => figures.refused_inside_rate += 1,
            RefusalReason::OverRate => figures.refused_over_rate += 1,
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
        services.sort_by(|a, b| a.badness().cmp(&b.badness()));
        services.truncate(count);
        services
    }

    fn service(&self, account_id: &AccountId) -> AccountService {
        let mut sum = Figures::new();
        for window in [&self.current, &self.previous] {
            if let Some(figures) = window.get(account_id) {
                sum.add(figures);
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

    fn figures(&mut self, account_id: &AccountId) -> &mut Figures {
        self.current
            .entry(account_id.clone())
            .or_insert_with(Figures::new)
    }
}

impl AccountService {
    fn badness(&self) -> (Reverse<u64>, Reverse<u64>, Reverse<u64>, &str) {
        (
            Reverse(self.refused_inside_rate),
            Reverse(self.program_p99_ms),
            Reverse(self.queue_p99_ms),
            &self.account_id,
        )
    }
}

impl Figures {
    fn new() -> Self {
        Self {
            program_ms: histogram(),
            queue_ms: histogram(),
            refused_inside_rate: 0,
            refused_over_rate: 0,
        }
    }

    fn add(&mut self, other: &Self) {
        // Both histograms have the same bounds, so that adding cannot fail.
        let _ = self.program_ms.add(&other.program_ms);
        let _ = self.queue_ms.add(&other.queue_ms);
        self.refused_inside_rate += other.refused_inside_rate;
        self.refused_over_rate += other.refused_over_rate;
    }
}

fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, DURATION_MAX_MS, SIGNIFICANT_DIGITS)
        .expect("the bounds are constants that the library allows")
}
