//! The actor that owns the pools of this host.

use std::{fmt, time::Duration};

use burdockroad::{
    EndpointId, PoolId,
    dispatch::{CacheEvent, LoadReport, Report, SlotId},
};
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use tokio::time::Instant;

use crate::{
    dispatch::{
        Slot, SlotRefusal, SlotRequest, dispatcher::DispatchParts, messages::RequestId, polling::Target,
        pools::PoolTable,
    },
    ownership::Process,
};

/// Time between two looks at what changes without a message: endpoint sets, peers, gone callers.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(250);

/// What the actor is told.
#[derive(Debug)]
pub(super) enum PoolMessage {
    /// A call needs a slot.
    Acquire {
        pool_id: PoolId,
        request: SlotRequest,
        holder: Holder,
        source: SlotSource,
        reply: RpcReplyPort<Result<OfferedSlot, NoSlot>>,
    },
    /// A slot is no longer used; without a report nothing is known of it.
    Release {
        pool_id: PoolId,
        slot_id: SlotId,
        report: Option<Report>,
    },
    /// The host that asked for a slot no longer waits for the answer.
    GiveUp { pool_id: PoolId, holder: Holder },
    /// The endpoints to be polled.
    Targets(RpcReplyPort<Vec<Target>>),
    /// An endpoint answered a poll, or did not.
    Observed {
        pool_id: PoolId,
        endpoint_id: EndpointId,
        load: Option<LoadReport>,
        events: Vec<CacheEvent>,
    },
    /// A time that was scheduled has come; calls may have to be settled.
    Wake(Instant),
    /// Time has passed; endpoint sets and peers may have changed.
    Follow,
}

/// Who asked for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Holder {
    pub(super) process: Process,
    pub(super) request_id: RequestId,
}

/// Which slots a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SlotSource {
    /// The pool's, from its owner.
    Owner,
    /// This host's share of the pool's, while its owner cannot be reached.
    Share,
}

/// Why the actor gave no slot.
#[derive(Clone, Debug)]
pub(super) enum NoSlot {
    /// This host does not own the pool.
    NotOwner,
    /// No slot can be had in time.
    Refused(SlotRefusal),
}

/// A slot on its way to the call that asked for it; it goes back if that call is gone.
pub(super) struct OfferedSlot {
    slot: Option<Slot>,
    actor: ActorRef<PoolMessage>,
}

#[derive(Debug)]
pub(super) struct PoolActor;

impl OfferedSlot {
    pub(super) fn new(slot: Slot, actor: ActorRef<PoolMessage>) -> Self {
        Self {
            slot: Some(slot),
            actor,
        }
    }

    /// Takes the slot, to be released later.
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
            // An actor that has stopped keeps no slots.
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

impl Actor for PoolActor {
    type Msg = PoolMessage;
    type State = PoolTable;
    type Arguments = DispatchParts;

    async fn pre_start(
        &self,
        myself: ActorRef<PoolMessage>,
        args: DispatchParts,
    ) -> Result<PoolTable, ActorProcessingErr> {
        myself.send_interval(FOLLOW_INTERVAL, || PoolMessage::Follow);
        Ok(PoolTable::new(args, myself))
    }

    async fn handle(
        &self,
        _myself: ActorRef<PoolMessage>,
        message: PoolMessage,
        state: &mut PoolTable,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            PoolMessage::Acquire {
                pool_id,
                request,
                holder,
                source,
                reply,
            } => state.acquire(&pool_id, request, holder, source, reply),
            PoolMessage::Release {
                pool_id,
                slot_id,
                report,
            } => state.release(&pool_id, slot_id, report.as_ref()),
            PoolMessage::GiveUp { pool_id, holder } => state.give_up(&pool_id, &holder),
            PoolMessage::Targets(reply) => {
                // The polling task may have been stopped meanwhile.
                reply.send(state.targets()).unwrap_or_default();
            }
            PoolMessage::Observed {
                pool_id,
                endpoint_id,
                load,
                events,
            } => state.observed(&pool_id, &endpoint_id, load, &events),
            PoolMessage::Wake(scheduled) => state.wake(scheduled),
            PoolMessage::Follow => state.follow(),
        }
        Ok(())
    }
}
