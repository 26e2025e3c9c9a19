//! The calls that wait for one endpoint set, and the slots that are taken.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use crate::{
    dispatch::{
        Assignment, CacheEvent, Call, CallId, EndpointInfo, LoadReport, Refused, Report, Shortage, SlotId,
        Submitted,
        fairness::{self, FairQueue, Priority, Service},
        placement::{self, Choice, EndpointRow},
    },
    ids::{AccountId, EndpointId, ProgramId},
};

/// Calls that may wait in one pool.
const WAITING_MAX: usize = 65_536;

/// Calls that a tick passes over because no endpoint that they may use is free.
const PASSED_OVER_MAX: usize = 16;

/// Part of its time limit that a program's first call may be expected to wait.
///
/// What programs need that have begun is served before new ones are let in: a program that is refused
/// in its middle has cost service for nothing.
const FIRST_CALL_PART: f64 = 0.5;

/// When a refused call may be tried again if nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Weight of the latest call in the mean time that slots are held.
const TIME_SMOOTHING: f64 = 0.05;

/// Waiting calls, endpoints and slots of one endpoint set.
#[derive(Clone, Debug)]
pub struct Pool {
    began_at: Instant,
    waiting_max: usize,
    queue: FairQueue,
    calls: HashMap<CallId, WaitingCall>,
    /// Deadlines of calls; entries of calls that wait no more are passed over.
    deadlines: BinaryHeap<Reverse<(Instant, CallId)>>,
    /// When parked calls stop waiting for the endpoint that holds their prefix.
    parked_until: BTreeSet<(Instant, CallId)>,
    endpoints: BTreeMap<EndpointId, EndpointRow>,
    slots: HashMap<SlotId, SlotRow>,
    next_call_id: CallId,
    next_slot_id: SlotId,
    /// Mean time that a slot is held, in seconds.
    service_s: f64,
}

/// What a tick decided.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tick {
    /// Calls that have a slot now.
    pub assignments: Vec<Assignment>,
    /// Calls that are refused.
    pub refused: Vec<Refused>,
}

#[derive(Clone, Debug)]
struct WaitingCall {
    call: Call,
    priority: Priority,
    place: Place,
}

/// Where a waiting call stands.
#[derive(Clone, Debug)]
enum Place {
    /// In the queue, and may wait for the holder of its prefix.
    Queued,
    /// With the endpoint that holds its prefix.
    Parked(EndpointId, Instant),
    /// In the queue again, after it has waited for the holder of its prefix.
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
    /// Makes a pool without endpoints.
    pub fn new(now: Instant) -> Self {
        Self {
            began_at: now,
            waiting_max: WAITING_MAX,
            queue: FairQueue::default(),
            calls: HashMap::new(),
            deadlines: BinaryHeap::new(),
            parked_until: BTreeSet::new(),
            endpoints: BTreeMap::new(),
            slots: HashMap::new(),
            next_call_id: 1,
            next_slot_id: 1,
            service_s: 0.0,
        }
    }

    /// Sets how many calls may wait.
    #[must_use]
    pub fn with_waiting_max(self, waiting_max: usize) -> Self {
        Self { waiting_max, ..self }
    }

    /// Numbers slots from `first`, so that they differ from those of an earlier owner of the pool.
    #[must_use]
    pub fn with_first_slot_id(self, first: SlotId) -> Self {
        Self {
            next_slot_id: first,
            ..self
        }
    }

    /// Sets an account's share of the endpoints, relative to the other accounts' weights.
    pub fn set_weight(&mut self, account_id: &AccountId, weight: f64) {
        self.queue.set_weight(account_id, weight);
    }

    /// Replaces the endpoints; one that is leaving or missing gets no new work from now on.
    pub fn set_endpoints(&mut self, infos: Vec<EndpointInfo>, _now: Instant) {
        let mut before = std::mem::take(&mut self.endpoints);
        for info in infos {
            let mut row = before
                .remove(&info.endpoint_id)
                .unwrap_or_else(|| EndpointRow::new(&info));
            row.slots = info.slots;
            row.leaving = info.leaving;
            if info.leaving {
                self.unpark_all(&mut row);
            }
            self.endpoints.insert(info.endpoint_id, row);
        }
        for mut row in before.into_values() {
            self.unpark_all(&mut row);
        }
    }

