//! Waiting calls and occupied slots of one endpoint set.

mod accounting;
mod admission;
mod assignment;
mod parking;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    dispatch::{
        Assignment, CacheEvent, Call, CallId, EndpointInfo, LoadReport, Refused, Report, SlotId, Submitted,
        fairness::{self, FairQueue, Priority, Service},
        placement::EndpointRow,
    },
    ids::{AccountId, EndpointId, ProgramId},
};

/// Maximum number of waiting calls in one pool.
const WAITING_MAX: usize = 65_536;

/// Minimum retry delay of a refused call, also used if no estimate is available.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);

/// Waiting calls, endpoints and occupied slots of one endpoint set.
#[derive(Clone, Debug)]
pub struct Pool {
    created_at: Instant,
    waiting_max: usize,
    queue: FairQueue,
    calls: HashMap<CallId, WaitingCall>,
    /// Deadlines of calls; entries of calls that no longer wait are skipped.
    deadlines: BinaryHeap<Reverse<(Instant, CallId)>>,
    /// Times at which parked calls stop waiting for the endpoint that has their prefix cached.
    parked_until: BTreeSet<(Instant, CallId)>,
    endpoints: BTreeMap<EndpointId, EndpointRow>,
    slots: HashMap<SlotId, SlotRow>,
    next_call_id: CallId,
    next_slot_id: SlotId,
    /// Mean time that a slot is occupied, in seconds.
    mean_service_s: f64,
}

/// Decisions of a tick.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// Calls that got a slot.
    pub assignments: Vec<Assignment>,
    /// Calls that are refused.
    pub refused: Vec<Refused>,
}

#[derive(Clone, Debug)]
struct WaitingCall {
    call: Call,
    priority: Priority,
    wait_state: WaitState,
}

/// State of a waiting call.
#[derive(Clone, Debug)]
enum WaitState {
    /// The call is in the queue and may be parked.
    Queued,
    /// The call is parked at the endpoint that has its prefix cached, until the given time.
    Parked(EndpointId, Instant),
    /// The call is in the queue again after it was parked; it is not parked a second time.
    Returned,
}

#[derive(Clone, Debug)]
struct SlotRow {
    account_id: AccountId,
    program_id: Option<ProgramId>,
    endpoint_id: EndpointId,
    prompt_tokens: u64,
    charged: Service,
    assigned_at: Instant,
}

