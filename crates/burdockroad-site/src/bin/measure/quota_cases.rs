//! Cases that measure the enforcement of rates and bursts.

use std::time::Duration;

use burdockroad::quota::Limits;

use crate::{
    Bound, Figure,
    load::Generator,
    quota_fleet::{ADMISSION_TIMEOUT, Fault, QuotaFleet, Takeover},
};

/// Number of entry hosts.
const HOSTS: usize = 7;

/// Calls that the load balancer sends to the favoured host for each call to another host.
const FAVOURED_HOST_WEIGHT: usize = 5;

/// Period after which the load balancer favours the next host.
const FAVOURED_HOST_PERIOD_S: f64 = 20.0;

/// Rates per second and bursts of the accounts.
const ACCOUNTS: [(f64, u32); 8] = [
    (200.0, 100),
    (100.0, 20),
    (50.0, 50),
    (20.0, 10),
    (10.0, 20),
    (5.0, 5),
    (2.0, 10),
    (1.0, 3),
];

/// Duration of a run. In [`skewed_balancer`], calls start only when the bucket is full.
const DURATION_S: f64 = 300.0;

/// Offered load as a multiple of the rate, in [`skewed_balancer`] and in [`quota_windows`].
const LOAD_INSIDE_RATE: f64 = 0.95;
const LOAD_OVER_RATE: f64 = 3.0;

/// Excess, in calls, below which a result is a rounding error.
const ROUNDING_ERROR: f64 = 1e-6;

/// Counts refused calls of accounts within their rate. The baseline gives each host a fixed share of the
/// rate and the burst.
pub(crate) fn skewed_balancer(seed: u64) -> Figure {
    let mut refused = 0;
    let mut baseline_refused = 0;
    for (index, (rate_per_s, burst)) in ACCOUNTS.iter().enumerate() {
        let limits = Limits {
            rate_per_s: *rate_per_s,
            burst: *burst,
        };
        let calls = inside_rate(limits, seed + index as u64);
        baseline_refused += refused_by_fixed_shares(limits, &calls);
        let mut fleet = QuotaFleet::new(HOSTS, limits, Takeover::Empty, seed);
        for (at, host) in calls {
            fleet.call(at, host);
        }
        fleet.run();
        refused += fleet.refused;
    }
    Figure {
        case: "skewed_balancer",
        name: "refusals_inside_rate",
        baseline: count(baseline_refused),
        value: count(refused),
        bound: Bound::AtMost(0.0),
    }
}

/// Measures by how many calls the worst time window exceeds rate and burst when owners fail. In the
/// baseline, a new owner starts with a full bucket.
pub(crate) fn quota_windows(seed: u64) -> Figure {
    Figure {
        case: "quota_windows",
        name: "most_calls_over_limit",
        baseline: worst_excess(Takeover::Full, seed),
        value: worst_excess(Takeover::Empty, seed),
        bound: Bound::AtMost(0.0),
    }
}

fn worst_excess(takeover: Takeover, seed: u64) -> f64 {
    let owner_faults = [Fault::OwnerKilled, Fault::OwnerPaused, Fault::OwnerPartitioned];
    let mut worst = 0.0_f64;
    for (index, (rate_per_s, burst)) in ACCOUNTS.iter().enumerate() {
        let limits = Limits {
            rate_per_s: *rate_per_s,
            burst: *burst,
        };
        for first in owner_faults {
            let mut fleet = QuotaFleet::new(HOSTS, limits, takeover, seed + index as u64);
            let mut generator = Generator::new(seed + index as u64);
            for (at, host) in random_calls(&mut generator, rate_per_s * LOAD_OVER_RATE, 0.0) {
                fleet.call(at, host);
            }
            let mut at_s = 10.0;
            while at_s < DURATION_S - 20.0 {
                fleet.fault(Duration::from_secs_f64(at_s), first);
                let host = generator.below(HOSTS);
                let paused_s = at_s + generator.exponential(2.0);
                fleet.fault(Duration::from_secs_f64(paused_s), Fault::HostPaused(host));
                at_s += 10.0 + generator.exponential(5.0);
            }
            fleet.run();
            worst = worst.max(excess(&fleet.admitted, limits));
        }
    }
    if worst < ROUNDING_ERROR { 0.0 } else { worst }
}

/// Returns the calls of an account that never exceeds its rate and burst, with the hosts to which a
/// skewed load balancer sends them.
fn inside_rate(limits: Limits, seed: u64) -> Vec<(Duration, usize)> {
    let burst = f64::from(limits.burst);
    let start_s = burst / limits.rate_per_s + 2.0;
    let mut generator = Generator::new(seed);
    let mut level = burst;
    let mut previous_s = start_s;
    let mut calls = random_calls(&mut generator, limits.rate_per_s * LOAD_INSIDE_RATE, start_s);
    calls.retain(|(at, _)| {
        level = (level + (at.as_secs_f64() - previous_s) * limits.rate_per_s).min(burst);
        previous_s = at.as_secs_f64();
        let inside = level >= 1.0;
        if inside {
            level -= 1.0;
        }
        inside
    });
    calls
}

fn random_calls(generator: &mut Generator, per_s: f64, start_s: f64) -> Vec<(Duration, usize)> {
    let mut calls = Vec::new();
    let mut at_s = start_s;
    while at_s < DURATION_S {
        at_s += generator.exponential(1.0 / per_s);
        calls.push((Duration::from_secs_f64(at_s), skewed_host(generator, at_s)));
    }
    calls
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a small positive quotient"
)]
fn skewed_host(generator: &mut Generator, at_s: f64) -> usize {
    let favoured_host = (at_s / FAVOURED_HOST_PERIOD_S) as usize % HOSTS;
    let drawn_host = generator.below(HOSTS - 1 + FAVOURED_HOST_WEIGHT);
    if drawn_host < HOSTS {
        drawn_host
    } else {
        favoured_host
    }
}

/// Counts the refused calls if each host has a fixed share of the rate and the burst, with the same
/// admission timeout.
fn refused_by_fixed_shares(limits: Limits, calls: &[(Duration, usize)]) -> usize {
    let hosts = count(HOSTS);
    let rate_per_s = limits.rate_per_s / hosts;
    let burst = f64::from(limits.burst) / hosts;
    let mut levels = [(burst, 0.0_f64); HOSTS];
    let mut refused = 0;
    for (at, host) in calls {
        let (level, previous_s) = &mut levels[*host];
        let at_s = at.as_secs_f64();
        *level = (*level + (at_s - *previous_s) * rate_per_s).min(burst);
        *previous_s = at_s;
        // A call may use tokens that arrive before its timeout. The level is then negative.
        if *level + rate_per_s * ADMISSION_TIMEOUT.as_secs_f64() >= 1.0 {
            *level -= 1.0;
        } else {
            refused += 1;
        }
    }
    refused
}

/// Returns by how many calls the worst time window exceeds the limits.
///
/// The level of a bucket that starts full and loses a token for each call becomes negative if and only if
/// some window exceeds the limits.
fn excess(admitted: &[Duration], limits: Limits) -> f64 {
    let burst = f64::from(limits.burst);
    let mut level = burst;
    let mut worst = 0.0_f64;
    let mut previous = admitted.first().copied().unwrap_or_default();
    for &at in admitted {
        let elapsed_s = at.saturating_sub(previous).as_secs_f64();
        level = (level + elapsed_s * limits.rate_per_s).min(burst) - 1.0;
        worst = worst.max(-level);
        previous = at;
    }
    worst
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn count(count: usize) -> f64 {
    count as f64
}
