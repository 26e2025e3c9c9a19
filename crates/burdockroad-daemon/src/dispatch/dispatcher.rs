//! The dispatcher of this host, which requests slots from pool owners and grants slots of its own
//! pools.

use std::{
    collections::HashMap,
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{PoolId, dispatch::SlotId, partition_of};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, ReleaseSlotRequest, ReleaseSlotResponse,
};
use ractor::{Actor, ActorRef, SpawnErr};
use tokio::{sync::oneshot, task::JoinHandle, time::Instant};

use crate::{
    dispatch::{
        Dispatcher, Slot, SlotRefusal, SlotReport, SlotRequest,
        actor::PoolActor,
        messages::{self, AcquireOutcome, RequestId},
        polling,
        pool_message::{AcquireError, DispatchParts, OfferedSlot, PoolMessage, SlotRequester, SlotSource},
    },
    ownership::Process,
    peer::{PeerClients, SlotHandler},
};

/// Time after a call's slot deadline within which the owner's response is still accepted.
const RESPONSE_GRACE: Duration = Duration::from_millis(250);

/// Maximum number of attempts to return a slot to the owner of its pool.
const RELEASE_ATTEMPTS: u32 = 3;

/// Pause between two attempts to return a slot.
const RELEASE_BACKOFF: Duration = Duration::from_millis(200);

/// Timeout of one attempt to return a slot.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// Retry delay for a call when this host cannot grant slots, or when its route has no endpoint set.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A dispatcher that grants slots of the pools that this host owns and requests others from their
/// owners.
pub struct PoolDispatcher {
    parts: DispatchParts,
    actor: ActorRef<PoolMessage>,
    polling: JoinHandle<()>,
    /// Address of the host that granted each remote slot, to which the slot is returned.
    remote_slots: Mutex<HashMap<(PoolId, SlotId), String>>,
}

/// The owner of a pool, from which slots are acquired.
enum Owner {
    Local,
    Peer {
        process: Process,
        address: String,
    },
    /// The ownership map names no owner, or its process is not live.
    Unknown,
}

/// A guard that cancels a slot request at the pool's owner when dropped without being disarmed.
///
/// Closing the connection is not enough: the owner may already have granted a slot and sent its
/// response, and the slot would then stay granted until its lease expires.
struct CancelOnDrop {
    clients: Arc<PeerClients>,
    address: String,
    request: Option<ReleaseSlotRequest>,
}

impl CancelOnDrop {
    fn disarm(mut self) {
        self.request = None;
    }
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if let Some(request) = self.request.take()
            && let Ok(runtime) = tokio::runtime::Handle::try_current()
        {
            let clients = Arc::clone(&self.clients);
            runtime.spawn(release_remote(clients, self.address.clone(), request));
        }
    }
}

impl PoolDispatcher {
    /// Starts the actor and the task that polls endpoints.
    ///
    /// # Errors
    ///
    /// Returns an error if the actor cannot be started.
    pub async fn start(parts: DispatchParts) -> Result<Self, SpawnErr> {
        let (actor, _) = Actor::spawn(None, PoolActor, parts.clone()).await?;
        let polling = tokio::spawn(polling::poll_all(actor.clone()));
        Ok(Self {
            parts,
            actor,
            polling,
            remote_slots: Mutex::default(),
        })
    }

    /// Stops the actor and the polling task; waiting calls are refused.
    pub fn close(self) {
        self.polling.abort();
        self.actor.stop(None);
    }

    async fn acquire_from_pool(&self, pool_id: &PoolId, request: &SlotRequest) -> Result<Slot, SlotRefusal> {
        let outcome = match self.owner(pool_id) {
            Owner::Local => {
                self.acquire_local(pool_id, request, self.own_requester(), SlotSource::Owner)
                    .await
            }
            Owner::Peer { process, address } => {
                self.acquire_in_service(pool_id, request, &process, &address)
                    .await
            }
            Owner::Unknown => AcquireOutcome::NotOwner,
        };
        let outcome = match outcome {
            // The pool's owner is unknown or unreachable, so this host grants from its own share.
            AcquireOutcome::NotOwner => {
                self.acquire_local(pool_id, request, self.own_requester(), SlotSource::Share)
                    .await
            }
            outcome => outcome,
        };
        match outcome {
            AcquireOutcome::Slot(slot) => Ok(slot),
            AcquireOutcome::Refused(refusal) => Err(refusal),
            AcquireOutcome::NotOwner => Err(unavailable()),
        }
    }

