//! Assignment of calls to slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use burdockroad::dispatch::{
    Assignment, CacheEvent, Call, CallId, EndpointInfo, LoadReport, Pool, RefusalReason, Report, Submitted,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn pool(endpoints: &[(&str, u32)], now: Instant) -> Pool {
    let mut pool = Pool::new(now);
    let infos = endpoints.iter().map(|(id, slots)| EndpointInfo::new(*id, *slots));
    pool.set_endpoints(infos.collect(), now);
    pool
}

fn completion(account_id: &str, program_id: &str, prompt_tokens: u64, slot_deadline: Instant) -> Call {
    Call {
        program_id: Some(program_id.to_owned()),
        prompt_tokens,
        max_output_tokens: 100,
        ..Call::new(account_id, slot_deadline)
    }
}

fn submitted(pool: &mut Pool, call: Call, now: Instant) -> CallId {
    match pool.submit(call, now) {
        Submitted::Waiting(call_id) => call_id,
        refused @ Submitted::Refused { .. } => panic!("{refused:?}"),
    }
}

/// Runs one call to completion, so that the pool records its result.
fn serve(pool: &mut Pool, call: Call, report: Report, now: Instant) -> Assignment {
    submitted(pool, call, now);
    let assignment = pool.tick(now).assignments.remove(0);
    pool.complete(assignment.slot_id, &report, now + Duration::from_secs(1));
    assignment
}

fn report(prompt_tokens: u64) -> Report {
    Report {
        prompt_tokens,
        output_tokens: 100,
        first_token: Some(Duration::from_millis(prompt_tokens)),
        ..Report::default()
    }
}

/// Returns the number of calls served per account in `rounds` batches that fill all slots. All calls are
/// submitted before the first batch.
fn served(weights: &[(&str, f64, u32)], rounds: u32) -> BTreeMap<String, u32> {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_hours(1);
    let mut pool = pool(&[("engine-1", 4)], now);
    let mut owners = BTreeMap::new();
    for (account_id, weight, calls) in weights {
        pool.set_weight(&(*account_id).to_owned(), *weight);
        for _ in 0..*calls {
            let call = Call {
                max_output_tokens: 100,
                ..Call::new(*account_id, slot_deadline)
            };
            owners.insert(submitted(&mut pool, call, now), *account_id);
        }
    }
    let mut served = BTreeMap::new();
    for round in 0..rounds {
        let at = now + Duration::from_secs(round.into());
        for assignment in pool.tick(at).assignments {
            *served.entry(owners[&assignment.call_id].to_owned()).or_default() += 1;
            pool.complete(assignment.slot_id, &report(0), at);
        }
    }
    served
}

#[test]
fn tick_shares_by_weight() {
    let cases = [
        ([("a", 1.0, 500), ("b", 1.0, 500)], [50, 50]),
        ([("a", 3.0, 500), ("b", 1.0, 500)], [75, 25]),
        ([("a", 1.0, 5_000), ("b", 1.0, 40)], [60, 40]),
    ];
    for (accounts, expected) in cases {
        let served = served(&accounts, 25);
        assert!(served["a"].abs_diff(expected[0]) <= 3, "{accounts:?}: {served:?}");
        assert!(served["b"].abs_diff(expected[1]) <= 3, "{accounts:?}: {served:?}");
    }
}

#[test]
fn tick_least_attained_first() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_mins(1);
    let mut pool = pool(&[("engine-1", 1)], now);
    let attained = |attained_tokens| Call {
        attained_tokens,
        ..Call::new("a", slot_deadline)
    };
    let long = submitted(&mut pool, attained(50_000), now);
    let new = submitted(&mut pool, attained(0), now + Duration::from_millis(1));
    let aged = now + Duration::from_secs(10);
    let first = pool.tick(aged).assignments.remove(0);
    assert_eq!(first.call_id, new);
    // A program that arrives much later does not overtake one that has waited.
    submitted(&mut pool, attained(0), aged);
    pool.complete(first.slot_id, &Report::default(), aged);
    assert_eq!(pool.tick(aged).assignments[0].call_id, long);
}

