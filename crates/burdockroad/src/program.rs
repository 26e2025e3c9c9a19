//! Ordering, history and budgets of programs.
//!
//! Programs that share a budget form one tree: a root program, its sub-agents, and their sub-agents. A
//! tree is owned by one host at a time and is the unit of recording, replay and migration. Every change
//! to a tree is a [`Record`] that carries the next sequence number of the tree. Replay is therefore
//! idempotent: a record that is replayed twice, or after a newer snapshot, has no effect.

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
    record::{CachedPrefix, CallKind, CallResponse, Event, Intent, Outcome, Record, RequestDigest},
    refusal::{Refusal, Shortage},
    replay::Replay,
    request::{
        Action, CallDecision, CallRequest, CancelledCall, NewProgram, Placement, PreparedCall,
        ProgramsOptions,
    },
    table::Programs,
    tree::{Call, Program, State, Tree, Usage},
};
