//! Decisions for calls that bring their whole history along.
//!
//! A gateway host forwards each call of a program to an endpoint and keeps nothing of the call but what
//! its program may still spend. These modules decide; they open no socket and read no clock:
//!
//! * [`Document`] is the configuration in force, and [`Directory`] finds a call's route and account in it.
//! * [`Ledger`] holds tokens of a program's budget before its calls run.
//! * [`Allowances`] share an account's rate among the hosts that admit its calls.
//! * [`EndpointTable`] chooses the endpoint of a call.
//! * [`has_to_watch`] and [`report_targets`] say who watches the store, and who is told what.
//! * [`next_step`] says what follows a failed attempt.
//! * [`EventBuffer`] cuts an event stream into whole events.

mod budget;
mod directory;
mod dissemination;
mod document;
mod events;
mod placement;
mod program_start;
mod rate_limit;
mod retry;
mod running;

pub use self::{
    budget::{Answer, BudgetWrite, Holder, Ledger, LedgerOptions, Need, StoredBudget, Versioned},
    directory::{Directory, Lookup},
    dissemination::{HostPlace, has_to_watch, report_targets, watchers},
    document::{Account, CallerLimits, Document, EngineInfo, Route, RouteKind, Service, Target},
    events::EventBuffer,
    placement::{Endpoint, EndpointCalls, EndpointTable, LoadReading, Outcome, Placement, PromptPart, Query},
    program_start::{BeginGate, Beginning},
    rate_limit::{Admission, Allowances, HostUse, UseReport},
    retry::{Failure, NextStep, RetryState, next_step},
    running::RecentPrograms,
};
