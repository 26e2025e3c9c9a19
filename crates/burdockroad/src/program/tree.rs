//! A program tree and the programs in it.

use std::{collections::BTreeMap, time::SystemTime};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{AccountId, CallNumber, ProgramId},
    program::{Hold, Intent, Ledger, Outcome},
};

/// Programs that share one budget.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Tree {
    /// The program that has no parent.
    pub root_id: ProgramId,
    /// The account that all of them run for.
    pub account_id: AccountId,
    /// What they spend together.
    pub ledger: Ledger,
    /// Sequence number of the last change.
    pub sequence: u64,
    /// The programs by their ids.
    pub programs: BTreeMap<ProgramId, Program>,
    /// Engine memory that endpoints may hold for the programs.
    pub holds: Vec<Hold>,
}

/// One program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// Name of the program.
    pub id: ProgramId,
    /// The program that created it.
    pub parent_id: Option<ProgramId>,
    /// Whether it runs or has ended.
    pub state: State,
    /// Its calls in order; the call with number `n` stands at `n - 1`.
    pub calls: Vec<Call>,
}

/// Whether a program runs or has ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It takes further calls.
    Active,
    /// It takes no further call.
    Ended {
        /// Why, in a few words for the caller.
        reason: String,
        /// When it ended.
        ended_at: SystemTime,
    },
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// What was recorded before it was sent; of the last attempt where there were several.
    pub intent: Intent,
    /// How it ended; none while it runs.
    pub outcome: Option<Outcome>,
    /// Tokens that its attempts spent together.
    pub spent_tokens: u64,
}

impl Call {
    /// The call's position in its program.
    pub fn number(&self) -> CallNumber {
        self.intent.call_number
    }

    /// Whether its number is used up: it was answered, or may have run and may not run again.
    pub fn is_final(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Answered(_) | Outcome::Unknown { .. }))
    }
}
