//! Rendezvous hashing. All hosts compute the same order of hosts without communication.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::HostId, ownership::Process};

/// Returns the hosts in descending order of their rendezvous hash for a name.
pub fn rendezvous_order(name: &str, host_ids: impl IntoIterator<Item = HostId>) -> Vec<HostId> {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    let mut ordered: Vec<HostId> = host_ids.into_iter().collect();
    ordered.sort_by_cached_key(|host_id| {
        let score = xxh3_64_with_seed(host_id.as_bytes(), seed);
        (Reverse(score), host_id.clone())
    });
    ordered
}

/// Returns the number of hosts that attempt a takeover from a process before this host does.
///
/// A new process on the same host comes first, because it owns no partitions yet and reads records that
/// were written on its own host. The rank only staggers the attempts; several hosts may attempt a
/// takeover at the same time.
pub fn takeover_rank(dead: &Process, host_id: &HostId, live: impl IntoIterator<Item = HostId>) -> usize {
    let mut order = rendezvous_order(&dead.host_id, live);
    order.sort_by_key(|other| *other != dead.host_id);
    order.iter().take_while(|other| *other != host_id).count()
}
