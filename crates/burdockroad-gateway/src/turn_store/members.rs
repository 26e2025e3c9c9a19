//! The hosts that store turns, as registered in the shared store.
//!
//! Their keys have a prefix within the range of the registered hosts, so gateway hosts follow both with one
//! watch.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use burdockroad::{HostId, gateway::HostLocation};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Change, Changes, SharedStore};

/// Key prefix under which hosts that store turns register themselves.
pub(crate) const TURN_HOSTS_PREFIX: &str = "burdockroad/hosts/turns/";

/// Lifetime of an entry after its last renewal. It is long, because a host that is down still holds turns: as
/// long as its entry exists, a turn that no other host has may be on its disk.
pub(crate) const TURN_HOST_ENTRY_LIFETIME: Duration = Duration::from_mins(10);

/// Registered host that stores turns.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct TurnMember {
    /// Address for calls.
    pub(crate) address: SocketAddr,
    /// Failure domain of the host.
    pub(crate) failure_domain: String,
    /// Whether the host is being removed. It then stores no further turns, but those that it has can be read.
    pub(crate) leaving: bool,
}

/// Registered hosts that store turns, by id.
pub(crate) type TurnMembers = BTreeMap<HostId, TurnMember>;

/// Returns the members that store new turns.
pub(crate) fn writable(members: &TurnMembers) -> Vec<HostLocation> {
    locations(members, |member| !member.leaving)
}

/// Returns the members that may hold turns.
pub(crate) fn readable(members: &TurnMembers) -> Vec<HostLocation> {
    locations(members, |_| true)
}

fn locations(members: &TurnMembers, include: impl Fn(&TurnMember) -> bool) -> Vec<HostLocation> {
    let included = members.iter().filter(|(_, member)| include(member));
    let hosts = included.map(|(host, member)| HostLocation {
        host: host.clone(),
        failure_domain: member.failure_domain.clone(),
    });
    hosts.collect()
}

/// Applies an entry. Returns whether it is the entry of a host that stores turns.
///
/// # Errors
///
/// Fails when the entry of such a host is malformed.
pub(crate) fn put_member(members: &mut TurnMembers, entry: &Entry) -> Result<bool, serde_json::Error> {
    let Some(host) = entry.key.strip_prefix(TURN_HOSTS_PREFIX) else {
        return Ok(false);
    };
    let member = serde_json::from_slice(&entry.value)?;
    members.insert(host.to_owned(), member);
    Ok(true)
}

/// Applies a removal. Returns whether the key is that of a host that stores turns.
pub(crate) fn remove_member(members: &mut TurnMembers, key: &str) -> bool {
    let Some(host) = key.strip_prefix(TURN_HOSTS_PREFIX) else {
        return false;
    };
    members.remove(host);
    true
}

/// Returns the key of a host's entry.
pub(crate) fn member_key(host: &str) -> String {
    format!("{TURN_HOSTS_PREFIX}{host}")
}

/// Encodes a host's entry.
///
/// # Errors
///
/// Fails when the entry cannot be encoded.
pub(crate) fn encode_member(member: &TurnMember) -> Result<Bytes, StoreError> {
    let value = serde_json::to_vec(member).map_err(|error| StoreError::Ambiguous {
        reason: error.to_string(),
    })?;
    Ok(Bytes::from(value))
}

/// Follows the members until a call fails or the store has truncated the history.
///
/// # Errors
///
/// Fails when the store does not respond in time.
pub(crate) async fn follow_members(
    store: &dyn SharedStore,
    watch_timeout: Duration,
    mut publish: impl FnMut(&TurnMembers),
) -> Result<(), StoreError> {
    let snapshot = store.read_range(TURN_HOSTS_PREFIX).await?;
    let mut members = TurnMembers::new();
    for entry in &snapshot.entries {
        put_or_skip(&mut members, entry);
    }
    publish(&members);
    let mut after = snapshot.as_of;
    loop {
        match store.changes(TURN_HOSTS_PREFIX, after, watch_timeout).await? {
            Changes::Complete { changes, as_of } => {
                for change in &changes {
                    match change {
                        Change::Put(entry) => put_or_skip(&mut members, entry),
                        Change::Removed { key, .. } => {
                            remove_member(&mut members, key);
                        }
                    }
                }
                if !changes.is_empty() {
                    publish(&members);
                }
                after = as_of.max(after);
            }
            Changes::HistoryTruncated => return Ok(()),
        }
    }
}

/// Applies an entry. A malformed entry names no host, and the member keeps its previous entry.
fn put_or_skip(members: &mut TurnMembers, entry: &Entry) {
    if put_member(members, entry).is_err() {
        metrics::counter!("burdockroad_turn_host_entries_malformed_total").increment(1);
    }
}
