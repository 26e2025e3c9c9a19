//! Copies all turns of a host that is being removed to other hosts.

use std::{sync::Arc, time::Duration};

use burdockroad::{
    HostId,
    gateway::{HostLocation, IndexedTurn, RegionMap, TurnCopy, is_allowed_replica},
};
use tokio::time::sleep;

use super::{
    members::{TurnMember, writable},
    messages::{TurnCall, TurnResponse},
    state::TurnHostState,
};

/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval before a host that did not store its turns is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of turns in one call.
const BATCH_MAX_TURNS: usize = 200;

/// Copies the turns of this host until every other host has those that it should store in place of this one.
/// The host stores no further turns.
pub(super) async fn copy_all_turns(state: &Arc<TurnHostState>) {
    let mut from = 0;
    loop {
        let page = state.log.page(from, BATCH_MAX_TURNS);
        if page.turns.is_empty() {
            return;
        }
        while !copy_page(state, &page.turns).await {
            sleep(RETRY_INTERVAL).await;
        }
        from = page.next;
    }
}

/// Copies turns to the hosts that should store them. Returns whether every turn is on as many other hosts as
/// needed, or on all of them if there are fewer.
async fn copy_page(state: &TurnHostState, turns: &[IndexedTurn]) -> bool {
    let mut members = state.members();
    members.remove(&state.host);
    let hosts = writable(&members);
    if hosts.is_empty() {
        return false;
    }
    let replicas = state.tolerated_losses + 1;
    let mut lost = 0;
    let mut unstored = turns.to_vec();
    for host in &hosts {
        let Some(member) = members.get(&host.host) else {
            continue;
        };
        let copies = copies_for(&host.host, turns, replicas + lost, &hosts, &state.regions);
        if !copies.is_empty() && !copy_to(state, member, copies.clone()).await {
            lost += 1;
            continue;
        }
        unstored.retain(|turn| !copies.contains(&turn.copy()));
    }
    // A turn whose regions have no other host stays here until it expires.
    unstored.retain(|turn| state.log.contains(&turn.key));
    // A turn counts when at least one host has it and no more hosts are lost than tolerated. The others copy
    // it as soon as they are back.
    unstored.is_empty() && lost <= state.tolerated_losses
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
