//! Copies turns from the other hosts that store turns.
//!
//! A host lists the turns that each other host has stored since its last listing, and copies those that it
//! should store but does not: after its disk was lost, after it was unreachable, and when it takes the place
//! of another host. Turns never change, but those of a long conversation are stored again for longer; such a copy replaces
//! a shorter one.

use std::{
    collections::HashMap,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, Incarnation,
    gateway::{GoneHosts, HostLocation, IndexPage, SyncRound, TurnHostHealth, TurnKey, missing_replicas},
};
use serde::Serialize;
use tokio::time::sleep;

use super::{
    members::TurnMember,
    messages::{TurnCall, TurnResponse},
    state::TurnHostState,
};

/// Interval between two listings while turns are stored.
const SYNC_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between two listings while neither this host nor another has any turn.
const IDLE_SYNC_INTERVAL: Duration = Duration::from_secs(4);

/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of turns in one listing.
pub(super) const PAGE_MAX_TURNS: usize = 2000;

/// Maximum number of turns requested in one call.
const FETCH_MAX_TURNS: usize = 200;

/// Copying of turns from the other hosts.
struct Synchronizer {
    state: Arc<TurnHostState>,
    positions: HashMap<HostId, Position>,
    /// Health of the other hosts. The replicas of lost hosts are taken over.
    health: TurnHostHealth,
    /// Hosts among which the replicas were last divided.
    live_hosts: Vec<HostLocation>,
}

/// How far another host's index was read.
#[derive(Clone, Copy, Default)]
struct Position {
    incarnation: Incarnation,
    next: u64,
}

/// Reason why a copy from another host ended early. It is continued in the next round.
#[derive(Clone, Copy, Debug)]
enum SyncError {
    /// The other host did not respond as expected.
    NoResponse,
    /// The copied turns could not be written to the disk.
    DiskFailed,
}

/// Copies turns until the host stops.
pub(super) async fn synchronize(state: Arc<TurnHostState>) {
    let mut synchronizer = Synchronizer {
        state,
        positions: HashMap::new(),
        health: TurnHostHealth::default(),
        live_hosts: Vec::new(),
    };
    loop {
        synchronizer.run_round().await;
        let idle =
            synchronizer.state.log.is_empty() && synchronizer.positions.values().all(|at| at.next == 0);
        let complete = synchronizer.state.complete.load(Ordering::Relaxed);
        sleep(if idle && complete {
            IDLE_SYNC_INTERVAL
        } else {
            SYNC_INTERVAL
        })
        .await;
    }
}

impl Synchronizer {
    /// Lists the new turns of all other hosts and copies those that this host should store.
    async fn run_round(&mut self) {
        let members = self.state.members();
        let others: Vec<(HostId, TurnMember)> = members
            .into_iter()
            .filter(|(host, _)| *host != self.state.host)
            .collect();
        self.update_live_hosts(&others);
        let mut reached = Vec::new();
        for (host, member) in &others {
            match self.copy_from(host, member).await {
                Ok(()) => {
                    reached.push(host.clone());
                    self.health.record_response(host, Instant::now());
                }
                Err(SyncError::DiskFailed) => self.health.record_response(host, Instant::now()),
                Err(SyncError::NoResponse) => self.health.record_failure(host, Instant::now()),
            }
        }
        self.record_round(&others, &reached);
        let unreached = others.len() - reached.len();
        let registered = self.state.registered.load(Ordering::Relaxed);
        if registered && unreached <= self.state.tolerated_losses {
            self.state.complete.store(true, Ordering::Relaxed);
        }
    }

    /// Records without which hosts this one misses no turn, when it has read the turns of all others.
    fn record_round(&self, others: &[(HostId, TurnMember)], reached: &[HostId]) {
        let now = Instant::now();
        let silent = others.iter().filter(|(host, _)| !reached.contains(host));
        let silent = silent.map(|(host, _)| {
            let silent_time = self.health.failing_time(host, now).unwrap_or_default();
            // The turns are read again without the host after it counts as lost.
            let is_left_out = self.live_hosts.iter().all(|live| live.host != *host);
            (
                host.clone(),
                if is_left_out { silent_time } else { Duration::ZERO },
            )
        });
        let silent: Vec<(HostId, Duration)> = silent.collect();
        let is_writable = |(host, member): &&(HostId, TurnMember)| !member.leaving && reached.contains(host);
        let mut writable: Vec<HostLocation> = others.iter().filter(is_writable).map(location).collect();
        writable.push(self.state.location());
        let locations: Vec<HostLocation> = others.iter().map(location).collect();
        let runs = reached.iter().map(|host| {
            let position = self.positions.get(host).copied().unwrap_or_default();
            (host.clone(), position.incarnation)
        });
        let runs: Vec<(HostId, Incarnation)> = runs.collect();
        let round = SyncRound {
            reached: &runs,
            silent: &silent,
            writable: &writable,
            locations: &locations,
            regions: &self.state.regions,
        };
        let is_new = self.state.is_new.get().is_some_and(|is_new| *is_new);
        let mut gone = self.state.lock_gone();
        if self.state.is_leaving() || !self.state.registered.load(Ordering::Relaxed) {
            *gone = GoneHosts::default();
        } else {
            gone.record_round(round, self.state.tolerated_losses, is_new);
        }
    }

