//! Applies the endpoints from the store to the tables.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId,
    gateway::{Departure, Endpoint},
};
use burdockroad_daemon::platform::{Entry, Revision};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    Change, DecodeError, RangeSnapshot,
    applied_revisions::AppliedRevisions,
    budget_owner::expire_remote_reservations,
    clock::as_ms,
    cold_endpoints::report_cold_endpoints,
    crash_detection::log_quarantined,
    follow::RangeSubscriber,
    shared::{Shared, Tables},
    store_outage::record_own_response,
    stream_origins::send_unsent_origins,
    unreadable_keys::{UnreadableKeys, brief_reason},
};

/// Interval between two checks for missing endpoints and other expired state.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Subscriber of the endpoints' entries.
pub(crate) struct EndpointSubscriber {
    shared: Arc<Shared>,
    /// Revisions of the entries that were applied. An entry that is read again does not restart its cold time.
    applied: AppliedRevisions,
    unreadable: UnreadableKeys,
}

impl EndpointSubscriber {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            applied: AppliedRevisions::default(),
            unreadable: UnreadableKeys::default(),
        }
    }

    fn endpoint_id<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.shared.dialect.endpoints_prefix())
    }

    fn put(&mut self, entry: &Entry) {
        let Some(id) = entry.key.strip_prefix(self.shared.dialect.endpoints_prefix()) else {
            return;
        };
        if self.applied.is_outdated(id, entry.revision) {
            return;
        }
        let endpoint = match self.shared.dialect.read_endpoint(id, &entry.value) {
            Ok(endpoint) => endpoint,
            Err(error) => return self.reject(id, entry, &error),
        };
        self.unreadable.remove(&entry.key);
        let is_read_again = self.applied.record_put(id, entry.revision);
        let mut tables = self.shared.tables();
        tables.departures.record_registered(id);
        let known = tables.endpoints.get(id);
        let is_unchanged = known.is_some_and(|known| is_same_but_for_cold_time(known, &endpoint));
        if !is_unchanged {
            record_departure(&mut tables, id);
        }
        let line = EndpointChangedLine {
            endpoint: id,
            service: &endpoint.service,
            address: endpoint.address.to_string(),
            software_version: &endpoint.software_version,
            draining: endpoint.draining,
            revision: entry.revision,
            source: tables
                .range_views
                .get(self.prefix())
                .map(|view| view.source.to_string()),
        };
        tables.endpoints.insert(endpoint.clone());
        if !is_read_again {
            let cold_left = endpoint.cold_left;
            tables.endpoints.record_cold_left(id, cold_left, Instant::now());
        }
        let is_evacuated = tables.endpoints.is_evacuated(&endpoint);
        drop(tables);
        if is_evacuated {
            self.shared.pool.close_idle(id);
        }
        if !is_unchanged {
            self.shared.log.line("endpoint_changed", &line);
            self.shared.versions_changed.notify_one();
            send_unsent_origins(&self.shared, &endpoint.service);
        }
    }

    /// Takes an endpoint out of use whose entry cannot be read, so that it names none. It is not held like an entry that
    /// may have expired, because this one exists. A readable entry puts the endpoint into use again.
    fn reject(&mut self, id: &str, entry: &Entry, error: &DecodeError) {
        metrics::counter!("burdockroad_endpoint_entries_dropped_total").increment(1);
        self.applied.record_put(id, entry.revision);
        let mut tables = self.shared.tables();
        tables.departures.record_registered(id);
        let is_known = tables.endpoints.get(id).is_some();
        drop(tables);
        if is_known {
            remove_endpoint(&self.shared, id);
        }
        if self.unreadable.insert(&entry.key) {
            self.shared.log.line(
                "endpoint_unreadable",
                &EndpointUnreadableLine {
                    endpoint: id,
                    reason: brief_reason(error),
                },
            );
        }
    }

    /// Removes an endpoint, unless its entry may have expired during an outage of the store. `revision` is that of
    /// the removal; `None` if it is not known.
    fn remove(&mut self, id: &str, revision: Option<Revision>) {
        self.applied.record_removed(id, revision);
        let mut tables = self.shared.tables();
        let is_held = tables.departures.is_held(id);
        let departure = tables.departures.record_missing(id, Instant::now());
        let knowledge = Knowledge::of(&tables, self.prefix());
        drop(tables);
        match departure {
            Departure::Departed => remove_endpoint(&self.shared, id),
            Departure::Held { .. } if is_held => {}
            Departure::Held { time_left } => {
                let line = EndpointMissingLine {
                    endpoint: id,
                    knowledge,
                    held_ms: as_ms(time_left),
                };
                self.shared.log.line("endpoint_missing", &line);
            }
        }
    }
}

