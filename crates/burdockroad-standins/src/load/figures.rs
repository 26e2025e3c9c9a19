//! What the callers of a load saw, as histograms and counts.

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

/// What all accounts of a load saw.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LoadReport {
    /// Time from the start to the end of the last program.
    pub duration: Duration,
    /// One report for each account, by name.
    pub accounts: Vec<AccountReport>,
}

/// What one account saw.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct AccountReport {
    /// Name of the account.
    pub account_id: String,
    /// Programs that got all their answers.
    pub completed: u64,
    /// Programs that ended without.
    pub failed: u64,
    /// Programs that were still under way when the time was over.
    pub unfinished: u64,
    /// Programs that were due, and could not start before the time was over.
    pub unstarted: u64,
    /// Latency of whole programs that completed, with their tool pauses.
    pub program_latency: LatencyFigures,
    /// Latency of answered calls, with the tries before.
    pub call_latency: LatencyFigures,
    /// Refused tries by kind.
    pub refusals: Vec<RefusalCount>,
    /// Tries that broke off without a whole answer.
    pub broken: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Tokens of prompts.
    pub prompt_tokens: u64,
    /// Tokens of prompts that were cached.
    pub cached_tokens: u64,
    /// Tokens that were generated.
    pub completion_tokens: u64,
}

/// How long something took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize)]
pub struct LatencyFigures {
    /// How often it happened.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Longest, in milliseconds.
    pub max_ms: f64,
}

/// How often calls were refused in one way.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize)]
pub struct RefusalCount {
    /// Last part of the problem's type, or the status where there is none.
    pub kind: String,
    /// How often.
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

fn latency_fields(name: &str, latency: &LatencyFigures) -> String {
    let mut fields = format!("{name}_count={}", latency.count);
    let figures = [
        ("p50", latency.p50_ms),
        ("p95", latency.p95_ms),
        ("p99", latency.p99_ms),
        ("max", latency.max_ms),
    ];
    for (figure, milliseconds) in figures {
        // Writing to a string cannot fail.
        write!(fields, " {name}_{figure}_ms={milliseconds:.3}").unwrap_or_default();
    }
    fields
}

/// Tokens that one answer reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenCounts {
    pub(crate) prompt: u64,
    pub(crate) cached: u64,
    pub(crate) completion: u64,
}

/// The figures of one account while its programs run.
#[derive(Debug, Default)]
pub(crate) struct Figures {
    table: Mutex<Table>,
}

#[derive(Debug)]
struct Table {
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

impl Default for Table {
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

impl Figures {
    pub(crate) fn add_completed(&self, latency: Duration) {
        let mut table = self.table();
        table.completed += 1;
        record(&mut table.program_us, latency);
    }

    pub(crate) fn add_failed(&self) {
        self.table().failed += 1;
    }

    pub(crate) fn add_unfinished(&self, number: u64) {
        self.table().unfinished += number;
    }

    pub(crate) fn add_unstarted(&self) {
        self.table().unstarted += 1;
    }

    pub(crate) fn add_call(&self, latency: Duration, tokens: TokenCounts) {
        let mut table = self.table();
        record(&mut table.call_us, latency);
        table.tokens.prompt += tokens.prompt;
        table.tokens.cached += tokens.cached;
        table.tokens.completion += tokens.completion;
    }

    pub(crate) fn add_refusal(&self, kind: &str) {
        *self.table().refusals.entry(kind.to_owned()).or_default() += 1;
    }

    pub(crate) fn add_broken(&self) {
        self.table().broken += 1;
    }

    pub(crate) fn add_retry(&self) {
        self.table().retries += 1;
    }

    pub(crate) fn report(&self, account_id: &str) -> AccountReport {
        let table = self.table();
        let refusals = table.refusals.iter().map(|(kind, count)| RefusalCount {
            kind: kind.clone(),
            count: *count,
        });
        AccountReport {
            account_id: account_id.to_owned(),
            completed: table.completed,
            failed: table.failed,
            unfinished: table.unfinished,
            unstarted: table.unstarted,
            program_latency: latency_figures(&table.program_us),
            call_latency: latency_figures(&table.call_us),
            refusals: refusals.collect(),
            broken: table.broken,
            retries: table.retries,
            prompt_tokens: table.tokens.prompt,
            cached_tokens: table.tokens.cached,
            completion_tokens: table.tokens.completion,
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn new_histogram() -> Histogram<u64> {
    // The constructor refuses only a number of digits above five.
    Histogram::new(SIGNIFICANT_DIGITS).expect("the number of digits is allowed")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let microseconds = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
    // A histogram that grows by itself takes any number.
    histogram.record(microseconds).unwrap_or_default();
}

fn latency_figures(histogram: &Histogram<u64>) -> LatencyFigures {
    let at = |quantile: f64| milliseconds(histogram.value_at_quantile(quantile));
    LatencyFigures {
        count: histogram.len(),
        p50_ms: at(0.5),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
        max_ms: milliseconds(histogram.max()),
    }
}

fn milliseconds(microseconds: u64) -> f64 {
    f64::from(u32::try_from(microseconds).unwrap_or(u32::MAX)) / US_PER_MS
}
