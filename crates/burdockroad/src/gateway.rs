//! Decisions for calls that bring their whole history along.
//!
//! A gateway host forwards each call of a program to an endpoint and keeps nothing of the call but what
//! its program may still spend. These modules decide; they open no socket and read no clock:
//!
//! * [`Document`] is the configuration in force, and [`Directory`] finds a call's route and account in it.
//! * [`Ledger`] holds tokens of a program's budget before its calls run.
//! * [`RateLimiter`] share an account's rate among the hosts that admit its calls.
//! * [`EndpointTable`] chooses the endpoint of a call.
//! * [`should_watch`] and [`report_targets`] say who watches the store, and who is told what.
//! * [`next_step`] says what follows a failed attempt.
//! * [`EventBuffer`] cuts an event stream into whole events.

mod allowance;
mod begin;
mod budget;
mod directory;
mod document;
mod events;
mod placement;
mod recent;
mod retry;
mod spread;

pub use self::{
    allowance::{Admission, RateLimiter, AccountUsage, UsageReport},
    begin::{ProgramStartGate, Beginning},
    budget::{Answer, BudgetWrite, Holder, Ledger, LedgerOptions, Need, StoredBudget, Versioned},
    directory::{Directory, Lookup},
    document::{Account, CallerLimits, Document, EngineInfo, Route, RouteKind, Service, Target},
    events::EventBuffer,
    placement::{Endpoint, EndpointCalls, EndpointTable, LoadReading, Outcome, Placement, PromptPart, Query},
    recent::RunningPrograms,
    retry::{Failure, NextStep, RetryState, next_step},
    spread::{HostLocation, should_watch, report_targets, watchers},
};
