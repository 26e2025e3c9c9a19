//! Budgets over several hosts, with lost responses, delayed writes and killed hosts.

#[path = "gateway_budget/model.rs"]
mod model;

use std::time::{Duration, Instant};

use burdockroad::gateway::{Ledger, LedgerOptions, Readiness, StoreResponse};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

use self::model::{
    BUDGET_TOKENS, Cluster, HOSTS, MAX_TOKENS, PROGRAM, Step, Store, WriteOutcome, start_call,
};

/// Budget of which much more is left unreserved than the next calls need.
const LARGE_BUDGET_TOKENS: u64 = 100 * MAX_TOKENS;

fn outcomes() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        4 => Just(WriteOutcome::Responded),
        1 => Just(WriteOutcome::ResponseLost),
        1 => Just(WriteOutcome::NeverArrives),
        1 => Just(WriteOutcome::Delayed),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => (host.clone(), any::<bool>()).prop_map(|(host, owns_budget)| Step::AddWaiter { host, owns_budget }),
        6 => host.clone().prop_map(|host| Step::Take { host }),
        3 => (host.clone(), 0..=MAX_TOKENS).prop_map(|(host, used_tokens)| Step::Settle { host, used_tokens }),
        6 => (host.clone(), outcomes()).prop_map(|(host, outcome)| Step::Write { host, outcome }),
        1 => Just(Step::DelayedArrives),
        1 => host.clone().prop_map(|host| Step::Poll { host }),
        1 => host.clone().prop_map(|host| Step::Release { host }),
        1 => host.clone().prop_map(|host| Step::Stop { host }),
        1 => host.prop_map(|host| Step::Kill { host }),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2000, rng_seed: RngSeed::Fixed(7), ..Config::default() })]

    #[test]
    fn take_under_faults_never_exceeds_budget(steps in proptest::collection::vec(steps(), 1..120)) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.apply(step);
            prop_assert!(cluster.committed_tokens() <= BUDGET_TOKENS, "after {step:?}");
        }
    }
}

fn steps_with_overdraft() -> impl Strategy<Value = Step> {
    prop_oneof![
        20 => steps(),
        1 => (0..HOSTS).prop_map(|host| Step::Overdraw { host }),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 4000, rng_seed: RngSeed::Fixed(11), ..Config::default() })]

    #[test]
    fn take_and_overdraw_under_faults_never_exceed_budget_by_more_than_one_call(
        steps in proptest::collection::vec(steps_with_overdraft(), 1..120)
    ) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.apply(step);
            prop_assert!(cluster.committed_tokens() <= BUDGET_TOKENS + MAX_TOKENS, "after {step:?}");
        }
    }
}

fn steps_beyond_budget() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        20 => steps(),
        2 => (host.clone(), 1..=MAX_TOKENS).prop_map(|(host, max_tokens)| Step::BeginBeyondBudget { host, max_tokens }),
        2 => (host, 0..=MAX_TOKENS).prop_map(|(host, used_tokens)| Step::EndBeyondBudget { host, used_tokens }),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 4000, rng_seed: RngSeed::Fixed(13), ..Config::default() })]

    #[test]
    fn begin_beyond_budget_under_faults_never_exceeds_budget_by_more_than_one_call(
        steps in proptest::collection::vec(steps_beyond_budget(), 1..120)
    ) {
        let mut cluster = Cluster::new();
        for step in steps {
            cluster.apply(step);
            prop_assert!(cluster.committed_tokens() <= BUDGET_TOKENS + MAX_TOKENS, "after {step:?}");
        }
    }
}

/// Guards against an overdraft that is never counted, because the write that reserves it has met a conflict.
#[test]
fn overdraw_is_counted_in_the_store_after_a_conflict() {
    let mut cluster = Cluster::new();
    cluster.apply(Step::Overdraw { host: 0 });
    assert!(start_call(&mut cluster, 1));
    let used = Step::Settle {
        host: 0,
        used_tokens: 40,
    };
    cluster.apply(used);
    for _ in 0..3 {
        cluster.apply(Step::Write {
            host: 0,
            outcome: WriteOutcome::Responded,
        });
    }
    let stored = cluster.store.stored.expect("a budget");
    assert_eq!(stored.budget.spent_tokens, 40);
}

