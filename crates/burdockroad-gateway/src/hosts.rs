//! Which hosts serve, and where they are told what this one admits.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{HostId, Incarnation};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{Change, ConditionalWrite, LeaseId, SharedStore, Written, follow::RangeReader, shared::Shared};

/// Prefix of the keys under which hosts register themselves.
const HOSTS_PREFIX: &str = "burdockroad/hosts/";

/// Life of a host's entry after its last renewal.
const ENTRY_LIFE: Duration = Duration::from_secs(12);

/// Time between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Pause after a registration that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(500);

/// One registered host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct HostEntry {
    address: SocketAddr,
    failure_domain: String,
    incarnation: Incarnation,
}

/// Another host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Where it takes reports and calls.
    pub(crate) address: SocketAddr,
    /// Failure domain that it stands in.
    pub(crate) failure_domain: String,
}

/// The other hosts.
pub(crate) type Peers = BTreeMap<HostId, Peer>;

/// Reads the hosts.
pub(crate) struct HostReader {
    shared: Arc<Shared>,
}

impl HostReader {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    fn put(&self, entry: &Entry) {
        let Some(host) = entry.key.strip_prefix(HOSTS_PREFIX) else {
            return;
        };
        if host == self.shared.host {
            return;
        }
        let parsed: HostEntry = match serde_json::from_slice(&entry.value) {
            Ok(parsed) => parsed,
            Err(error) => {
                let reason = error.to_string();
                self.shared
                    .log
                    .line("host_unreadable", &UnreadableLine { host, reason });
                return;
            }
        };
        self.shared.peers.send_modify(|peers| {
            let peer = Peer {
                address: parsed.address,
                failure_domain: parsed.failure_domain,
            };
            peers.insert(host.to_owned(), peer);
        });
    }

    /// Lets the tables know how many hosts share the rates.
    fn publish(&self) {
        let peers: Vec<HostId> = self.shared.peers.borrow().keys().cloned().collect();
        let mut tables = self.shared.tables();
        let hosts = peers.len() + 1;
        let changed = tables.hosts != hosts;
        tables.hosts = hosts;
        tables.rate_limiter.set_peers(peers);
        if changed {
            tables.ledger.release_idle(Instant::now());
        }
        drop(tables);
        if changed {
            self.shared.log.line("hosts_changed", &HostsLine { hosts });
        }
    }
}

impl RangeReader for HostReader {
    fn prefix(&self) -> &str {
        HOSTS_PREFIX
    }

    fn replace(&mut self, entries: &[Entry]) {
        self.shared.peers.send_modify(Peers::clear);
        for entry in entries {
            self.put(entry);
        }
        self.publish();
    }

    fn change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.put(entry),
            Change::Removed { key, .. } => {
                if let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
                    self.shared.peers.send_modify(|peers| {
                        peers.remove(host);
                    });
                }
            }
        }
        self.publish();
    }
}

/// Keeps this host registered as long as it runs.
pub(crate) async fn keep_registered(shared: Arc<Shared>, address: SocketAddr) {
    let mut lease = None;
    loop {
        match renew(&shared, lease, address).await {
            Ok(renewed) => {
                lease = Some(renewed);
                tokio::select! {
                    () = sleep(RENEW_INTERVAL) => {}
                    () = shared.stop_begun.notified() => {
                        leave(&shared, renewed).await;
                        return;
                    }
                }
            }
            Err(error) => {
                let reason = error.to_string();
                shared.log.line("registration_failed", &ReasonLine { reason });
                sleep(FAILED_PAUSE).await;
            }
        }
    }
}

/// Takes this host out of the list, so that the others serve its part.
async fn leave(shared: &Shared, lease: LeaseId) {
    if let Err(error) = shared.store.end_lease(lease).await {
        let reason = error.to_string();
        shared.log.line("leave_failed", &ReasonLine { reason });
    }
    shared.tables().ledger.release_idle(Instant::now());
}

/// Renews the entry's lease, or registers anew when it has ended.
async fn renew(shared: &Shared, lease: Option<LeaseId>, address: SocketAddr) -> Result<LeaseId, StoreError> {
    if let Some(lease) = lease
        && shared.store.keep_lease(lease).await?
    {
        return Ok(lease);
    }
    let lease = shared.store.open_lease(ENTRY_LIFE).await?;
    let entry = HostEntry {
        address,
        failure_domain: shared.failure_domain.clone(),
        incarnation: shared.incarnation,
    };
    let value = serde_json::to_vec(&entry).map_err(|error| StoreError::Ambiguous {
        reason: error.to_string(),
    })?;
    let write = ConditionalWrite {
        key: format!("{HOSTS_PREFIX}{}", shared.host),
        value: Bytes::from(value),
        expected_revision: None,
        unconditional: true,
        lease: Some(lease),
    };
    match shared.store.write_all(&[write]).await? {
        Written::Done(_) => Ok(lease),
        Written::Conflict(_) | Written::LeaseEnded => Err(StoreError::Ambiguous {
            reason: "the lease ended before the entry was written".to_owned(),
        }),
    }
}

#[derive(Serialize)]
struct UnreadableLine<'a> {
    host: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct HostsLine {
    hosts: usize,
}

#[derive(Serialize)]
struct ReasonLine {
    reason: String,
}
