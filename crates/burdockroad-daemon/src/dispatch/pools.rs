//! The pools of this host, with their waiting requests and granted slots.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use burdockroad::{
    EndpointId, PoolId,
    config::EndpointSet,
    dispatch::{Assignment, CacheEvent, CallId, LoadReport, OutOfService, Pool, Report, SlotId, Submitted},
    partition_of,
};
use ractor::{ActorRef, RpcReplyPort};
use tokio::time::Instant;

use crate::{
    dispatch::{
        Slot, SlotRefusal, SlotRequest,
        evacuations::EvacuationReport,
        pool_message::{
            AcquireError, DispatchParts, OfferedSlot, PollTarget, PoolMessage, SlotRequester, SlotSource,
        },
    },
    ownership::{OwnershipView, PeersView, Process},
};

/// Time after which a slot that was not released is reclaimed.
const SLOT_LEASE: Duration = Duration::from_mins(15);

/// Retry delay for a request for a pool that the document does not contain.
const UNKNOWN_POOL_RETRY_AFTER: Duration = Duration::from_secs(5);

type SlotReply = RpcReplyPort<Result<OfferedSlot, AcquireError>>;

/// The state of the pool actor.
#[derive(Debug)]
pub(super) struct PoolTable {
    parts: DispatchParts,
    myself: ActorRef<PoolMessage>,
    ownership: Arc<OwnershipView>,
    peers: Arc<PeersView>,
    source_version: Option<u64>,
    sets: BTreeMap<PoolId, EndpointSet>,
    out_of_service: OutOfService,
    evacuation_report: EvacuationReport,
    pools: BTreeMap<PoolId, PoolRow>,
    wake_at: Option<Instant>,
}

#[derive(Debug)]
struct PoolRow {
    pool: Pool,
    /// Whether this host owns the pool and grants all its slots; if not, it grants only its own share.
    is_owner: bool,
    addresses: BTreeMap<EndpointId, String>,
    waiting: HashMap<CallId, WaitingRequest>,
    granted_slots: HashMap<SlotId, GrantedSlot>,
}

#[derive(Debug)]
struct WaitingRequest {
    requester: SlotRequester,
    reply: SlotReply,
}

#[derive(Debug)]
struct GrantedSlot {
    requester: SlotRequester,
    granted_at: Instant,
}

impl PoolTable {
    pub(super) fn new(parts: DispatchParts, myself: ActorRef<PoolMessage>) -> Self {
        let mut table = Self {
            parts,
            myself,
            ownership: Arc::default(),
            peers: Arc::default(),
            source_version: None,
            sets: BTreeMap::new(),
            out_of_service: OutOfService::default(),
            evacuation_report: EvacuationReport::default(),
            pools: BTreeMap::new(),
            wake_at: None,
        };
        table.refresh();
        table
    }

    /// Applies changes, reclaims slots whose process is no longer live or whose lease has expired, and
    /// removes requests whose requesters no longer wait.
    pub(super) fn refresh(&mut self) {
        self.apply_changes();
        self.reclaim_lost_slots();
        self.remove_abandoned_requests();
        self.tick_all();
        let pools = &self.pools;
        let running_at = |pool_id: &PoolId, endpoint_id: &EndpointId| {
            let row = pools.get(pool_id);
            row.map_or(0, |row| row.pool.running_at(endpoint_id))
        };
        let domains = &self.out_of_service.evacuated_domains;
        self.evacuation_report
            .update(domains, self.sets.values(), running_at);
    }

    /// Applies changes of endpoint sets, evacuated domains, owners and peers.
    ///
    /// The actor calls this before each message, so that no slot is granted by a document that is no longer
    /// in force: the operators' tool reports an evacuation as soon as the document is in force.
    pub(super) fn apply_changes(&mut self) {
        let ownership = Arc::clone(&self.parts.ownership.borrow());
        let peers = Arc::clone(&self.parts.peers.borrow());
        let version = self.parts.source.version();
        let owners_or_peers_changed =
            !Arc::ptr_eq(&ownership, &self.ownership) || !Arc::ptr_eq(&peers, &self.peers);
        self.ownership = ownership;
        self.peers = peers;
        if self.source_version != Some(version) {
            self.source_version = Some(version);
            self.sets = self
                .parts
                .source
                .endpoint_sets()
                .into_iter()
                .map(|set| (set.id.clone(), set))
                .collect();
            self.out_of_service = OutOfService {
                draining_hosts: self.parts.source.draining_hosts(),
                evacuated_domains: self.parts.source.evacuated_domains(),
            };
            self.update_pools();
        } else if owners_or_peers_changed {
            self.update_pools();
        }
    }

