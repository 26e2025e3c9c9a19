//! Slots at endpoints: which call goes next, and where.
//!
//! The owner of a pool's partition gives its slots out. A host that cannot reach the owner gives out
//! its own share of them: two sources of slots for a moment overload endpoints, and break nothing.

mod actor;
mod dispatcher;
mod messages;
mod polling;
mod pools;

use std::{collections::BTreeSet, fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, CallNumber, EndpointId, HostId, PoolId, ProgramId, config::EndpointSet};
use tokio::time::Instant;

pub use self::dispatcher::{DispatchParts, PoolDispatcher};

/// Gives out slots at the endpoints of each pool, fairly between accounts.
#[async_trait]
pub trait Dispatcher: fmt::Debug + Send + Sync {
    /// Waits for a slot in one of the request's pools.
    ///
    /// # Errors
    ///
    /// Refuses at once, and finally, when no slot can be had by the request's deadline.
    async fn acquire(&self, request: SlotRequest) -> Result<Slot, SlotRefusal>;

    /// Gives a slot back, with what was seen on it.
    fn release(&self, slot: Slot, report: SlotReport);
}

/// Gives the endpoint sets, as the document and the platform's host list have them.
pub trait PoolSource: fmt::Debug + Send + Sync {
    /// Number that changes whenever one of the other answers does.
    fn version(&self) -> u64;

    /// The endpoint sets.
    fn endpoint_sets(&self) -> Vec<EndpointSet>;

    /// Hosts that are being taken away.
    fn leaving_hosts(&self) -> BTreeSet<HostId>;

    /// Whether a pool's endpoints are model engines, which report load and cache events.
    ///
    /// A plain service is never asked: to it the question is a request like any other, and runs.
    fn is_engine_pool(&self, pool_id: &PoolId) -> bool;
}

/// What a call needs.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Pools that can serve the call, those of the program's site first.
    pub pool_ids: Vec<PoolId>,
    /// The account that the call runs for; empty on an open route without a key.
    pub account_id: AccountId,
    /// The program; none for a call outside a program.
    pub program_id: Option<ProgramId>,
    /// The call's position in its program.
    pub call_number: CallNumber,
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
    pub slot_deadline: Instant,
}

/// A slot at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Tells this slot from all others of its pool.
    pub slot_id: u64,
    /// Pool that the slot was taken from.
    pub pool_id: PoolId,
    /// The endpoint.
    pub endpoint_id: EndpointId,
    /// IP number and port of the endpoint.
    pub address: String,
}

/// What was seen on a slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotReport {
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

/// Why no slot was given. The call did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRefusal {
    /// What is short, in a few words for the caller.
    pub reason: String,
    /// When a later try may succeed.
    pub retry_after: Duration,
}