#[test]
fn may_overdraw_only_what_is_left_as_far_as_known() {
    let mut cluster = Cluster::new();
    let program = PROGRAM.to_owned();
    assert!(
        !cluster.hosts[0]
            .ledger
            .may_overdraw(&program, MAX_TOKENS - 1, MAX_TOKENS)
    );
    assert!(
        cluster.hosts[0]
            .ledger
            .may_overdraw(&program, MAX_TOKENS, MAX_TOKENS)
    );
    while start_call(&mut cluster, 0) {
        cluster.apply(Step::Settle {
            host: 0,
            used_tokens: MAX_TOKENS,
        });
    }
    assert!(
        !cluster.hosts[0]
            .ledger
            .may_overdraw(&program, BUDGET_TOKENS, MAX_TOKENS)
    );
}

#[test]
fn take_by_owner_needs_few_writes() {
    let mut cluster = Cluster::new();
    for _ in 0..6 {
        assert!(start_call(&mut cluster, 0));
        cluster.apply(Step::Settle {
            host: 0,
            used_tokens: 72,
        });
    }
    assert!(
        cluster.store.revision <= 2,
        "{} writes for six calls",
        cluster.store.revision
    );
}

#[test]
fn take_after_owner_loss_has_half_of_budget() {
    let mut cluster = Cluster::new();
    assert!(start_call(&mut cluster, 0));
    cluster.apply(Step::Kill { host: 0 });
    assert!(start_call(&mut cluster, 1));
}

#[test]
fn take_after_restart_refuses_spent_budget() {
    let mut cluster = Cluster::new();
    while start_call(&mut cluster, 0) {
        cluster.apply(Step::Settle {
            host: 0,
            used_tokens: MAX_TOKENS,
        });
    }
    for host in 0..HOSTS {
        cluster.apply(Step::Kill { host });
    }
    assert!(!start_call(&mut cluster, 1));
    assert!(cluster.generated_tokens <= BUDGET_TOKENS);
}

/// Guards against 402 for tokens that live hosts are about to return.
#[test]
fn is_short_after_the_time_to_reclaim_tokens() {
    let mut cluster = Cluster::new();
    let program = PROGRAM.to_owned();
    let reclaim_time = Duration::from_millis(700);
    for _ in 0..3 {
        assert!(start_call(&mut cluster, 0));
        cluster.apply(Step::Kill { host: 0 });
    }
    assert!(!start_call(&mut cluster, 1));
    let now = cluster.now;
    let ledger = &mut cluster.hosts[1].ledger;
    assert!(!ledger.is_short(&program, reclaim_time, now + reclaim_time));
    ledger.record_shortage(&program, MAX_TOKENS, &[], now);
    ledger.record_shortage(&program, MAX_TOKENS, &[], now + reclaim_time / 2);
    assert!(!ledger.is_short(&program, reclaim_time, now + reclaim_time / 2));
    assert!(ledger.is_short(&program, reclaim_time, now + reclaim_time));
}

/// Guards against 402 for tokens that calls of live hosts use: these return what is left of them.
#[test]
fn is_short_counts_no_tokens_of_live_hosts() {
    let mut cluster = Cluster::new();
    let program = PROGRAM.to_owned();
    let reclaim_time = Duration::from_millis(700);
    for host in [0, 0, 2] {
        assert!(start_call(&mut cluster, host));
        cluster.apply(Step::Kill { host });
    }
    let holders = cluster.reserving_incarnations();
    assert!(!start_call(&mut cluster, 1));
    let now = cluster.now;
    let ledger = &mut cluster.hosts[1].ledger;
    ledger.record_shortage(&program, MAX_TOKENS, &holders, now);
    assert!(!ledger.is_short(&program, reclaim_time, now + reclaim_time));
    // A host that is lost later counts from then on.
    ledger.record_shortage(&program, MAX_TOKENS, &[], now + reclaim_time);
    assert!(!ledger.is_short(&program, reclaim_time, now + reclaim_time));
    assert!(ledger.is_short(&program, reclaim_time, now + reclaim_time * 2));
    // One that turns out to be live does not count any more.
    ledger.record_shortage(&program, MAX_TOKENS, &holders, now + reclaim_time * 2);
    assert!(!ledger.is_short(&program, reclaim_time, now + reclaim_time * 2));
}

/// Guards against programs that end because a host which owned their budgets before has reserved the tokens.
#[test]
fn return_idle_by_former_owner_frees_all_unused_tokens() {
    let mut cluster = Cluster::new();
    let program = PROGRAM.to_owned();
    assert!(start_call(&mut cluster, 0));
    cluster.apply(Step::Settle {
        host: 0,
        used_tokens: 72,
    });
    assert!(start_call(&mut cluster, 1));
    assert_eq!(cluster.hosts[1].ledger.reserving_incarnations(&program), [1]);
    // The first write conflicts with that of the other host, which asks again.
    for _ in 0..2 {
        cluster.hosts[0].ledger.return_idle(&program);
        cluster.apply(Step::Write {
            host: 0,
            outcome: WriteOutcome::Responded,
        });
    }
    cluster.apply(Step::Poll { host: 1 });
    assert_eq!(cluster.hosts[1].ledger.reserving_incarnations(&program), [0; 0]);
}

