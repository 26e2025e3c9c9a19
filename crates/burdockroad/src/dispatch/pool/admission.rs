//! Refusal of calls that are not expected to get a slot in time.

use std::time::{Duration, Instant};

use super::{Pool, RETRY_AFTER_MIN};
use crate::{
    dispatch::{Call, RefusalReason, Submitted, placement::EndpointRow},
    ids::AccountId,
};

/// A program's first call is refused if its expected wait exceeds this fraction of the time to its deadline.
///
/// Calls of running programs take precedence over new programs: a program that is refused midway has consumed
/// service for nothing.
const FIRST_CALL_WAIT_FRACTION: f64 = 0.5;

impl Pool {
    /// Returns the refusal of a call that arrives now; `None` if it may wait for a slot.
    pub(super) fn refusal(&self, call: &Call, now: Instant) -> Option<Submitted> {
        let slots = self.usable_slots(now);
        if slots == 0 {
            return Some(refused(RefusalReason::NoEndpoint, RETRY_AFTER_MIN));
        }
        if self.is_full(&call.account_id) {
            return Some(refused(
                RefusalReason::QueueFull,
                self.expected_wait(call, slots, now),
            ));
        }
        let wait = self.expected_wait(call, slots, now);
        let time_left = call.slot_deadline.saturating_duration_since(now);
        let wait_fraction = if call.first { FIRST_CALL_WAIT_FRACTION } else { 1.0 };
        (wait > time_left.mul_f64(wait_fraction)).then(|| refused(RefusalReason::Deadline, wait))
    }

    /// Returns whether the queue has no capacity left for an account. One account cannot use up the capacity
    /// of others.
    fn is_full(&self, account_id: &AccountId) -> bool {
        let own_calls = self.queue.account_len(account_id);
        if own_calls >= self.waiting_max {
            return true;
        }
        let own_capacity = calls_as_f64(self.waiting_max) * self.queue.share(account_id);
        self.calls.len() >= self.waiting_max && calls_as_f64(own_calls) >= own_capacity
    }

    /// Returns the expected time until a call that arrives now gets a slot. Assumes that no waiting call is
    /// cancelled or refused.
    ///
    /// The next calls of programs whose calls still run at endpoints that take no new calls come to the usable
    /// endpoints. A program's first call therefore waits for these programs too. A later call gets a free slot
    /// regardless of them; otherwise, running programs would be refused during an evacuation while slots are
    /// free.
    fn expected_wait(&self, call: &Call, slots: u32, now: Instant) -> Duration {
        let occupied = if call.first {
            self.slots.len()
        } else {
            self.occupied_usable_slots(now)
        };
        if occupied + self.calls.len() < usize::try_from(slots).unwrap_or(usize::MAX) {
            return Duration::ZERO;
        }
        let ahead = calls_as_f64(self.queue.account_len(&call.account_id) + 1);
        let served_per_s = f64::from(slots) * self.queue.share(&call.account_id) / self.mean_service_s;
        Duration::try_from_secs_f64(ahead / served_per_s).unwrap_or(RETRY_AFTER_MIN)
    }

    fn usable_slots(&self, now: Instant) -> u32 {
        self.usable_endpoints(now).map(|row| row.slots).sum()
    }

    fn occupied_usable_slots(&self, now: Instant) -> usize {
        let occupied: u32 = self.usable_endpoints(now).map(|row| row.in_flight).sum();
        usize::try_from(occupied).unwrap_or(usize::MAX)
    }

    fn usable_endpoints(&self, now: Instant) -> impl Iterator<Item = &EndpointRow> {
        let endpoints = self.endpoints.values();
        endpoints.filter(move |row| !row.draining && !row.health.is_ejected(now))
    }
}

fn refused(reason: RefusalReason, retry_after: Duration) -> Submitted {
    Submitted::Refused {
        reason,
        retry_after: retry_after.max(RETRY_AFTER_MIN),
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of calls stay far below 2^52")]
fn calls_as_f64(count: usize) -> f64 {
    count as f64
}