    async fn acquire_local(
        &self,
        pool_id: &PoolId,
        request: &SlotRequest,
        requester: SlotRequester,
        source: SlotSource,
    ) -> AcquireOutcome {
        match self
            .request_offer(pool_id, request.clone(), requester, source)
            .await
        {
            Ok(offer) => offer
                .take()
                .map_or(AcquireOutcome::NotOwner, AcquireOutcome::Slot),
            Err(AcquireError::Refused(refusal)) => AcquireOutcome::Refused(refusal),
            Err(AcquireError::NotOwner) => AcquireOutcome::NotOwner,
        }
    }

    async fn request_offer(
        &self,
        pool_id: &PoolId,
        request: SlotRequest,
        requester: SlotRequester,
        source: SlotSource,
    ) -> Result<OfferedSlot, AcquireError> {
        let (sender, receiver) = oneshot::channel();
        let message = PoolMessage::Acquire {
            pool_id: pool_id.clone(),
            request,
            requester,
            source,
            reply: sender.into(),
        };
        let actor_stopped = || AcquireError::Refused(unavailable());
        match self.actor.send_message(message) {
            Ok(()) => receiver.await.unwrap_or_else(|_| Err(actor_stopped())),
            Err(_) => Err(actor_stopped()),
        }
    }

    /// Requests a slot from the pool's owner, and requests another one if the granted slot is in a failure
    /// domain that is evacuated according to this host's document. The owner's document may be older if it is
    /// cut off.
    async fn acquire_in_service(
        &self,
        pool_id: &PoolId,
        request: &SlotRequest,
        owner: &Process,
        address: &str,
    ) -> AcquireOutcome {
        let outcome = self.acquire_remote(pool_id, request, owner, address).await;
        let AcquireOutcome::Slot(slot) = outcome else {
            return outcome;
        };
        let evacuated = self.parts.source.evacuated_endpoints(pool_id);
        if !evacuated.contains(&slot.endpoint_id) {
            return AcquireOutcome::Slot(slot);
        }
        Dispatcher::release(self, slot, SlotReport::default());
        let mut request = request.clone();
        request.excluded.extend(evacuated);
        self.acquire_remote(pool_id, &request, owner, address).await
    }

    /// Requests a slot from the pool's owner at another host.
    ///
    /// The wait ends when the owner responds or becomes unreachable, or [`RESPONSE_GRACE`] after the
    /// request's deadline.
    async fn acquire_remote(
        &self,
        pool_id: &PoolId,
        request: &SlotRequest,
        owner: &Process,
        address: &str,
    ) -> AcquireOutcome {
        let Ok(mut client) = self.parts.clients.get(address) else {
            return AcquireOutcome::NotOwner;
        };
        let request_id = rand::random::<RequestId>().max(1);
        let message = messages::acquire_request(&self.own_process(), pool_id, request, request_id);
        let cancel_on_drop = CancelOnDrop {
            clients: Arc::clone(&self.parts.clients),
            address: address.to_owned(),
            request: Some(messages::cancel_request(&self.own_process(), pool_id, request_id)),
        };
        let response = tokio::select! {
            response = client.acquire_slot(message) => response,
            () = self.wait_until_unreachable(owner) => return AcquireOutcome::NotOwner,
            () = tokio::time::sleep_until(request.deadline + RESPONSE_GRACE) => {
                return AcquireOutcome::NotOwner
            }
        };
        let Ok(response) = response else {
            return AcquireOutcome::NotOwner;
        };
        cancel_on_drop.disarm();
        let outcome = messages::to_outcome(pool_id, response.into_inner());
        if let AcquireOutcome::Slot(slot) = &outcome {
            self.remote_slots()
                .insert((pool_id.clone(), slot.slot_id), address.to_owned());
        }
        outcome
    }

