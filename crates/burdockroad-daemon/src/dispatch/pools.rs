//! The pools of this host, with the calls that wait in them and the slots that hosts hold.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::Duration,
};

use burdockroad::{
    EndpointId, PoolId,
    config::EndpointSet,
    dispatch::{
        Assignment, CacheEvent, Call, CallId, EndpointInfo, LoadReport, Pool, Report, SlotId, Submitted,
    },
    partition_of,
};
use ractor::{ActorRef, RpcReplyPort};
use tokio::time::Instant;

use crate::{
    dispatch::{
        Slot, SlotRefusal, SlotRequest,
        actor::{Holder, NoSlot, OfferedSlot, PoolMessage, SlotSource},
        dispatcher::DispatchParts,
        polling::Target,
    },
    ownership::{OwnershipView, PeersView, Process},
};

/// Time after which a slot that was never released counts as free.
const SLOT_LEASE: Duration = Duration::from_mins(15);

/// When to try again with a pool that the document does not name.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(5);

type SlotReply = RpcReplyPort<Result<OfferedSlot, NoSlot>>;

/// The tables of the pool actor.
#[derive(Debug)]
pub(super) struct PoolTable {
    parts: DispatchParts,
    myself: ActorRef<PoolMessage>,
    ownership: Arc<OwnershipView>,
    peers: Arc<PeersView>,
    source_version: Option<u64>,
    sets: BTreeMap<PoolId, EndpointSet>,
    pools: BTreeMap<PoolId, PoolRow>,
    wake_at: Option<Instant>,
}

#[derive(Debug)]
struct PoolRow {
    pool: Pool,
    /// Whether this host gives out all slots, or its share.
    owner: bool,
    addresses: BTreeMap<EndpointId, String>,
    waiting: HashMap<CallId, Waiting>,
    held: HashMap<SlotId, HeldSlot>,
}

#[derive(Debug)]
struct Waiting {
    holder: Holder,
    reply: SlotReply,
}

#[derive(Debug)]
struct HeldSlot {
    holder: Holder,
    given_at: Instant,
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
            pools: BTreeMap::new(),
            wake_at: None,
        };
        table.follow();
        table
    }

    /// Takes note of changes of endpoint sets, owners and peers, and of callers that are gone.
    pub(super) fn follow(&mut self) {
        let ownership = Arc::clone(&self.parts.ownership.borrow());
        let peers = Arc::clone(&self.parts.peers.borrow());
        let version = self.parts.source.version();
        let moved = !Arc::ptr_eq(&ownership, &self.ownership) || !Arc::ptr_eq(&peers, &self.peers);
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
            self.set_all();
        } else if moved {
            self.set_all();
        }
        self.reclaim_lost();
        self.forget_gone();
        self.tick_all();
    }

    pub(super) fn acquire(
        &mut self,
        pool_id: &PoolId,
        request: SlotRequest,
        holder: Holder,
        source: SlotSource,
        reply: SlotReply,
    ) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            refuse(reply, "no such endpoint set".to_owned(), UNKNOWN_RETRY_AFTER);
            return;
        };
        if source == SlotSource::Owner && !row.owner {
            // A caller that has gone away needs no answer.
            reply.send(Err(NoSlot::NotOwner)).unwrap_or_default();
            return;
        }
        let weight = self.parts.limits.weight(&request.account_id);
        row.pool.set_weight(&request.account_id, weight);
        match row.pool.submit(to_call(request), now()) {
            Submitted::Waiting(call_id) => {
                row.waiting.insert(call_id, Waiting { holder, reply });
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
        row.held.remove(&slot_id);
        match report {
            Some(report) => row.pool.complete(slot_id, report, now()),
            None => row.pool.reclaim(slot_id, now()),
        }
        self.tick(pool_id);
    }

    /// Forgets a request whose answer nobody waits for, or takes back the slot that it was given.
    pub(super) fn give_up(&mut self, pool_id: &PoolId, holder: &Holder) {
        let Some(row) = self.pools.get_mut(pool_id) else {
            return;
        };
        let waiting = row.waiting.iter().find(|(_, waiting)| waiting.holder == *holder);
        if let Some(call_id) = waiting.map(|(call_id, _)| *call_id) {
            row.waiting.remove(&call_id);
            row.pool.cancel(call_id);
            return;
        }
        let held = row.held.iter().find(|(_, held)| held.holder == *holder);
        if let Some(slot_id) = held.map(|(slot_id, _)| *slot_id) {
            self.release(pool_id, slot_id, None);
        }
    }

    /// Endpoints of the pools whose slots this host gives out.
    pub(super) fn targets(&self) -> Vec<Target> {
        let active = self
            .pools
            .iter()
            .filter(|(_, row)| row.owner || !row.held.is_empty())
            .filter(|(pool_id, _)| self.parts.source.is_engine_pool(pool_id));
        active
            .flat_map(|(pool_id, row)| {
                row.addresses.iter().map(|(endpoint_id, address)| Target {
                    pool_id: pool_id.clone(),
                    endpoint_id: endpoint_id.clone(),
                    address: address.clone(),
                })
            })
            .collect()
    }

    pub(super) fn observed(
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

    /// Ticks at the time that was scheduled last; what was scheduled before is out of date.
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
        let ticked = row.pool.tick(now());
        for assignment in ticked.assignments {
            row.offer(pool_id, assignment, &self.myself);
        }
        for refused in ticked.refused {
            if let Some(waiting) = row.waiting.remove(&refused.call_id) {
                refuse(
                    waiting.reply,
                    "no slot became free in time".to_owned(),
                    refused.retry_after,
                );
            }
        }
        gauge(pool_id, &row.pool);
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
        let pause = wake_at.saturating_duration_since(Instant::now());
        self.myself.send_after(pause, move || PoolMessage::Wake(wake_at));
    }

    /// Gives each pool its endpoints, with all their slots at its owner and a share elsewhere.
    fn set_all(&mut self) {
        let draining = self.parts.source.leaving_hosts();
        let sets = &self.sets;
        self.pools.retain(|pool_id, row| {
            let known = sets.contains_key(pool_id);
            if !known {
                row.refuse_all(&NoSlot::Refused(SlotRefusal {
                    reason: "no such endpoint set".to_owned(),
                    retry_after: UNKNOWN_RETRY_AFTER,
                }));
            }
            known
        });
        let hosts = 1 + self.peers.peers.values().filter(|peer| peer.alive).count();
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        for (pool_id, set) in &self.sets {
            let owner = self.ownership.owns(partition_of(pool_id));
            let row = self.pools.entry(pool_id.clone()).or_insert_with(PoolRow::new);
            row.set_owner(owner);
            let infos = set.endpoints.iter().map(|endpoint| EndpointInfo {
                endpoint_id: endpoint.id.clone(),
                slots: if owner {
                    endpoint.slots
                } else {
                    endpoint.slots.div_ceil(hosts)
                },
                draining: endpoint.draining || draining.contains(&endpoint.host_id),
            });
            row.pool.set_endpoints(infos.collect(), now());
            let addresses = set.endpoints.iter();
            row.addresses = addresses
                .map(|endpoint| (endpoint.id.clone(), endpoint.address.clone()))
                .collect();
        }
    }

    /// Takes back slots of hosts that are gone, and slots that were held for too long.
    fn reclaim_lost(&mut self) {
        let now = Instant::now();
        let (me, peers) = (&self.ownership.me, &self.peers);
        for (pool_id, row) in &mut self.pools {
            let lost: Vec<SlotId> = row
                .held
                .iter()
                .filter(|(_, held)| {
                    now > held.given_at + SLOT_LEASE || !is_alive(&held.holder.process, me, peers)
                })
                .map(|(slot_id, _)| *slot_id)
                .collect();
            for slot_id in lost {
                log::info!("event=slot_reclaimed pool={pool_id} slot={slot_id}");
                row.held.remove(&slot_id);
                row.pool.reclaim(slot_id, now.into_std());
            }
        }
    }

    fn forget_gone(&mut self) {
        for row in self.pools.values_mut() {
            let pool = &mut row.pool;
            row.waiting.retain(|call_id, waiting| {
                let gone = waiting.reply.is_closed();
                if gone {
                    pool.cancel(*call_id);
                }
                !gone
            });
        }
    }
}