#[test]
fn tick_prefers_endpoint_with_cached_prefix() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_mins(1);
    let mut pool = pool(&[("engine-1", 1), ("engine-2", 1)], now);
    let cached_on = serve(
        &mut pool,
        completion("a", "p", 4_000, slot_deadline),
        report(4_000),
        now,
    );
    let again = || completion("a", "p", 4_200, slot_deadline);

    let now = now + Duration::from_secs(2);
    let call_id = submitted(&mut pool, again(), now);
    let assignment = pool.tick(now).assignments.remove(0);
    assert_eq!(
        (assignment.call_id, &assignment.endpoint_id),
        (call_id, &cached_on.endpoint_id)
    );

    // The endpoint with the cached prefix is busy, and recomputing 4,000 tokens takes longer than one call.
    submitted(&mut pool, again(), now);
    assert_eq!(pool.tick(now).assignments, []);
    // A second call would wait for two calls, which is still less than the four seconds of recomputing the
    // prefix. A fifth call would wait longer.
    for _ in 0..4 {
        submitted(&mut pool, again(), now);
    }
    let elsewhere = pool.tick(now).assignments.remove(0);
    assert_ne!(elsewhere.endpoint_id, cached_on.endpoint_id);

    // Parked calls come first when their endpoint is free.
    pool.complete(assignment.slot_id, &report(4_200), now);
    assert_eq!(pool.tick(now).assignments[0].endpoint_id, cached_on.endpoint_id);
}

#[test]
fn tick_after_cache_event() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_mins(1);
    let mut pool = pool(&[("engine-1", 4), ("engine-2", 4)], now);
    let program_id = "p".to_owned();
    for endpoint_id in ["engine-1", "engine-2"] {
        let stored = CacheEvent::Stored {
            program_id: program_id.clone(),
            tokens: 3_000,
        };
        pool.observe_cache_event(endpoint_id, &stored);
        submitted(&mut pool, completion("a", "p", 3_000, slot_deadline), now);
        assert_eq!(pool.tick(now).assignments[0].endpoint_id, endpoint_id);
        let removed = CacheEvent::Removed {
            program_id: program_id.clone(),
        };
        pool.observe_cache_event(endpoint_id, &removed);
    }
}

#[test]
fn tick_draining_endpoint() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_mins(1);
    let mut pool = pool(&[("engine-1", 1), ("engine-2", 1)], now);
    let cached_on = serve(
        &mut pool,
        completion("a", "p", 4_000, slot_deadline),
        report(4_000),
        now,
    );
    submitted(&mut pool, completion("a", "p", 4_000, slot_deadline), now);
    pool.tick(now);
    submitted(&mut pool, completion("a", "p", 4_000, slot_deadline), now);
    assert_eq!(pool.tick(now).assignments, []);

    let infos = ["engine-1", "engine-2"].map(|id| EndpointInfo {
        draining: id == cached_on.endpoint_id,
        ..EndpointInfo::new(id, 1)
    });
    pool.set_endpoints(infos.to_vec(), now);
    let moved = pool.tick(now).assignments;
    assert_eq!(moved.len(), 1);
    assert_ne!(moved[0].endpoint_id, cached_on.endpoint_id);

    pool.set_endpoints(Vec::new(), now);
    let refused = pool.submit(Call::new("a", slot_deadline), now);
    assert!(matches!(
        refused,
        Submitted::Refused {
            reason: RefusalReason::NoEndpoint,
            ..
        }
    ));
}

#[test]
fn submit_refuses_call_with_slot_after_deadline() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_secs(10);
    let mut pool = pool(&[("engine-1", 1)], now);
    serve(&mut pool, Call::new("a", slot_deadline), Report::default(), now);
    let outcomes: Vec<_> = (0..30)
        .map(|_| pool.submit(Call::new("a", slot_deadline), now))
        .collect();
    let refused = outcomes.iter().position(|outcome| {
        matches!(outcome, Submitted::Refused { reason: RefusalReason::Deadline, retry_after } if *retry_after >= Duration::from_secs(1))
    });
    // One call takes a second, and a first call may be expected to wait for half of the ten seconds to its
    // deadline.
    assert!(
        refused.is_some_and(|index| (4..=6).contains(&index)),
        "{outcomes:?}"
    );
    // Another account has its own share of the endpoint.
    assert!(matches!(
        pool.submit(Call::new("b", slot_deadline), now),
        Submitted::Waiting(_)
    ));

    pool.tick(now);
    let late = pool.tick(slot_deadline);
    assert!(late.assignments.is_empty());
    // `outcomes` contains the call that got the slot, but not the refused call of account `b`.
    assert_eq!(late.refused.len(), queued_calls(&outcomes));
    assert_eq!(pool.waiting(), 0);
}