    /// Divides the replicas among the hosts that respond. When these change, all indexes are read again,
    /// because this host may have to store other turns.
    fn update_live_hosts(&mut self, others: &[(HostId, TurnMember)]) {
        let live = others
            .iter()
            .filter(|(host, member)| !member.leaving && !self.health.is_lost(host));
        let mut live_hosts: Vec<HostLocation> = live.map(location).collect();
        live_hosts.push(self.state.location());
        if live_hosts != self.live_hosts {
            let hosts = live_hosts.len();
            self.state
                .decisions
                .line("turn_hosts_changed", &LiveHostsLine { hosts });
            self.live_hosts = live_hosts;
            self.positions.clear();
        }
    }

    /// Copies the turns that this host should store from another host.
    async fn copy_from(&mut self, host: &HostId, member: &TurnMember) -> Result<(), SyncError> {
        loop {
            let position = self.positions.get(host).copied().unwrap_or_default();
            let call = TurnCall::List {
                incarnation: position.incarnation,
                from: position.next,
            };
            let TurnResponse::Page { incarnation, page } = self.call(member, &call).await? else {
                return Err(SyncError::NoResponse);
            };
            let copied = self.copy_missing(member, &page).await?;
            if copied > 0 {
                let line = TurnsCopiedLine {
                    from: host,
                    turns: copied,
                };
                self.state.decisions.line("turns_copied", &line);
            }
            let position = Position {
                incarnation,
                next: page.next,
            };
            self.positions.insert(host.clone(), position);
            if page.turns.len() < PAGE_MAX_TURNS {
                return Ok(());
            }
        }
    }

    /// Copies the listed turns that this host should store. Returns their number.
    async fn copy_missing(&self, member: &TurnMember, page: &IndexPage) -> Result<usize, SyncError> {
        if self.state.is_leaving() {
            return Ok(0);
        }
        let missing = missing_replicas(
            &self.state.host,
            &page.turns,
            self.state.tolerated_losses + 1,
            &self.live_hosts,
            &self.state.regions,
            |turn| self.state.log.outlasts(&turn.copy()),
        );
        let mut missing: Vec<TurnKey> = missing.into_iter().cloned().collect();
        let mut copied = 0;
        while !missing.is_empty() {
            let requested = missing.iter().take(FETCH_MAX_TURNS).cloned().collect();
            let TurnResponse::Turns(turns) = self.call(member, &TurnCall::Read(requested)).await? else {
                return Err(SyncError::NoResponse);
            };
            copied += turns.len();
            let received: Vec<TurnKey> = turns.iter().map(|turn| turn.key.clone()).collect();
            self.state.log.append(turns).await.map_err(|error| {
                self.state.log_disk_error(&error);
                SyncError::DiskFailed
            })?;
            missing.retain(|key| !received.contains(key));
            if received.is_empty() {
                // The remaining turns have expired since they were listed.
                break;
            }
        }
        Ok(copied)
    }

    async fn call(&self, member: &TurnMember, call: &TurnCall) -> Result<TurnResponse, SyncError> {
        let response = self.state.client.call(member.address, call, CALL_TIMEOUT).await;
        response.map_err(|_no_response| SyncError::NoResponse)
    }
}

fn location((host, member): &(HostId, TurnMember)) -> HostLocation {
    HostLocation {
        host: host.clone(),
        failure_domain: member.failure_domain.clone(),
    }
}

#[derive(Serialize)]
struct LiveHostsLine {
    hosts: usize,
}

#[derive(Serialize)]
struct TurnsCopiedLine<'a> {
    from: &'a str,
    turns: usize,
}
