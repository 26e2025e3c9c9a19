//! Requests to the program table and their results.

use std::time::Duration;

use crate::{
    ids::{AccountId, CallNumber, EndpointId, PoolId, ProgramId, RouteId},
    program::{Budget, CachedPrefix, CallKind, CallResponse, Record, RequestDigest, Usage},
};

/// Options of the program table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProgramsOptions {
    /// Time for which the history of an ended tree stays readable.
    pub retention: Duration,
    /// Maximum size of the messages and responses of a tree, in bytes. The limit ensures that a snapshot
    /// of the tree fits into one record.
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

/// A program to create.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewProgram {
    /// Id of the program, in a partition that this host owns.
    pub program_id: ProgramId,
    /// The account that the program runs for.
    pub account_id: AccountId,
    /// The parent program, if this is a sub-agent.
    pub parent_id: Option<ProgramId>,
    /// Budget of the program; a sub-agent shares the budget of its root.
    pub budget: Budget,
}

/// A call as requested by the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallRequest {
    /// The account of the caller's key.
    pub account_id: AccountId,
    /// The program.
    pub program_id: ProgramId,
    /// Sequence number of the call within the program.
    pub number: CallNumber,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Route of the call.
    pub route_id: RouteId,
    /// Kind of the call.
    pub kind: CallKind,
    /// Whether the call can safely be run more than once.
    pub idempotent: bool,
    /// New messages of a completion, as JSON texts.
    pub messages: Vec<String>,
    /// Whether the engine is asked to keep the program's prefix in its KV cache for the next call.
    pub keeps_prefix: bool,
}

/// Decision on a requested call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// The call must be run. Contains the usage of its program, and the endpoint that may have the
    /// program's prefix in its KV cache.
    Run(Usage, Option<EndpointId>),
    /// An earlier attempt of the same call is still open, and the caller must wait for its result.
    Attach,
    /// The call has completed with this response.
    Answered(CallResponse),
}

/// Endpoint and token limit chosen for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Pool that contains the endpoint.
    pub pool_id: PoolId,
    /// The endpoint.
    pub endpoint_id: EndpointId,
    /// Maximum number of tokens that the engine may generate; 0 for a service.
    pub max_tokens: u64,
}

/// A call that can be sent as soon as its record is durable.
#[derive(Clone, Debug, PartialEq)]
pub struct PreparedCall {
    /// The record of the intent.
    pub record: Record,
    /// All messages of the conversation, as JSON texts.
    pub prompt: Vec<String>,
    /// Tokens reserved from the budget, which is also the maximum that the engine may generate.
    pub reserved_tokens: u64,
    /// Time left until the time limit of the budget.
    pub time_left: Duration,
}

/// A call to be cancelled because its program ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CancelledCall {
    /// The program.
    pub program_id: ProgramId,
    /// Sequence number of the call within the program.
    pub number: CallNumber,
}

/// Operation that the caller of the table has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Append a record to the journal.
    Append(Record),
    /// Cancel a call.
    Cancel(CancelledCall),
    /// Request that an endpoint free a cached prefix. After the endpoint confirms this, call
    /// [`Programs::on_prefix_released`](crate::program::Programs::on_prefix_released).
    Release(CachedPrefix),
}
