//! Slots at endpoints: which call goes next, and where.
//!
//! A [`Pool`] keeps the calls that wait for one endpoint set and the slots that are taken. It shares
//! the endpoints between accounts by weight and service received, puts programs that received least
//! first within an account, and prefers the endpoint that holds a program's prefix. Calls that
//! cannot have a slot in time are refused when they arrive.
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
//!     panic!("an idle pool takes a call");
//! };
//! let ticked = pool.tick(now);
//! assert_eq!(ticked.assignments[0].call_id, call_id);
//! assert_eq!(ticked.assignments[0].endpoint_id, "engine-1");
//! ```

mod fairness;
mod health;
pub mod kv_cache;
mod placement;
mod pool;

use std::time::{Duration, Instant};

pub use self::{
    kv_cache::CacheEvent,
    pool::{Pool, Tick},
};
use crate::ids::{AccountId, EndpointId, ProgramId};

/// Name of a waiting call within its pool.
pub type CallId = u64;

/// Name of a taken slot within its pool.
pub type SlotId = u64;

/// What a call needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The account that the call runs for.
    pub account_id: AccountId,
    /// The program; none for a call outside a program.
    pub program_id: Option<ProgramId>,
    /// Whether the program, or the lone call, has had no call served yet.
    pub first: bool,
    /// Estimated tokens of the whole prompt; 0 for a service call.
    pub prompt_tokens: u64,
    /// Tokens that the engine may generate; 0 for a service call.
    pub max_output_tokens: u64,
    /// Tokens that the program's calls have had generated so far.
    pub attained_tokens: u64,
    /// Endpoint that served the program's last completion.
    pub prefix_endpoint_id: Option<EndpointId>,
    /// Endpoints already tried for this call.
    pub excluded: Vec<EndpointId>,
    /// When the call must have a slot.
    pub latest: Instant,
}

/// An endpoint of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointInfo {
    /// Name of the endpoint.
    pub endpoint_id: EndpointId,
    /// Calls that it serves at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A call that was given a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// The call.
    pub call_id: CallId,
    /// The slot.
    pub slot_id: SlotId,
    /// The endpoint.
    pub endpoint_id: EndpointId,
}

/// A call that was refused after it waited; it did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The call.
    pub call_id: CallId,
    /// When a later try may succeed.
    pub retry_after: Duration,
}

/// What becomes of a call that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Submitted {
    /// It waits, and a later [`Pool::tick`] settles it.
    Waiting(CallId),
    /// It may not wait; this is final.
    Refused {
        /// What is short.
        reason: Shortage,
        /// When a later try may succeed.
        retry_after: Duration,
    },
}

/// What a refused call would have needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// No endpoint of the pool takes work.
    NoEndpoint,
    /// The queue is as long as it may become.
    QueueFull,
    /// The call would have a slot only after its deadline.
    Deadline,
}

/// What was seen on a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Tokens of the prompt, as the engine counted them.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: u64,
    /// Tokens that were generated.
    pub output_tokens: u64,
    /// Time from sending the call to the first byte of its answer.
    pub first_token: Option<Duration>,
    /// Whether the endpoint failed.
    pub failed: bool,
}

/// What an endpoint says about its load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait inside the endpoint.
    pub waiting: u32,
    /// Tokens that its prefix cache can hold; 0 when unknown.
    pub cache_max_tokens: u64,
    /// Age of these figures.
    pub age: Duration,
}

impl Call {
    /// Makes a lone call without tokens.
    pub fn new(account_id: impl Into<AccountId>, latest: Instant) -> Self {
        Self {
            account_id: account_id.into(),
            program_id: None,
            first: true,
            prompt_tokens: 0,
            max_output_tokens: 0,
            attained_tokens: 0,
            prefix_endpoint_id: None,
            excluded: Vec::new(),
            latest,
        }
    }
}

impl EndpointInfo {
    /// Describes an endpoint that takes work.
    pub fn new(endpoint_id: impl Into<EndpointId>, slots: u32) -> Self {
        Self {
            endpoint_id: endpoint_id.into(),
            slots,
            leaving: false,
        }
    }
}

impl Shortage {
    /// A few words for the caller.
    pub fn reason(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no endpoint takes work",
            Self::QueueFull => "too many calls wait",
            Self::Deadline => "no slot can be had in time",
        }
    }
}
