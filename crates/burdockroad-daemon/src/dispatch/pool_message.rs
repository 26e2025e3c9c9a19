//! Messages to the pool actor, and what the actor depends on.

use std::{fmt, sync::Arc};

use burdockroad::{
    EndpointId, PoolId,
    dispatch::{CacheEvent, LoadReport, Report, SlotId},
};
use ractor::{ActorRef, RpcReplyPort};
use tokio::time::Instant;

use crate::{
    dispatch::{PoolSource, Slot, SlotRefusal, SlotRequest, messages::RequestId},
    ownership::{OwnershipReceiver, PeersReceiver, Process},
    peer::PeerClients,
    quota::AccountLimits,
};

/// The dependencies of the dispatcher and its pool actor.
#[derive(Clone, Debug)]
pub struct DispatchParts {
    /// Ownership map, which determines the owner of each pool.
    pub ownership: OwnershipReceiver,
    /// Addresses and liveness of the other hosts.
    pub peers: PeersReceiver,
    /// Connections to the owners.
    pub clients: Arc<PeerClients>,
    /// Source of the endpoint sets.
    pub source: Arc<dyn PoolSource>,
    /// Scheduling weights of the accounts.
    pub limits: Arc<dyn AccountLimits>,
}

/// A message to the pool actor.
#[derive(Debug)]
pub(super) enum PoolMessage {
    /// Requests a slot for a call.
    Acquire {
        pool_id: PoolId,
        request: SlotRequest,
        requester: SlotRequester,
        source: SlotSource,
        reply: RpcReplyPort<Result<OfferedSlot, AcquireError>>,
    },
    /// Releases a slot; the report is absent if the use of the slot is unknown.
    Release {
        pool_id: PoolId,
        slot_id: SlotId,
        report: Option<Report>,
    },
    /// Cancels a request whose requester no longer waits, or reclaims the slot granted to it.
    Cancel {
        pool_id: PoolId,
        requester: SlotRequester,
    },
    /// Requests the list of endpoints to poll.
    PollTargets(RpcReplyPort<Vec<PollTarget>>),
    /// Reports the result of a poll; the load is absent if the endpoint did not respond.
    EndpointPolled {
        pool_id: PoolId,
        endpoint_id: EndpointId,
        load: Option<LoadReport>,
        events: Vec<CacheEvent>,
    },
    /// Signals that a scheduled time has been reached, at which requests may be granted or refused.
    Wake(Instant),
    /// Checks endpoint sets, peers and waiting requests for changes at a fixed interval.
    Refresh,
}

/// An endpoint to poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct PollTarget {
    pub(super) pool_id: PoolId,
    pub(super) endpoint_id: EndpointId,
    pub(super) address: String,
}

/// The process and request that a slot is granted to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SlotRequester {
    pub(super) process: Process,
    pub(super) request_id: RequestId,
}

/// The slots that a request is served from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// All slots of the pool, granted by its owner.
    Owner,
    /// This host's own share of the slots, while the pool's owner is unreachable.
    Share,
}

/// The reason why the actor granted no slot.
#[derive(Clone, Debug)]
pub(super) enum AcquireError {
    /// This host does not own the pool.
    NotOwner,
    /// No slot can be granted.
    Refused(SlotRefusal),
}

/// A granted slot that its requester has not accepted yet; dropping the offer releases the slot.
pub(super) struct OfferedSlot {
    slot: Option<Slot>,
    actor: ActorRef<PoolMessage>,
}

impl OfferedSlot {
    pub(super) fn new(slot: Slot, actor: ActorRef<PoolMessage>) -> Self {
        Self {
            slot: Some(slot),
            actor,
        }
    }

    /// Accepts the slot, which the caller must release later.
    pub(super) fn take(mut self) -> Option<Slot> {
        self.slot.take()
    }
}

impl Drop for OfferedSlot {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            let message = PoolMessage::Release {
                pool_id: slot.pool_id,
                slot_id: slot.slot_id,
                report: None,
            };
            // Once the actor has stopped, there is no slot left to release.
            self.actor.send_message(message).unwrap_or_default();
        }
    }
}

impl fmt::Debug for OfferedSlot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OfferedSlot")
            .field("slot", &self.slot)
            .finish_non_exhaustive()
    }
}
