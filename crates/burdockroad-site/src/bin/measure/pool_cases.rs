//! Cases that measure the scheduler's pool: latency, fairness, caching and overload.

use std::time::Instant;

use crate::{
    Bound, Figure,
    driver::{Driver, EndedProgram, Outcome, PoolSize},
    load::{Generator, Program, mean_slot_time_s, to_f64},
    policies::{LeastLoaded, Policy, PoolPolicy, RoundRobin},
};

/// Endpoints of the pool and slots of each endpoint, as in the larger pool of either user.
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;

/// Tokens that an engine can cache in the cases that do not measure caching.
const CACHE_TOKENS: u64 = 400_000;

/// Shares of the accounts in the load, which are also their weights. A few accounts are large.
const SHARES: [f64; 8] = [0.3, 0.2, 0.1, 0.1, 0.1, 0.1, 0.05, 0.05];

/// Offered load as a share of the capacity. The capacity assumes that no prefix is cached.
const OFFERED_LOAD: f64 = 0.9;

/// Account that exceeds its share, and the factor by which it does.
const FLOODING_ACCOUNT: usize = 1;
const FLOOD_FACTOR: f64 = 5.0;

/// Duration of a run, and of the warm-up at its start, which is not measured.
const DURATION_S: f64 = 1_800.0;
const WARM_UP_S: f64 = 300.0;

/// Programs that run concurrently in the caching case, and the total number of programs.
const CONCURRENT_PROGRAMS: usize = 160;
const TOTAL_PROGRAMS: usize = 3_000;

/// Mean number of tokens in a running program's history.
const MEAN_CONTEXT_TOKENS: u64 = 14_000;

/// Loads of the overload case, as multiples of the load that saturates the pool.
const OVERLOAD_FACTORS: [f64; 5] = [1.0, 1.5, 2.0, 3.0, 4.0];

/// Compares the program latency at 90 % of the capacity with that of the round-robin baseline.
pub(crate) fn trust_mixed(seed: u64) -> Figure {
    let programs = arrivals(seed, &rates(seed, OFFERED_LOAD));
    let mut baseline = RoundRobin::new(ENDPOINTS, SLOTS);
    let baseline = run(&mut baseline, pool_size(), programs.clone(), seed);
    let value = run_pool_policy(pool_size(), &SHARES, programs, seed);
    let baseline_s = percentile_95(&baseline, None);
    let value_s = percentile_95(&value, None);
    Figure {
        case: "trust_mixed",
        name: "p95_program_latency_ratio",
        baseline: baseline_s,
        value: value_s / baseline_s,
        bound: Bound::AtMost(0.5),
    }
}

/// Compares each account's latency on a pool that it shares with a flooding account to its latency alone
/// on its own share of the pool. The figure is the highest ratio over the accounts that do not flood.
pub(crate) fn flooding_account(seed: u64) -> Figure {
    let mut rates = rates(seed, OFFERED_LOAD);
    rates[FLOODING_ACCOUNT] *= FLOOD_FACTOR;
    let programs = arrivals(seed, &rates);
    let mixed = run_pool_policy(pool_size(), &SHARES, programs.clone(), seed);
    let mut worst = (0.0, 0.0);
    for (account, share) in SHARES.iter().enumerate() {
        if account == FLOODING_ACCOUNT {
            continue;
        }
        let own_programs = programs.iter().filter(|program| program.account == account);
        let alone = run_pool_policy(
            share_of_pool(*share),
            &SHARES,
            own_programs.cloned().collect(),
            seed,
        );
        let alone_s = percentile_95(&alone, Some(account));
        let ratio = percentile_95(&mixed, Some(account)) / alone_s;
        if ratio > worst.1 {
            worst = (alone_s, ratio);
        }
    }
    Figure {
        case: "flooding_account",
        name: "worst_other_p95_ratio",
        baseline: worst.0,
        value: worst.1,
        bound: Bound::AtMost(1.2),
    }
}

/// Compares the recomputed prompt tokens with those of the least-loaded baseline. The caches have
/// room for half of the histories of the running programs.
pub(crate) fn tool_pauses(seed: u64) -> Figure {
    let working_set = CONCURRENT_PROGRAMS as u64 * MEAN_CONTEXT_TOKENS;
    let pool_size = PoolSize {
        cache_tokens: working_set / 2 / ENDPOINTS as u64,
        ..pool_size()
    };
    let mut generator = Generator::new(seed);
    let first: Vec<Program> = (0..CONCURRENT_PROGRAMS)
        .map(|_| generator.program(0, 0.0))
        .collect();
    let run = |policy: &mut dyn Policy, start| {
        Driver::new(policy, pool_size, first.clone(), start, seed)
            .closed_loop(TOTAL_PROGRAMS)
            .run()
    };
    let start = Instant::now();
    let baseline = run(&mut LeastLoaded::new(ENDPOINTS, SLOTS), start).recomputed_tokens;
    let value = run(&mut PoolPolicy::new(ENDPOINTS, SLOTS, &SHARES, start), start).recomputed_tokens;
    Figure {
        case: "tool_pauses",
        name: "recomputed_tokens_ratio",
        baseline: to_f64(baseline),
        value: to_f64(value) / to_f64(baseline),
        bound: Bound::AtMost(1.0 / 3.0),
    }
}

