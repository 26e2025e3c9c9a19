//! Retry budgets and backoff of failed calls.
//!
//! Each account has a retry budget on each route. Each call adds to the budget and each retry withdraws from
//! it. The retries of an account whose calls all fail are therefore a bounded fraction of its calls, and do not
//! use up the retries of other accounts.

use std::{collections::HashMap, time::Duration};

use rand::{Rng, RngExt};

use crate::ids::{AccountId, RouteId};

/// Options for retrying calls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryOptions {
    /// Retries that each call adds to its budget.
    pub retries_per_call: f64,
    /// Maximum number of retries in a budget, and its initial level.
    pub burst: f64,
    /// Maximum number of attempts of one call, including the first.
    pub attempts_max: u32,
    /// Upper bound of the random backoff before the first retry; it doubles with each further retry.
    pub initial_backoff: Duration,
    /// Upper bound of the random backoff before any retry.
    pub max_backoff: Duration,
    /// Number of stored budgets at which full budgets are evicted.
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

/// Retry budgets by account and route.
///
/// # Example
///
/// ```
/// use burdockroad::retry::{RetryBudgets, RetryOptions};
///
/// let options = RetryOptions { burst: 1.0, ..RetryOptions::default() };
/// let mut budgets = RetryBudgets::new(options);
/// let (account, route) = ("trust".to_owned(), "planner-llm".to_owned());
/// assert!(budgets.withdraw(&account, &route, 1));
/// assert!(!budgets.withdraw(&account, &route, 1), "the budget is exhausted");
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
    /// Creates retry budgets, all of which start full.
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            levels: HashMap::new(),
        }
    }

    /// Adds `retries_per_call` to a call's budget.
    pub fn record_call(&mut self, account_id: &AccountId, route_id: &RouteId) {
        let key = BudgetKey {
            account_id: account_id.clone(),
            route_id: route_id.clone(),
        };
        let (burst, share) = (self.options.burst, self.options.retries_per_call);
        if let Some(level) = self.levels.get_mut(&key) {
            *level = (*level + share).min(burst);
        }
    }

    /// Withdraws one retry for a call after `attempts` attempts. Returns false if the call must not be
    /// retried.
    pub fn withdraw(&mut self, account_id: &AccountId, route_id: &RouteId, attempts: u32) -> bool {
        if attempts >= self.options.attempts_max {
            return false;
        }
        self.evict_full();
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

    /// Returns a random backoff before the retry that follows `attempts` attempts.
    ///
    /// The backoff is drawn from the full range starting at zero, so calls that failed together are not
    /// retried together.
    pub fn backoff(&self, attempts: u32, rng: &mut impl Rng) -> Duration {
        let factor = 1_u32.checked_shl(attempts.saturating_sub(1)).unwrap_or(u32::MAX);
        let upper_bound = self
            .options
            .initial_backoff
            .saturating_mul(factor)
            .min(self.options.max_backoff);
        upper_bound.mul_f64(rng.random_range(0.0..=1.0))
    }

    /// Evicts full budgets once `budgets_max` budgets are stored. A budget that is not stored counts as full, so
    /// eviction loses nothing.
    fn evict_full(&mut self) {
        if self.levels.len() >= self.options.budgets_max {
            let burst = self.options.burst;
            self.levels.retain(|_, level| *level < burst);
        }
    }
}
