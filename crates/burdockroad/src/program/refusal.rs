//! Reasons for refusing a program or a call. A refused call was not run.

use std::{fmt, time::Duration};

use crate::ids::CallNumber;

/// Reason why the program table refused a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The program does not exist or belongs to another account. The caller cannot tell which.
    UnknownProgram,
    /// This host does not own the program's partition, or is handing it off.
    NotOwner,
    /// The program has ended.
    Ended {
        /// Short reason, shown to the caller.
        reason: String,
    },
    /// The call number is not the next one of the program.
    WrongNumber {
        /// The number that the next call must have.
        expected: CallNumber,
    },
    /// The call number was already used for a different request.
    DifferentRequest,
    /// The call was sent and is not idempotent, but no complete response was received.
    OutcomeUnknown {
        /// Short reason, shown to the caller.
        reason: String,
    },
    /// The message history of the program's tree has no room for the call.
    HistoryFull {
        /// Maximum size of the history of a tree, in bytes.
        max_bytes: u64,
    },
    /// The remaining budget does not allow the call.
    OverBudget {
        /// The exhausted part of the budget.
        shortage: Shortage,
        /// Delay before a retry; set if running calls may release reserved tokens.
        retry_after: Option<Duration>,
    },
}

/// Exhausted part of a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// Generated tokens.
    Tokens,
    /// Number of calls.
    Calls,
    /// Duration of the program.
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
                    "the message history of the program and its sub-agents is limited to {max_bytes} bytes"
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