fn queued_calls(outcomes: &[Submitted]) -> usize {
    let waiting = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, Submitted::Waiting(_)));
    waiting.count()
}

#[test]
fn submit_full_queue() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_mins(1);
    let mut pool = pool(&[("engine-1", 1)], now).with_waiting_max(10);
    for _ in 0..10 {
        submitted(&mut pool, Call::new("flooding", slot_deadline), now);
    }
    let full = |outcome| {
        matches!(
            outcome,
            Submitted::Refused {
                reason: RefusalReason::QueueFull,
                ..
            }
        )
    };
    assert!(full(pool.submit(Call::new("flooding", slot_deadline), now)));
    assert!(!full(pool.submit(Call::new("other", slot_deadline), now)));
}

#[test]
fn complete_failed_calls_ejects_endpoint() {
    // Each case: accounts of the failed calls, number of failed probes, and whether account `a` and account `b`
    // may still use the endpoint.
    let cases: [(&[&str], u32, bool, bool); 5] = [
        (&["a", "a"], 0, true, true),
        (&["a", "a", "a", "a", "a", "a"], 0, false, true),
        (&["a", "b"], 0, true, true),
        (&["a", "a", "b"], 0, false, false),
        (&[], 3, false, false),
    ];
    for (failures, probes, a_admitted, b_admitted) in cases {
        let now = Instant::now();
        let slot_deadline = now + Duration::from_mins(1);
        let mut pool = pool(&[("engine-1", 10)], now);
        let slots: Vec<_> = failures
            .iter()
            .map(|account_id| {
                submitted(&mut pool, Call::new(*account_id, slot_deadline), now);
                pool.tick(now).assignments[0].slot_id
            })
            .collect();
        let failed = Report {
            failed: true,
            ..Report::default()
        };
        for slot_id in slots {
            pool.complete(slot_id, &failed, now);
        }
        for _ in 0..probes {
            pool.observe_probe("engine-1", false, now);
        }
        for (account_id, admitted) in [("a", a_admitted), ("b", b_admitted)] {
            pool.submit(Call::new(account_id, slot_deadline), now);
            let assigned = !pool.tick(now).assignments.is_empty();
            assert_eq!(assigned, admitted, "{failures:?} {probes} {account_id}");
        }
        // All accounts may use the endpoint again after the ejection.
        let later = now + Duration::from_secs(40);
        pool.submit(Call::new("b", later + Duration::from_secs(1)), later);
        assert!(!pool.tick(later).assignments.is_empty(), "{failures:?} {probes}");
    }
}

#[test]
fn observe_load_delayed() {
    let now = Instant::now();
    let slot_deadline = now + Duration::from_mins(1);
    let mut pool = pool(&[("engine-1", 4)], now);
    for _ in 0..2 {
        submitted(&mut pool, Call::new("a", slot_deadline), now);
    }
    assert_eq!(pool.tick(now).assignments.len(), 2);
    let report = |running, age| LoadReport {
        running,
        age,
        ..LoadReport::default()
    };
    // Three calls are reported and two of them are from this pool, so one is from outside and one slot is left.
    let later = now + Duration::from_secs(2);
    pool.observe_load("engine-1", report(3, Duration::from_secs(1)), later);
    for _ in 0..4 {
        submitted(&mut pool, Call::new("a", slot_deadline), later);
    }
    assert_eq!(pool.tick(later).assignments.len(), 1);
    // The report is older than the pool's third call and does not include it.
    pool.observe_load("engine-1", report(2, Duration::from_secs(1)), later);
    assert_eq!(pool.tick(later).assignments.len(), 1);
}

