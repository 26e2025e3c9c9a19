//! Load of endpoints, as this host knows it.

use std::time::Instant;

use super::{
    endpoint::{EndpointCalls, LoadReading, Outcome, PromptPart},
    row::PEER_LOAD_AGE_MAX,
    table::{EndpointTable, PeerCalls},
};
use crate::ids::{HostId, RegionId};

impl EndpointTable {
    /// Returns the calls per slot of a service's endpoints; 0 if it has none.
    ///
    /// Endpoints that get as many calls as they state to take are left out, as are cold ones that this host may not
    /// send to: their free slots take no more calls. Calls that still run in evacuated failure domains count against
    /// the slots that are left, because the next calls of their programs go there. The result is 1 if there are only
    /// endpoints of these kinds.
    pub fn load_per_slot(&self, service: &str, now: Instant) -> f64 {
        self.load_per_slot_in(None, service, now)
    }

    /// Returns the calls per slot, as [`load_per_slot`](Self::load_per_slot), of a service's endpoints in allowed
    /// regions.
    pub fn load_per_slot_in(&self, allowed: Option<&[RegionId]>, service: &str, now: Instant) -> f64 {
        let rows = self.rows.values();
        let rows = rows
            .filter(|row| row.endpoint.service == service)
            .filter(|row| self.allows(row, allowed));
        let (evacuated, others): (Vec<_>, Vec<_>) = rows.partition(|row| row.evacuated);
        let usable = others.into_iter().filter(|row| row.takes_calls());
        let (exhausted, open): (Vec<_>, Vec<_>) = usable.partition(|row| row.rate.is_exhausted(now));
        let slots = saturating_sum(open.iter().map(|row| row.endpoint.slots));
        if slots == 0 {
            let is_idle = exhausted.is_empty() && evacuated.is_empty();
            return if is_idle { 0.0 } else { 1.0 };
        }
        let load = saturating_sum(open.iter().chain(&evacuated).map(|row| row.load(now)));
        f64::from(load) / f64::from(slots)
    }

    /// Returns the number of this host's calls at an endpoint.
    pub fn in_flight(&self, id: &str) -> u32 {
        self.rows.get(id).map_or(0, |row| row.in_flight)
    }

    /// Returns this host's calls at each endpoint that has any.
    pub fn all_in_flight(&self) -> Vec<EndpointCalls> {
        let busy = self.rows.iter().filter(|(_, row)| row.in_flight > 0);
        busy.map(|(id, row)| EndpointCalls {
            endpoint: id.clone(),
            calls: row.in_flight,
        })
        .collect()
    }

    /// Counts a call as started at an endpoint, and marks the call's prompt as cached there.
    pub fn start_call(&mut self, id: &str, parts: &[PromptPart]) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight += 1;
            row.rate.record_sent();
            for part in parts {
                row.cache_part(part.id);
            }
        }
    }

    /// Counts a call as ended at an endpoint.
    pub fn end_call(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.record_outcome(outcome, now);
        }
    }

    /// Records the load reported by an endpoint. Calls in excess of this host's own calls are counted as calls
    /// of other hosts. The outcome of the call with whose response the load arrived is recorded next, with the
    /// same `now`, so that its time is related to the pace at which the endpoint worked.
    pub fn record_load(&mut self, id: &str, load: LoadReading, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            let calls = load.running.saturating_add(load.waiting);
            row.peer_calls = calls.saturating_sub(row.in_flight);
            row.peer_calls_at = Some(now);
        }
        if let Some(pace_percent) = load.pace_percent {
            self.record_own_pace(id, pace_percent, now);
        }
    }

    /// Records another host's calls at each endpoint. Endpoints missing from the report have no calls of that
    /// host.
    pub fn record_peer(&mut self, host: &HostId, in_flight: &[EndpointCalls], now: Instant) {
        self.fleet.record_report(host, now);
        let stale = self
            .peers
            .extract_if(|other, peer| other == host || now >= peer.reported_at + PEER_LOAD_AGE_MAX);
        for (_, peer) in stale {
            for endpoint_calls in peer.reported {
                if let Some(row) = self.rows.get_mut(&endpoint_calls.endpoint) {
                    row.reported_calls = row.reported_calls.saturating_sub(endpoint_calls.calls);
                }
            }
        }
        let mut reported = in_flight.to_vec();
        reported.retain(
            |endpoint_calls| match self.rows.get_mut(&endpoint_calls.endpoint) {
                Some(row) => {
                    row.reported_calls = row.reported_calls.saturating_add(endpoint_calls.calls);
                    true
                }
                None => false,
            },
        );
        self.peers.insert(
            host.clone(),
            PeerCalls {
                reported,
                reported_at: now,
            },
        );
        for row in self.rows.values_mut() {
            row.peer_calls = row.reported_calls;
            row.peer_calls_at = Some(now);
        }
    }
}

/// Returns the sum of numbers that entries, endpoints or other hosts state, at most the largest number.
fn saturating_sum(numbers: impl Iterator<Item = u32>) -> u32 {
    numbers.fold(0, u32::saturating_add)
}