impl Pool {
    /// Creates a pool without endpoints.
    pub fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            waiting_max: WAITING_MAX,
            queue: FairQueue::default(),
            calls: HashMap::new(),
            deadlines: BinaryHeap::new(),
            parked_until: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            slots: HashMap::new(),
            next_call_id: 1,
            next_slot_id: 1,
            mean_service_s: 0.0,
        }
    }

    /// Sets the maximum number of waiting calls.
    #[must_use]
    pub fn with_waiting_max(self, waiting_max: usize) -> Self {
        Self { waiting_max, ..self }
    }

    /// Sets the first slot id. A new owner of the pool passes an id that no earlier owner has assigned.
    #[must_use]
    pub fn with_first_slot_id(self, first: SlotId) -> Self {
        Self {
            next_slot_id: first,
            ..self
        }
    }

    /// Sets an account's weight, which determines its share of the endpoints relative to the other accounts.
    pub fn set_weight(&mut self, account_id: &AccountId, weight: f64) {
        self.queue.set_weight(account_id, weight);
    }

    /// Replaces the endpoints. A draining or removed endpoint gets no new calls from now on.
    pub fn set_endpoints(&mut self, infos: Vec<EndpointInfo>, _now: Instant) {
        let mut previous = std::mem::take(&mut self.endpoints);
        for info in infos {
            let mut row = previous
                .remove(&info.endpoint_id)
                .unwrap_or_else(|| EndpointRow::new(&info));
            row.slots = info.slots;
            row.draining = info.draining;
            if info.draining {
                self.unpark_all(&mut row);
            }
            self.endpoints.insert(info.endpoint_id, row);
        }
        for mut row in previous.into_values() {
            self.unpark_all(&mut row);
        }
    }

    /// Submits a call. It is refused at once if it could not get a slot before its deadline.
    pub fn submit(&mut self, call: Call, now: Instant) -> Submitted {
        if let Some(refused) = self.refusal(&call, now) {
            return refused;
        }
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        let priority = fairness::priority(
            now.saturating_duration_since(self.created_at),
            call.slot_deadline.saturating_duration_since(self.created_at),
            call.attained_tokens,
        );
        self.queue.push(&call.account_id, priority, call_id);
        self.deadlines.push(Reverse((call.slot_deadline, call_id)));
        let wait_state = WaitState::Queued;
        self.calls.insert(
            call_id,
            WaitingCall {
                call,
                priority,
                wait_state,
            },
        );
        Submitted::Waiting(call_id)
    }

    /// Removes a waiting call; does nothing if the call no longer waits.
    pub fn cancel(&mut self, call_id: CallId) {
        self.remove_waiting(call_id);
    }

    /// Assigns free slots and refuses calls whose deadline has passed.
    pub fn tick(&mut self, now: Instant) -> Tick {
        let refused = self.refuse_expired(now);
        self.unpark_expired(now);
        let mut assignments = self.assign_parked(now);
        self.assign_queued(now, &mut assignments);
        Tick { assignments, refused }
    }

    /// Returns the time at which [`tick`](Self::tick) is due even without an event.
    pub fn wake_at(&self) -> Option<Instant> {
        let deadline = self.deadlines.peek().map(|Reverse((at, _))| *at);
        let parked = self.parked_until.first().map(|(at, _)| *at);
        [deadline, parked].into_iter().flatten().min()
    }

    /// Releases a slot and records the result of its call; does nothing if the slot is not occupied.
    pub fn complete(&mut self, slot_id: SlotId, report: &Report, now: Instant) {
        let Some(slot) = self.slots.remove(&slot_id) else {
            return;
        };
        self.correct_charge(&slot, report);
        let service_time = now.saturating_duration_since(slot.assigned_at);
        if !report.failed {
            self.record_service_time(service_time);
        }
        let Some(row) = self.endpoints.get_mut(&slot.endpoint_id) else {
            return;
        };
        row.remove_in_flight(now);
        if report.failed {
            row.health.record_failure(&slot.account_id, now);
            return;
        }
        row.health.record_success();
        row.record_times(report, service_time);
        if let Some(program_id) = &slot.program_id {
            row.prefix_cache
                .store(program_id, report.prompt_tokens + report.output_tokens);
        }
        let times = row.times;
        for other in self.endpoints.values_mut() {
            other.fill_missing_times(&times);
        }
    }

    /// Releases a slot whose host was lost, without a result.
    pub fn reclaim(&mut self, slot_id: SlotId, now: Instant) {
        let Some(slot) = self.slots.remove(&slot_id) else {
            return;
        };
        if let Some(row) = self.endpoints.get_mut(&slot.endpoint_id) {
            row.remove_in_flight(now);
        }
    }

    /// Records the load reported by an endpoint, which may be out of date.
    pub fn observe_load(&mut self, endpoint_id: &str, report: LoadReport, now: Instant) {
        if let Some(row) = self.endpoints.get_mut(endpoint_id) {
            row.record_load(report, now);
        }
    }

    /// Records the result of a probe of an endpoint.
    pub fn observe_probe(&mut self, endpoint_id: &str, succeeded: bool, now: Instant) {
        if let Some(row) = self.endpoints.get_mut(endpoint_id) {
            row.health.record_probe(succeeded, now);
        }
    }

    /// Records a prefix cache event of an endpoint, as a hint.
    pub fn observe_cache_event(&mut self, endpoint_id: &str, event: &CacheEvent) {
        let Some(row) = self.endpoints.get_mut(endpoint_id) else {
            return;
        };
        match event {
            CacheEvent::Stored { program_id, tokens } => row.prefix_cache.store(program_id, *tokens),
            CacheEvent::Removed { program_id } => row.prefix_cache.remove(program_id),
            CacheEvent::Cleared => row.prefix_cache.clear(),
        }
    }

    /// Removes a completed program from the prefix caches tracked for the endpoints.
    pub fn evict_program(&mut self, program_id: &str) {
        for row in self.endpoints.values_mut() {
            row.prefix_cache.remove(program_id);
        }
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.calls.len()
    }

    /// Returns the number of occupied slots.
    pub fn occupied_slots(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of calls that run at an endpoint.
    pub fn running_at(&self, endpoint_id: &str) -> usize {
        let row = self.endpoints.get(endpoint_id);
        row.map_or(0, |row| usize::try_from(row.in_flight).unwrap_or(usize::MAX))
    }

    fn refuse_expired(&mut self, now: Instant) -> Vec<Refused> {
        let mut refused = Vec::new();
        while let Some(&Reverse((slot_deadline, call_id))) = self.deadlines.peek() {
            let is_waiting = self.calls.contains_key(&call_id);
            if is_waiting && slot_deadline > now {
                break;
            }
            self.deadlines.pop();
            if is_waiting {
                self.remove_waiting(call_id);
                refused.push(Refused {
                    call_id,
                    retry_after: RETRY_AFTER_MIN,
                });
            }
        }
        refused
    }

    /// Removes a waiting call from all tables.
    fn remove_waiting(&mut self, call_id: CallId) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&call_id)?;
        if let WaitState::Parked(endpoint_id, until) = &waiting.wait_state {
            self.parked_until.remove(&(*until, call_id));
            if let Some(row) = self.endpoints.get_mut(endpoint_id) {
                row.parked.remove(&(waiting.priority, call_id));
            }
        } else {
            self.queue
                .remove(&waiting.call.account_id, waiting.priority, call_id);
        }
        Some(waiting)
    }
}