impl PoolRow {
    fn new() -> Self {
        // Slots of different owners of a pool must not be taken for one another.
        let first_slot_id = u64::from(rand::random::<u32>()) << 31 | 1;
        Self {
            pool: Pool::new(now()).with_first_slot_id(first_slot_id),
            owner: false,
            addresses: BTreeMap::new(),
            waiting: HashMap::new(),
            held: HashMap::new(),
        }
    }

    /// Takes the role of owner or gives it up; then calls that wait are told to ask the new owner.
    fn set_owner(&mut self, owner: bool) {
        if self.owner && !owner {
            self.refuse_all(&NoSlot::NotOwner);
        }
        self.owner = owner;
    }

    fn refuse_all(&mut self, why: &NoSlot) {
        for (call_id, waiting) in self.waiting.drain() {
            self.pool.cancel(call_id);
            waiting.reply.send(Err(why.clone())).unwrap_or_default();
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
        let held = HeldSlot {
            holder: waiting.holder,
            given_at: Instant::now(),
        };
        self.held.insert(assignment.slot_id, held);
        // The offer goes back by itself when nobody takes it.
        waiting.reply.send(Ok(slot)).unwrap_or_default();
    }
}

fn to_call(request: SlotRequest) -> Call {
    Call {
        account_id: request.account_id,
        first: request.program_id.is_none() || request.call_number <= 1,
        program_id: request.program_id,
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        attained_tokens: request.attained_tokens,
        prefix_endpoint_id: request.prefix_endpoint_id,
        excluded: request.excluded,
        latest: request.latest.into_std(),
    }
}

fn is_alive(holder: &Process, me: &Process, peers: &PeersView) -> bool {
    if holder == me {
        return true;
    }
    let peer = peers.peers.get(&holder.host_id);
    peer.is_some_and(|peer| peer.alive && peer.process == *holder)
}

fn refuse(reply: SlotReply, reason: String, retry_after: Duration) {
    let refusal = SlotRefusal { reason, retry_after };
    // A caller that has gone away needs no answer.
    reply.send(Err(NoSlot::Refused(refusal))).unwrap_or_default();
}

fn now() -> std::time::Instant {
    Instant::now().into_std()
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls stay far below 2^52")]
fn gauge(pool_id: &PoolId, pool: &Pool) {
    metrics::gauge!("burdockroad_pool_waiting", "pool" => pool_id.clone()).set(pool.waiting() as f64);
    metrics::gauge!("burdockroad_pool_taken", "pool" => pool_id.clone()).set(pool.occupied_slots() as f64);
}