/// Compares the lowest goodput under overload with the highest one over all loads. Goodput counts the
/// output tokens of finished programs.
pub(crate) fn overload(seed: u64) -> Figure {
    let saturated_tokens_per_s = goodput_per_s(seed, &rates(seed, 2.0));
    let mean_tokens = mean_output_tokens(seed);
    let goodputs = OVERLOAD_FACTORS.map(|load| {
        let rates = SHARES.map(|share| saturated_tokens_per_s / mean_tokens * share * load);
        goodput_per_s(seed, &rates)
    });
    let peak = goodputs.iter().copied().fold(0.0, f64::max);
    let lowest = goodputs.iter().copied().fold(f64::INFINITY, f64::min);
    Figure {
        case: "overload",
        name: "least_goodput_to_peak",
        baseline: peak,
        value: lowest / peak,
        bound: Bound::AtLeast(0.95),
    }
}

fn pool_size() -> PoolSize {
    PoolSize {
        endpoints: ENDPOINTS,
        slots: SLOTS,
        cache_tokens: CACHE_TOKENS,
    }
}

/// Returns the size of one account's share of the pool: whole endpoints, or some slots of one endpoint.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share of ten endpoints"
)]
fn share_of_pool(share: f64) -> PoolSize {
    let endpoints = share * to_f64(ENDPOINTS as u64);
    if endpoints >= 1.0 {
        return PoolSize {
            endpoints: endpoints.round() as usize,
            ..pool_size()
        };
    }
    PoolSize {
        endpoints: 1,
        slots: (f64::from(SLOTS) * endpoints).round() as u32,
        cache_tokens: (to_f64(CACHE_TOKENS) * endpoints).round() as u64,
    }
}

/// Returns the programs per second of each account at a load, given as a share of the capacity.
fn rates(seed: u64, load: f64) -> [f64; 8] {
    let slots = to_f64(ENDPOINTS as u64) * f64::from(SLOTS);
    let per_s = load * slots / mean_slot_time_s(seed);
    SHARES.map(|share| share * per_s)
}

fn arrivals(seed: u64, rates_per_s: &[f64]) -> Vec<Program> {
    Generator::new(seed).arrivals(rates_per_s, DURATION_S)
}

fn run(policy: &mut dyn Policy, pool_size: PoolSize, programs: Vec<Program>, seed: u64) -> Outcome {
    Driver::new(policy, pool_size, programs, Instant::now(), seed).run()
}

fn run_pool_policy(pool_size: PoolSize, weights: &[f64], programs: Vec<Program>, seed: u64) -> Outcome {
    let start = Instant::now();
    let mut policy = PoolPolicy::new(pool_size.endpoints, pool_size.slots, weights, start);
    Driver::new(&mut policy, pool_size, programs, start, seed).run()
}

/// Returns the 95th percentile of the program latency in seconds. An unfinished program counts with an
/// infinite latency.
fn percentile_95(outcome: &Outcome, account: Option<usize>) -> f64 {
    let counted = |ended: &&EndedProgram| {
        ended.arrival_s >= WARM_UP_S && account.is_none_or(|account| account == ended.account)
    };
    let mut latencies: Vec<f64> = outcome
        .ended
        .iter()
        .filter(counted)
        .map(|ended| {
            if ended.finished {
                ended.ended_at_s - ended.arrival_s
            } else {
                f64::INFINITY
            }
        })
        .collect();
    latencies.sort_by(f64::total_cmp);
    latencies[latencies.len() * 95 / 100]
}

/// Returns the output tokens per second of programs that finish between the warm-up and the end of the
/// load.
fn goodput_per_s(seed: u64, rates_per_s: &[f64]) -> f64 {
    let outcome = run_pool_policy(pool_size(), &SHARES, arrivals(seed, rates_per_s), seed);
    let counted =
        |ended: &&EndedProgram| ended.finished && (WARM_UP_S..DURATION_S).contains(&ended.ended_at_s);
    let tokens: u64 = outcome
        .ended
        .iter()
        .filter(counted)
        .map(|ended| ended.output_tokens)
        .sum();
    to_f64(tokens) / (DURATION_S - WARM_UP_S)
}

fn mean_output_tokens(seed: u64) -> f64 {
    let mut generator = Generator::new(seed);
    let sample: Vec<Program> = (0..4_000).map(|_| generator.program(0, 0.0)).collect();
    let turns = sample.iter().flat_map(|program| &program.turns);
    let tokens: u64 = turns.map(|turn| turn.output_tokens).sum();
    to_f64(tokens) / to_f64(sample.len() as u64)
}
