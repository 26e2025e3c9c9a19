//! Writes of turns to the hosts that store them.

use std::{pin::pin, sync::Arc, time::Duration};

use burdockroad::{
    RegionId,
    gateway::{Replication, ReplicationProgress, Turn, renewals},
};
use futures_util::future::select;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use super::TurnClient;
use crate::{
    clock::unix_ms,
    turn_store::{
        disk_hosts::STORE_TIMEOUT,
        links::EncodedCall,
        members::{TurnMembers, writable},
        messages::TurnCall,
        write::{TurnWrite, WriteEnd},
    },
};

/// Interval at which a turn that too few hosts could store looks for registered hosts.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Interval before copies that were not written to the shared store are written again.
const COPY_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Hosts that could store the turn of a call when the call began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostsAtBegin {
    writable: usize,
    /// Hosts that were being removed by then.
    removed: usize,
}

/// Where a turn could be stored now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TurnStorage {
    /// On hosts with disks.
    Hosts,
    /// On too few hosts with disks, and in the shared store.
    HostsAndSharedStore,
    /// Nowhere.
    None,
}

impl TurnClient {
    /// Returns the hosts that could store a turn now.
    pub(crate) fn hosts_at_begin(&self) -> HostsAtBegin {
        let state = self.lock();
        HostsAtBegin {
            writable: writable(&state.members).len(),
            removed: state.removed.len(),
        }
    }

    /// Returns the number of hosts that must be registered for a turn to be durable whose call began with these. The store
    /// may have lost the entries of hosts meanwhile, but those that the operator removes do not come back.
    fn replicas_min(&self, at_begin: HostsAtBegin) -> usize {
        let removed = self.lock().removed.len().saturating_sub(at_begin.removed);
        let left = at_begin.writable.saturating_sub(removed);
        left.clamp(1, self.tolerated_losses + 1)
    }

    /// Returns whether enough hosts in allowed regions are left for a turn to be durable. A turn that is bound to
    /// regions needs as many hosts there as any other turn.
    pub(crate) fn storage_for(&self, allowed_regions: Option<&[RegionId]>) -> TurnStorage {
        let hosts = writable(&self.lock().members);
        let replicas = hosts.len().clamp(1, self.tolerated_losses + 1);
        let hosts = self.regions.allowed_hosts(hosts, allowed_regions);
        if hosts.len() < replicas {
            return TurnStorage::None;
        }
        let health = self.disk_hosts.health();
        let lost = hosts.iter().filter(|host| health.is_lost(&host.host)).count();
        let left = hosts.len() - lost;
        if left == 0 || lost > self.tolerated_losses {
            TurnStorage::None
        } else if left < replicas && allowed_regions.is_none() {
            TurnStorage::HostsAndSharedStore
        } else {
            TurnStorage::Hosts
        }
    }

    /// Stores a turn that continues `history` within the time that its caller has left. Waits until as many
    /// hosts are registered as `at_begin`. Returns the number of replicas, or `None` when the turn is not durable.
    pub(crate) async fn store(
        &self,
        turn: Turn,
        history: &[Arc<Turn>],
        storage_time: Duration,
        at_begin: HostsAtBegin,
        time_left: Duration,
    ) -> Option<usize> {
        let storage_time_ms = u64::try_from(storage_time.as_millis()).unwrap_or(u64::MAX);
        let mut turns = renewals(history, &turn, unix_ms(), storage_time_ms);
        turns.push(turn.clone());
        let call = Arc::new(EncodedCall::new(TurnCall::Store(turns.clone())).ok()?);
        let (replication, members) = self.begin_replication(&turn);
        let mut write = TurnWrite::new(replication, members, turn.allowed_regions.clone());
        let running = timeout(time_left.min(STORE_TIMEOUT), async {
            while write.hosts() < self.replicas_min(at_begin) {
                // Hosts register again when the store has lost their entries.
                sleep(MEMBERS_CHECK_INTERVAL).await;
                let (replication, members) = self.begin_replication(&turn);
                write.replace_hosts(replication, members);
            }
            let progress = write.run(&self.disk_hosts, &call, true).await;
            // The shared store knows no regions, so a turn that is bound to some is not copied there.
            if progress != ReplicationProgress::Durable && turn.allowed_regions.is_none() {
                let copying = pin!(self.copy_to_shared_store(&turns, storage_time));
                let storing = pin!(write.run(&self.disk_hosts, &call, false));
                select(copying, storing).await;
            }
            write.finish(&call)
        });
        let time_over = if time_left < STORE_TIMEOUT {
            WriteEnd::CallerTimeOver
        } else {
            WriteEnd::StoreTimeout
        };
        match running.await.map_err(|_elapsed| time_over) {
            Ok(replicas) => {
                self.lock().cache.insert(Arc::new(turn));
                Some(replicas)
            }
            Err(end) => {
                let line = write.line(&self.disk_hosts, &turn.key.turn, time_left, end);
                self.log.line("turn_not_stored", &line);
                None
            }
        }
    }

    /// Writes copies of turns to the shared store, and tries again until they are there.
    async fn copy_to_shared_store(&self, turns: &[Turn], storage_time: Duration) {
        while let Err(error) = self.shared_copies.write(turns, storage_time).await {
            let reason = error.to_string();
            self.log.line("turn_copy_failed", &CopyFailedLine { reason });
            sleep(COPY_RETRY_INTERVAL).await;
        }
    }

    /// Starts the replication of a turn to those hosts in allowed regions that store turns. Returns it with all hosts.
    fn begin_replication(&self, turn: &Turn) -> (Replication, TurnMembers) {
        let members = self.lock().members.clone();
        let hosts = writable(&members);
        let hosts = self.regions.allowed_hosts(hosts, turn.allowed_regions.as_deref());
        let health = self.disk_hosts.health();
        let replication = Replication::new(turn, &hosts, self.tolerated_losses, &health);
        (replication, members)
    }
}

/// Log line of turns that could not be copied to the shared store.
#[derive(Serialize)]
struct CopyFailedLine {
    reason: String,
}
