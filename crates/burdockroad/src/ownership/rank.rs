//! Rendezvous hashing: an order of hosts that all hosts agree on without a message.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::HostId, ownership::Process};

/// The hosts in the order of their rendezvous hash for a name, the highest first.
pub fn rendezvous_order(name: &str, host_ids: impl IntoIterator<Item = HostId>) -> Vec<HostId> {
    let seed = xxh3_64_with_seed(name.as_bytes(), 0);
    let mut ordered: Vec<HostId> = host_ids.into_iter().collect();
    ordered.sort_by_cached_key(|host_id| {
        let score = xxh3_64_with_seed(host_id.as_bytes(), seed);
        (Reverse(score), host_id.clone())
    });
    ordered
}

/// How many hosts go before this one in taking over from a process.
///
/// A new process on the same host goes first, since it is free and reads what its own host wrote. The
/// rank only spreads attempts in time; several hosts may try at once.
pub fn takeover_rank(gone: &Process, host_id: &HostId, live: impl IntoIterator<Item = HostId>) -> usize {
    let mut order = rendezvous_order(&gone.host_id, live);
    order.sort_by_key(|other| *other != gone.host_id);
    order.iter().take_while(|other| *other != host_id).count()
}
