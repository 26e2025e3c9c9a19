//! The dispatcher of this host: asks the owners of pools, and answers for the pools of its own.

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
        Dispatcher, PoolSource, Slot, SlotRefusal, SlotReport, SlotRequest,
        actor::{Holder, NoSlot, OfferedSlot, PoolActor, PoolMessage, SlotSource},
        messages::{self, Acquired, RequestId},
        polling,
    },
    ownership::{OwnershipReceiver, PeersReceiver, Process},
    peer::{PeerClients, SlotHandler},
    quota::AccountLimits,
};

/// Time beyond a call's deadline that its owner's answer may take.
const ANSWER_GRACE: Duration = Duration::from_millis(250);

/// Tries to give a slot back to the owner of its pool, and the pause between two of them.
const RELEASE_TRIES: u32 = 3;
const RELEASE_PAUSE: Duration = Duration::from_millis(200);

/// Time within which an owner must take a slot back.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// When to try again after this host's dispatcher has stopped.
const STOPPED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// What [`PoolDispatcher`] works with.
#[derive(Clone, Debug)]
pub struct DispatchParts {
    /// Which host owns which pool.
    pub ownership: OwnershipReceiver,
    /// Where the owners are reached, and which hosts are gone.
    pub peers: PeersReceiver,
    /// Connections to the owners.
    pub clients: Arc<PeerClients>,
    /// The endpoint sets.
    pub source: Arc<dyn PoolSource>,
    /// Weights of the accounts.
    pub limits: Arc<dyn AccountLimits>,
}

/// Gives out slots of the pools that this host owns, and gets slots of the others from their owners.
pub struct PoolDispatcher {
    parts: DispatchParts,
    actor: ActorRef<PoolMessage>,
    polling: JoinHandle<()>,
    /// Where slots that other hosts gave have to be returned.
    remote: Mutex<HashMap<(PoolId, SlotId), String>>,
}

/// Where a pool's slots are to be had.
enum Owner {
    This,
    Peer { process: Process, address: String },
    Unknown,
}

/// Tells an owner, unless disarmed, that nobody waits for its answer any more.
///
/// The end of the connection does not suffice: the answer may have left the owner by then.
struct GivenUp {
    clients: Arc<PeerClients>,
    address: String,
    request: Option<ReleaseSlotRequest>,
}

impl GivenUp {
    fn disarm(mut self) {
        self.request = None;
    }
}

impl Drop for GivenUp {
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
    /// Starts the actor and the polling of endpoints.
    ///
    /// # Errors
    ///
    /// Fails when the runtime takes no further actor.
    pub async fn start(parts: DispatchParts) -> Result<Self, SpawnErr> {
        let (actor, _) = Actor::spawn(None, PoolActor, parts.clone()).await?;
        let polling = tokio::spawn(polling::poll_all(actor.clone()));
        Ok(Self {
            parts,
            actor,
            polling,
            remote: Mutex::default(),
        })
    }

    /// Stops the actor and the polling; calls that wait are refused.
    pub fn close(self) {
        self.polling.abort();
        self.actor.stop(None);
    }

    async fn acquire_in(&self, pool_id: &PoolId, request: &SlotRequest) -> Result<Slot, SlotRefusal> {
        let acquired = match self.owner(pool_id) {
            Owner::This => {
                self.acquire_here(pool_id, request, self.own(), SlotSource::Owner)
                    .await
            }
            Owner::Peer { process, address } => {
                self.acquire_remote(pool_id, request, &process, &address).await
            }
            Owner::Unknown => Acquired::NotOwner,
        };
        let acquired = match acquired {
            // Nobody who owns the pool can be reached.
            Acquired::NotOwner => {
                self.acquire_here(pool_id, request, self.own(), SlotSource::Share)
                    .await
            }
            acquired => acquired,
        };
        match acquired {
            Acquired::Slot(slot) => Ok(slot),
            Acquired::Refused(refusal) => Err(refusal),
            Acquired::NotOwner => Err(stopped()),
        }
    }

    async fn acquire_here(
        &self,
        pool_id: &PoolId,
        request: &SlotRequest,
        holder: Holder,
        source: SlotSource,
    ) -> Acquired {
        match self.offered(pool_id, request.clone(), holder, source).await {
            Ok(offered) => offered.take().map_or(Acquired::NotOwner, Acquired::Slot),
            Err(NoSlot::Refused(refusal)) => Acquired::Refused(refusal),
            Err(NoSlot::NotOwner) => Acquired::NotOwner,
        }
    }

    async fn offered(
        &self,
        pool_id: &PoolId,
        request: SlotRequest,
        holder: Holder,
        source: SlotSource,
    ) -> Result<OfferedSlot, NoSlot> {
        let (sender, receiver) = oneshot::channel();
        let message = PoolMessage::Acquire {
            pool_id: pool_id.clone(),
            request,
            holder,
            source,
            reply: sender.into(),
        };
        let stopped = || NoSlot::Refused(stopped());
        match self.actor.send_message(message) {
            Ok(()) => receiver.await.unwrap_or_else(|_| Err(stopped())),
            Err(_) => Err(stopped()),
        }
    }

