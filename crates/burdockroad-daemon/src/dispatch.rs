//! Scheduling of calls onto slots at endpoints.
//!
//! The owner of a pool's partition grants the pool's slots. A host that cannot reach the owner grants
//! its own share of them. While both grant slots, an endpoint may receive more calls than it has
//! slots. This can overload it, but correctness does not depend on the number of slots.

mod actor;
mod dispatcher;
mod evacuations;
mod messages;
mod polling;
mod pool_message;
mod pools;

use std::{collections::BTreeSet, fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, CallNumber, EndpointId, HostId, PoolId, ProgramId, config::EndpointSet};
use tokio::time::Instant;

pub use self::{dispatcher::PoolDispatcher, pool_message::DispatchParts};

/// A scheduler that grants slots at the endpoints of each pool, fairly between accounts.
#[async_trait]
pub trait Dispatcher: fmt::Debug + Send + Sync {
    /// Waits for a slot in one of the request's pools.
    ///
    /// # Errors
    ///
    /// Returns a refusal as soon as it is certain that no slot becomes free by the request's
    /// deadline. A refused request is not queued any longer.
    async fn acquire(&self, request: SlotRequest) -> Result<Slot, SlotRefusal>;

    /// Releases a slot with a report of its use.
    fn release(&self, slot: Slot, report: SlotReport);
}

/// A source of endpoint sets, backed by the document and the platform's host list.
pub trait PoolSource: fmt::Debug + Send + Sync {
    /// Returns a number that changes whenever the result of another method changes.
    fn version(&self) -> u64;

    /// Returns the endpoint sets.
    fn endpoint_sets(&self) -> Vec<EndpointSet>;

    /// Returns the hosts that are about to be removed.
    fn draining_hosts(&self) -> BTreeSet<HostId>;

    /// Returns the failure domains that the operators have evacuated.
    fn evacuated_domains(&self) -> BTreeSet<String>;

    /// Returns the endpoints of a pool that are in evacuated failure domains.
    fn evacuated_endpoints(&self, pool_id: &PoolId) -> Vec<EndpointId>;

    /// Returns whether a pool's endpoints are model engines, which report load and cache events.
    ///
    /// Plain services must not be polled: a service would execute the poll like any other request.
    fn is_engine_pool(&self, pool_id: &PoolId) -> bool;
}

/// A call's request for a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct SlotRequest {
    /// Pools that can serve the call, those of the program's site first.
    pub pool_ids: Vec<PoolId>,
    /// Account of the call; empty for a call without a key on an open route.
    pub account_id: AccountId,
    /// Program of the call; `None` for a call outside a program.
    pub program_id: Option<ProgramId>,
    /// Number of the call in its program.
    pub call_number: CallNumber,
    /// Estimated tokens of the whole prompt; 0 for a service call.
    pub prompt_tokens: u64,
    /// Upper bound of tokens that the engine may generate; 0 for a service call.
    pub max_output_tokens: u64,
    /// Tokens generated so far for the program's calls.
    pub attained_tokens: u64,
    /// Endpoint that served the program's last completion.
    pub prefix_endpoint_id: Option<EndpointId>,
    /// Endpoints to avoid because the call was already attempted there.
    pub excluded: Vec<EndpointId>,
    /// Time by which the call must have a slot.
    pub deadline: Instant,
}

/// A slot at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Id of the slot, unique in its pool.
    pub slot_id: u64,
    /// Pool of the endpoint.
    pub pool_id: PoolId,
    /// Endpoint at which the slot was granted.
    pub endpoint_id: EndpointId,
    /// IP address and port of the endpoint.
    pub address: String,
}

/// A report of how a slot was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SlotReport {
    /// Prompt tokens, as reported by the engine.
    pub prompt_tokens: u64,
    /// Prompt tokens that the engine served from its cache.
    pub cached_tokens: u64,
    /// Generated tokens.
    pub output_tokens: u64,
    /// Time from sending the call to the first event of a completion's stream, or to the head of a
    /// service's response.
    pub first_token: Option<Duration>,
    /// Whether the endpoint failed.
    pub failed: bool,
}

/// The refusal of a slot request. The call did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotRefusal {
    /// Reason that is shown to the caller.
    pub reason: String,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}
