//! A load generator: programs of several turns, with tool pauses, for several client accounts.
//!
//! It is bounded in count and time, and sends to loopback addresses only. With a rate, programs start
//! when they are due, and their latency counts from then on, whether or not the system kept up. Without
//! one, each of a number of callers runs one program after the other.

pub use crate::load::figures::{AccountReport, LatencyFigures, LoadReport, RefusalCount};

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
        figures::Figures,
        program::{Program, ProgramShape},
    },
};

mod figures;
mod program;

const DURATION_MAX: Duration = Duration::from_mins(10);
const PROGRAMS_MAX: u64 = 100_000;
const CONCURRENCY_MAX: usize = 2048;
const TURNS_MAX: u32 = 1000;

/// What load to generate.
#[derive(Clone, Debug)]
pub struct LoadOptions {
    /// Callers' addresses; the calls of a program go to each in turn.
    pub targets: Vec<SocketAddr>,
    /// Client accounts that programs are run for.
    pub accounts: Vec<LoadAccount>,
    /// Model that is asked for.
    pub model: String,
    /// Whether calls go straight to an engine, with the whole history and without keys.
    pub direct: bool,
    /// Whether answers are streamed.
    pub stream: bool,
    /// Calls of each program.
    pub turns: u32,
    /// Pause between two calls of a program, in which its tool runs.
    pub tool_pause: Duration,
    /// Bytes of new text in each call.
    pub prompt_bytes: usize,
    /// Tokens that each call may have generated.
    pub max_tokens: u64,
    /// Further tries of a call that was refused or broke off.
    pub retries: u32,
    /// Time after which a call without a whole answer counts as broken off.
    pub call_timeout: Duration,
    /// Programs that are started at most, for each account.
    pub programs: u64,
    /// Time after which no more programs are started.
    pub duration: Duration,
    /// Time that programs under way then have to end.
    pub drain: Duration,
    /// Seed of the times at which programs start.
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

/// One client account and how much it sends.
#[derive(Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadAccount {
    /// Name of the account, for the figures.
    pub account_id: String,
    /// Key that its calls carry; empty sends none.
    #[serde(default)]
    pub key: String,
    /// Programs that start each second; 0 starts one as soon as another has ended.
    #[serde(default)]
    pub programs_per_s: f64,
    /// Programs that run at once at most.
    pub concurrency: usize,
}

impl std::fmt::Debug for LoadAccount {
    // Keys are kept out of whatever is printed.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LoadAccount")
            .field("account_id", &self.account_id)
            .field("programs_per_s", &self.programs_per_s)
            .field("concurrency", &self.concurrency)
            .finish_non_exhaustive()
    }
}

/// Runs the load and reports what its callers saw.
///
/// # Errors
///
/// Fails before anything is sent when a target is not loopback or a bound is exceeded.
pub async fn run(options: LoadOptions) -> Result<LoadReport> {
    check(&options)?;
    let shape = Arc::new(ProgramShape::new(&options));
    let start = Instant::now();
    let mut running = JoinSet::new();
    for (index, account) in options.accounts.iter().enumerate() {
        let stream = AccountLoad {
            account: account.clone(),
            index,
            shape: Arc::clone(&shape),
            figures: Arc::new(Figures::default()),
            client: HttpClient::with_timeout(options.call_timeout),
            start,
            programs: options.programs,
            stop_at: start + options.duration,
            drained_at: start + options.duration + options.drain,
            rng: ChaCha8Rng::seed_from_u64(options.seed.wrapping_add(index as u64)),
        };
        running.spawn(stream.run());
    }
    let mut reports = running.join_all().await;
    reports.sort_by(|a, b| a.account_id.cmp(&b.account_id));
    Ok(LoadReport {
        duration: start.elapsed(),
        accounts: reports,
    })
}

fn check(options: &LoadOptions) -> Result<()> {
    if let Some(target) = options.targets.iter().find(|target| !target.ip().is_loopback()) {
        return Err(StandinError::NotLoopback(*target));
    }
    let concurrency: usize = options.accounts.iter().map(|account| account.concurrency).sum();
    let rates_ok = options
        .accounts
        .iter()
        .all(|account| account.programs_per_s.is_finite() && account.programs_per_s >= 0.0);
    let checks = [
        (!options.targets.is_empty(), "there is no target"),
        (!options.accounts.is_empty(), "there is no account"),
        (rates_ok, "programs_per_s must be 0 or more"),
        (
            options.accounts.iter().all(|account| account.concurrency > 0),
            "concurrency must be at least 1",
        ),
        (
            concurrency <= CONCURRENCY_MAX,
            "at most 2048 programs run at once",
        ),
        (
            options.programs <= PROGRAMS_MAX,
            "at most 100000 programs are started",
        ),
        (options.duration <= DURATION_MAX, "the duration is at most 600 s"),
        (options.drain <= DURATION_MAX, "the drain time is at most 600 s"),
        (
            (1..=TURNS_MAX).contains(&options.turns),
            "turns must be 1 to 1000",
        ),
    ];
    match checks.iter().find(|(holds, _)| !holds) {
        None => Ok(()),
        Some((_, reason)) => Err(StandinError::Option((*reason).to_owned())),
    }
}

/// The programs of one account.
struct AccountLoad {
    account: LoadAccount,
    index: usize,
    shape: Arc<ProgramShape>,
    figures: Arc<Figures>,
    client: HttpClient,
    start: Instant,
    programs: u64,
    stop_at: Instant,
    drained_at: Instant,
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
            let begun = if self.is_paced() { due } else { Instant::now() };
            let program = self.program(number, begun);
            running.spawn(async move {
                program.run().await;
                drop(slot);
            });
            while running.try_join_next().is_some() {}
        }
        self.drain(running).await;
        self.figures.report(&self.account.account_id)
    }

    /// Counts the programs that were due before the time was over; without a rate none ever is.
    fn count_unstarted(&mut self, mut due: Instant, left: u64) {
        if !self.is_paced() {
            return;
        }
        for _ in 0..left {
            if due >= self.stop_at {
                break;
            }
            self.figures.add_unstarted();
            due = self.next_due(due);
        }
    }

    fn is_paced(&self) -> bool {
        self.account.programs_per_s > 0.0
    }

    /// Draws the time at which the next program starts, so that starts are independent of each other.
    fn next_due(&mut self, last: Instant) -> Instant {
        if !self.is_paced() {
            return last;
        }
        let share: f64 = self.rng.random();
        let interval_s = -(1.0 - share).ln() / self.account.programs_per_s;
        last + Duration::try_from_secs_f64(interval_s).unwrap_or(DURATION_MAX)
    }

    fn program(&self, number: u64, begun: Instant) -> Program {
        Program {
            shape: Arc::clone(&self.shape),
            figures: Arc::clone(&self.figures),
            client: self.client.clone(),
            key: self.account.key.clone(),
            label: format!("load-{}-{number}", self.index),
            first_target: usize::try_from(number).unwrap_or_default() + self.index,
            begun,
        }
    }

    /// Waits for the programs under way, and gives up those that take too long.
    async fn drain(&self, mut running: JoinSet<()>) {
        while let Ok(Some(_)) = timeout_at(self.drained_at, running.join_next()).await {}
        self.figures.add_unfinished(running.len() as u64);
        running.shutdown().await;
    }
}
