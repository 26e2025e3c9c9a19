//! Copies all turns of a host that is being removed to other hosts.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId,
    gateway::{HostLocation, IndexedTurn, RegionMap, TurnCopy, is_allowed_replica},
};
use tokio::time::sleep;

use super::{
    members::{TurnMember, TurnMembers, writable},
    messages::{TurnCall, TurnResponse},
    state::TurnHostState,
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
/// waited for during most of `time_limit`, unless other hosts can store the turns in its place.
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

/// Copies turns to the hosts that should store them. Returns whether enough other hosts have each of them.
async fn copy_page(state: &TurnHostState, turns: &[IndexedTurn], waits_until: Instant) -> bool {
    let mut members = state.members();
    members.remove(&state.host);
    let hosts = writable(&members);
    let responding = copy_to_responding(state, &members, turns, hosts.clone()).await;
    let lost = hosts.len() - responding.len();
    let is_late = Instant::now() >= waits_until;
    turns.iter().all(|turn| {
        let allowed = |hosts: &[HostLocation]| {
            let allowed = turn.allowed_regions.as_deref();
            state.regions.allowed_hosts(hosts.to_vec(), allowed).len()
        };
        let replicas = Replicas {
            stored: allowed(&responding).min(state.tolerated_losses + 1),
            wanted: allowed(&hosts).min(state.tolerated_losses + 1),
        };
        // A turn whose regions have no other host stays here until it expires.
        replicas.are_enough(is_late && lost <= state.tolerated_losses) || !state.log.contains(&turn.key)
    })
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
    /// Returns whether this host may go. One replica must do if `accepts_fewer`, because the others are lost.
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
