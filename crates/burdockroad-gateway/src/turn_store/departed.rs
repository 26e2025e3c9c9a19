//! Removal of the entries of hosts that are gone for good.
//!
//! The entry of a host that is gone would make each answer uncertain that the host could have changed, and would count
//! among the losses until its lease ends. A host that is removed in error registers itself again, with its turns.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{HostId, gateway::all_agree};
use burdockroad_daemon::platform::{Entry, StoreError};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    ConditionalWrite, SharedStore, WriteOutcome,
    turn_store::{
        members::member_key,
        messages::{TurnCall, TurnResponse},
        state::TurnHostState,
    },
};

/// Interval at which the other hosts are asked whether they agree that hosts are gone.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Lifetime of an entry that is being removed, if the removal fails halfway.
const REMOVED_ENTRY_LIFETIME: Duration = Duration::from_secs(2);

impl TurnHostState {
    /// Removes the entries of hosts that all others agree are gone.
    pub(super) async fn remove_departed_hosts(self: Arc<Self>, store: Arc<dyn SharedStore>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            for host in self.gone_hosts() {
                if !self.removes_departed() {
                    break;
                }
                let begun_at = Instant::now();
                let removed = self.remove_departed(&*store, &host).await;
                let waited = begun_at.elapsed();
                if let Ok(true) = removed {
                    self.decisions
                        .line("turn_host_departed", &DepartedLine { host: &host });
                }
                sleep(CHECK_INTERVAL.saturating_sub(waited)).await;
            }
        }
    }

    /// Returns whether this host is the one that removes entries: the first one of those that are not gone.
    fn removes_departed(&self) -> bool {
        let gone = self.gone_hosts();
        let members = self.members();
        let first = members.keys().find(|host| !gone.contains(host));
        first.is_some_and(|first| *first == self.host)
    }

    /// Removes the entry of a host if it has not changed since before all others agreed. Returns whether it did.
    async fn remove_departed(&self, store: &dyn SharedStore, host: &HostId) -> Result<bool, StoreError> {
        let key = member_key(host);
        let snapshot = store.read_range(&key).await?;
        let Some(entry) = snapshot.entries.into_iter().find(|entry| entry.key == key) else {
            return Ok(false);
        };
        if !self.all_others_agree(host).await {
            return Ok(false);
        }
        remove_entry(store, entry).await
    }

    /// Asks all hosts that are not gone whether they miss no turn without a host.
    async fn all_others_agree(&self, gone: &HostId) -> bool {
        let own = self.lock_gone().testimony();
        let mut testimonies = vec![(self.host.clone(), own.clone())];
        for (other, member) in self.members() {
            if other == self.host || own.gone.contains(&other) {
                continue;
            }
            let response = self
                .client
                .call(member.address, &TurnCall::GoneHosts, CALL_TIMEOUT);
            let Ok(TurnResponse::GoneHosts(testimony)) = response.await else {
                return false;
            };
            testimonies.push((other, testimony));
        }
        own == self.lock_gone().testimony() && all_agree(gone, &testimonies)
    }
}

/// Removes an entry unless it was written since: attaches it to a lease, which is ended.
async fn remove_entry(store: &dyn SharedStore, entry: Entry) -> Result<bool, StoreError> {
    let lease = store.open_lease(REMOVED_ENTRY_LIFETIME).await?;
    let write = ConditionalWrite {
        key: entry.key,
        value: entry.value,
        expected_revision: Some(entry.revision),
        unconditional: false,
        lease: Some(lease),
    };
    let written = store.write_all(&[write]).await;
    store.end_lease(lease).await?;
    Ok(matches!(written?, WriteOutcome::Done(_)))
}

#[derive(Serialize)]
struct DepartedLine<'a> {
    host: &'a str,
}