    /// Waits until a peer process is no longer live.
    async fn wait_until_unreachable(&self, process: &Process) {
        let mut peers = self.parts.peers.clone();
        let is_unreachable = |peers: &Arc<crate::ownership::PeersView>| {
            let peer = peers.peers.get(&process.host_id);
            !peer.is_some_and(|peer| peer.live && peer.process == *process)
        };
        if peers.wait_for(is_unreachable).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn owner(&self, pool_id: &PoolId) -> Owner {
        let view = self.parts.ownership.borrow();
        let partition = partition_of(pool_id);
        if view.owns(partition) {
            return Owner::Local;
        }
        let Some(owner) = view.owner(partition) else {
            return Owner::Unknown;
        };
        let peers = self.parts.peers.borrow();
        match peers.peers.get(&owner.process.host_id) {
            Some(peer) if peer.live && peer.process == owner.process => Owner::Peer {
                process: owner.process.clone(),
                address: peer.address.clone(),
            },
            _ => Owner::Unknown,
        }
    }

    fn own_process(&self) -> Process {
        self.parts.ownership.borrow().me.clone()
    }

    fn own_requester(&self) -> SlotRequester {
        SlotRequester {
            process: self.own_process(),
            request_id: 0,
        }
    }

    fn remote_slots(&self) -> std::sync::MutexGuard<'_, HashMap<(PoolId, SlotId), String>> {
        self.remote_slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Dispatcher for PoolDispatcher {
    async fn acquire(&self, request: SlotRequest) -> Result<Slot, SlotRefusal> {
        let started_at = Instant::now();
        let mut first_refusal = None;
        for pool_id in &request.pool_ids {
            match self.acquire_from_pool(pool_id, &request).await {
                Ok(slot) => {
                    record_slot_wait(pool_id, &request, started_at.elapsed());
                    return Ok(slot);
                }
                Err(refusal) => first_refusal = first_refusal.or(Some(refusal)),
            }
        }
        Err(first_refusal.unwrap_or_else(|| SlotRefusal {
            reason: "the route has no endpoint set".to_owned(),
            retry_after: UNAVAILABLE_RETRY_AFTER,
        }))
    }

    fn release(&self, slot: Slot, report: SlotReport) {
        let key = (slot.pool_id.clone(), slot.slot_id);
        let Some(address) = self.remote_slots().remove(&key) else {
            let message = PoolMessage::Release {
                pool_id: slot.pool_id,
                slot_id: slot.slot_id,
                report: Some(report.into()),
            };
            // Once the actor has stopped, there is no slot left to release.
            self.actor.send_message(message).unwrap_or_default();
            return;
        };
        let request = messages::release_request(&self.own_process(), &slot, &report);
        tokio::spawn(release_remote(Arc::clone(&self.parts.clients), address, request));
    }
}

#[async_trait]
impl SlotHandler for PoolDispatcher {
    async fn acquire(&self, request: AcquireSlotRequest) -> AcquireSlotResponse {
        let requester = SlotRequester {
            process: messages::to_process(request.from.as_ref()),
            request_id: request.request_id,
        };
        let pool_id = request.pool.clone();
        let request = messages::to_slot_request(request);
        match self
            .acquire_local(&pool_id, &request, requester, SlotSource::Owner)
            .await
        {
            AcquireOutcome::Slot(slot) => messages::slot_response(slot),
            AcquireOutcome::Refused(refusal) => messages::refused_response(refusal, false),
            AcquireOutcome::NotOwner => messages::refused_response(unavailable(), true),
        }
    }

    async fn release(&self, request: ReleaseSlotRequest) -> ReleaseSlotResponse {
        let message = release_message(&request);
        // Once the actor has stopped, there is no slot left to release.
        self.actor.send_message(message).unwrap_or_default();
        ReleaseSlotResponse {}
    }
}

impl fmt::Debug for PoolDispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PoolDispatcher").finish_non_exhaustive()
    }
}

fn release_message(request: &ReleaseSlotRequest) -> PoolMessage {
    let pool_id = request.pool.clone();
    if request.given_up_request_id != 0 {
        let requester = SlotRequester {
            process: messages::to_process(request.from.as_ref()),
            request_id: request.given_up_request_id,
        };
        return PoolMessage::Cancel { pool_id, requester };
    }
    PoolMessage::Release {
        pool_id,
        slot_id: request.slot_id,
        report: Some(messages::to_report(request)),
    }
}

/// Returns a slot to the owner of its pool.
///
/// A slot that cannot be returned becomes free when its lease expires.
async fn release_remote(clients: Arc<PeerClients>, address: String, request: ReleaseSlotRequest) {
    for _ in 0..RELEASE_ATTEMPTS {
        if let Ok(mut client) = clients.get(&address)
            && let Ok(Ok(_)) =
                tokio::time::timeout(RELEASE_TIMEOUT, client.release_slot(request.clone())).await
        {
            return;
        }
        tokio::time::sleep(RELEASE_BACKOFF).await;
    }
    log::warn!(
        "event=slot_not_returned pool={} slot={}",
        request.pool,
        request.slot_id
    );
}

fn unavailable() -> SlotRefusal {
    SlotRefusal {
        reason: "this host cannot grant slots at present".to_owned(),
        retry_after: UNAVAILABLE_RETRY_AFTER,
    }
}

fn record_slot_wait(pool_id: &PoolId, request: &SlotRequest, waited: Duration) {
    let labels = [("pool", pool_id.clone()), ("account", request.account_id.clone())];
    metrics::histogram!("burdockroad_slot_wait_seconds", &labels).record(waited.as_secs_f64());
}
