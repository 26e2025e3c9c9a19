//! Retry budgets and backoff.

use std::time::Duration;

use burdockroad::retry::{RetryBudgets, RetryOptions};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn names() -> (String, String) {
    ("trust".to_owned(), "planner-llm".to_owned())
}

#[test]
fn withdraw_all_calls_fail() {
    let options = RetryOptions::default();
    let mut budgets = RetryBudgets::new(options);
    let (account, route) = names();
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.record_call(&account, &route);
        let mut attempts = 1;
        while budgets.withdraw(&account, &route, attempts) {
            attempts += 1;
            retries += 1;
        }
    }
    // One retry per five calls, plus the initial level of the budget.
    assert!(
        (200..=210).contains(&retries),
        "{retries} retries of 1,000 failed calls"
    );
}

#[test]
fn withdraw_other_account_or_route() {
    let options = RetryOptions {
        burst: 2.0,
        ..RetryOptions::default()
    };
    let mut budgets = RetryBudgets::new(options);
    let (account, route) = names();
    while budgets.withdraw(&account, &route, 1) {}
    let other = "harrowfield".to_owned();
    assert!(
        budgets.withdraw(&other, &route, 1),
        "failures of one account must not use up retries of others"
    );
    assert!(
        budgets.withdraw(&account, &"drafting".to_owned(), 1),
        "nor its own retries on other routes"
    );
}

#[test]
fn withdraw_attempts_max() {
    let mut budgets = RetryBudgets::new(RetryOptions {
        attempts_max: 3,
        ..RetryOptions::default()
    });
    let (account, route) = names();
    let allowed: Vec<bool> = (1..=4)
        .map(|attempts| budgets.withdraw(&account, &route, attempts))
        .collect();
    assert_eq!(allowed, [true, true, false, false]);
}

#[test]
fn backoff_spread_and_bounded() {
    let options = RetryOptions::default();
    let budgets = RetryBudgets::new(options);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for attempts in [1, 2, 3, 40] {
        let unbounded = options.initial_backoff * 2_u32.pow(attempts.min(10) - 1);
        let upper_bound = unbounded.min(options.max_backoff);
        let backoffs: Vec<Duration> = (0..200).map(|_| budgets.backoff(attempts, &mut rng)).collect();
        assert!(
            backoffs.iter().all(|backoff| *backoff <= upper_bound),
            "after {attempts} attempts"
        );
        let (low, high) = (upper_bound.mul_f64(0.25), upper_bound.mul_f64(0.75));
        assert!(
            backoffs.iter().any(|backoff| *backoff < low) && backoffs.iter().any(|backoff| *backoff > high)
        );
    }
}
