//! What the table of programs is asked, and what it answers.

use std::time::Duration;

use crate::{
    ids::{AccountId, CallNumber, EndpointId, PoolId, ProgramId, RouteId},
    program::{Answer, Budget, CallKind, Hold, Record, RequestDigest, Usage},
};

/// How the table treats programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramsOptions {
    /// Time for which an ended tree's history stays readable.
    pub retention: Duration,
    /// Most bytes of messages and answers in one tree, so that a snapshot fits into a record.
    pub history_max_bytes: u64,
}

impl Default for ProgramsOptions {
    fn default() -> Self {
        Self {
            retention: Duration::from_mins(10),
            history_max_bytes: 16 * 1024 * 1024,
        }
    }
}

/// A program to be created.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewProgram {
    /// Its id, in a partition that this host owns.
    pub program_id: ProgramId,
    /// The account that it runs for.
    pub account_id: AccountId,
    /// The program whose sub-agent it is.
    pub parent_id: Option<ProgramId>,
    /// Its budget; a sub-agent shares its root's.
    pub budget: Budget,
}

/// A call as its caller made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The account that the caller's key belongs to.
    pub account_id: AccountId,
    /// The program.
    pub program_id: ProgramId,
    /// The call's position in the program.
    pub number: CallNumber,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Route that it takes.
    pub route_id: RouteId,
    /// What kind of call it is.
    pub kind: CallKind,
    /// Whether a repeated run would do no harm.
    pub idempotent: bool,
    /// New messages of a completion, as JSON texts.
    pub messages: Vec<String>,
    /// Whether the engine is told to keep the program's prefix for its next call.
    pub keeps_prefix: bool,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Run it.
    Run(Usage, Option<EndpointId>),
    /// It runs already, for an earlier try of the caller.
    Attach,
    /// It was answered before.
    Answered(Answer),
}

/// Where a call is to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Pool of the endpoint.
    pub pool_id: PoolId,
    /// The endpoint.
    pub endpoint_id: EndpointId,
    /// Tokens that the engine may generate at most; 0 for a service.
    pub max_tokens: u64,
}

/// A call that may be sent once its record is durable.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedCall {
    /// The intent.
    pub record: Record,
    /// All messages of the conversation, as JSON texts.
    pub prompt: Vec<String>,
    /// Tokens set aside: the most that the engine may generate.
    pub reserved_tokens: u64,
    /// Time until the budget's time limit.
    pub time_left: Duration,
}

/// A call that has to stop because its program ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cancelled {
    /// The program.
    pub program_id: ProgramId,
    /// The call's position.
    pub number: CallNumber,
}

/// What a tick asks its caller to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a change to the journal.
    Append(Record),
    /// Stop a call.
    Cancel(Cancelled),
    /// Have an endpoint free what it holds, then report it by [`Programs::released`].
    Release(Hold),
}
