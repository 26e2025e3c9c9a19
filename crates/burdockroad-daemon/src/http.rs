//! The callers' side: HTTP, who calls, and what is asked.

mod intake;
mod operation;
mod server;

pub use self::{
    operation::{CallHeaders, NewProgramRequest, Operation, Target},
    server::{CallerServer, CallerServerParts},
};
