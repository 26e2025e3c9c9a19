//! The callers' side: HTTP, who calls, and what is asked.

mod intake;
mod operation;
mod server;

pub use self::{
    operation::{BudgetRequest, CallHeaders, NewProgramRequest, Operation, Target, digest},
    server::{CallerServer, CallerServerParts},
};