    /// Takes a call, or refuses it at once when it could not have a slot in time.
    pub fn submit(&mut self, call: Call, now: Instant) -> Submitted {
        if let Some(refused) = self.refusal(&call, now) {
            return refused;
        }
        let call_id = self.next_call_id;
        self.next_call_id += 1;
        let priority = fairness::priority(
            now.saturating_duration_since(self.began_at),
            call.latest.saturating_duration_since(self.began_at),
            call.attained_tokens,
        );
        self.queue.push(&call.account_id, priority, call_id);
        self.deadlines.push(Reverse((call.latest, call_id)));
        let place = Place::Queued;
        self.calls.insert(
            call_id,
            WaitingCall {
                call,
                priority,
                place,
            },
        );
        Submitted::Waiting(call_id)
    }

    /// Forgets a waiting call; nothing happens if it waits no more.
    pub fn cancel(&mut self, call_id: CallId) {
        self.withdraw(call_id);
    }

    /// Gives free slots out, and refuses calls whose time is over.
    pub fn tick(&mut self, now: Instant) -> Tick {
        let refused = self.refuse_late(now);
        self.return_parked(now);
        let mut assignments = self.assign_parked(now);
        self.assign_queued(now, &mut assignments);
        Tick { assignments, refused }
    }

    /// When [`tick`](Self::tick) is due even if nothing happens.
    pub fn wake_at(&self) -> Option<Instant> {
        let deadline = self.deadlines.peek().map(|Reverse((at, _))| *at);
        let parked = self.parked_until.first().map(|(at, _)| *at);
        [deadline, parked].into_iter().flatten().min()
    }

    /// Takes a slot back with what was seen on it; nothing happens for one that is not taken.
    pub fn complete(&mut self, slot_id: SlotId, report: &Report, now: Instant) {
        let Some(slot) = self.slots.remove(&slot_id) else {
            return;
        };
        self.correct_charge(&slot, report);
        let held_for = now.saturating_duration_since(slot.assigned_at);
        if !report.failed {
            self.note_service_time(held_for);
        }
        let Some(row) = self.endpoints.get_mut(&slot.endpoint_id) else {
            return;
        };
        row.remove_in_flight(now);
        if report.failed {
            row.health.note_failure(&slot.account_id, now);
            return;
        }
        row.health.note_success();
        row.note_times(report, held_for);
        if let Some(program_id) = &slot.program_id {
            row.residents
                .store(program_id, report.prompt_tokens + report.output_tokens);
        }
        let times = row.times;
        for other in self.endpoints.values_mut() {
            other.assume_times(&times);
        }
    }

    /// Takes a slot back of which nothing is known, since its host is gone.
    pub fn reclaim(&mut self, slot_id: SlotId, now: Instant) {
        let Some(slot) = self.slots.remove(&slot_id) else {
            return;
        };
        if let Some(row) = self.endpoints.get_mut(&slot.endpoint_id) {
            row.remove_in_flight(now);
        }
    }

    /// Takes what an endpoint says about its load, late as it is.
    pub fn observe_load(&mut self, endpoint_id: &str, report: LoadReport, now: Instant) {
        if let Some(row) = self.endpoints.get_mut(endpoint_id) {
            row.note_load(report, now);
        }
    }

    /// Takes the result of a check of an endpoint that ran for no account.
    pub fn observe_probe(&mut self, endpoint_id: &str, succeeded: bool, now: Instant) {
        if let Some(row) = self.endpoints.get_mut(endpoint_id) {
            row.health.note_probe(succeeded, now);
        }
    }

    /// Takes what an endpoint says about its prefix cache, as a hint.
    pub fn observe_cache_event(&mut self, endpoint_id: &str, event: &CacheEvent) {
        let Some(row) = self.endpoints.get_mut(endpoint_id) else {
            return;
        };
        match event {
            CacheEvent::Stored { program_id, tokens } => row.residents.store(program_id, *tokens),
            CacheEvent::Removed { program_id } => row.residents.remove(program_id),
            CacheEvent::Cleared => row.residents.clear(),
        }
    }

    /// Forgets what endpoints hold for a program that has ended.
    pub fn evict_program(&mut self, program_id: &str) {
        for row in self.endpoints.values_mut() {
            row.residents.remove(program_id);
        }
    }

    /// Calls that wait.
    pub fn waiting(&self) -> usize {
        self.calls.len()
    }

