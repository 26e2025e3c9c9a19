//! The HTTP interface for callers: server, authentication and parsing of requests.

mod intake;
mod operation;
mod server;

pub use self::{
    operation::{BudgetRequest, CallHeaders, NewProgramRequest, Operation, Target, digest},
    server::{CallerServer, CallerServerParts},
};
