//! Budgets and waits of retries.

use std::time::Duration;

use burdockroad::retry::{RetryBudgets, RetryOptions};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn names() -> (String, String) {
    ("trust".to_owned(), "planner-llm".to_owned())
}

#[test]
fn draw_all_calls_fail() {
    let options = RetryOptions::default();
    let mut budgets = RetryBudgets::new(options);
    let (account, route) = names();
    let mut retries = 0;
    for _ in 0..1_000 {
        budgets.note_call(&account, &route);
        let mut attempts = 1;
        while budgets.draw(&account, &route, attempts) {
            attempts += 1;
            retries += 1;
        }
    }
    // A fifth of the calls, and what the budget began with.
    assert!(
        (200..=210).contains(&retries),
        "{retries} retries of 1,000 failed calls"
    );
}

#[test]
fn draw_other_account_or_route() {
    let options = RetryOptions {
        burst: 2.0,
        ..RetryOptions::default()
    };
    let mut budgets = RetryBudgets::new(options);
    let (account, route) = names();
    while budgets.draw(&account, &route, 1) {}
    let other = "harrowfield".to_owned();
    assert!(
        budgets.draw(&other, &route, 1),
        "one account's failures leave the others' retries"
    );
    assert!(
        budgets.draw(&account, &"drafting".to_owned(), 1),
        "and those on its other routes"
    );
}

#[test]
fn draw_attempts_max() {
    let mut budgets = RetryBudgets::new(RetryOptions {
        attempts_max: 3,
        ..RetryOptions::default()
    });
    let (account, route) = names();
    let allowed: Vec<bool> = (1..=4)
        .map(|attempts| budgets.draw(&account, &route, attempts))
        .collect();
    assert_eq!(allowed, [true, true, false, false]);
}

#[test]
fn back_off_spread_and_bounded() {
    let options = RetryOptions::default();
    let budgets = RetryBudgets::new(options);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for attempts in [1, 2, 3, 40] {
        let doubled = options.initial_backoff * 2_u32.pow(attempts.min(10) - 1);
        let longest = doubled.min(options.max_backoff);
        let waits: Vec<Duration> = (0..200).map(|_| budgets.back_off(attempts, &mut rng)).collect();
        assert!(
            waits.iter().all(|wait| *wait <= longest),
            "after {attempts} tries"
        );
        let (low, high) = (longest.mul_f64(0.25), longest.mul_f64(0.75));
        assert!(waits.iter().any(|wait| *wait < low) && waits.iter().any(|wait| *wait > high));
    }
}
