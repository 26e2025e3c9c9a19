//! The HTTP interface for callers: server, authentication and parsing of requests.

mod intake;
mod operation;
mod server;
mod with_length;

pub use self::{
    operation::{BudgetRequest, CallHeaders, NewProgramRequest, Operation, Target, digest},
    server::{CallerServer, CallerServerParts},
    with_length::{TruncatedBody, requires_length, with_length},
};