impl RangeSubscriber for EndpointSubscriber {
    fn prefix(&self) -> &str {
        self.shared.dialect.endpoints_prefix()
    }

    fn replace(&mut self, snapshot: &RangeSnapshot) {
        let entries = &snapshot.entries;
        let mut removed: Vec<EndpointId> = self.shared.tables().endpoints.ids().cloned().collect();
        removed.retain(|id| {
            !entries
                .iter()
                .any(|entry| self.endpoint_id(&entry.key) == Some(id))
        });
        self.unreadable.retain_in(entries);
        for entry in entries {
            self.put(entry);
        }
        for id in removed {
            self.remove(&id, None);
        }
        self.shared.tables().has_read_endpoints = true;
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.put(entry),
            Change::Removed { key, revision } => {
                self.unreadable.remove(key);
                if let Some(id) = self.endpoint_id(key).map(str::to_owned)
                    && !self.applied.is_outdated(&id, *revision)
                {
                    self.remove(&id, Some(*revision));
                }
            }
        }
    }
}

/// Removes endpoints that did not register again, expired reservations, expired programs and expired idle
/// connections.
pub(crate) async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        record_own_response(&shared);
        let departed = shared.tables().departures.take_departed(now);
        for id in departed {
            remove_endpoint(&shared, &id);
        }
        expire_remote_reservations(&shared, now);
        let mut tables = shared.tables();
        tables.running_programs.evict_expired(now);
        tables.start_gate.evict_expired(now);
        tables.stream_origins.evict_expired(now);
        tables.unsent_origins.evict_expired(now);
        tables.quarantine.evict_expired(now);
        let quarantined = tables.quarantine.evaluate(now);
        let cold_changes = tables.endpoints.take_cold_changes(now);
        let diverted_calls = tables.endpoints.take_calls_diverted_from_cold();
        drop(tables);
        report_cold_endpoints(&shared, &cold_changes, diverted_calls);
        log_quarantined(&shared, &quarantined, None);
        shared.pool.remove_expired(now);
    }
}

/// Returns whether two entries of an endpoint differ at most in the remaining cold time, which changes all the time.
fn is_same_but_for_cold_time(known: &Endpoint, entry: &Endpoint) -> bool {
    let known = Endpoint {
        cold_left: entry.cold_left,
        ..known.clone()
    };
    known == *entry
}

/// Records the version of an endpoint that leaves or changes.
fn record_departure(tables: &mut Tables, id: &str) {
    if let Some(known) = tables.endpoints.get(id) {
        let version = known.software_version.clone();
        tables
            .version_history
            .record_departure(&known.service, version, Instant::now());
    }
}

fn remove_endpoint(shared: &Shared, id: &str) {
    let mut tables = shared.tables();
    record_departure(&mut tables, id);
    tables.endpoints.remove(id);
    let knowledge = Knowledge::of(&tables, shared.dialect.endpoints_prefix());
    drop(tables);
    shared.pool.close_idle(id);
    let line = EndpointRemovedLine {
        endpoint: id,
        knowledge,
    };
    shared.log.line("endpoint_removed", &line);
}

#[derive(Serialize)]
struct EndpointUnreadableLine<'a> {
    endpoint: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct EndpointChangedLine<'a> {
    endpoint: &'a str,
    service: &'a str,
    address: String,
    software_version: &'a str,
    #[serde(rename = "leaving")]
    draining: bool,
    revision: Revision,
    source: Option<String>,
}

/// Log line of an endpoint whose entry is gone, and which may register again.
#[derive(Serialize)]
struct EndpointMissingLine<'a> {
    endpoint: &'a str,
    #[serde(flatten)]
    knowledge: Knowledge,
    /// Time after which it counts as removed if the store responds.
    held_ms: u64,
}

#[derive(Serialize)]
struct EndpointRemovedLine<'a> {
    endpoint: &'a str,
    #[serde(flatten)]
    knowledge: Knowledge,
}

/// What this host knew of the endpoints at a decision.
#[derive(Serialize)]
struct Knowledge {
    /// Revision up to which their range was known.
    as_of: Option<Revision>,
    source: Option<String>,
    age_ms: Option<u64>,
}

impl Knowledge {
    fn of(tables: &Tables, prefix: &str) -> Self {
        let now = Instant::now();
        let view = tables.range_views.get(prefix);
        Self {
            as_of: view.map(|view| view.as_of),
            source: view.map(|view| view.source.to_string()),
            age_ms: view.map(|view| as_ms(view.age(now))),
        }
    }
}
