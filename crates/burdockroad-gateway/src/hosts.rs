//! Registration of this host and the list of the other hosts.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{HostId, Incarnation};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    Change, LeaseId, RangeSnapshot, SharedStore,
    follow::RangeSubscriber,
    peers::{Peer, Peers},
    registration::{Registration, RegistrationErrorLine, renew},
    shared::Shared,
    turn_store::members::{TurnMembers, put_member, remove_member},
    unreadable_keys::{UnreadableKeys, brief_reason},
    version_records::put_record,
};

/// Key prefix under which hosts register themselves.
const HOSTS_PREFIX: &str = "burdockroad/hosts/";

/// Lifetime of a host's entry after its last renewal.
const ENTRY_LIFETIME: Duration = Duration::from_secs(12);

/// Interval between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_secs(4);

/// Interval before a failed registration is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Entry of a registered host in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct HostEntry {
    address: SocketAddr,
    failure_domain: String,
    incarnation: Incarnation,
}

/// Subscriber of the hosts' entries.
pub(crate) struct HostSubscriber {
    shared: Arc<Shared>,
    unreadable: UnreadableKeys,
}

impl HostSubscriber {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            shared,
            unreadable: UnreadableKeys::default(),
        }
    }

    /// Applies an entry. One that cannot be read changes nothing, and only the first of several is logged.
    fn put(&mut self, entry: &Entry) {
        let Some(host) = entry.key.strip_prefix(HOSTS_PREFIX) else {
            return;
        };
        if host == self.shared.host {
            return;
        }
        match self.apply(host, entry) {
            Ok(()) => self.unreadable.remove(&entry.key),
            Err(error) if self.unreadable.insert(&entry.key) => {
                let reason = brief_reason(&error);
                self.shared
                    .log
                    .line("host_unreadable", &HostUnreadableLine { host, reason });
            }
            Err(_) => {}
        }
    }

    /// Applies an entry of any kind.
    fn apply(&self, host: &str, entry: &Entry) -> Result<(), serde_json::Error> {
        let is_member = self
            .shared
            .turns
            .update_members(|members| put_member(members, entry))?;
        if is_member || put_record(&self.shared, entry)? {
            return Ok(());
        }
        let host_entry: HostEntry = serde_json::from_slice(&entry.value)?;
        self.shared.peers.send_modify(|peers| {
            let peer = Peer {
                address: host_entry.address,
                failure_domain: host_entry.failure_domain,
                incarnation: host_entry.incarnation,
            };
            peers.insert(host.to_owned(), peer);
        });
        Ok(())
    }

    /// Updates the tables after a change of the registered hosts. The hosts share the accounts' rate limits
    /// and divide the budgets among themselves.
    fn update_tables(&self) {
        let peers: Vec<HostId> = self.shared.peers.borrow().keys().cloned().collect();
        let mut tables = self.shared.tables();
        let hosts = peers.len() + 1;
        let changed = tables.host_count != hosts;
        tables.host_count = hosts;
        tables
            .endpoints
            .set_hosts(self.shared.host.clone(), peers.iter().cloned().collect());
        tables.rate_limiter.set_peers(peers);
        if changed {
            tables.ledger.release_idle(Instant::now());
        }
        drop(tables);
        if changed {
            self.shared.versions_changed.notify_one();
            self.shared.log.line("hosts_changed", &HostsChangedLine { hosts });
        }
    }
}

impl RangeSubscriber for HostSubscriber {
    fn prefix(&self) -> &str {
        HOSTS_PREFIX
    }

    fn replace(&mut self, snapshot: &RangeSnapshot) {
        self.shared.peers.send_modify(Peers::clear);
        self.shared.turns.update_members(TurnMembers::clear);
        self.unreadable.retain_in(&snapshot.entries);
        for entry in &snapshot.entries {
            self.put(entry);
        }
        self.update_tables();
    }

    fn apply_change(&mut self, change: &Change) {
        match change {
            Change::Put(entry) => self.put(entry),
            Change::Removed { key, .. } => {
                self.unreadable.remove(key);
                let is_turn_host = self
                    .shared
                    .turns
                    .update_members(|members| remove_member(members, key));
                if !is_turn_host && let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
                    self.shared.peers.send_modify(|peers| {
                        peers.remove(host);
                    });
                }
            }
        }
        self.update_tables();
    }
}

/// Keeps this host registered until it stops.
pub(crate) async fn keep_registered(shared: Arc<Shared>, address: SocketAddr) {
    let mut lease = None;
    loop {
        match renew_entry(&shared, lease, address).await {
            Ok(renewed) => {
                lease = Some(renewed);
                tokio::select! {
                    () = sleep(RENEW_INTERVAL) => {}
                    () = shared.stop_started.notified() => {
                        deregister(&shared, renewed).await;
                        return;
                    }
                }
            }
            Err(error) => {
                let reason = error.to_string();
                shared
                    .log
                    .line("registration_failed", &RegistrationErrorLine { reason });
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Deregisters this host, so that the other hosts take over its share of the rate limits, and releases the
/// tokens that it has reserved but does not use.
async fn deregister(shared: &Shared, lease: LeaseId) {
    if let Err(error) = shared.store.end_lease(lease).await {
        let reason = error.to_string();
        shared.log.line("leave_failed", &RegistrationErrorLine { reason });
    }
    shared.tables().ledger.stop();
}

/// Returns this host's entry.
fn registration(shared: &Shared, address: SocketAddr) -> Result<Registration, StoreError> {
    let entry = HostEntry {
        address,
        failure_domain: shared.failure_domain.clone(),
        incarnation: shared.incarnation,
    };
    let value = serde_json::to_vec(&entry).map_err(|error| StoreError::Ambiguous {
        reason: error.to_string(),
    })?;
    Ok(Registration {
        key: format!("{HOSTS_PREFIX}{}", shared.host),
        value: Bytes::from(value),
        lifetime: ENTRY_LIFETIME,
    })
}

async fn renew_entry(
    shared: &Shared,
    lease: Option<LeaseId>,
    address: SocketAddr,
) -> Result<LeaseId, StoreError> {
    renew(&*shared.store, lease, &registration(shared, address)?).await
}

#[derive(Serialize)]
struct HostUnreadableLine<'a> {
    host: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct HostsChangedLine {
    hosts: usize,
}