/// Guards against tokens that stay reserved at a host whose call had left before the write was acknowledged.
#[test]
fn settle_due_returns_tokens_of_a_call_that_left_during_its_write() {
    let mut cluster = Cluster::new();
    let program = PROGRAM.to_owned();
    let waiter = Step::AddWaiter {
        host: 0,
        owns_budget: false,
    };
    cluster.apply(waiter);
    cluster.apply(Step::Take { host: 0 });
    let write = Step::Write {
        host: 0,
        outcome: WriteOutcome::ResponseLost,
    };
    cluster.apply(write);
    cluster.hosts[0].ledger.remove_waiter(&program, MAX_TOKENS);
    for _ in 0..3 {
        cluster.now += Duration::from_secs(1);
        let now = cluster.now;
        cluster.hosts[0].ledger.settle_due(now);
        cluster.apply(Step::Write {
            host: 0,
            outcome: WriteOutcome::Responded,
        });
    }
    let stored = cluster.store.stored.expect("a budget");
    assert_eq!(stored.budget.reserved_tokens(), 0);
}

/// Reserves a budget of two calls and takes it for one call after the other.
fn run_calls_of_small_program(count: usize, now: Instant) -> Ledger {
    let program = PROGRAM.to_owned();
    let mut store = Store::default();
    let mut ledger = Ledger::new(LedgerOptions::default(), 1);
    for _ in 0..count {
        ledger.add_waiter(&program, 2 * MAX_TOKENS, MAX_TOKENS, true, now);
        while ledger.take(&program, MAX_TOKENS) != Readiness::Ready {
            for write in ledger.next_writes(16) {
                let response = store.write(&write);
                ledger.complete(&program, response);
            }
        }
        ledger.remove_waiter(&program, MAX_TOKENS);
    }
    ledger
}

/// Guards against calls of a program without end that wait for tokens which its running calls hold, although the budget
/// has no room for all of them.
#[test]
fn take_beside_running_calls_refuses_waiting_calls_that_the_budget_does_not_hold() {
    let now = Instant::now();
    let program = PROGRAM.to_owned();
    let mut ledger = run_calls_of_small_program(1, now);
    for _ in 0..3 {
        ledger.add_waiter(&program, 2 * MAX_TOKENS, MAX_TOKENS, true, now);
    }
    // One of them still fits beside the call that runs.
    assert_eq!(ledger.take(&program, MAX_TOKENS), Readiness::AwaitWrite);

    let mut ledger = run_calls_of_small_program(2, now);
    for _ in 0..3 {
        ledger.add_waiter(&program, 2 * MAX_TOKENS, MAX_TOKENS, true, now);
    }
    assert_eq!(ledger.take(&program, MAX_TOKENS), Readiness::Exhausted);
    // The running calls may generate nothing, and then the budget holds the two other calls.
    ledger.remove_waiter(&program, MAX_TOKENS);
    assert_eq!(ledger.take(&program, MAX_TOKENS), Readiness::AwaitTokens);
    ledger.settle(&program, MAX_TOKENS, 0, now);
    assert_eq!(ledger.take(&program, MAX_TOKENS), Readiness::Ready);
}

/// Guards against 402 for tokens that other hosts may return.
#[test]
fn take_beside_reservations_of_other_hosts_waits() {
    let mut cluster = Cluster::new();
    let program = PROGRAM.to_owned();
    for _ in 0..4 {
        assert!(start_call(&mut cluster, 0));
    }
    for _ in 0..6 {
        cluster.apply(Step::AddWaiter {
            host: 1,
            owns_budget: false,
        });
    }
    for _ in 0..2 {
        let _readiness = cluster.hosts[1].ledger.take(&program, MAX_TOKENS);
        cluster.write(1, WriteOutcome::Responded);
    }
    let readiness = cluster.hosts[1].ledger.take(&program, MAX_TOKENS);
    assert_eq!(readiness, Readiness::AwaitTokens);
}

