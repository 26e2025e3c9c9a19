//! Order, history and budget of programs.
//!
//! Programs that share a budget stand in one tree: a root, and the sub-agents that it or they
//! created. A tree is owned by one host at a time and is the unit that is recorded, replayed and
//! moved. Every change of a tree is a [`Record`] with the tree's next sequence number, so a record
//! that is replayed twice, or after a newer snapshot, changes nothing.

mod budget;
mod checks;
mod record;
mod refusal;
mod replay;
mod request;
mod table;
mod tree;

pub use self::{
    budget::{Budget, Ledger},
    record::{Answer, CallKind, Event, Hold, Intent, Outcome, Record, RequestDigest},
    refusal::{Refusal, Shortage},
    replay::Replay,
    request::{Action, CallDecision, CallRequest, Cancelled, NewProgram, Placement, ProgramsOptions, PreparedCall},
    table::Programs,
    tree::{Call, Program, State, Tree, Usage},
};