    /// Slots that are taken.
    pub fn taken(&self) -> usize {
        self.slots.len()
    }

    fn refusal(&self, call: &Call, now: Instant) -> Option<Submitted> {
        let slots = self.usable_slots(now);
        if slots == 0 {
            return Some(refused(Shortage::NoEndpoint, RETRY_AFTER));
        }
        if self.is_full(&call.account_id) {
            return Some(refused(Shortage::QueueFull, self.expected_wait(call, slots)));
        }
        let wait = self.expected_wait(call, slots);
        let allowed = call.latest.saturating_duration_since(now);
        let part = if call.first { FIRST_CALL_PART } else { 1.0 };
        (wait > allowed.mul_f64(part)).then(|| refused(Shortage::Deadline, wait))
    }

    /// Whether an account has no place in the queue; one account cannot fill the places of others.
    fn is_full(&self, account_id: &AccountId) -> bool {
        let own = self.queue.account_len(account_id);
        if own >= self.waiting_max {
            return true;
        }
        let own_places = tokens(self.waiting_max) * self.queue.share(account_id);
        self.calls.len() >= self.waiting_max && tokens(own) >= own_places
    }

    /// Time until a call that arrives now would have a slot, if all that wait stay.
    fn expected_wait(&self, call: &Call, slots: u32) -> Duration {
        if self.slots.len() + self.calls.len() < usize::try_from(slots).unwrap_or(usize::MAX) {
            return Duration::ZERO;
        }
        let ahead = tokens(self.queue.account_len(&call.account_id) + 1);
        let served_per_s = f64::from(slots) * self.queue.share(&call.account_id) / self.service_s;
        Duration::try_from_secs_f64(ahead / served_per_s).unwrap_or(RETRY_AFTER)
    }

    fn usable_slots(&self, now: Instant) -> u32 {
        let usable = |row: &&EndpointRow| !row.leaving && !row.health.is_ejected(now);
        self.endpoints.values().filter(usable).map(|row| row.slots).sum()
    }

    fn refuse_late(&mut self, now: Instant) -> Vec<Refused> {
        let mut refused = Vec::new();
        while let Some(&Reverse((latest, call_id))) = self.deadlines.peek() {
            let waits = self.calls.contains_key(&call_id);
            if waits && latest > now {
                break;
            }
            self.deadlines.pop();
            if waits {
                self.withdraw(call_id);
                refused.push(Refused {
                    call_id,
                    retry_after: RETRY_AFTER,
                });
            }
        }
        refused
    }

    fn return_parked(&mut self, now: Instant) {
        while let Some(&(until, call_id)) = self.parked_until.first()
            && until <= now
        {
            self.unpark(call_id);
        }
    }

    /// Gives slots that became free to calls that waited for just these endpoints.
    fn assign_parked(&mut self, now: Instant) -> Vec<Assignment> {
        let mut chosen = Vec::new();
        for (endpoint_id, row) in &self.endpoints {
            let free = usize::try_from(row.free_slots(now)).unwrap_or(usize::MAX);
            let calls = row.parked.iter().take(free);
            chosen.extend(calls.map(|(_, call_id)| (*call_id, endpoint_id.clone())));
        }
        chosen
            .into_iter()
            .filter_map(|(call_id, endpoint_id)| self.assign(call_id, endpoint_id, now))
            .collect()
    }

    fn assign_queued(&mut self, now: Instant, assignments: &mut Vec<Assignment>) {
        let mut passed_over = Vec::new();
        while passed_over.len() < PASSED_OVER_MAX
            && self.endpoints.values().any(|row| row.free_slots(now) > 0)
            && let Some(call_id) = self.queue.first()
        {
            match self.choose(call_id, now) {
                Choice::Slot(endpoint_id) => assignments.extend(self.assign(call_id, endpoint_id, now)),
                Choice::Park(endpoint_id, until) => self.park(call_id, endpoint_id, until),
                Choice::Blocked => passed_over.push(self.pass_over(call_id)),
            }
        }
        for (account_id, priority, call_id) in passed_over {
            self.queue.push(&account_id, priority, call_id);
        }
    }

    fn choose(&self, call_id: CallId, now: Instant) -> Choice {
        let waiting = &self.calls[&call_id];
        let may_park = matches!(waiting.place, Place::Queued);
        placement::choose(&self.endpoints, &waiting.call, may_park, now)
    }