/// Guards against needless polls of the store. A program that never ends keeps requesting tokens while its own
/// calls have reserved the whole remaining budget. A poll is useful only if other hosts have reservations, and
/// one poll serves all waiting calls.
#[test]
fn should_poll_only_with_reservations_of_other_hosts() {
    let now = Instant::now();
    let program = PROGRAM.to_owned();
    let mut store = Store::default();
    let mut owner = Ledger::new(LedgerOptions::default(), 1);
    owner.add_waiter(&program, 2 * MAX_TOKENS, MAX_TOKENS, true, now);
    assert_eq!(owner.take(&program, MAX_TOKENS), Readiness::AwaitWrite);
    for write in owner.next_writes(16) {
        let response = store.write(&write);
        owner.complete(&program, response);
    }
    assert_eq!(owner.take(&program, MAX_TOKENS), Readiness::Ready);
    assert!(!owner.should_poll(&program, now));

    let mut other = Ledger::new(LedgerOptions::default(), 2);
    other.add_waiter(&program, 2 * MAX_TOKENS, MAX_TOKENS, false, now);
    for _ in 0..2 {
        assert_eq!(other.take(&program, MAX_TOKENS), Readiness::AwaitWrite);
        for write in other.next_writes(16) {
            let response = store.write(&write);
            other.complete(&program, response);
        }
    }
    owner.complete(&program, StoreResponse::Found(store.stored.clone()));
    assert!(owner.should_poll(&program, now));
    assert!(!owner.should_poll(&program, now));
    assert!(owner.should_poll(&program, now + Duration::from_millis(200)));
}

#[test]
fn release_idle_returns_unused_tokens() {
    let mut cluster = Cluster::new();
    assert!(start_call(&mut cluster, 0));
    cluster.apply(Step::Settle {
        host: 0,
        used_tokens: 10,
    });
    cluster.apply(Step::Release { host: 0 });
    cluster.apply(Step::Write {
        host: 0,
        outcome: WriteOutcome::Responded,
    });
    let stored = cluster.store.stored.expect("the budget is stored").budget;
    assert_eq!(stored.spent_tokens, 10);
    assert_eq!(stored.reserved_tokens(), 0);
}

/// Runs one call of a program with a large budget at a host that owns it.
fn run_call_of_large_program(cluster: &mut Cluster, host: usize) {
    let program = PROGRAM.to_owned();
    let now = cluster.now;
    let ledger = &mut cluster.hosts[host].ledger;
    ledger.add_waiter(&program, LARGE_BUDGET_TOKENS, MAX_TOKENS, true, now);
    for _ in 0..3 {
        if cluster.hosts[host].ledger.take(&program, MAX_TOKENS) == Readiness::Ready {
            break;
        }
        cluster.write(host, WriteOutcome::Responded);
    }
    let ledger = &mut cluster.hosts[host].ledger;
    ledger.remove_waiter(&program, MAX_TOKENS);
    ledger.settle(&program, MAX_TOKENS, 10, now);
}

/// Writes the tokens that the first host returns.
fn return_due_tokens(cluster: &mut Cluster) {
    let now = cluster.now;
    cluster.hosts[0].ledger.settle_due(now);
    cluster.write(0, WriteOutcome::Responded);
}

/// Guards against 402 after a series of planned restarts: hosts that stopped kept their part of a large budget.
#[test]
fn stop_returns_unused_tokens_of_large_budget() {
    let mut cluster = Cluster::new();
    run_call_of_large_program(&mut cluster, 0);
    cluster.hosts[0].ledger.stop();
    return_due_tokens(&mut cluster);
    let stored = cluster.store.stored.expect("the budget is stored").budget;
    assert_eq!(stored.spent_tokens, 10);
    assert_eq!(stored.reserved_tokens(), 0);
}

/// Guards against 402 after a planned restart: a call that reached the stopping host made it the owner again.
#[test]
fn stop_returns_unused_tokens_of_a_call_that_began_after_it() {
    let mut cluster = Cluster::new();
    cluster.hosts[0].ledger.stop();
    run_call_of_large_program(&mut cluster, 0);
    return_due_tokens(&mut cluster);
    let stored = cluster.store.stored.expect("the budget is stored").budget;
    assert_eq!(stored.spent_tokens, 10);
    assert_eq!(stored.reserved_tokens(), 0);
}

/// Guards against tokens that stay reserved because another host wrote the budget while this one stopped.
#[test]
fn stop_returns_unused_tokens_after_a_conflict() {
    let mut cluster = Cluster::new();
    run_call_of_large_program(&mut cluster, 0);
    run_call_of_large_program(&mut cluster, 1);
    cluster.hosts[0].ledger.stop();
    for _ in 0..2 {
        return_due_tokens(&mut cluster);
    }
    assert_eq!(cluster.reserving_incarnations(), [2]);
}
