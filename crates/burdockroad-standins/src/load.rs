//! Load generator: multi-turn programs with tool pauses, for several client accounts.
//!
//! It is bounded in count and time, and sends to loopback addresses only. With a rate, the load is
//! open-loop: programs are due at given times, and their latency counts from the due time even if they
//! start late. Without a rate, the load is closed-loop: each of `concurrency` callers runs one program after
//! the other.

pub use crate::load::stats::{AccountReport, LatencySummary, LoadReport, RefusalCount};

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::Semaphore,
    task::JoinSet,
    time::{Instant, timeout_at},
};

use crate::{
    error::{Result, StandinError},
    http_client::HttpClient,
    load::{
        program::{Program, ProgramShape},
        stats::AccountStats,
    },
};

mod program;
mod stats;

const DURATION_MAX: Duration = Duration::from_mins(10);
const PROGRAMS_MAX: u64 = 100_000;
const CONCURRENCY_MAX: usize = 2048;
const TURNS_MAX: u32 = 1000;

/// Options of a load.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Addresses that calls are sent to; the calls of a program rotate over them.
    pub targets: Vec<SocketAddr>,
    /// Client accounts for which programs are run.
    pub accounts: Vec<LoadAccount>,
    /// Requested model.
    pub model: String,
    /// Whether calls go directly to an engine, with the complete history and without API keys.
    pub direct: bool,
    /// Whether responses are streamed.
    pub stream: bool,
    /// Calls per program.
    pub turns: u32,
    /// Pause between two calls of a program, which represents a tool run.
    pub tool_pause: Duration,
    /// Bytes of new text in each call.
    pub prompt_bytes: usize,
    /// Maximum number of tokens generated per call.
    pub max_tokens: u64,
    /// Maximum number of retries of a call that was refused or broken off.
    pub retries: u32,
    /// Timeout of each attempt; without a complete response by then, the attempt counts as broken off.
    pub call_timeout: Duration,
    /// Maximum number of programs started per account.
    pub programs: u64,
    /// Time after which no programs are started.
    pub duration: Duration,
    /// Time after `duration` in which running programs can finish.
    pub drain: Duration,
    /// Seed of the random start times.
    pub seed: u64,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            targets: Vec::new(),
            accounts: Vec::new(),
            model: "m".to_owned(),
            direct: false,
            stream: true,
            turns: 4,
            tool_pause: Duration::from_millis(50),
            prompt_bytes: 400,
            max_tokens: 64,
            retries: 20,
            call_timeout: Duration::from_secs(30),
            programs: 1000,
            duration: Duration::from_secs(10),
            drain: Duration::from_secs(30),
            seed: 0,
        }
    }
}

/// A client account and its load.
#[derive(Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadAccount {
    /// Account id, used in the report.
    pub account_id: String,
    /// API key sent with its calls; if empty, none is sent.
    #[serde(default)]
    pub key: String,
    /// Programs started per second; 0 starts a program as soon as another has ended.
    #[serde(default)]
    pub programs_per_s: f64,
    /// Maximum number of concurrent programs.
    pub concurrency: usize,
}

impl std::fmt::Debug for LoadAccount {
    // Keys must not appear in debug output.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LoadAccount")
            .field("account_id", &self.account_id)
            .field("programs_per_s", &self.programs_per_s)
            .field("concurrency", &self.concurrency)
            .finish_non_exhaustive()
    }
}

/// Runs the load and returns a report of its outcomes and latencies.
///
/// # Errors
///
/// Fails before sending anything when a target is not a loopback address or an option is out of range.
pub async fn run(options: LoadOptions) -> Result<LoadReport> {
    validate(&options)?;
    let shape = Arc::new(ProgramShape::new(&options));
    let start = Instant::now();
    let mut running = JoinSet::new();
    for (index, account) in options.accounts.iter().enumerate() {
        let load = AccountLoad {
            account: account.clone(),
            index,
            shape: Arc::clone(&shape),
            stats: Arc::new(AccountStats::default()),
            client: HttpClient::with_timeout(options.call_timeout),
            start,
            programs: options.programs,
            stop_at: start + options.duration,
            drain_deadline: start + options.duration + options.drain,
            rng: ChaCha8Rng::seed_from_u64(options.seed.wrapping_add(index as u64)),
        };
        running.spawn(load.run());
    }
    let mut reports = running.join_all().await;
    reports.sort_by(|a, b| a.account_id.cmp(&b.account_id));
    Ok(LoadReport {
        duration: start.elapsed(),
        accounts: reports,
    })
}

