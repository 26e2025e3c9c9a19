//! Rates of calls that endpoints take, because they state them or are cold.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use super::{
    rate_statement::{EndpointUsage, RateStatement},
    table::EndpointTable,
};
use crate::ids::{EndpointId, HostId, RegionId, SoftwareVersion};

impl EndpointTable {
    /// Sets this host and the other hosts that send calls. They share the rates that endpoints state.
    pub fn set_hosts(&mut self, host: HostId, others: HashSet<HostId>) {
        self.fleet.set_hosts(host, others);
    }

    /// Records the rate of calls that an endpoint states in a response to this host. Returns whether it differs
    /// from the last statement to any host.
    pub fn record_rate(&mut self, id: &str, statement: RateStatement, now: Instant) -> bool {
        let row = self.rows.get_mut(id);
        row.is_some_and(|row| row.rate.record_statement(statement, now))
    }

    /// Records another host's calls to endpoints that limit their rate. Returns the endpoints whose limits change
    /// by their statements to that host, with the new limits in calls per second.
    pub fn record_peer_rates(
        &mut self,
        host: &HostId,
        usages: &[EndpointUsage],
        now: Instant,
    ) -> Vec<(EndpointId, Option<f64>)> {
        let mut changed = Vec::new();
        for usage in usages {
            let Some(row) = self.rows.get_mut(&usage.endpoint) else {
                continue;
            };
            if row.rate.record_peer(host, usage, &self.fleet, now) {
                let calls_per_s = usage.statement.and_then(|statement| statement.calls_per_s);
                changed.push((usage.endpoint.clone(), calls_per_s));
            }
        }
        changed
    }

    /// Returns this host's calls to endpoints that limit their rate, for its report to the other hosts.
    pub fn rate_usages(&mut self, now: Instant) -> Vec<EndpointUsage> {
        let rows = self.rows.iter_mut();
        rows.filter_map(|(id, row)| {
            row.rate.refill(id, &self.fleet, now);
            row.rate.usage(id, now)
        })
        .collect()
    }

    /// Returns the time after which the rates of a service's endpoints let this host send another call; `None`
    /// if they do not while they stay as they are. Streams of a version can continue at its endpoints only, and calls
    /// that are bound to regions at endpoints there.
    pub fn rate_wait(
        &mut self,
        service: &str,
        version: Option<&SoftwareVersion>,
        allowed_regions: Option<&[RegionId]>,
        now: Instant,
    ) -> Option<Duration> {
        self.refill(service, now);
        let rows = self.rows.values();
        let usable = rows.filter(|row| row.endpoint.service == service && row.takes_calls());
        usable
            .filter(|row| row.has_version(version) && self.allows(row, allowed_regions))
            .filter_map(|row| {
                let wait = row.rate.wait()?;
                Some(row.rate.limit_left(now).map_or(wait, |left| wait.min(left)))
            })
            .min()
    }

    /// Returns the time after which an endpoint's rate lets this host send it another call; `None` if it does not
    /// while it stays as it is. A host that may not send to an endpoint while it is cold may do so afterwards.
    pub fn endpoint_rate_wait(&mut self, id: &str, now: Instant) -> Option<Duration> {
        let Some(row) = self.rows.get_mut(id) else {
            return Some(Duration::ZERO);
        };
        row.rate.refill(id, &self.fleet, now);
        let until_warm = row.rate.limit_left(now);
        row.rate.wait().into_iter().chain(until_warm).min()
    }

    pub(super) fn refill(&mut self, service: &str, now: Instant) {
        for (id, row) in &mut self.rows {
            if row.endpoint.service == service {
                row.rate.refill(id, &self.fleet, now);
            }
        }
    }

    pub(super) fn record_demand(&mut self, id: &str) {
        if let Some(row) = self.rows.get_mut(id) {
            row.rate.record_demand();
        }
    }
}
