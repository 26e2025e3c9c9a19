//! Metrics of the daemon, and what each client account gets.
//!
//! Prometheus keeps one series for each value of a label, so only the busiest accounts have their own
//! label and the others share one. The figures behind `status` are kept for all accounts apart.

mod accounts;
mod labels;

use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::AccountId;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use metrics_util::MetricKindMask;
use tokio::time::sleep;

use self::accounts::AccountTable;
pub use self::{accounts::AccountService, labels::AccountLabels};

/// Accounts that have a label of their own.
pub const ACCOUNT_LABELS_MAX: usize = 50;

/// Time between two choices of the accounts that have their own label, and length of a window of the
/// figures behind `status`.
pub const ROTATE_INTERVAL: Duration = Duration::from_mins(5);

/// Time between two rounds in which recorded durations are moved into the histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Time after which a series that nothing was added to is dropped.
const SERIES_IDLE: Duration = Duration::from_mins(30);

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_S: [f64; 14] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 120.0, 600.0,
];

/// A duration that is measured for each account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Measure {
    /// From a program's creation to its end.
    Program,
    /// From a call's arrival to its slot at an endpoint.
    Queue,
    /// From sending a completion to the first byte of its answer.
    FirstToken,
}

/// Why a call was refused, as it counts for the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The account was over its rate and burst.
    OverRate,
    /// Something else was short, although the account was within its rate.
    InsideRate,
}

/// Metrics of this process.
#[derive(Clone, Debug)]
pub struct Telemetry {
    inner: Arc<Inner>,
}

struct Inner {
    prometheus: Option<PrometheusHandle>,
    accounts: Mutex<Accounts>,
}

#[derive(Debug)]
struct Accounts {
    labels: AccountLabels,
    table: AccountTable,
}

impl Telemetry {
    /// Makes the metrics of this process available to [`render`](Self::render).
    ///
    /// # Errors
    ///
    /// Fails when a recorder of metrics is installed already.
    pub fn install() -> Result<Self, TelemetryError> {
        let prometheus = PrometheusBuilder::new()
            .set_buckets(&BUCKETS_S)
            .map(|builder| builder.idle_timeout(MetricKindMask::ALL, Some(SERIES_IDLE)))
            .and_then(PrometheusBuilder::install_recorder)
            .map_err(|cause| TelemetryError {
                reason: cause.to_string(),
            })?;
        Ok(Self::with(Some(prometheus)))
    }

    /// Makes telemetry whose metrics go to the recorder that is installed, if any; for embedding.
    pub fn without_exporter() -> Self {
        Self::with(None)
    }

    fn with(prometheus: Option<PrometheusHandle>) -> Self {
        let accounts = Accounts {
            labels: AccountLabels::new(ACCOUNT_LABELS_MAX),
            table: AccountTable::default(),
        };
        Self {
            inner: Arc::new(Inner {
                prometheus,
                accounts: Mutex::new(accounts),
            }),
        }
    }

    /// Returns all metrics in Prometheus' text form.
    pub fn render(&self) -> String {
        let prometheus = self.inner.prometheus.as_ref();
        prometheus.map(PrometheusHandle::render).unwrap_or_default()
    }

    /// Adds a duration of an account.
    pub fn record(&self, account_id: &AccountId, measure: Measure, duration: Duration) {
        let label = {
            let mut accounts = self.accounts();
            accounts.table.record(account_id, measure, duration);
            accounts.labels.label(account_id)
        };
        metrics::histogram!(measure.metric(), "account" => label).record(duration.as_secs_f64());
    }

    /// Counts a refusal of an account.
    pub fn refused(&self, account_id: &AccountId, because: RefusalReason) {
        let label = {
            let mut accounts = self.accounts();
            accounts.table.refused(account_id, because);
            accounts.labels.label(account_id)
        };
        let because = because.label();
        metrics::counter!("burdockroad_refused_total", "account" => label, "because" => because).increment(1);
    }

    /// Counts tokens of a prompt that an engine had to compute although it had computed them before.
    pub fn record_recomputed_tokens(&self, account_id: &AccountId, tokens: u64) {
        let label = self.accounts().labels.label(account_id);
        metrics::counter!("burdockroad_cache_wasted_tokens_total", "account" => label).increment(tokens);
    }

    /// Returns up to `count` accounts, the worst served first: refusals inside the rate, then latency.
    pub fn worst_served(&self, count: usize) -> Vec<AccountService> {
        self.accounts().table.worst_served(count)
    }

    /// Keeps the figures in bounds for as long as the daemon runs; to be spawned once.
    pub async fn maintain(self) {
        let mut last_rotated = Instant::now();
        loop {
            sleep(UPKEEP_INTERVAL).await;
            if let Some(prometheus) = &self.inner.prometheus {
                prometheus.run_upkeep();
            }
            if last_rotated.elapsed() >= ROTATE_INTERVAL {
                self.rotate();
                last_rotated = Instant::now();
            }
        }
    }

    /// Starts a new window, and chooses anew which accounts have their own label.
    pub fn rotate(&self) {
        let mut accounts = self.accounts();
        accounts.labels.rotate();
        accounts.table.rotate();
    }

    fn accounts(&self) -> MutexGuard<'_, Accounts> {
        self.inner.accounts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Inner {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Inner")
            .field("accounts", &self.accounts)
            .finish_non_exhaustive()
    }
}

impl Measure {
    fn metric(self) -> &'static str {
        match self {
            Self::Program => "burdockroad_program_latency_seconds",
            Self::Queue => "burdockroad_queue_time_seconds",
            Self::FirstToken => "burdockroad_first_token_seconds",
        }
    }
}

impl RefusalReason {
    fn label(self) -> &'static str {
        match self {
            Self::OverRate => "over_rate",
            Self::InsideRate => "inside_rate",
        }
    }
}

/// Why metrics cannot be collected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TelemetryError {
    reason: String,
}

impl fmt::Display for TelemetryError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "metrics cannot be collected: {}", self.reason)
    }
}

impl std::error::Error for TelemetryError {}
