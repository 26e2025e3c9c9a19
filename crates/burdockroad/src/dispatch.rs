//! Assignment of calls to slots at endpoints.
//!
//! A [`Pool`] contains the waiting calls and the occupied slots of one endpoint set. It shares the endpoints
//! among accounts by weight and received service. Within an account, it serves the program with the least
//! attained service first. It prefers the endpoint that has a program's prefix cached. A call that is not
//! expected to get a slot before its deadline is refused on arrival.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use burdockroad::dispatch::{Call, EndpointInfo, Pool, Submitted};
//!
//! let now = Instant::now();
//! let mut pool = Pool::new(now);
//! pool.set_endpoints(vec![EndpointInfo::new("engine-1", 2)], now);
//! let call = Call::new("account-a", now + Duration::from_secs(1));
//! let Submitted::Waiting(call_id) = pool.submit(call, now) else {
//!     panic!("an idle pool accepts a call");
//! };
//! let ticked = pool.tick(now);
//! assert_eq!(ticked.assignments[0].call_id, call_id);
//! assert_eq!(ticked.assignments[0].endpoint_id, "engine-1");
//! ```

mod fairness;
mod health;
pub mod kv_cache;
mod out_of_service;
mod placement;
mod pool;

use std::time::{Duration, Instant};

pub use self::{
    kv_cache::CacheEvent,
    out_of_service::OutOfService,
    pool::{Pool, Tick},
};
use crate::ids::{AccountId, EndpointId, ProgramId};

/// Id of a waiting call within its pool.
pub type CallId = u64;

/// Id of an occupied slot within its pool.
pub type SlotId = u64;

/// Requirements of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Client account of the call.
    pub account_id: AccountId,
    /// Program of the call; `None` for a call outside a program.
    pub program_id: Option<ProgramId>,
    /// Whether no call of the program has been served yet; also true for a call outside a program.
    pub first: bool,
    /// Estimated tokens of the whole prompt; 0 for a call to a plain service.
    pub prompt_tokens: u64,
    /// Maximum number of tokens that the engine may generate; 0 for a call to a plain service.
    pub max_output_tokens: u64,
    /// Tokens generated so far for the program's calls.
    pub attained_tokens: u64,
    /// Endpoint that served the program's last call to a model engine.
    pub prefix_endpoint_id: Option<EndpointId>,
    /// Endpoints already tried for this call.
    pub excluded: Vec<EndpointId>,
    /// Time by which the call must have a slot.
    pub slot_deadline: Instant,
}

/// Endpoint of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Id of the endpoint.
    pub endpoint_id: EndpointId,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the endpoint takes no new calls, because it is draining or its failure domain is evacuated.
    pub draining: bool,
}

/// Assignment of a slot to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the call.
    pub call_id: CallId,
    /// Id of the slot.
    pub slot_id: SlotId,
    /// Id of the endpoint.
    pub endpoint_id: EndpointId,
}

/// Refusal of a call after it waited; the call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Id of the call.
    pub call_id: CallId,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Result of submitting a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// The call is waiting; a later [`Pool::tick`] assigns or refuses it.
    Waiting(CallId),
    /// The call is refused, and this is final.
    Refused {
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Time after which a retry may succeed.
        retry_after: Duration,
    },
}

/// Reason for refusing a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No endpoint of the pool accepts calls.
    NoEndpoint,
    /// The queue has reached its maximum length.
    QueueFull,
    /// The call would get a slot only after its deadline.
    Deadline,
}

/// Result of a call that occupied a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Tokens of the prompt, as counted by the engine.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Time from sending the call to the first byte of its response.
    pub first_token: Option<Duration>,
    /// Whether the endpoint failed.
    pub failed: bool,
}

/// Load reported by an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Running calls.
    pub running: u32,
    /// Calls queued at the endpoint.
    pub waiting: u32,
    /// Capacity of its prefix cache in tokens; 0 if unknown.
    pub cache_max_tokens: u64,
    /// Age of the report.
    pub age: Duration,
}

impl Call {
    /// Creates a call outside a program, without tokens.
    pub fn new(account_id: impl Into<AccountId>, slot_deadline: Instant) -> Self {
        Self {
            account_id: account_id.into(),
            program_id: None,
            first: true,
            prompt_tokens: 0,
            max_output_tokens: 0,
            attained_tokens: 0,
            prefix_endpoint_id: None,
            excluded: Vec::new(),
            slot_deadline,
        }
    }
}

impl EndpointInfo {
    /// Creates an endpoint that accepts calls.
    pub fn new(endpoint_id: impl Into<EndpointId>, slots: u32) -> Self {
        Self {
            endpoint_id: endpoint_id.into(),
            slots,
            draining: false,
        }
    }
}

impl RefusalReason {
    /// Returns a short description for the caller.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no endpoint accepts calls",
            Self::QueueFull => "queue is full",
            Self::Deadline => "no slot available before the deadline",
        }
    }
}
