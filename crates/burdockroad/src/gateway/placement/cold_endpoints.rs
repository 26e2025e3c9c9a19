//! Cold endpoints of the table.

use std::time::{Duration, Instant};

use super::{
    cold_start::{ColdCause, ColdChange},
    row::EndpointRow,
    table::EndpointTable,
};
use crate::gateway::ColdStart;

/// Reduction of the expected time of a cold endpoint without calls, as a fraction of the mean time. Only few
/// hosts may send to it, and each of them has many other endpoints to choose from.
const IDLE_PREFERENCE: f64 = 0.25;

impl EndpointTable {
    /// Sets the services whose endpoints start cold. It applies to the known endpoints, too.
    pub fn set_cold_starts(&mut self, cold_starts: impl IntoIterator<Item = (String, ColdStart)>) {
        self.cold_starts.by_service = cold_starts.into_iter().collect();
        for row in self.rows.values_mut() {
            let cold_start = self.cold_starts.get(&row.endpoint.service);
            row.rate.cold.set_cold_start(cold_start);
        }
    }

    /// Records the remaining cold time that an endpoint's entry states on its arrival. It replaces that of the
    /// entry before.
    pub fn record_cold_left(&mut self, id: &str, cold_left: Duration, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.rate.cold.record_statement(cold_left, now);
            row.rate.update_limit(now);
        }
    }

    /// Treats all endpoints of a failure domain as cold from now on, because its evacuation has ended.
    pub fn assume_cold(&mut self, failure_domain: &str, now: Instant) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.endpoint.failure_domain == failure_domain) {
            row.rate.cold.assume(ColdCause::EvacuationEnded, now);
            row.rate.update_limit(now);
        }
    }

    /// Treats an endpoint as cold from now on, because it refused a connection.
    pub fn record_refused_connection(&mut self, id: &str, now: Instant) {
        if let Some(row) = self.rows.get_mut(id) {
            row.rate.cold.assume(ColdCause::ConnectionRefused, now);
            row.rate.update_limit(now);
        }
    }

    /// Returns the endpoints that became cold or warm since the last call.
    pub fn take_cold_changes(&mut self, now: Instant) -> Vec<ColdChange> {
        let rows = self.rows.iter_mut();
        rows.filter_map(|(id, row)| {
            row.rate.update_limit(now);
            row.rate.cold.take_change(id, now)
        })
        .collect()
    }

    /// Returns the number of calls that were placed elsewhere since the last call because the preferred endpoint
    /// was cold.
    pub fn take_calls_diverted_from_cold(&mut self) -> u64 {
        std::mem::take(&mut self.cold_starts.diverted_calls)
    }
}

impl EndpointRow {
    /// Returns a reduction of the expected time that lets a cold endpoint without calls warm up.
    pub(super) fn warm_up_preference_ms(&self, service_mean_ms: f64, now: Instant) -> f64 {
        let is_preferred = self.rate.cold.status(now).is_some() && self.load(now) == 0 && self.has_room();
        if is_preferred {
            service_mean_ms * IDLE_PREFERENCE
        } else {
            0.0
        }
    }
}