#[derive(Clone, Debug)]
enum Step {
    Submit { account: u8, program: u8, wait_ms: u64 },
    Complete { index: usize, failed: bool },
    Cancel { index: usize },
    Endpoints { slots: [u32; 3], draining: u8 },
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..4_u8, 0..12_u8, 0..4_000_u64)
            .prop_map(|(account, program, wait_ms)| Step::Submit { account, program, wait_ms }),
        6 => (0..16_usize, prop::bool::weighted(0.1))
            .prop_map(|(index, failed)| Step::Complete { index, failed }),
        1 => (0..64_usize).prop_map(|index| Step::Cancel { index }),
        1 => (prop::array::uniform3(0..5_u32), 0..4_u8)
            .prop_map(|(slots, draining)| Step::Endpoints { slots, draining }),
        6 => Just(Step::Tick),
    ]
}

fn infos(slots: [u32; 3], draining: u8) -> Vec<EndpointInfo> {
    slots
        .iter()
        .zip(0_u8..)
        .map(|(&slots, index)| EndpointInfo {
            draining: index == draining,
            ..EndpointInfo::new(format!("engine-{index}"), slots)
        })
        .collect()
}

proptest! {
    #![proptest_config(Config {
        cases: 2_048,
        rng_seed: RngSeed::Fixed(6),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Checks that each call is settled exactly once, that no endpoint gets more calls than slots, and that a
    /// draining endpoint gets none.
    #[test]
    fn tick_settles_each_call_once(steps in prop::collection::vec((0..200_u64, step()), 10..300)) {
        let mut now = Instant::now();
        let mut pool = Pool::new(now);
        let mut current = infos([2, 2, 2], 3);
        pool.set_endpoints(current.clone(), now);
        let mut waiting = BTreeSet::new();
        let mut running: Vec<(Assignment, bool)> = Vec::new();
        for (pause_ms, step) in steps {
            now += Duration::from_millis(pause_ms);
            match step {
                Step::Submit { account, program, wait_ms } => {
                    let slot_deadline = now + Duration::from_millis(wait_ms);
                    let call = completion(&account.to_string(), &program.to_string(), 2_000, slot_deadline);
                    if let Submitted::Waiting(call_id) = pool.submit(call, now) {
                        prop_assert!(waiting.insert(call_id));
                    }
                }
                Step::Complete { index, failed } if !running.is_empty() => {
                    let (assignment, _) = running.remove(index % running.len());
                    pool.complete(assignment.slot_id, &Report { failed, ..report(2_000) }, now);
                }
                Step::Cancel { index } => {
                    if let Some(&call_id) = waiting.iter().nth(index) {
                        pool.cancel(call_id);
                        waiting.remove(&call_id);
                    }
                }
                Step::Endpoints { slots, draining } => {
                    current = infos(slots, draining);
                    pool.set_endpoints(current.clone(), now);
                }
                Step::Complete { .. } | Step::Tick => {}
            }
            let before = running.len();
            let ticked = pool.tick(now);
            for refused in ticked.refused {
                prop_assert!(waiting.remove(&refused.call_id));
            }
            for assignment in ticked.assignments {
                prop_assert!(waiting.remove(&assignment.call_id));
                running.push((assignment, true));
            }
            for info in &current {
                let at = |(assignment, _): &&(Assignment, bool)| assignment.endpoint_id == info.endpoint_id;
                let added = running[before..].iter().filter(at).count();
                let total = running.iter().filter(at).count();
                let slots = usize::try_from(info.slots).expect("a few slots");
                prop_assert!(added == 0 || (!info.draining && total <= slots), "{added} {total} {info:?}");
            }
            prop_assert_eq!(pool.waiting(), waiting.len());
            prop_assert_eq!(pool.occupied_slots(), running.len());
        }
        let end = now + Duration::from_secs(5);
        let ticked = pool.tick(end);
        prop_assert_eq!(ticked.refused.len(), waiting.len());
        prop_assert_eq!(pool.waiting(), 0);
    }
}
