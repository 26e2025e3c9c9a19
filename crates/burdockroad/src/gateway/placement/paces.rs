//! Paces that endpoints state, shared among hosts.

use std::time::{Duration, Instant};

use super::{
    base_time::ServiceTimes,
    pace::{PaceReading, USUAL_PACE_PERCENT},
    pace_change::PaceChange,
    row::{EndpointRow, INITIAL_TIME_MS, PEER_LOAD_AGE_MAX, TIME_MIN_MS},
    spread::{Spread, SpreadEndpoint},
    table::EndpointTable,
};
use crate::{gateway::dissemination::report_interval, ids::EndpointId};

/// Pace that an endpoint stated to a host.
#[derive(Clone, Debug, PartialEq)]
pub struct ReportedPace {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Time that work takes at the endpoint, in percent of its usual time.
    pub pace_percent: f64,
    /// Age of the statement.
    pub age: Duration,
}

impl EndpointTable {
    /// Records the pace that an endpoint states in a response to this host.
    pub(super) fn record_own_pace(&mut self, id: &str, pace_percent: f64, now: Instant) {
        if let Some(reading) = PaceReading::new(pace_percent, now)
            && let Some(row) = self.rows.get_mut(id)
        {
            row.pace.record_own(reading);
            self.compare_pace(id, reading);
        }
    }

    /// Records the paces that endpoints stated to another host.
    pub fn record_peer_paces(&mut self, paces: &[ReportedPace], now: Instant) {
        for pace in paces {
            let read_at = now.checked_sub(pace.age);
            let reading = read_at.and_then(|read_at| PaceReading::new(pace.pace_percent, read_at));
            if let Some(reading) = reading
                && let Some(row) = self.rows.get_mut(&pace.endpoint)
                && row.pace.record(reading)
            {
                self.compare_pace(&pace.endpoint, reading);
            }
        }
    }

    /// Returns the latest paces that endpoints stated to this host since the last report.
    pub fn unreported_paces(&mut self, now: Instant) -> Vec<ReportedPace> {
        let rows = self.rows.iter_mut();
        rows.filter_map(|(id, row)| {
            let reading = row.pace.take_unreported()?;
            Some(ReportedPace {
                endpoint: id.clone(),
                pace_percent: reading.percent(),
                age: now.saturating_duration_since(reading.read_at),
            })
        })
        .collect()
    }

    /// Returns the paces expected of endpoints of a service, relative to their usual paces; `None` if none of the
    /// service's endpoints states its pace.
    pub(super) fn expected_paces(
        &self,
        service: &str,
        endpoints: &[&EndpointRow],
        now: Instant,
    ) -> Option<Vec<f64>> {
        let half_life = self.pace_changes.get(service)?.half_life();
        let paces = endpoints.iter().map(|row| row.expected_pace(half_life, now));
        Some(paces.collect())
    }

    /// Returns the pace expected at an endpoint, in percent; `None` if it does not state it.
    pub(super) fn expected_pace_percent(&self, row: &EndpointRow, now: Instant) -> Option<f64> {
        let change = self.pace_changes.get(&row.endpoint.service)?;
        let is_stated = row.pace.is_stated();
        is_stated.then(|| row.expected_pace(change.half_life(), now) * USUAL_PACE_PERCENT)
    }

    /// Returns the geometric mean of the times of a service's endpoints at their usual paces. A false pace makes
    /// the time of its endpoint wrong by up to ten times, which would move the arithmetic mean too far.
    pub(super) fn usual_mean_ms(&self, service: &str) -> f64 {
        let rows = self.rows.values();
        let measured = rows.filter(|row| row.endpoint.service == service && row.sampled_at.is_some());
        let (count, sum) = measured.fold((0.0, 0.0), |(count, sum), row| {
            (count + 1.0, sum + row.mean_first_byte_ms.max(TIME_MIN_MS).ln())
        });
        if count > 0.0 {
            f64::exp(sum / count)
        } else {
            INITIAL_TIME_MS
        }
    }

    /// Spreads the calls of other hosts among endpoints of a service whose paces are stated; `None` if there is no
    /// other host. Hosts without reports do not choose with the same figures, so their calls are not spread further
    /// than the responses of the endpoints tell.
    pub(super) fn spread(
        &self,
        service: ServiceTimes,
        endpoints: &[&EndpointRow],
        paces: &[f64],
        jitter_seed: u64,
        now: Instant,
    ) -> Option<Spread> {
        if !self.fleet.has_others() {
            return None;
        }
        let pairs = endpoints.iter().zip(paces);
        let endpoints: Vec<SpreadEndpoint> = pairs
            .map(|(row, pace)| row.spread_endpoint(service, *pace, now))
            .collect();
        if !endpoints.iter().any(|endpoint| endpoint.is_open) {
            return None;
        }
        let report_age = if service.lacks_reports {
            Duration::ZERO
        } else {
            report_interval(self.fleet.len())
        };
        Some(Spread::new(&endpoints, report_age, jitter_seed))
    }

    /// Returns whether there are other hosts, and none of them has reported recently.
    pub(super) fn lacks_reports(&self, now: Instant) -> bool {
        let mut reports = self.peers.values();
        self.fleet.has_others() && !reports.any(|peer| now < peer.reported_at + PEER_LOAD_AGE_MAX)
    }

    fn compare_pace(&mut self, id: &str, reading: PaceReading) {
        let Some(row) = self.rows.get_mut(id) else {
            return;
        };
        let service = row.endpoint.service.as_str();
        if !self.pace_changes.contains_key(service) {
            self.pace_changes
                .insert(service.to_owned(), PaceChange::default());
        }
        if let Some(change) = self.pace_changes.get_mut(service)
            && let Some(earlier) = row.pace.compare(reading, change.half_life())
        {
            change.record(earlier, reading);
        }
    }
}
