//! Overdrafts: calls that run before their reservation is stored, at most one for each program.
//!
//! Load pattern: programs that start while the store takes no writes. A program may exceed its budget by one
//! call, so one call may run without a stored reservation if no other call of the program ever does. A process
//! claims the overdraft at all hosts with disks. Each of them stores the claim and then returns the claims that
//! it has, so of two processes that claim the same overdraft at least one learns of the other.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;

use crate::{
    gateway::{Turn, TurnId, TurnKey},
    ids::{AccountId, Incarnation, ProgramId},
};

/// Start of the account under which claims are stored among the turns.
const CLAIM_ACCOUNT_PREFIX: &str = "burdockroad/overdrafts/";

/// Time for which a claim is kept, in milliseconds. It is longer than budgets are stored.
const CLAIM_LIFETIME_MS: u64 = 60 * 60 * 1000;

/// Time for which a process remembers an overdraft. It is longer than the lifetime of the claim.
const ROW_LIFETIME: Duration = Duration::from_millis(2 * CLAIM_LIFETIME_MS);

/// Largest number of programs whose overdrafts a process remembers.
const ROWS_MAX: usize = 65_536;

/// Returns the account under which all claims of a program's overdraft are stored.
pub fn claim_account(program: &str) -> AccountId {
    format!("{CLAIM_ACCOUNT_PREFIX}{program}")
}

/// Returns the record that claims a program's overdraft for a process.
pub fn claim_record(program: &str, incarnation: Incarnation, now_unix_ms: u64) -> Turn {
    let turn = claim_id(incarnation);
    let expires_unix_ms = now_unix_ms.saturating_add(CLAIM_LIFETIME_MS);
    Turn {
        key: TurnKey {
            account: claim_account(program),
            turn: turn.clone(),
        },
        previous: None,
        root: turn,
        home_domain: String::new(),
        expires_unix_ms,
        stored_until_unix_ms: expires_unix_ms,
        allowed_regions: None,
        input: Bytes::new(),
        output: Bytes::new(),
    }
}

fn claim_id(incarnation: Incarnation) -> TurnId {
    incarnation.to_string()
}

/// Response of a host with a disk to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimReply {
    /// The host has stored the claim.
    Stored {
        /// Ids of all claims of the program that the host has.
        claims: Vec<TurnId>,
        /// Whether the host has copied all records that it should store.
        complete: bool,
    },
    /// The host did not respond or could not store the claim.
    Failed,
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// No other process has the overdraft or will have it.
    Granted,
    /// Another process has claimed the overdraft.
    Taken,
    /// Another process may have claimed the overdraft.
    Uncertain,
}

/// Decides on the claim of a process from the replies of all registered hosts with disks.
///
/// The claim must survive `tolerated_losses` of these hosts.
pub fn decide_claim(
    incarnation: Incarnation,
    replies: &[ClaimReply],
    tolerated_losses: usize,
) -> ClaimOutcome {
    let own = claim_id(incarnation);
    let mut is_certain = replies.len() > tolerated_losses;
    for reply in replies {
        match reply {
            ClaimReply::Stored { claims, complete } => {
                if claims.iter().any(|claim| *claim != own) {
                    return ClaimOutcome::Taken;
                }
                is_certain &= *complete && !claims.is_empty();
            }
            ClaimReply::Failed => is_certain = false,
        }
    }
    if is_certain {
        ClaimOutcome::Granted
    } else {
        ClaimOutcome::Uncertain
    }
}

/// What the calls on an overdraft are counted against. It never changes, so that no token is left out of both counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverdraftAccount {
    /// The budget: the calls run before their reservation is stored.
    Budget,
    /// The turn by which a program may exceed its budget. The ledger does not contain the calls.
    BeyondBudget,
}

/// Decision on a call that needs an overdraft.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OverdraftDecision {
    /// The process holds the overdraft, so the call may run.
    Granted,
    /// The process must claim the overdraft and call [`Overdrafts::end_claim`].
    Claim,
    /// The call must not run.
    Refused,
}

