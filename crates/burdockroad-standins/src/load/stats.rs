//! Statistics of a load, as histograms and counts.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
const US_PER_MS: f64 = 1e3;

/// Report of a load for all accounts.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Time from the start of the load to the end of the last program.
    pub duration: Duration,
    /// Reports per account, ordered by account id.
    pub accounts: Vec<AccountReport>,
}

/// Report for one account.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct AccountReport {
    /// Account id.
    pub account_id: String,
    /// Programs that received all their responses.
    pub completed: u64,
    /// Programs that ended without all their responses.
    pub failed: u64,
    /// Programs that were still running at the drain deadline.
    pub unfinished: u64,
    /// Programs that were due but could not start before `duration` had passed.
    pub unstarted: u64,
    /// Latency of completed programs, including their tool pauses.
    pub program_latency: LatencySummary,
    /// Latency of successful calls, including their failed attempts and backoffs.
    pub call_latency: LatencySummary,
    /// Refused attempts by kind.
    pub refusals: Vec<RefusalCount>,
    /// Attempts that broke off without a complete response.
    pub broken: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Prompt tokens that were cached.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// Summary of a latency distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LatencySummary {
    /// Number of samples.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}

/// Number of refusals of one kind.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalCount {
    /// Last segment of the problem type, or the status code if there is no problem type.
    pub kind: String,
    /// Number of refusals.
    pub count: u64,
}

impl fmt::Display for AccountReport {
    /// Writes the report as one line of `key=value` pairs.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "account={} completed={} failed={} unfinished={} unstarted={} {} {} broken={} retries={} \
             prompt_tokens={} cached_tokens={} completion_tokens={} refusals={}",
            self.account_id,
            self.completed,
            self.failed,
            self.unfinished,
            self.unstarted,
            latency_fields("program", &self.program_latency),
            latency_fields("call", &self.call_latency),
            self.broken,
            self.retries,
            self.prompt_tokens,
            self.cached_tokens,
            self.completion_tokens,
            self.refusals.iter().map(|refusal| refusal.count).sum::<u64>(),
        )?;
        for refusal in &self.refusals {
            write!(f, " refusals_{}={}", refusal.kind, refusal.count)?;
        }
        Ok(())
    }
}

fn latency_fields(name: &str, latency: &LatencySummary) -> String {
    let mut fields = format!("{name}_count={}", latency.count);
    let percentiles = [
        ("p50", latency.p50_ms),
        ("p95", latency.p95_ms),
        ("p99", latency.p99_ms),
        ("max", latency.max_ms),
    ];
    for (label, ms) in percentiles {
        // Writing to a string cannot fail.
        write!(fields, " {name}_{label}_ms={ms:.3}").unwrap_or_default();
    }
    fields
}

/// Token counts of one response, or their sums over all responses.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenCounts {
    pub(crate) prompt: u64,
    pub(crate) cached: u64,
    pub(crate) completion: u64,
}

/// Statistics of one account while its programs run.
#[derive(Debug, Default)]
pub(crate) struct AccountStats {
    counters: Mutex<Counters>,
}

#[derive(Debug)]
struct Counters {
    completed: u64,
    failed: u64,
    unfinished: u64,
    unstarted: u64,
    program_us: Histogram<u64>,
    call_us: Histogram<u64>,
    refusals: BTreeMap<String, u64>,
    broken: u64,
    retries: u64,
    tokens: TokenCounts,
}

impl Default for Counters {
    fn default() -> Self {
        Self {
            completed: 0,
            failed: 0,
            unfinished: 0,
            unstarted: 0,
            program_us: new_histogram(),
            call_us: new_histogram(),
            refusals: BTreeMap::new(),
            broken: 0,
            retries: 0,
            tokens: TokenCounts::default(),
        }
    }
}

impl AccountStats {
    pub(crate) fn add_completed(&self, latency: Duration) {
        let mut counters = self.counters();
        counters.completed += 1;
        record_latency(&mut counters.program_us, latency);
    }

    pub(crate) fn add_failed(&self) {
        self.counters().failed += 1;
    }

    pub(crate) fn add_unfinished(&self, number: u64) {
        self.counters().unfinished += number;
    }

    pub(crate) fn add_unstarted(&self) {
        self.counters().unstarted += 1;
    }

    pub(crate) fn add_call(&self, latency: Duration, tokens: TokenCounts) {
        let mut counters = self.counters();
        record_latency(&mut counters.call_us, latency);
        counters.tokens.prompt += tokens.prompt;
        counters.tokens.cached += tokens.cached;
        counters.tokens.completion += tokens.completion;
    }

    pub(crate) fn add_refusal(&self, kind: &str) {
        *self.counters().refusals.entry(kind.to_owned()).or_default() += 1;
    }

    pub(crate) fn add_broken(&self) {
        self.counters().broken += 1;
    }

    pub(crate) fn add_retry(&self) {
        self.counters().retries += 1;
    }

    pub(crate) fn report(&self, account_id: &str) -> AccountReport {
        let counters = self.counters();
        let refusals = counters.refusals.iter().map(|(kind, count)| RefusalCount {
            kind: kind.clone(),
            count: *count,
        });
        AccountReport {
            account_id: account_id.to_owned(),
            completed: counters.completed,
            failed: counters.failed,
            unfinished: counters.unfinished,
            unstarted: counters.unstarted,
            program_latency: summarize_latency(&counters.program_us),
            call_latency: summarize_latency(&counters.call_us),
            refusals: refusals.collect(),
            broken: counters.broken,
            retries: counters.retries,
            prompt_tokens: counters.tokens.prompt,
            cached_tokens: counters.tokens.cached,
            completion_tokens: counters.tokens.completion,
        }
    }

    fn counters(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_histogram() -> Histogram<u64> {
    // The constructor rejects only more than five significant digits.
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of significant digits is valid")
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    // An auto-resizing histogram accepts any value.
    histogram.record(microseconds).unwrap_or_default();
}

fn summarize_latency(histogram: &Histogram<u64>) -> LatencySummary {
    let at = |quantile: f64| us_to_ms(histogram.value_at_quantile(quantile));
    LatencySummary {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: us_to_ms(histogram.max()),
    }
}

fn us_to_ms(microseconds: u64) -> f64 {
    f64::from(u32::try_from(microseconds).unwrap_or(u32::MAX)) / US_PER_MS
}