    /// Asks the owner, until it answers, the deadline has passed or the owner is gone.
    async fn acquire_remote(
        &self,
        pool_id: &PoolId,
        request: &SlotRequest,
        owner: &Process,
        address: &str,
    ) -> Acquired {
        let Ok(mut client) = self.parts.clients.get(address) else {
            return Acquired::NotOwner;
        };
        let request_id = rand::random::<RequestId>().max(1);
        let message = messages::to_acquire(&self.me(), pool_id, request, request_id);
        let given_up = GivenUp {
            clients: Arc::clone(&self.parts.clients),
            address: address.to_owned(),
            request: Some(messages::to_give_up(&self.me(), pool_id, request_id)),
        };
        let answer = tokio::select! {
            answer = client.acquire_slot(message) => answer,
            () = self.gone(owner) => return Acquired::NotOwner,
            () = tokio::time::sleep_until(request.slot_deadline + ANSWER_GRACE) => return Acquired::NotOwner,
        };
        let Ok(answer) = answer else {
            return Acquired::NotOwner;
        };
        given_up.disarm();
        let acquired = messages::from_response(pool_id, answer.into_inner());
        if let Acquired::Slot(slot) = &acquired {
            self.remote()
                .insert((pool_id.clone(), slot.slot_id), address.to_owned());
        }
        acquired
    }

    /// Resolves when a process is no longer heard.
    async fn gone(&self, process: &Process) {
        let mut peers = self.parts.peers.clone();
        let is_gone = |peers: &Arc<crate::ownership::PeersView>| {
            let peer = peers.peers.get(&process.host_id);
            !peer.is_some_and(|peer| peer.live && peer.process == *process)
        };
        if peers.wait_for(is_gone).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn owner(&self, pool_id: &PoolId) -> Owner {
        let view = self.parts.ownership.borrow();
        let partition = partition_of(pool_id);
        if view.owns(partition) {
            return Owner::This;
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

    fn me(&self) -> Process {
        self.parts.ownership.borrow().me.clone()
    }

    fn own(&self) -> Holder {
        Holder {
            process: self.me(),
            request_id: 0,
        }
    }

    fn remote(&self) -> std::sync::MutexGuard<'_, HashMap<(PoolId, SlotId), String>> {
        self.remote.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl Dispatcher for PoolDispatcher {
    async fn acquire(&self, request: SlotRequest) -> Result<Slot, SlotRefusal> {
        let started_at = Instant::now();
        let mut refused = None;
        for pool_id in &request.pool_ids {
            match self.acquire_in(pool_id, &request).await {
                Ok(slot) => {
                    record(pool_id, &request, started_at.elapsed());
                    return Ok(slot);
                }
                Err(refusal) => refused = refused.or(Some(refusal)),
            }
        }
        Err(refused.unwrap_or_else(|| SlotRefusal {
            reason: "the route has no endpoint set".to_owned(),
            retry_after: STOPPED_RETRY_AFTER,
        }))
    }

    fn release(&self, slot: Slot, report: SlotReport) {
        let key = (slot.pool_id.clone(), slot.slot_id);
        let Some(address) = self.remote().remove(&key) else {
            let message = PoolMessage::Release {
                pool_id: slot.pool_id,
                slot_id: slot.slot_id,
                report: Some(report.into()),
            };
            // An actor that has stopped keeps no slots.
            self.actor.send_message(message).unwrap_or_default();
            return;
        };
        let request = messages::to_release(&self.me(), &slot, &report);
        tokio::spawn(release_remote(Arc::clone(&self.parts.clients), address, request));
    }
}

#[async_trait]
impl SlotHandler for PoolDispatcher {
    async fn acquire(&self, request: AcquireSlotRequest) -> AcquireSlotResponse {
        let holder = Holder {
            process: messages::process(request.from.as_ref()),
            request_id: request.request_id,
        };
        let pool_id = request.pool.clone();
        let request = messages::from_acquire(request);
        match self
            .acquire_here(&pool_id, &request, holder, SlotSource::Owner)
            .await
        {
            Acquired::Slot(slot) => messages::slot_response(slot),
            Acquired::Refused(refusal) => messages::refused_response(refusal, false),
            Acquired::NotOwner => messages::refused_response(stopped(), true),
        }
    }

    async fn release(&self, request: ReleaseSlotRequest) -> ReleaseSlotResponse {
        let message = to_message(&request);
        // An actor that has stopped keeps no slots.
        self.actor.send_message(message).unwrap_or_default();
        ReleaseSlotResponse {}
    }
}

impl fmt::Debug for PoolDispatcher {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PoolDispatcher").finish_non_exhaustive()
    }
}

fn to_message(request: &ReleaseSlotRequest) -> PoolMessage {
    let pool_id = request.pool.clone();
    if request.given_up_request_id != 0 {
        let holder = Holder {
            process: messages::process(request.from.as_ref()),
            request_id: request.given_up_request_id,
        };
        return PoolMessage::GiveUp { pool_id, holder };
    }
    PoolMessage::Release {
        pool_id,
        slot_id: request.slot_id,
        report: Some(messages::from_release(request)),
    }
}

/// Gives a slot back; one that cannot be returned is free when its lease ends.
async fn release_remote(clients: Arc<PeerClients>, address: String, request: ReleaseSlotRequest) {
    for _ in 0..RELEASE_TRIES {
        if let Ok(mut client) = clients.get(&address)
            && let Ok(Ok(_)) =
                tokio::time::timeout(RELEASE_TIMEOUT, client.release_slot(request.clone())).await
        {
            return;
        }
        tokio::time::sleep(RELEASE_PAUSE).await;
    }
    log::warn!(
        "event=slot_not_returned pool={} slot={}",
        request.pool,
        request.slot_id
    );
}

fn stopped() -> SlotRefusal {
    SlotRefusal {
        reason: "no slots are given out here now".to_owned(),
        retry_after: STOPPED_RETRY_AFTER,
    }
}

fn record(pool_id: &PoolId, request: &SlotRequest, waited: Duration) {
    let labels = [("pool", pool_id.clone()), ("account", request.account_id.clone())];
    metrics::histogram!("burdockroad_slot_wait_seconds", &labels).record(waited.as_secs_f64());
}
