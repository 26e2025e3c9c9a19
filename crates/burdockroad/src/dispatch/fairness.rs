//! Weighted fair sharing among accounts by start-time fair queueing.
//!
//! Each account has a tag, which increases by the service that the account receives, divided by its weight. The
//! account with the lowest tag is served next. An account that was idle resumes at the last served tag, so it
//! neither accumulates credit nor pays for service that it received while no other account was waiting.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{dispatch::CallId, ids::AccountId};

/// Amount of work done for an account, in units of a thousandth of the work for one generated token.
pub(super) type Service = u64;

/// Order of the calls of one account; the lowest value goes first.
pub(super) type Priority = u64;

/// Service charged for a prompt token that the engine computes.
const PROMPT_SERVICE: Service = 100;

/// Service charged for a prompt token that the engine has cached.
const CACHED_SERVICE: Service = 10;

/// Service charged for a generated token.
const OUTPUT_SERVICE: Service = 1_000;

/// Service charged for a call in addition to its tokens.
const CALL_SERVICE: Service = 10_000;

/// Expected generated tokens of an account's call before the first sample.
const INITIAL_EXPECTED_OUTPUT_TOKENS: f64 = 256.0;

/// Weight of the latest sample in the moving average of an account's generated tokens.
const OUTPUT_SMOOTHING: f64 = 0.1;

/// Minimum weight of an account, which keeps its tag finite.
const WEIGHT_MIN: f64 = 0.001;

/// Delay of a call's priority for each doubling of its program's attained service.
const ATTAINED_PENALTY: Duration = Duration::from_millis(400);

/// Unit in which attained tokens are counted for [`ATTAINED_PENALTY`]; calls of a program
/// below one unit are not delayed.
const ATTAINED_UNIT_TOKENS: u64 = 128;

/// Waiting calls of all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    accounts: HashMap<AccountId, AccountRow>,
    /// Accounts with waiting calls, ordered by tag.
    backlogged: BTreeSet<(Service, AccountId)>,
    /// Sum of the weights of accounts with waiting calls.
    backlogged_weight: f64,
    /// Highest tag at which an account has been served.
    virtual_time: Service,
}

#[derive(Clone, Debug)]
struct AccountRow {
    weight: f64,
    tag: Service,
    calls: BTreeSet<(Priority, CallId)>,
    expected_output_tokens: f64,
}

impl FairQueue {
    /// Returns the number of an account's waiting calls.
    pub(super) fn account_len(&self, account_id: &str) -> usize {
        self.accounts.get(account_id).map_or(0, |row| row.calls.len())
    }

    /// Sets an account's weight; the default is 1.
    pub(super) fn set_weight(&mut self, account_id: &AccountId, weight: f64) {
        let weight = weight.max(WEIGHT_MIN);
        let row = self.accounts.entry(account_id.clone()).or_default();
        if !row.calls.is_empty() {
            self.backlogged_weight += weight - row.weight;
        }
        row.weight = weight;
    }

    /// Returns the share of the pool that an account gets while it competes with the accounts that are
    /// waiting now.
    pub(super) fn share(&self, account_id: &str) -> f64 {
        let row = self.accounts.get(account_id);
        let weight = row.map_or(1.0, |row| row.weight);
        let is_waiting = row.is_some_and(|row| !row.calls.is_empty());
        let others = self.backlogged_weight - if is_waiting { weight } else { 0.0 };
        weight / (weight + others.max(0.0))
    }

    pub(super) fn push(&mut self, account_id: &AccountId, priority: Priority, call_id: CallId) {
        let row = self.accounts.entry(account_id.clone()).or_default();
        if row.calls.is_empty() {
            row.tag = row.tag.max(self.virtual_time);
            self.backlogged.insert((row.tag, account_id.clone()));
            self.backlogged_weight += row.weight;
        }
        row.calls.insert((priority, call_id));
    }

    pub(super) fn remove(&mut self, account_id: &AccountId, priority: Priority, call_id: CallId) {
        let Some(row) = self.accounts.get_mut(account_id) else {
            return;
        };
        if !row.calls.remove(&(priority, call_id)) {
            return;
        }
        if row.calls.is_empty() {
            self.backlogged.remove(&(row.tag, account_id.clone()));
            self.backlogged_weight -= row.weight;
        }
        if self.backlogged.is_empty() {
            self.backlogged_weight = 0.0;
        }
    }

