//! The actor that owns the pools of this host.

use std::time::Duration;

use ractor::{Actor, ActorProcessingErr, ActorRef};

use crate::dispatch::{
    pool_message::{DispatchParts, PoolMessage},
    pools::PoolTable,
};

/// Interval at which the actor checks for changes that no message reports: endpoint sets, peers and
/// abandoned requests.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

#[derive(Debug)]
pub(super) struct PoolActor;

impl Actor for PoolActor {
    type Msg = PoolMessage;
    type State = PoolTable;
    type Arguments = DispatchParts;

    async fn pre_start(
        &self,
        myself: ActorRef<PoolMessage>,
        args: DispatchParts,
    ) -> Result<PoolTable, ActorProcessingErr> {
        myself.send_interval(REFRESH_INTERVAL, || PoolMessage::Refresh);
        Ok(PoolTable::new(args, myself))
    }

    async fn handle(
        &self,
        _myself: ActorRef<PoolMessage>,
        message: PoolMessage,
        state: &mut PoolTable,
    ) -> Result<(), ActorProcessingErr> {
        state.apply_changes();
        match message {
            PoolMessage::Acquire {
                pool_id,
                request,
                requester,
                source,
                reply,
            } => state.acquire(&pool_id, request, requester, source, reply),
            PoolMessage::Release {
                pool_id,
                slot_id,
                report,
            } => state.release(&pool_id, slot_id, report.as_ref()),
            PoolMessage::Cancel { pool_id, requester } => state.cancel_request(&pool_id, &requester),
            PoolMessage::PollTargets(reply) => {
                // The send fails if the polling task has been stopped.
                reply.send(state.poll_targets()).unwrap_or_default();
            }
            PoolMessage::EndpointPolled {
                pool_id,
                endpoint_id,
                load,
                events,
            } => state.record_poll(&pool_id, &endpoint_id, load, &events),
            PoolMessage::Wake(scheduled) => state.wake(scheduled),
            PoolMessage::Refresh => state.refresh(),
        }
        Ok(())
    }
}
