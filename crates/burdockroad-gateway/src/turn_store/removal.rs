//! Copies all turns of a host that is being removed to other hosts.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId,
    gateway::{HostLocation, IndexedTurn, RegionMap, TurnCopy, TurnKey, is_allowed_replica},
};
use tokio::time::sleep;

use crate::{
    clock::unix_ms,
    turn_store::{
        members::{TurnMember, TurnMembers, writable},
        messages::{TurnCall, TurnResponse},
        state::TurnHostState,
    },
};

/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval before a host that did not store its turns is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Part of the time of a removal during which hosts that do not respond are waited for. The rest is for the copies to others.
const WAIT_FRACTION: f64 = 0.75;

/// Maximum number of turns in one call.
const BATCH_MAX_TURNS: usize = 200;

/// Copies the turns of this host until the other hosts have those that they should store in place of this one.
/// The host stores no further turns.
///
/// A host that does not respond may come back with its disk and without these turns, so it does not count as having them. It is
/// waited for during most of `time_limit`, unless other hosts can store the turns in its place. After that, copies in the shared
/// store take the place of those that it should have.
pub(super) async fn copy_all_turns(state: &Arc<TurnHostState>, time_limit: Duration) {
    let waits_until = Instant::now() + time_limit.mul_f64(WAIT_FRACTION);
    let mut from = 0;
    loop {
        let page = state.log.page(from, BATCH_MAX_TURNS);
        if page.turns.is_empty() {
            return;
        }
        while !copy_page(state, &page.turns, waits_until).await {
            sleep(RETRY_INTERVAL).await;
        }
        from = page.next;
    }
}

/// Copies turns to the hosts that should store them. Returns whether enough other hosts have each of them, or a copy is in the
/// shared store.
async fn copy_page(state: &TurnHostState, turns: &[IndexedTurn], waits_until: Instant) -> bool {
    let mut members = state.members();
    members.remove(&state.host);
    let hosts = writable(&members);
    let responding = copy_to_responding(state, &members, turns, hosts.clone()).await;
    let lost = hosts.len() - responding.len();
    let accepts_fewer = Instant::now() >= waits_until && lost <= state.tolerated_losses;
    let mut short = Vec::new();
    for turn in turns {
        let replicas = replicas(state, turn, &responding, &hosts);
        // A turn whose regions have no other host stays here until it expires.
        if replicas.are_enough(accepts_fewer) || !state.log.contains(&turn.key) {
            if replicas.stored < replicas.wanted {
                short.push(turn);
            }
        } else {
            return false;
        }
    }
    copy_to_shared_store(state, &short).await
}

/// Returns how many of the hosts that respond have a turn, and how many of all hosts should.
fn replicas(
    state: &TurnHostState,
    turn: &IndexedTurn,
    responding: &[HostLocation],
    hosts: &[HostLocation],
) -> Replicas {
    let allowed = |hosts: &[HostLocation]| {
        let regions = turn.allowed_regions.as_deref();
        let allowed = state.regions.allowed_hosts(hosts.to_vec(), regions);
        allowed.len().min(state.tolerated_losses + 1)
    };
    Replicas {
        stored: allowed(responding),
        wanted: allowed(hosts),
    }
}

/// Copies turns to the shared store that fewer hosts have than should. Returns whether the copies are there. The store knows
/// no regions, so turns that are bound to some are left out.
async fn copy_to_shared_store(state: &TurnHostState, turns: &[&IndexedTurn]) -> bool {
    let unbound = turns.iter().filter(|turn| turn.allowed_regions.is_none());
    let mut missing: Vec<TurnKey> = unbound.map(|turn| turn.key.clone()).collect();
    while !missing.is_empty() {
        let Ok(read) = state.log.read(missing.clone()).await else {
            return false;
        };
        if read.is_empty() {
            // The remaining turns have expired.
            return true;
        }
        let now_unix_ms = unix_ms();
        let longest_ms = read
            .iter()
            .map(|turn| turn.stored_until_unix_ms.saturating_sub(now_unix_ms))
            .max();
        let lifetime = Duration::from_millis(longest_ms.unwrap_or_default());
        if state.shared_copies.write(&read, lifetime).await.is_err() {
            return false;
        }
        missing.retain(|key| read.iter().all(|turn| turn.key != *key));
    }
    true
}

/// Copies turns to those of `hosts` that respond, so that each turn is on as many of them as should store it. Returns these
/// hosts.
async fn copy_to_responding(
    state: &TurnHostState,
    members: &TurnMembers,
    turns: &[IndexedTurn],
    mut hosts: Vec<HostLocation>,
) -> Vec<HostLocation> {
    let mut next = 0;
    while let Some(host) = hosts.get(next) {
        let copies = copies_for(
            &host.host,
            turns,
            state.tolerated_losses + 1,
            &hosts,
            &state.regions,
        );
        let is_copied = match members.get(&host.host) {
            Some(member) => copy_to(state, member, copies).await,
            None => false,
        };
        if is_copied {
            next += 1;
        } else {
            // Other hosts store the turns in place of this one, also those that were asked before.
            hosts.remove(next);
            next = 0;
        }
    }
    hosts
}

/// Replicas of a turn on other hosts.
#[derive(Clone, Copy, Debug)]
struct Replicas {
    stored: usize,
    /// Number of replicas that the turn should have.
    wanted: usize,
}

impl Replicas {
    /// Returns whether the hosts have enough of them. One replica must do if `accepts_fewer`, beside a copy elsewhere.
    fn are_enough(self, accepts_fewer: bool) -> bool {
        self.stored > 0 && (self.stored >= self.wanted || accepts_fewer)
    }
}

/// Returns this host's copies of the turns that another host should store when this host is gone.
fn copies_for(
    host: &HostId,
    turns: &[IndexedTurn],
    replicas: usize,
    hosts: &[HostLocation],
    regions: &RegionMap,
) -> Vec<TurnCopy> {
    let of_host = turns
        .iter()
        .filter(|turn| is_allowed_replica(host, turn, replicas, hosts, regions));
    of_host.map(IndexedTurn::copy).collect()
}

/// Copies the turns that a host does not have for as long as this host. Returns whether it has all of them now.
async fn copy_to(state: &TurnHostState, member: &TurnMember, copies: Vec<TurnCopy>) -> bool {
    // A host that should store none of the turns is asked, too: whether it responds counts.
    let call = TurnCall::Missing(copies);
    let response = state.client.call(member.address, &call, CALL_TIMEOUT).await;
    let Ok(TurnResponse::Missing(mut missing)) = response else {
        return false;
    };
    while !missing.is_empty() {
        let Ok(turns) = state.log.read(missing.clone()).await else {
            return false;
        };
        if turns.is_empty() {
            // The remaining turns have expired.
            return true;
        }
        missing.retain(|key| turns.iter().all(|turn| turn.key != *key));
        let call = TurnCall::Store(turns);
        let response = state.client.call(member.address, &call, CALL_TIMEOUT).await;
        if !matches!(response, Ok(TurnResponse::Stored)) {
            return false;
        }
    }
    true
}
