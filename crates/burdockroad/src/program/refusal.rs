//! Why a program or a call is refused. Nothing ran where one of these is returned.

use std::{fmt, time::Duration};

use crate::ids::CallNumber;

/// Why the program table refused a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No such program, or one of another account; the two are not told apart.
    UnknownProgram,
    /// This host does not own the program's partition, or is handing it over.
    NotOwner,
    /// The program has ended.
    Ended {
        /// Why, in a few words for the caller.
        reason: String,
    },
    /// The call's number is not the program's next one.
    WrongNumber {
        /// The number that the next call must carry.
        expected: CallNumber,
    },
    /// The number belongs to an earlier call with another request.
    DifferentRequest,
    /// The call was sent, may not be repeated, and its answer was not seen.
    OutcomeUnknown {
        /// Why, in a few words for the caller.
        reason: String,
    },
    /// The history of the program's tree has no room for the call.
    HistoryFull {
        /// Most bytes that a tree's history may hold.
        max_bytes: u64,
    },
    /// The budget does not allow the call.
    OverBudget {
        /// What is short.
        shortage: Shortage,
        /// Set when calls under way may leave enough for a later try.
        retry_after: Option<Duration>,
    },
}

/// What is short in a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Tokens to generate.
    Tokens,
    /// Calls to send.
    Calls,
    /// Time.
    Duration,
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownProgram => f.write_str("there is no such program"),
            Self::NotOwner => f.write_str("the program is moving between hosts"),
            Self::Ended { reason } => write!(f, "the program has ended: {reason}"),
            Self::WrongNumber { expected } => write!(f, "the program's next call has number {expected}"),
            Self::DifferentRequest => f.write_str("this call number was used for a different request"),
            Self::OutcomeUnknown { reason } => write!(f, "the call may have run: {reason}"),
            Self::HistoryFull { max_bytes } => {
                write!(
                    f,
                    "the histories of the program and its relatives may hold {max_bytes} bytes together"
                )
            }
            Self::OverBudget { shortage, .. } => write!(f, "the budget has no {shortage} left"),
        }
    }
}

impl fmt::Display for Shortage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Tokens => "tokens",
            Self::Calls => "calls",
            Self::Duration => "time",
        })
    }
}

impl std::error::Error for Refusal {}
