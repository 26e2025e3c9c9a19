//! Applies the configuration and the evacuations of failure domains, which the operator writes into one range of the
//! store, to the tables.

use std::{sync::Arc, time::Instant};

use burdockroad::{
    EndpointId,
    gateway::{Directory, EvacuationChange, EvacuationOrder, EvacuationStep},
};
use burdockroad_daemon::platform::{Entry, Revision};
use serde::Serialize;

use crate::{
    Change, OperatorKey, RangeSnapshot, follow::RangeSubscriber, shared::Shared,
    unreadable_keys::brief_reason,
};

/// Subscriber of the operator's range.
pub(crate) struct OperatorSubscriber {
    shared: Arc<Shared>,
}

impl OperatorSubscriber {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn kind<'a>(&self, key: &'a str) -> OperatorKey<'a> {
        self.shared.dialect.read_operator_key(key)
    }

    /// Returns the evacuation that an entry orders; `None` for an entry of another kind.
    fn evacuation_order(&self, entry: &Entry) -> Option<EvacuationOrder> {
        let OperatorKey::Evacuation { domain } = self.kind(&entry.key) else {
            return None;
        };
        Some(EvacuationOrder {
            domain: domain.to_owned(),
            revision: entry.revision,
        })
    }

    fn replace_evacuations(&self, snapshot: &RangeSnapshot) {
        let entries = snapshot.entries.iter();
        let orders: Vec<EvacuationOrder> = entries.filter_map(|entry| self.evacuation_order(entry)).collect();
        let mut tables = self.shared.tables();
        let changes = tables
            .endpoints
            .replace_evacuations(&orders, snapshot.as_of, Instant::now());
        drop(tables);
        for change in &changes {
            self.follow_up(change);
        }
    }

    fn put(&self, entry: &Entry) {
        if self.kind(&entry.key) == OperatorKey::Document {
            return self.apply_document(entry);
        }
        let Some(order) = self.evacuation_order(entry) else {
            return;
        };
        let mut tables = self.shared.tables();
        let change = tables.endpoints.apply_evacuation(&order, Instant::now());
        drop(tables);
        if let Some(change) = change {
            self.follow_up(&change);
        }
    }

    fn remove(&self, key: &str, revision: Revision) {
        match self.kind(key) {
            OperatorKey::Document => self.shared.log.line("config_removed", &ConfigRemovedLine { key }),
            OperatorKey::Evacuation { domain } => {
                let mut tables = self.shared.tables();
                let change = tables
                    .endpoints
                    .withdraw_evacuation(domain, revision, Instant::now());
                drop(tables);
                if let Some(change) = change {
                    self.follow_up(&change);
                }
            }
            OperatorKey::Other => {}
        }
    }

    /// Closes the idle connections to an evacuated domain, and logs the start or end of an evacuation.
    fn follow_up(&self, change: &EvacuationChange) {
        let endpoints: Vec<(EndpointId, u32)> = {
            let tables = self.shared.tables();
            let ids = tables.endpoints.ids_in_domain(&change.domain);
            ids.map(|id| (id.clone(), tables.endpoints.in_flight(id)))
                .collect()
        };
        let mut line = EvacuationLine {
            domain: &change.domain,
            revision: change.revision,
            endpoints: endpoints.len(),
            in_flight: endpoints.iter().map(|(_, in_flight)| in_flight).sum(),
            lasted_ms: None,
        };
        match change.step {
            EvacuationStep::Started => {
                for (id, _) in &endpoints {
                    self.shared.pool.close_idle(id);
                }
                self.shared.log.line("evacuation_started", &line);
            }
            EvacuationStep::Ended { lasted } => {
                line.lasted_ms = Some(lasted.as_millis());
                self.shared.log.line("evacuation_ended", &line);
            }
        }
    }

    /// Applies a document if its version is newer than that of the current one.
    fn apply_document(&self, entry: &Entry) {
        let document = match self.shared.dialect.read_document(&entry.value) {
            Ok(document) => document,
            Err(error) => {
                let reason = brief_reason(&error);
                self.shared
                    .log
                    .line("config_unreadable", &ConfigUnreadableLine { reason });
                return;
            }
        };
        let version = document.version;
        let directory = Arc::new(Directory::new(document));
        let mut tables = self.shared.tables();
        let previous_version = tables.directory.as_ref().map(|directory| directory.version());
        if previous_version.is_some_and(|previous| previous >= version) {
            return;
        }
        let accounts = directory.document().accounts.iter().flatten();
        let rates = accounts.map(|account| (&account.name, account.rate_per_s, account.burst));
        tables.rate_limiter.set_accounts(rates);
        let services = directory.document().services.iter();
        let cold_starts = services.filter_map(|service| Some((service.name.clone(), service.cold_start?)));
        tables.endpoints.set_cold_starts(cold_starts);
        tables.directory = Some(directory);
        tables.directory_applied_at = Some(Instant::now());
        drop(tables);
        self.shared.log.line(
            "config_applied",
            &ConfigAppliedLine {
                version,
                previous_version,
                revision: entry.revision,
            },
        );
    }
}

impl RangeSubscriber for OperatorSubscriber {
    fn prefix(&self) -> &str {
        self.shared.dialect.operator_prefix()
    }

    /// Applies the evacuations before the document. A host serves callers once it has a document, and must know the
    /// evacuations by then.
    fn replace(&mut self, snapshot: &RangeSnapshot) {
        self.replace_evacuations(snapshot);
        let entries = snapshot.entries.iter();
        for entry in entries.filter(|entry| self.kind(&entry.key) == OperatorKey::Document) {
            self.apply_document(entry);
        }
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.put(entry),
            Change::Removed { key, revision } => self.remove(key, *revision),
        }
    }
}

#[derive(Serialize)]
struct ConfigUnreadableLine {
    reason: String,
}

#[derive(Serialize)]
struct ConfigRemovedLine<'a> {
    key: &'a str,
}

#[derive(Serialize)]
struct ConfigAppliedLine {
    version: u64,
    #[serde(rename = "before")]
    previous_version: Option<u64>,
    revision: Revision,
}

/// Log line of an evacuation that starts or ends on this host.
#[derive(Serialize)]
struct EvacuationLine<'a> {
    domain: &'a str,
    revision: Revision,
    /// Known endpoints in the domain; 0 for a domain in which none is known, for example because it is misspelled.
    endpoints: usize,
    /// Calls of this host that run there.
    in_flight: u32,
    /// Duration of an evacuation that ends.
    #[serde(skip_serializing_if = "Option::is_none")]
    lasted_ms: Option<u128>,
}