    /// Returns the call to serve next.
    pub(super) fn first(&self) -> Option<CallId> {
        let (_, account_id) = self.backlogged.first()?;
        let (_, call_id) = self.accounts.get(account_id)?.calls.first()?;
        Some(*call_id)
    }

    /// Adds service to an account's tag.
    pub(super) fn charge(&mut self, account_id: &AccountId, service: Service) {
        self.update_tag(account_id, |row| {
            row.tag.saturating_add(row.tag_increment(service))
        });
    }

    /// Subtracts service that was charged but not received from an account's tag.
    pub(super) fn refund(&mut self, account_id: &AccountId, service: Service) {
        self.update_tag(account_id, |row| {
            row.tag.saturating_sub(row.tag_increment(service))
        });
    }

    /// Advances the virtual time to the tag of the account that is being served.
    pub(super) fn record_served(&mut self, account_id: &str) {
        if let Some(row) = self.accounts.get(account_id) {
            self.virtual_time = self.virtual_time.max(row.tag);
        }
    }

    /// Returns the expected service of a call.
    pub(super) fn expected_service(
        &self,
        account_id: &str,
        prompt_tokens: u64,
        cached_tokens: u64,
        max_output_tokens: u64,
    ) -> Service {
        let expected = self
            .accounts
            .get(account_id)
            .map_or(INITIAL_EXPECTED_OUTPUT_TOKENS, |row| row.expected_output_tokens);
        let output_tokens = if max_output_tokens == 0 {
            0
        } else {
            round(expected).min(max_output_tokens)
        };
        service(prompt_tokens, cached_tokens, output_tokens)
    }

    /// Records the number of tokens generated for a call of an account.
    pub(super) fn record_output(&mut self, account_id: &str, output_tokens: u64) {
        if let Some(row) = self.accounts.get_mut(account_id) {
            row.expected_output_tokens +=
                (tokens_as_f64(output_tokens) - row.expected_output_tokens) * OUTPUT_SMOOTHING;
        }
    }

    fn update_tag(&mut self, account_id: &AccountId, new_tag: impl Fn(&AccountRow) -> Service) {
        let row = self.accounts.entry(account_id.clone()).or_default();
        let old = row.tag;
        row.tag = new_tag(row);
        if !row.calls.is_empty() {
            self.backlogged.remove(&(old, account_id.clone()));
            self.backlogged.insert((row.tag, account_id.clone()));
        }
    }
}

impl Default for AccountRow {
    fn default() -> Self {
        Self {
            weight: 1.0,
            tag: 0,
            calls: BTreeSet::new(),
            expected_output_tokens: INITIAL_EXPECTED_OUTPUT_TOKENS,
        }
    }
}

impl AccountRow {
    fn tag_increment(&self, service: Service) -> Service {
        round(tokens_as_f64(service) / self.weight)
    }
}

/// Returns the service charged for a call with the given numbers of tokens.
pub(super) fn service(prompt_tokens: u64, cached_tokens: u64, output_tokens: u64) -> Service {
    let cached_tokens = cached_tokens.min(prompt_tokens);
    CALL_SERVICE
        + (prompt_tokens - cached_tokens) * PROMPT_SERVICE
        + cached_tokens * CACHED_SERVICE
        + output_tokens * OUTPUT_SERVICE
}

/// Returns a call's priority within its account: its arrival time, delayed according to its program's
/// attained service.
///
/// Priorities are based on arrival times, so waiting calls age without being updated. A call is delayed until
/// its deadline at most.
pub(super) fn priority(arrived: Duration, slot_deadline: Duration, attained_tokens: u64) -> Priority {
    let doublings = (attained_tokens / ATTAINED_UNIT_TOKENS + 1).ilog2();
    let penalized = arrived + ATTAINED_PENALTY * doublings;
    micros(penalized.min(slot_deadline.max(arrived)))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens stay far below 2^52")]
fn tokens_as_f64(count: u64) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is not negative and saturates"
)]
fn round(value: f64) -> u64 {
    value.round() as u64
}