    pub(super) fn acquire(
        &mut self,
        pool_id: &PoolId,
        request: SlotRequest,
        requester: SlotRequester,
        source: SlotSource,
        reply: SlotReply,
    ) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            refuse(
                reply,
                "the endpoint set does not exist".to_owned(),
                UNKNOWN_POOL_RETRY_AFTER,
            );
            return;
        };
        if source == SlotSource::Owner && !row.is_owner {
            // The send fails if the requester no longer waits, which needs no handling.
            reply.send(Err(AcquireError::NotOwner)).unwrap_or_default();
            return;
        }
        let weight = self.parts.limits.weight(&request.account_id);
        row.pool.set_weight(&request.account_id, weight);
        match row.pool.submit(request.into(), now()) {
            Submitted::Waiting(call_id) => {
                row.waiting.insert(call_id, WaitingRequest { requester, reply });
            }
            Submitted::Refused { reason, retry_after } => {
                refuse(reply, reason.reason().to_owned(), retry_after);
            }
        }
        self.tick(pool_id);
    }

    pub(super) fn release(&mut self, pool_id: &PoolId, slot_id: SlotId, report: Option<&Report>) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            return;
        };
        row.granted_slots.remove(&slot_id);
        match report {
            Some(report) => row.pool.complete(slot_id, report, now()),
            None => row.pool.reclaim(slot_id, now()),
        }
        self.tick(pool_id);
    }

    /// Cancels a waiting request, or reclaims the slot that was granted to it.
    pub(super) fn cancel_request(&mut self, pool_id: &PoolId, requester: &SlotRequester) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            return;
        };
        let waiting = row
            .waiting
            .iter()
            .find(|(_, waiting)| waiting.requester == *requester);
        if let Some(call_id) = waiting.map(|(call_id, _)| *call_id) {
            row.waiting.remove(&call_id);
            row.pool.cancel(call_id);
            return;
        }
        let granted = row
            .granted_slots
            .iter()
            .find(|(_, granted)| granted.requester == *requester);
        if let Some(slot_id) = granted.map(|(slot_id, _)| *slot_id) {
            self.release(pool_id, slot_id, None);
        }
    }

    /// Returns the engine endpoints of the pools that this host owns or has granted slots of.
    pub(super) fn poll_targets(&self) -> Vec<PollTarget> {
        let polled_pools = self
            .pools
            .iter()
            .filter(|(_, row)| row.is_owner || !row.granted_slots.is_empty())
            .filter(|(pool_id, _)| self.parts.source.is_engine_pool(pool_id));
        polled_pools
            .flat_map(|(pool_id, row)| {
                row.addresses.iter().map(|(endpoint_id, address)| PollTarget {
                    pool_id: pool_id.clone(),
                    endpoint_id: endpoint_id.clone(),
                    address: address.clone(),
                })
            })
            .collect()
    }

    pub(super) fn record_poll(
        &mut self,
        pool_id: &PoolId,
        endpoint_id: &EndpointId,
        load: Option<LoadReport>,
        events: &[CacheEvent],
    ) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            return;
        };
        row.pool.observe_probe(endpoint_id, load.is_some(), now());
        if let Some(load) = load {
            row.pool.observe_load(endpoint_id, load, now());
        }
        for event in events {
            row.pool.observe_cache_event(endpoint_id, event);
        }
        self.tick(pool_id);
    }

    /// Ticks all pools if `scheduled` is the current wake-up time; a replaced wake-up is ignored.
    pub(super) fn wake(&mut self, scheduled: Instant) {
        if self.wake_at == Some(scheduled) {
            self.tick_all();
        }
    }

    fn tick_all(&mut self) {
        self.wake_at = None;
        let pool_ids: Vec<PoolId> = self.pools.keys().cloned().collect();
        for pool_id in &pool_ids {
            self.tick(pool_id);
        }
    }

    fn tick(&mut self, pool_id: &PoolId) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            return;
        };
        let outcome = row.pool.tick(now());
        for assignment in outcome.assignments {
            row.offer(pool_id, assignment, &self.myself);
        }
        for refused in outcome.refused {
            if let Some(waiting) = row.waiting.remove(&refused.call_id) {
                refuse(
                    waiting.reply,
                    "no slot became free before the call's slot deadline".to_owned(),
                    refused.retry_after,
                );
            }
        }
        update_gauges(pool_id, &row.pool);
        let wake_at = row.pool.wake_at();
        self.schedule(wake_at.map(Instant::from_std));
    }

    fn schedule(&mut self, wake_at: Option<Instant>) {
        let Some(wake_at) = wake_at else {
            return;
        };
        if self.wake_at.is_some_and(|scheduled| scheduled <= wake_at) {
            return;
        }
        self.wake_at = Some(wake_at);
        let delay = wake_at.saturating_duration_since(Instant::now());
        self.myself.send_after(delay, move || PoolMessage::Wake(wake_at));
    }

    /// Updates the endpoints of each pool, with all slots at the pool's owner and a share at other
    /// hosts.
    fn update_pools(&mut self) {
        let sets = &self.sets;
        self.pools.retain(|pool_id, row| {
            let is_configured = sets.contains_key(pool_id);
            if !is_configured {
                row.refuse_all(&AcquireError::Refused(SlotRefusal {
                    reason: "the endpoint set does not exist".to_owned(),
                    retry_after: UNKNOWN_POOL_RETRY_AFTER,
                }));
            }
            is_configured
        });
        let host_count = 1 + self.peers.peers.values().filter(|peer| peer.live).count();
        let host_count = u32::try_from(host_count).unwrap_or(u32::MAX);
        for (pool_id, set) in &self.sets {
            let is_owner = self.ownership.owns(partition_of(pool_id));
            let row = self.pools.entry(pool_id.clone()).or_insert_with(PoolRow::new);
            row.set_owner(is_owner);
            let endpoint_infos = set.endpoints.iter().map(|endpoint| {
                let slots = if is_owner {
                    endpoint.slots
                } else {
                    endpoint.slots.div_ceil(host_count)
                };
                self.out_of_service.endpoint_info(endpoint, slots)
            });
            row.pool.set_endpoints(endpoint_infos.collect(), now());
            let addresses = set.endpoints.iter();
            row.addresses = addresses
                .map(|endpoint| (endpoint.id.clone(), endpoint.address.clone()))
                .collect();
        }
    }

    /// Reclaims slots of processes that are no longer live, and slots granted longer than
    /// [`SLOT_LEASE`] ago.
    fn reclaim_lost_slots(&mut self) {
        let now = Instant::now();
        let (me, peers) = (&self.ownership.me, &self.peers);
        for (pool_id, row) in &mut self.pools {
            let lost: Vec<SlotId> = row
                .granted_slots
                .iter()
                .filter(|(_, granted)| {
                    now > granted.granted_at + SLOT_LEASE || !is_live(&granted.requester.process, me, peers)
                })
                .map(|(slot_id, _)| *slot_id)
                .collect();
            for slot_id in lost {
                log::info!("event=slot_reclaimed pool={pool_id} slot={slot_id}");
                row.granted_slots.remove(&slot_id);
                row.pool.reclaim(slot_id, now.into_std());
            }
        }
    }

    fn remove_abandoned_requests(&mut self) {
        for row in self.pools.values_mut() {
            let pool = &mut row.pool;
            row.waiting.retain(|call_id, waiting| {
                let is_abandoned = waiting.reply.is_closed();
                if is_abandoned {
                    pool.cancel(*call_id);
                }
                !is_abandoned
            });
        }
    }
}

