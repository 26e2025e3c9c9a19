//! Compares scheduling and admission with baselines under the same load and seed.
//!
//! `cargo run --release --bin measure -- [--seed N] [--case NAME]` prints one line per figure. It exits
//! with 0 only if all figures are within their bounds.

mod cost;
mod driver;
mod load;
mod policies;
mod pool_cases;
mod quota_cases;
mod quota_fleet;
mod site_cases;

use std::process::ExitCode;

use anyhow::{Result, ensure};
use burdockroad_standins::processes::require_binaries;

/// Seed of a run without `--seed`.
const DEFAULT_SEED: u64 = 6;

/// Measured figure with its baseline and its bound.
#[derive(Clone, Debug)]
struct Figure {
    case: &'static str,
    name: &'static str,
    baseline: f64,
    value: f64,
    bound: Bound,
}

/// Bound of a figure.
#[derive(Clone, Copy, Debug)]
enum Bound {
    /// Largest value that passes.
    AtMost(f64),
    /// Smallest value that passes.
    AtLeast(f64),
}

/// Name of a case, and the function that measures its figure with a seed.
type Case = (&'static str, fn(u64) -> Figure);

const CASES: [Case; 14] = [
    ("trust_mixed", pool_cases::trust_mixed),
    ("flooding_account", pool_cases::flooding_account),
    ("tool_pauses", pool_cases::tool_pauses),
    ("overload", pool_cases::overload),
    ("decision_cost", cost::decision_cost),
    ("skewed_balancer", quota_cases::skewed_balancer),
    ("quota_windows", quota_cases::quota_windows),
    ("added_latency", site_cases::added_latency),
    ("added_latency_forwarded", site_cases::added_latency_forwarded),
    ("host_killed", site_cases::host_killed),
    ("host_killed_lost", site_cases::host_killed_lost),
    ("store_down", site_cases::store_down),
    ("store_writes", site_cases::store_writes),
    ("store_reads", site_cases::store_reads),
];

/// Cases that start binaries of the workspace as processes.
const PROCESS_CASES: [&str; 7] = [
    "added_latency",
    "added_latency_forwarded",
    "host_killed",
    "host_killed_lost",
    "store_down",
    "store_writes",
    "store_reads",
];

impl Figure {
    fn passes(&self) -> bool {
        match self.bound {
            Bound::AtMost(bound) => self.value <= bound,
            Bound::AtLeast(bound) => self.value >= bound,
        }
    }

    fn print(&self) {
        let (Bound::AtMost(bound) | Bound::AtLeast(bound)) = self.bound;
        let verdict = if self.passes() { "pass" } else { "short" };
        println!(
            "case={} figure={} baseline={:.3} value={:.3} bound={bound} verdict={verdict}",
            self.case, self.name, self.baseline, self.value
        );
    }
}

fn main() -> Result<ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let only: Option<String> = args.opt_value_from_str("--case")?;
    let rest = args.finish();
    ensure!(rest.is_empty(), "unknown arguments: {rest:?}");
    let chosen: Vec<&Case> = CASES
        .iter()
        .filter(|(name, _)| only.as_deref().is_none_or(|only| only == *name))
        .collect();
    ensure!(!chosen.is_empty(), "unknown case name");
    if chosen.iter().any(|(name, _)| PROCESS_CASES.contains(name)) {
        // A missing binary is a usage error, so it is reported in one line without a backtrace.
        if let Err(error) = require_binaries(&["burdockroad-standin", "burdockroadd"]) {
            eprintln!("{error}");
            return Ok(ExitCode::from(2));
        }
    }
    let mut passed = true;
    for (_, measure) in chosen {
        let figure = measure(seed);
        figure.print();
        passed &= figure.passes();
    }
    Ok(if passed {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
