//! Assignment of free slots to parked and queued calls.

use std::time::Instant;

use super::{Pool, SlotRow, WaitState};
use crate::{
    dispatch::{
        Assignment, CallId,
        fairness::Priority,
        placement::{self, Choice},
    },
    ids::{AccountId, EndpointId},
};

/// Maximum number of calls that a tick skips because no endpoint that they may use is free.
const SKIPPED_MAX: usize = 16;

impl Pool {
    /// Assigns free slots to the calls parked at their endpoints.
    pub(super) fn assign_parked(&mut self, now: Instant) -> Vec<Assignment> {
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

    pub(super) fn assign_queued(&mut self, now: Instant, assignments: &mut Vec<Assignment>) {
        let mut skipped = Vec::new();
        while skipped.len() < SKIPPED_MAX
            && self.endpoints.values().any(|row| row.free_slots(now) > 0)
            && let Some(call_id) = self.queue.first()
        {
            match self.choose(call_id, now) {
                Choice::Slot(endpoint_id) => assignments.extend(self.assign(call_id, endpoint_id, now)),
                Choice::Park(endpoint_id, until) => self.park(call_id, endpoint_id, until),
                Choice::Blocked => skipped.push(self.remove_skipped(call_id)),
            }
        }
        for (account_id, priority, call_id) in skipped {
            self.queue.push(&account_id, priority, call_id);
        }
    }

    fn choose(&self, call_id: CallId, now: Instant) -> Choice {
        let waiting = &self.calls[&call_id];
        let may_park = matches!(waiting.wait_state, WaitState::Queued);
        placement::choose(&self.endpoints, &waiting.call, may_park, now)
    }

    fn assign(&mut self, call_id: CallId, endpoint_id: EndpointId, now: Instant) -> Option<Assignment> {
        let waiting = self.remove_waiting(call_id)?;
        let row = self.endpoints.get_mut(&endpoint_id)?;
        let call = waiting.call;
        let cached = row.cached_prompt_tokens(&endpoint_id, &call);
        let charged = self.queue.expected_service(
            &call.account_id,
            call.prompt_tokens,
            cached,
            call.max_output_tokens,
        );
        self.queue.record_served(&call.account_id);
        self.queue.charge(&call.account_id, charged);
        row.add_in_flight(now);
        if let Some(program_id) = &call.program_id {
            row.prefix_cache.store(program_id, call.prompt_tokens);
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

    fn remove_skipped(&mut self, call_id: CallId) -> (AccountId, Priority, CallId) {
        let waiting = &self.calls[&call_id];
        let account_id = waiting.call.account_id.clone();
        self.queue.remove(&account_id, waiting.priority, call_id);
        (account_id, waiting.priority, call_id)
    }
}
