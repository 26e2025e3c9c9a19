//! The configuration and the endpoints, as the store holds them.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{EndpointId, gateway::Directory};
use burdockroad_daemon::platform::{Entry, Revision};
use serde::Serialize;
use tokio::time::sleep;

use crate::{Change, budgets::expire_holds, follow::RangeReader, shared::Shared};

/// Time in which endpoints whose entries lapsed while the store was away register again.
pub(crate) const REGISTER_AGAIN: Duration = Duration::from_millis(2200);

/// Time between two looks at endpoints whose entries are missing.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Reads the configuration.
pub(crate) struct DocumentReader {
    shared: Arc<Shared>,
}

impl DocumentReader {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn apply(&self, entry: &Entry) {
        if entry.key != self.shared.dialect.document_key() {
            return;
        }
        let document = match self.shared.dialect.read_document(&entry.value) {
            Ok(document) => document,
            Err(error) => {
                let reason = error.to_string();
                self.shared.log.line("config_unreadable", &ReasonLine { reason });
                return;
            }
        };
        let version = document.version;
        let directory = Arc::new(Directory::new(document));
        let mut tables = self.shared.tables();
        let before = tables.directory.as_ref().map(|directory| directory.version());
        if before.is_some_and(|before| before >= version) {
            return;
        }
        let accounts = directory.document().accounts.iter().flatten();
        let rates = accounts.map(|account| (&account.name, account.rate_per_s, account.burst));
        tables.allowances.set_accounts(rates);
        tables.directory = Some(directory);
        tables.directory_at = Some(Instant::now());
        drop(tables);
        self.shared.log.line(
            "config_applied",
            &ConfigLine {
                version,
                before,
                revision: entry.revision,
            },
        );
    }
}

impl RangeReader for DocumentReader {
    fn prefix(&self) -> &str {
        self.shared.dialect.document_key()
    }

    fn replace(&mut self, entries: &[Entry]) {
        for entry in entries {
            self.apply(entry);
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.apply(entry),
            Change::Removed { key, .. } => self.shared.log.line("config_removed", &KeyLine { key }),
        }
    }
}

/// Reads the endpoints.
pub(crate) struct EndpointReader {
    shared: Arc<Shared>,
}

impl EndpointReader {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn id_of<'a>(&self, key: &'a str) -> Option<&'a str> {
        key.strip_prefix(self.shared.dialect.endpoints_prefix())
    }

    fn put(&self, entry: &Entry) {
        let Some(id) = self.id_of(&entry.key) else {
            return;
        };
        let endpoint = match self.shared.dialect.read_endpoint(id, &entry.value) {
            Ok(endpoint) => endpoint,
            Err(error) => {
                metrics::counter!("burdockroad_endpoint_entries_dropped_total").increment(1);
                self.shared.log.line(
                    "endpoint_unreadable",
                    &UnreadableLine {
                        endpoint: id,
                        reason: error.to_string(),
                    },
                );
                return;
            }
        };
        let mut tables = self.shared.tables();
        tables.missing_endpoints.remove(id);
        let known = tables.endpoints.get(id) == Some(&endpoint);
        let line = EndpointLine {
            endpoint: id,
            service: &endpoint.service,
            address: endpoint.address.to_string(),
            draining: endpoint.draining,
            revision: entry.revision,
        };
        tables.endpoints.insert(endpoint.clone());
        drop(tables);
        if !known {
            self.shared.log.line("endpoint_changed", &line);
        }
    }

    /// Drops an endpoint at once, or later when its entry may only have lapsed with the store away.
    fn remove(&self, id: &str) {
        let now = Instant::now();
        let mut tables = self.shared.tables();
        let lapsed = tables.store_lost_at.is_some()
            || tables.store_back_at.is_some_and(|at| now < at + REGISTER_AGAIN);
        if lapsed {
            let since = tables
                .store_back_at
                .filter(|at| now < *at + REGISTER_AGAIN)
                .unwrap_or(now);
            tables
                .missing_endpoints
                .entry(id.to_owned())
                .or_insert(since + REGISTER_AGAIN);
            return;
        }
        drop(tables);
        drop_endpoint(&self.shared, id);
    }
}

impl RangeReader for EndpointReader {
    fn prefix(&self) -> &str {
        self.shared.dialect.endpoints_prefix()
    }

    fn replace(&mut self, entries: &[Entry]) {
        let mut gone: Vec<EndpointId> = self.shared.tables().endpoints.ids().cloned().collect();
        gone.retain(|id| !entries.iter().any(|entry| self.id_of(&entry.key) == Some(id)));
        for entry in entries {
            self.put(entry);
        }
        for id in gone {
            self.remove(&id);
        }
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.put(entry),
            Change::Removed { key, .. } => {
                if let Some(id) = self.id_of(key) {
                    self.remove(id);
                }
            }
        }
    }
}

/// Drops endpoints whose entries did not come back, and connections that are long idle.
pub(crate) async fn sweep(shared: Arc<Shared>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        let now = Instant::now();
        let gone = shared.tables().take_gone(now);
        for id in gone {
            drop_endpoint(&shared, &id);
        }
        expire_holds(&shared, now);
        let mut tables = shared.tables();
        tables.programs.forget_old(now);
        tables.gate.forget_old(now);
        drop(tables);
        shared.pool.retire(now);
    }
}

fn drop_endpoint(shared: &Shared, id: &str) {
    shared.tables().endpoints.remove(id);
    shared.pool.forget(id);
    shared.log.line("endpoint_removed", &RemovedLine { endpoint: id });
}

/// Endpoints that are missing, with the time at which they count as gone.
pub(crate) type MissingEndpoints = HashMap<EndpointId, Instant>;

#[derive(Serialize)]
struct ReasonLine {
    reason: String,
}

#[derive(Serialize)]
struct KeyLine<'a> {
    key: &'a str,
}

#[derive(Serialize)]
struct ConfigLine {
    version: u64,
    before: Option<u64>,
    revision: Revision,
}

#[derive(Serialize)]
struct UnreadableLine<'a> {
    endpoint: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct EndpointLine<'a> {
    endpoint: &'a str,
    service: &'a str,
    address: String,
    draining: bool,
    revision: Revision,
}

#[derive(Serialize)]
struct RemovedLine<'a> {
    endpoint: &'a str,
}