    fn assign(&mut self, call_id: CallId, endpoint_id: EndpointId, now: Instant) -> Option<Assignment> {
        let waiting = self.withdraw(call_id)?;
        let row = self.endpoints.get_mut(&endpoint_id)?;
        let call = waiting.call;
        let held = row.held(&endpoint_id, &call);
        let charged =
            self.queue
                .expected_service(&call.account_id, call.prompt_tokens, held, call.max_output_tokens);
        self.queue.note_served(&call.account_id);
        self.queue.charge(&call.account_id, charged);
        row.add_in_flight(now);
        if let Some(program_id) = &call.program_id {
            row.residents.store(program_id, call.prompt_tokens);
        }
        let slot_id = self.next_slot_id;
        self.next_slot_id += 1;
        self.slots.insert(
            slot_id,
            SlotRow {
                account_id: call.account_id,
                program_id: call.program_id,
                endpoint_id: endpoint_id.clone(),
                prompt_tokens: call.prompt_tokens,
                charged,
                assigned_at: now,
            },
        );
        Some(Assignment {
            call_id,
            slot_id,
            endpoint_id,
        })
    }

    fn park(&mut self, call_id: CallId, endpoint_id: EndpointId, until: Instant) {
        let Some(waiting) = self.calls.get_mut(&call_id) else {
            return;
        };
        self.queue
            .remove(&waiting.call.account_id, waiting.priority, call_id);
        if let Some(row) = self.endpoints.get_mut(&endpoint_id) {
            row.parked.insert((waiting.priority, call_id));
        }
        self.parked_until.insert((until, call_id));
        waiting.place = Place::Parked(endpoint_id, until);
    }

    fn unpark(&mut self, call_id: CallId) {
        let Some(waiting) = self.calls.get_mut(&call_id) else {
            return;
        };
        let Place::Parked(endpoint_id, until) = std::mem::replace(&mut waiting.place, Place::Returned) else {
            return;
        };
        self.parked_until.remove(&(until, call_id));
        if let Some(row) = self.endpoints.get_mut(&endpoint_id) {
            row.parked.remove(&(waiting.priority, call_id));
        }
        self.queue
            .push(&waiting.call.account_id, waiting.priority, call_id);
    }

    fn unpark_all(&mut self, row: &mut EndpointRow) {
        for (_, call_id) in std::mem::take(&mut row.parked) {
            self.unpark(call_id);
        }
    }

    fn pass_over(&mut self, call_id: CallId) -> (AccountId, Priority, CallId) {
        let waiting = &self.calls[&call_id];
        let account_id = waiting.call.account_id.clone();
        self.queue.remove(&account_id, waiting.priority, call_id);
        (account_id, waiting.priority, call_id)
    }

    /// Takes a waiting call out of all tables.
    fn withdraw(&mut self, call_id: CallId) -> Option<WaitingCall> {
        let waiting = self.calls.remove(&call_id)?;
        if let Place::Parked(endpoint_id, until) = &waiting.place {
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

    /// Replaces the service that was expected of a call by what it received.
    fn correct_charge(&mut self, slot: &SlotRow, report: &Report) {
        let prompt_tokens = if report.prompt_tokens > 0 {
            report.prompt_tokens
        } else {
            slot.prompt_tokens
        };
        let received = if report.failed {
            0
        } else {
            fairness::service(prompt_tokens, report.cached_tokens, report.output_tokens)
        };
        if received > slot.charged {
            self.queue.charge(&slot.account_id, received - slot.charged);
        } else {
            self.queue.refund(&slot.account_id, slot.charged - received);
        }
        if !report.failed {
            self.queue.note_output(&slot.account_id, report.output_tokens);
        }
    }

    fn note_service_time(&mut self, held_for: Duration) {
        let held_s = held_for.as_secs_f64();
        if self.service_s == 0.0 {
            self.service_s = held_s;
        } else {
            self.service_s += (held_s - self.service_s) * TIME_SMOOTHING;
        }
    }
}

fn refused(reason: Shortage, retry_after: Duration) -> Submitted {
    Submitted::Refused {
        reason,
        retry_after: retry_after.max(RETRY_AFTER),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls stay far below 2^52")]
fn tokens(count: usize) -> f64 {
    count as f64
}
