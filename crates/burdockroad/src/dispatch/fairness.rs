//! Weighted fair sharing between accounts, by start-time fair queueing.
//!
//! Each account has a tag that grows by the service it receives over its weight; the account with the
//! lowest tag goes next. An account that was idle starts at the tag served last, so it neither saves
//! up service nor pays for what it took while nobody else waited.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{dispatch::CallId, ids::AccountId};

/// Service in thousandths of a generated token.
pub(super) type Service = u64;

/// Order of the calls of one account; the lowest goes first.
pub(super) type Priority = u64;

/// Service of a prompt token that the engine computes.
const PROMPT_SERVICE: Service = 100;

/// Service of a prompt token that the engine has cached.
const CACHED_SERVICE: Service = 10;

/// Service of a generated token.
const OUTPUT_SERVICE: Service = 1_000;

/// Service of a call apart from its tokens.
const CALL_SERVICE: Service = 10_000;

/// Generated tokens expected of an account's call before any was seen.
const FIRST_EXPECTED_OUTPUT: f64 = 256.0;

/// Weight of the latest call in the mean of an account's generated tokens.
const OUTPUT_SMOOTHING: f64 = 0.1;

/// Lowest weight of an account, so that its tag stays finite.
const WEIGHT_MIN: f64 = 0.001;

/// Head start over its arrival that a program loses each time its attained service doubles.
const ATTAINED_STEP: Duration = Duration::from_millis(400);

/// Attained tokens from which programs are told apart.
const ATTAINED_UNIT: u64 = 128;

/// Waiting calls of all accounts.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    accounts: HashMap<AccountId, AccountRow>,
    backlogged: BTreeSet<(Service, AccountId)>,
    /// Sum of the weights of accounts with waiting calls.
    backlogged_weight: f64,
    virtual_time: Service,
}

#[derive(Clone, Debug)]
struct AccountRow {
    weight: f64,
    tag: Service,
    calls: BTreeSet<(Priority, CallId)>,
    expected_output: f64,
}

impl FairQueue {
    /// Calls of an account that wait.
    pub(super) fn account_len(&self, account_id: &str) -> usize {
        self.accounts.get(account_id).map_or(0, |row| row.calls.len())
    }

    /// Sets an account's weight; 1 where none was set.
    pub(super) fn set_weight(&mut self, account_id: &AccountId, weight: f64) {
        let weight = weight.max(WEIGHT_MIN);
        let row = self.accounts.entry(account_id.clone()).or_default();
        if !row.calls.is_empty() {
            self.backlogged_weight += weight - row.weight;
        }
        row.weight = weight;
    }

    /// Share of the pool that an account has while it waits with the others that wait now.
    pub(super) fn share(&self, account_id: &str) -> f64 {
        let row = self.accounts.get(account_id);
        let weight = row.map_or(1.0, |row| row.weight);
        let waits = row.is_some_and(|row| !row.calls.is_empty());
        let others = self.backlogged_weight - if waits { weight } else { 0.0 };
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

    /// The call that goes next.
    pub(super) fn first(&self) -> Option<CallId> {
        let (_, account_id) = self.backlogged.first()?;
        let (_, call_id) = self.accounts.get(account_id)?.calls.first()?;
        Some(*call_id)
    }

    /// Adds service to what an account has received.
    pub(super) fn charge(&mut self, account_id: &AccountId, service: Service) {
        self.move_tag(account_id, |row| row.tag.saturating_add(row.tagged(service)));
    }

    /// Takes back service that was charged and not received.
    pub(super) fn refund(&mut self, account_id: &AccountId, service: Service) {
        self.move_tag(account_id, |row| row.tag.saturating_sub(row.tagged(service)));
    }

    /// Moves the time of the queue on to the account that is served.
    pub(super) fn note_served(&mut self, account_id: &str) {
        if let Some(row) = self.accounts.get(account_id) {
            self.virtual_time = self.virtual_time.max(row.tag);
        }
    }

    /// Service that a call is expected to need.
    pub(super) fn expected_service(
        &self,
        account_id: &str,
        prompt: u64,
        held: u64,
        max_output: u64,
    ) -> Service {
        let expected = self
            .accounts
            .get(account_id)
            .map_or(FIRST_EXPECTED_OUTPUT, |row| row.expected_output);
        let output = if max_output == 0 {
            0
        } else {
            round(expected).min(max_output)
        };
        service(prompt, held, output)
    }

    /// Takes note of how many tokens a call of an account had generated.
    pub(super) fn note_output(&mut self, account_id: &str, output_tokens: u64) {
        if let Some(row) = self.accounts.get_mut(account_id) {
            row.expected_output += (tokens(output_tokens) - row.expected_output) * OUTPUT_SMOOTHING;
        }
    }

    fn move_tag(&mut self, account_id: &AccountId, moved: impl Fn(&AccountRow) -> Service) {
        let row = self.accounts.entry(account_id.clone()).or_default();
        let old = row.tag;
        row.tag = moved(row);
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
            expected_output: FIRST_EXPECTED_OUTPUT,
        }
    }
}

impl AccountRow {
    fn tagged(&self, service: Service) -> Service {
        round(tokens(service) / self.weight)
    }
}

/// Service of a call with these tokens.
pub(super) fn service(prompt: u64, cached: u64, output: u64) -> Service {
    let cached = cached.min(prompt);
    CALL_SERVICE + (prompt - cached) * PROMPT_SERVICE + cached * CACHED_SERVICE + output * OUTPUT_SERVICE
}

/// Order of a call within its account: arrival, put back by what its program attained.
///
/// Since the order counts from the arrival, waiting calls age without being looked at again, and a
/// program is put back at most until its call's deadline.
pub(super) fn priority(arrived: Duration, latest: Duration, attained_tokens: u64) -> Priority {
    let doublings = (attained_tokens / ATTAINED_UNIT + 1).ilog2();
    let put_back = arrived + ATTAINED_STEP * doublings;
    micros(put_back.min(latest.max(arrived)))
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[expect(clippy::cast_precision_loss, reason = "counts of tokens stay far below 2^52")]
fn tokens(count: u64) -> f64 {
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
