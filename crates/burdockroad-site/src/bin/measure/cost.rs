//! Cost of a scheduling decision as a function of the number of waiting programs.

use std::time::{Duration, Instant};

use burdockroad::dispatch::{Call, EndpointInfo, Pool, Report, SlotId};

use crate::{
    Bound, Figure,
    load::{Generator, to_f64},
    policies::account_id,
};

/// Programs with a waiting call in the smaller and the larger run.
const SMALL_PROGRAM_COUNT: usize = 1_000;
const LARGE_PROGRAM_COUNT: usize = 1_000_000;

/// Decisions per run, and number of runs. The result is the lowest mean cost of a run.
const DECISIONS: usize = 50_000;
const RUNS: usize = 5;

const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;
const ACCOUNTS: usize = 8;

/// Measures the growth of a call's cost when the number of waiting programs grows a thousandfold.
pub(crate) fn decision_cost(seed: u64) -> Figure {
    let small_cost_ns = cost_ns(SMALL_PROGRAM_COUNT, seed);
    let large_cost_ns = cost_ns(LARGE_PROGRAM_COUNT, seed);
    Figure {
        case: "decision_cost",
        name: "growth_of_ns_per_call",
        baseline: small_cost_ns,
        value: large_cost_ns / small_cost_ns,
        bound: Bound::AtMost(2.0),
    }
}

/// Returns the time in nanoseconds to submit a call, assign it a slot and release the slot, with
/// `programs` waiting programs.
fn cost_ns(programs: usize, seed: u64) -> f64 {
    let now = Instant::now();
    let mut generator = Generator::new(seed);
    let mut pool = Pool::new(now).with_waiting_max(2 * programs);
    let infos = (0..ENDPOINTS).map(|endpoint| EndpointInfo::new(format!("e{endpoint}"), SLOTS));
    pool.set_endpoints(infos.collect(), now);
    for program in 0..programs {
        pool.submit(random_call(program, &mut generator, now), now);
    }
    let mut slots: Vec<SlotId> = pool.tick(now).assignments.iter().map(|a| a.slot_id).collect();
    let runs = (0..RUNS).map(|_| mean_cost_ns(&mut pool, &mut slots, programs, &mut generator, now));
    runs.fold(f64::INFINITY, f64::min)
}

/// Returns the mean cost of [`DECISIONS`] decisions in nanoseconds.
fn mean_cost_ns(
    pool: &mut Pool,
    slots: &mut Vec<SlotId>,
    programs: usize,
    generator: &mut Generator,
    now: Instant,
) -> f64 {
    let calls: Vec<Call> = (0..DECISIONS)
        .map(|_| {
            let program = generator.below(programs);
            random_call(program, generator, now)
        })
        .collect();
    let report = Report {
        prompt_tokens: 2_000,
        output_tokens: 200,
        first_token: Some(Duration::from_millis(400)),
        ..Report::default()
    };
    let started_at = Instant::now();
    for call in calls {
        if let Some(slot_id) = slots.pop() {
            pool.complete(slot_id, &report, now);
        }
        pool.submit(call, now);
        slots.extend(pool.tick(now).assignments.iter().map(|a| a.slot_id));
    }
    started_at.elapsed().as_secs_f64() * 1e9 / to_f64(DECISIONS as u64)
}

fn random_call(program: usize, generator: &mut Generator, now: Instant) -> Call {
    Call {
        program_id: Some(format!("p{program}")),
        first: false,
        prompt_tokens: 2_000,
        max_output_tokens: 500,
        attained_tokens: 100 * generator.below(100) as u64,
        ..Call::new(
            account_id(program % ACCOUNTS),
            now + Duration::from_secs(3_600 + generator.below(60) as u64),
        )
    }
}