impl PoolRow {
    fn new() -> Self {
        // Different owners of a pool must not use the same slot ids, so each starts at a random one.
        let first_slot_id = u64::from(rand::random::<u32>()) << 31 | 1;
        Self {
            pool: Pool::new(now()).with_first_slot_id(first_slot_id),
            is_owner: false,
            addresses: BTreeMap::new(),
            waiting: HashMap::new(),
            granted_slots: HashMap::new(),
        }
    }

    /// Sets whether this host owns the pool.
    ///
    /// When it stops being the owner, waiting requests are refused with [`AcquireError::NotOwner`], and
    /// their requesters fall back to their own share of the slots.
    fn set_owner(&mut self, is_owner: bool) {
        if self.is_owner && !is_owner {
            self.refuse_all(&AcquireError::NotOwner);
        }
        self.is_owner = is_owner;
    }

    fn refuse_all(&mut self, error: &AcquireError) {
        for (call_id, waiting) in self.waiting.drain() {
            self.pool.cancel(call_id);
            waiting.reply.send(Err(error.clone())).unwrap_or_default();
        }
    }

    fn offer(&mut self, pool_id: &PoolId, assignment: Assignment, actor: &ActorRef<PoolMessage>) {
        let address = self.addresses.get(&assignment.endpoint_id).cloned();
        let slot = Slot {
            slot_id: assignment.slot_id,
            pool_id: pool_id.clone(),
            endpoint_id: assignment.endpoint_id,
            address: address.unwrap_or_default(),
        };
        let slot = OfferedSlot::new(slot, actor.clone());
        let Some(waiting) = self.waiting.remove(&assignment.call_id) else {
            return;
        };
        let granted = GrantedSlot {
            requester: waiting.requester,
            granted_at: Instant::now(),
        };
        self.granted_slots.insert(assignment.slot_id, granted);
        // An offer that cannot be delivered is dropped, which releases the slot.
        waiting.reply.send(Ok(slot)).unwrap_or_default();
    }
}

fn is_live(process: &Process, me: &Process, peers: &PeersView) -> bool {
    if process == me {
        return true;
    }
    let peer = peers.peers.get(&process.host_id);
    peer.is_some_and(|peer| peer.live && peer.process == *process)
}

fn refuse(reply: SlotReply, reason: String, retry_after: Duration) {
    let refusal = SlotRefusal { reason, retry_after };
    // The send fails if the requester no longer waits, which needs no handling.
    reply
        .send(Err(AcquireError::Refused(refusal)))
        .unwrap_or_default();
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

#[expect(clippy::cast_precision_loss, reason = "call counts stay far below 2^52")]
fn update_gauges(pool_id: &PoolId, pool: &Pool) {
    metrics::gauge!("burdockroad_pool_waiting", "pool" => pool_id.clone()).set(pool.waiting() as f64);
    metrics::gauge!("burdockroad_pool_taken", "pool" => pool_id.clone()).set(pool.occupied_slots() as f64);
}
