//! What a program tree may spend, and what it has spent.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

/// Limits that a program and all its sub-agents share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Budget {
    /// Tokens that engines may generate.
    pub max_tokens: u64,
    /// Calls that may be sent to endpoints, retries included.
    pub max_calls: u32,
    /// Time from the creation of the root until the last call must have ended.
    pub max_duration: Duration,
}

/// Running account of one budget.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Ledger {
    /// The limits.
    pub budget: Budget,
    /// When the time limit began to run.
    pub created_at: SystemTime,
    /// Tokens settled as spent.
    pub spent_tokens: u64,
    /// Tokens set aside for calls under way.
    pub reserved_tokens: u64,
    /// Calls sent, ended or not.
    pub spent_calls: u32,
}

impl Ledger {
    /// Opens the account of a new tree.
    pub fn new(budget: Budget, created_at: SystemTime) -> Self {
        Self {
            budget,
            created_at,
            spent_tokens: 0,
            reserved_tokens: 0,
            spent_calls: 0,
        }
    }

    /// Tokens neither spent nor set aside.
    pub fn free_tokens(&self) -> u64 {
        self.budget
            .max_tokens
            .saturating_sub(self.spent_tokens)
            .saturating_sub(self.reserved_tokens)
    }

    /// Calls that may still be sent.
    pub fn free_calls(&self) -> u32 {
        self.budget.max_calls.saturating_sub(self.spent_calls)
    }

    /// Time left until the budget's time limit; zero once it has passed.
    pub fn time_left(&self, now: SystemTime) -> Duration {
        // A clock set back must not lengthen the budget beyond its whole.
        let age = now.duration_since(self.created_at).unwrap_or(Duration::ZERO);
        self.budget.max_duration.saturating_sub(age)
    }

    /// Counts one call as sent and sets tokens aside for it.
    pub fn reserve(&mut self, tokens: u64) {
        self.reserved_tokens += tokens;
        self.spent_calls += 1;
    }

    /// Turns a reservation into what was spent of it.
    pub fn settle(&mut self, reserved_tokens: u64, spent_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_tokens += spent_tokens;
    }

    /// Takes back a reservation whose call was never sent.
    pub fn cancel(&mut self, reserved_tokens: u64) {
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
        self.spent_calls = self.spent_calls.saturating_sub(1);
    }
}
