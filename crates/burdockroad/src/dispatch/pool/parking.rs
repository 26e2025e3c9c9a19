//! Calls that wait for the one endpoint that has their prefix cached.

use std::time::Instant;

use super::{Pool, WaitState};
use crate::{
    dispatch::{CallId, placement::EndpointRow},
    ids::EndpointId,
};

impl Pool {
    pub(super) fn unpark_expired(&mut self, now: Instant) {
        while let Some(&(until, call_id)) = self.parked_until.first()
            && until <= now
        {
            self.unpark(call_id);
        }
    }

    pub(super) fn park(&mut self, call_id: CallId, endpoint_id: EndpointId, until: Instant) {
        let Some(waiting) = self.calls.get_mut(&call_id) else {
            return;
        };
        self.queue
            .remove(&waiting.call.account_id, waiting.priority, call_id);
        if let Some(row) = self.endpoints.get_mut(&endpoint_id) {
            row.parked.insert((waiting.priority, call_id));
        }
        self.parked_until.insert((until, call_id));
        waiting.wait_state = WaitState::Parked(endpoint_id, until);
    }

    fn unpark(&mut self, call_id: CallId) {
        let Some(waiting) = self.calls.get_mut(&call_id) else {
            return;
        };
        let WaitState::Parked(endpoint_id, until) =
            std::mem::replace(&mut waiting.wait_state, WaitState::Returned)
        else {
            return;
        };
        self.parked_until.remove(&(until, call_id));
        if let Some(row) = self.endpoints.get_mut(&endpoint_id) {
            row.parked.remove(&(waiting.priority, call_id));
        }
        self.queue
            .push(&waiting.call.account_id, waiting.priority, call_id);
    }

    pub(super) fn unpark_all(&mut self, row: &mut EndpointRow) {
        for (_, call_id) in std::mem::take(&mut row.parked) {
            self.unpark(call_id);
        }
    }
}