fn validate(options: &LoadOptions) -> Result<()> {
    if let Some(target) = options.targets.iter().find(|target| !target.ip().is_loopback()) {
        return Err(StandinError::NotLoopback(*target));
    }
    let concurrency: usize = options.accounts.iter().map(|account| account.concurrency).sum();
    let rates_valid = options
        .accounts
        .iter()
        .all(|account| account.programs_per_s.is_finite() && account.programs_per_s >= 0.0);
    let checks = [
        (!options.targets.is_empty(), "no target was given"),
        (!options.accounts.is_empty(), "no account was given"),
        (rates_valid, "programs_per_s must be 0 or more"),
        (
            options.accounts.iter().all(|account| account.concurrency > 0),
            "concurrency must be at least 1",
        ),
        (
            concurrency <= CONCURRENCY_MAX,
            "at most 2048 programs may run concurrently",
        ),
        (
            options.programs <= PROGRAMS_MAX,
            "programs must be at most 100000",
        ),
        (options.duration <= DURATION_MAX, "duration must be at most 600 s"),
        (options.drain <= DURATION_MAX, "drain must be at most 600 s"),
        (
            (1..=TURNS_MAX).contains(&options.turns),
            "turns must be from 1 to 1000",
        ),
    ];
    match checks.iter().find(|(valid, _)| !valid) {
        None => Ok(()),
        Some((_, reason)) => Err(StandinError::Option((*reason).to_owned())),
    }
}

/// Load of one account.
struct AccountLoad {
    account: LoadAccount,
    index: usize,
    shape: Arc<ProgramShape>,
    stats: Arc<AccountStats>,
    client: HttpClient,
    start: Instant,
    programs: u64,
    stop_at: Instant,
    drain_deadline: Instant,
    rng: ChaCha8Rng,
}

impl AccountLoad {
    async fn run(mut self) -> AccountReport {
        let slots = Arc::new(Semaphore::new(self.account.concurrency));
        let mut running = JoinSet::new();
        let mut due = self.start;
        for number in 0..self.programs {
            due = self.next_due(due);
            if due >= self.stop_at {
                break;
            }
            tokio::time::sleep_until(due).await;
            let slot = timeout_at(self.stop_at, Arc::clone(&slots).acquire_owned()).await;
            let Ok(Ok(slot)) = slot else {
                self.count_unstarted(due, self.programs - number);
                break;
            };
            let latency_start = if self.is_open_loop() { due } else { Instant::now() };
            let program = self.program(number, latency_start);
            running.spawn(async move {
                program.run().await;
                drop(slot);
            });
            while running.try_join_next().is_some() {}
        }
        self.drain(running).await;
        self.stats.report(&self.account.account_id)
    }

    /// Counts the programs that were due before `stop_at` but did not start.
    ///
    /// Without a rate, programs have no due time, so none is counted.
    fn count_unstarted(&mut self, mut due: Instant, remaining: u64) {
        if !self.is_open_loop() {
            return;
        }
        for _ in 0..remaining {
            if due >= self.stop_at {
                break;
            }
            self.stats.add_unstarted();
            due = self.next_due(due);
        }
    }

    fn is_open_loop(&self) -> bool {
        self.account.programs_per_s > 0.0
    }

    /// Returns the due time of the next program; without a rate, it is due at once.
    ///
    /// With a rate, the due times form a Poisson process, so program starts are independent of each other.
    fn next_due(&mut self, last: Instant) -> Instant {
        if !self.is_open_loop() {
            return last;
        }
        let sample: f64 = self.rng.random();
        let interval_s = -(1.0 - sample).ln() / self.account.programs_per_s;
        last + Duration::try_from_secs_f64(interval_s).unwrap_or(DURATION_MAX)
    }

    fn program(&self, number: u64, latency_start: Instant) -> Program {
        Program {
            shape: Arc::clone(&self.shape),
            stats: Arc::clone(&self.stats),
            client: self.client.clone(),
            key: self.account.key.clone(),
            label: format!("load-{}-{number}", self.index),
            first_target: usize::try_from(number).unwrap_or_default() + self.index,
            latency_start,
        }
    }

    /// Waits for the running programs, and aborts those that still run at the drain deadline.
    async fn drain(&self, mut running: JoinSet<()>) {
        while let Ok(Some(_)) = timeout_at(self.drain_deadline, running.join_next()).await {}
        self.stats.add_unfinished(running.len() as u64);
        running.shutdown().await;
    }
}
