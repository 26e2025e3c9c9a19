//! Endpoints of all services.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::Instant,
};

use super::{
    cold_start::ColdStarts,
    endpoint::{Endpoint, EndpointCalls},
    fleet::Fleet,
    leaving::LeavingRuns,
    pace_change::PaceChange,
    row::EndpointRow,
};
use crate::{
    gateway::{RegionMap, evacuation::Evacuations},
    ids::{EndpointId, HostId, SoftwareVersion},
};

/// Endpoints of all services, with this host's estimate of their load.
#[derive(Debug, Default)]
pub struct EndpointTable {
    /// Sorted, so that the same inputs give the same choice.
    pub(super) rows: BTreeMap<EndpointId, EndpointRow>,
    pub(super) leaving: LeavingRuns,
    /// Failure domains whose endpoints take no calls, whether or not they are known.
    pub(super) evacuations: Evacuations,
    pub(super) peers: HashMap<HostId, PeerCalls>,
    pub(super) fleet: Fleet,
    pub(super) regions: Arc<RegionMap>,
    /// Changes of the paces of each service whose endpoints state them.
    pub(super) pace_changes: HashMap<String, PaceChange>,
    pub(super) cold_starts: ColdStarts,
}

/// Calls of one other host.
#[derive(Debug)]
pub(super) struct PeerCalls {
    /// Reported calls at those endpoints that the table contained at the time of the report.
    pub(super) reported: Vec<EndpointCalls>,
    pub(super) reported_at: Instant,
}

impl EndpointTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds or updates an endpoint. A new run of an endpoint starts with an empty cache.
    pub fn insert(&mut self, endpoint: Endpoint) {
        let evacuated = self.evacuations.contains(&endpoint.failure_domain);
        let cold_start = self.cold_starts.get(&endpoint.service);
        match self.rows.get_mut(&endpoint.id) {
            Some(row)
                if row.endpoint.started_unix_ms == endpoint.started_unix_ms
                    && row.endpoint.address == endpoint.address =>
            {
                row.endpoint = endpoint;
                row.evacuated = evacuated;
                row.rate.cold.set_cold_start(cold_start);
            }
            previous => {
                let cold = previous.map(|row| row.rate.cold.clone()).unwrap_or_default();
                let mut row = EndpointRow::new(endpoint);
                row.rate.cold = cold;
                row.rate.cold.set_cold_start(cold_start);
                row.leaving = self.leaving.contains(&row.endpoint);
                row.evacuated = evacuated;
                self.rows.insert(row.endpoint.id.clone(), row);
            }
        }
    }

    /// Records that an endpoint said that it leaves. Its run takes no new calls from then on, whatever its entry
    /// says. Returns whether it said so for the first time.
    pub fn record_leaving(&mut self, id: &str, now: Instant) -> bool {
        let Some(row) = self.rows.get_mut(id).filter(|row| !row.leaving) else {
            return false;
        };
        row.leaving = true;
        self.leaving.record(&row.endpoint, now);
        true
    }

    /// Removes an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.rows.remove(id);
    }

    /// Returns an endpoint by its id.
    pub fn get(&self, id: &str) -> Option<&Endpoint> {
        self.rows.get(id).map(|row| &row.endpoint)
    }

    /// Returns the ids of all endpoints.
    pub fn ids(&self) -> impl Iterator<Item = &EndpointId> {
        self.rows.keys()
    }

    /// Returns the number of a service's endpoints that take new calls, or that streams of a version can
    /// continue at.
    pub fn usable(&self, service: &str, version: Option<&SoftwareVersion>) -> usize {
        let rows = self.rows.values();
        rows.filter(|row| row.endpoint.service == service && row.takes_calls())
            .filter(|row| row.has_version(version))
            .count()
    }

    /// Returns the software versions of a service's endpoints, one for each endpoint.
    pub fn software_versions(&self, service: &str) -> impl Iterator<Item = &SoftwareVersion> {
        let rows = self.rows.values();
        rows.filter(move |row| row.endpoint.service == service)
            .map(|row| &row.endpoint.software_version)
    }

    /// Returns the services that have endpoints.
    pub fn services(&self) -> BTreeSet<&str> {
        let rows = self.rows.values();
        rows.map(|row| row.endpoint.service.as_str()).collect()
    }
}
