//! A host that forwards calls which bring their whole history along.
//!
//! Every host runs the same process. It follows the configuration and the endpoints in the shared store,
//! admits calls within their accounts' rates, reserves tokens of programs' budgets, and forwards each call
//! to an endpoint, once at the most where it may not be repeated. The decisions are those of
//! [`burdockroad::gateway`]; this crate moves bytes and waits.
//!
//! # Guide
//!
//! * [`run`] is the whole process; [`HostOptions`] is what it is told.
//! * [`Dialect`] is how callers, endpoints and stored values are spelled, and [`SharedStore`] the store.
//! * [`DecisionLog`] writes one line for each decision, and never blocks.

mod attempt;
mod budgets;
mod call;
mod decision_log;
mod dialect;
mod disk_host;
mod feed;
mod follow;
mod hosts;
mod metrics_page;
mod peer;
mod pool;
mod process;
mod range_log;
mod refusal;
mod relay;
mod reports;
mod reservations;
mod server;
mod shared;
mod store;
mod stream;

pub use self::{
    decision_log::DecisionLog,
    dialect::{AnswerHead, BadHead, CallHead, DecodeError, Dialect, ForwardHead, ProgramHead, TokenCount},
    disk_host::run_disk_host,
    process::{HostError, HostOptions, Signals, run},
    range_log::{RangeLog, RangeNews},
    store::{Change, Changes, ConditionalWrite, KeyState, LeaseId, RangeSnapshot, SharedStore, Written},
};
