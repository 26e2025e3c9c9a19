//! Whether and when a failed call is tried again.
//!
//! Each account has a budget of retries on each route. Calls pay into it, retries draw on it, so an
//! account whose calls all fail adds a bounded share to the load, and uses up nobody else's retries.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt};

use crate::ids::{AccountId, RouteId};

/// How calls are tried again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOptions {
    /// Retries that each call adds to its budget.
    pub retries_per_call: f64,
    /// Most retries that a budget holds, and what a new one begins with.
    pub burst: f64,
    /// Tries of one call, the first included.
    pub attempts_max: u32,
    /// Longest wait before the first retry; each further one may wait twice as long.
    pub initial_backoff: Duration,
    /// Longest wait before any retry.
    pub max_backoff: Duration,
    /// Budgets that are kept; beyond it, those that are full are forgotten.
    pub budgets_max: usize,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self {
            retries_per_call: 0.2,
            burst: 10.0,
            attempts_max: 3,
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
            budgets_max: 100_000,
        }
    }
}

/// Budgets of retries, by account and route.
///
/// # Example
///
/// ```
/// use burdockroad::retry::{RetryBudgets, RetryOptions};
///
/// let options = RetryOptions { burst: 1.0, ..RetryOptions::default() };
/// let mut budgets = RetryBudgets::new(options);
/// let (account, route) = ("trust".to_owned(), "planner-llm".to_owned());
/// assert!(budgets.draw(&account, &route, 1));
/// assert!(!budgets.draw(&account, &route, 1), "the budget is used up");
/// ```
#[derive(Clone, Debug)]
pub struct RetryBudgets {
    options: RetryOptions,
    levels: HashMap<BudgetKey, f64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct BudgetKey {
    account_id: AccountId,
    route_id: RouteId,
}

impl RetryBudgets {
    /// Makes budgets that all begin full.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            levels: HashMap::new(),
        }
    }

    /// Pays one call into its budget.
    pub fn note_call(&mut self, account_id: &AccountId, route_id: &RouteId) {
        let key = BudgetKey {
            account_id: account_id.clone(),
            route_id: route_id.clone(),
        };
        let (burst, share) = (self.options.burst, self.options.retries_per_call);
        if let Some(level) = self.levels.get_mut(&key) {
            *level = (*level + share).min(burst);
        }
    }

    /// Draws one retry of a call that was tried `attempts` times; false when it may not be tried again.
    pub fn draw(&mut self, account_id: &AccountId, route_id: &RouteId, attempts: u32) -> bool {
        if attempts >= self.options.attempts_max {
            return false;
        }
        self.forget_full();
        let key = BudgetKey {
            account_id: account_id.clone(),
            route_id: route_id.clone(),
        };
        let level = self.levels.entry(key).or_insert(self.options.burst);
        if *level < 1.0 {
            return false;
        }
        *level -= 1.0;
        true
    }

    /// Time to wait before the retry that follows `attempts` tries, drawn anew each time.
    ///
    /// All of the range is drawn from, so calls that failed together do not come back together.
    pub fn back_off(&self, attempts: u32, rng: &mut impl Rng) -> Duration {
        let doubled = 1_u32.checked_shl(attempts.saturating_sub(1)).unwrap_or(u32::MAX);
        let longest = self
            .options
            .initial_backoff
            .saturating_mul(doubled)
            .min(self.options.max_backoff);
        longest.mul_f64(rng.random_range(0.0..=1.0))
    }

    /// Forgets budgets that are as a new one would be, once there are many.
    fn forget_full(&mut self) {
        if self.levels.len() >= self.options.budgets_max {
            let burst = self.options.burst;
            self.levels.retain(|_, level| *level < burst);
        }
    }
}
