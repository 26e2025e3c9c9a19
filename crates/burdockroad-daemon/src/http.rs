//! The HTTP interface for callers: server, authentication and parsing of requests.

mod caller_memory;
mod intake;
mod operation;
mod server;
mod with_length;

pub use self::{
    caller_memory::{BodyShare, CallerMemory, CountedBody, MemoryShare, hold_share},
    operation::{BudgetRequest, CallHeaders, NewProgramRequest, Operation, Target, digest},
    server::{CallerServer, CallerServerParts},
    with_length::{TruncatedBody, requires_length, with_length},
};