/// Overdrafts that one process has claimed.
///
/// The calls of a program that use its overdraft, one after the other, generate no more tokens together than the
/// largest of them may generate.
#[derive(Debug, Default)]
pub struct Overdrafts {
    rows: HashMap<ProgramId, OverdraftRow>,
}

#[derive(Clone, Copy, Debug)]
struct OverdraftRow {
    state: OverdraftState,
    account: OverdraftAccount,
    /// Largest maximum of the calls that used the overdraft.
    limit_tokens: u64,
    /// Tokens that completed calls have generated on the overdraft.
    used_tokens: u64,
    claimed_at: Instant,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OverdraftState {
    /// The claim has no outcome yet.
    Claiming,
    /// The claim was granted, and no call uses the overdraft.
    Held,
    /// A call uses the overdraft.
    InUse,
    /// Another process has claimed the overdraft.
    Taken,
}

impl Overdrafts {
    /// Decides whether a call may use the overdraft of its program before its reservation is stored.
    pub fn begin(&mut self, program: &ProgramId, max_tokens: u64, now: Instant) -> OverdraftDecision {
        self.begin_in(OverdraftAccount::Budget, program, max_tokens, now)
    }

    /// Decides whether a call may use the overdraft of its program although the budget has too few tokens for it.
    ///
    /// A ledger must not count the call: tokens that it reserved for the call and that the call did not use could then be
    /// used twice, by a call that takes them and by another one on the overdraft.
    pub fn begin_beyond_budget(
        &mut self,
        program: &ProgramId,
        max_tokens: u64,
        now: Instant,
    ) -> OverdraftDecision {
        self.begin_in(OverdraftAccount::BeyondBudget, program, max_tokens, now)
    }

    /// Returns whether a call claims or uses the overdraft of a program now.
    pub fn is_busy(&self, program: &str) -> bool {
        let state = self.rows.get(program).map(|row| row.state);
        matches!(state, Some(OverdraftState::Claiming | OverdraftState::InUse))
    }

    fn begin_in(
        &mut self,
        account: OverdraftAccount,
        program: &ProgramId,
        max_tokens: u64,
        now: Instant,
    ) -> OverdraftDecision {
        if let Some(row) = self.rows.get_mut(program) {
            return row.begin(account, max_tokens);
        }
        if self.rows.len() >= ROWS_MAX {
            self.rows.retain(|_, row| now < row.claimed_at + ROW_LIFETIME);
        }
        if self.rows.len() >= ROWS_MAX {
            return OverdraftDecision::Refused;
        }
        let row = OverdraftRow {
            state: OverdraftState::Claiming,
            account,
            limit_tokens: max_tokens,
            used_tokens: 0,
            claimed_at: now,
        };
        self.rows.insert(program.clone(), row);
        OverdraftDecision::Claim
    }

    /// Records the outcome of a claim. When it was granted, the call that claimed the overdraft uses it.
    pub fn end_claim(&mut self, program: &ProgramId, outcome: ClaimOutcome) {
        let Some(row) = self.rows.get_mut(program) else {
            return;
        };
        match outcome {
            ClaimOutcome::Granted => row.state = OverdraftState::InUse,
            ClaimOutcome::Taken => row.state = OverdraftState::Taken,
            ClaimOutcome::Uncertain => {
                self.rows.remove(program);
            }
        }
    }

    /// Records the end of the call that used the overdraft.
    pub fn end_call(&mut self, program: &ProgramId, used_tokens: u64) {
        if let Some(row) = self.rows.get_mut(program) {
            row.state = OverdraftState::Held;
            row.used_tokens = row.used_tokens.saturating_add(used_tokens);
        }
    }
}

impl OverdraftRow {
    fn begin(&mut self, account: OverdraftAccount, max_tokens: u64) -> OverdraftDecision {
        let limit_tokens = self.limit_tokens.max(max_tokens);
        let fits = self.used_tokens.saturating_add(max_tokens) <= limit_tokens;
        if self.state != OverdraftState::Held || self.account != account || !fits {
            return OverdraftDecision::Refused;
        }
        self.state = OverdraftState::InUse;
        self.limit_tokens = limit_tokens;
        OverdraftDecision::Granted
    }
}
