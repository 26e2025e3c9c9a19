//! Rendezvous hashing. All hosts compute the same order of hosts without communication.

use std::cmp::Reverse;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{ids::HostId, ownership::Process};

/// Position of an id in the rendezvous order of a name: the lowest comes first.
pub type RendezvousRank<'a> = (Reverse<u64>, &'a str);

/// Rendezvous hash of one name. It ranks single ids, without an allocation or a sorted list.
///
/// # Example
///
/// ```
/// use burdockroad::ownership::{RendezvousHash, rendezvous_order};
///
/// let ids = ["a", "b", "c"];
/// let hash = RendezvousHash::new("name");
/// let first = ids.into_iter().min_by_key(|id| hash.rank(id));
/// let order = rendezvous_order("name", ids.map(str::to_owned));
/// assert_eq!(first, Some(order[0].as_str()));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RendezvousHash {
    seed: u64,
}

impl RendezvousHash {
    /// Returns the hash of a name.
    pub fn new(name: &str) -> Self {
        Self {
            seed: xxh3_64_with_seed(name.as_bytes(), 0),
        }
    }

    /// Returns the rank of an id.
    pub fn rank<'a>(&self, id: &'a str) -> RendezvousRank<'a> {
        (Reverse(xxh3_64_with_seed(id.as_bytes(), self.seed)), id)
    }
}

/// Returns the hosts in descending order of their rendezvous hash for a name.
pub fn rendezvous_order(name: &str, host_ids: impl IntoIterator<Item = HostId>) -> Vec<HostId> {
    let hash = RendezvousHash::new(name);
    let mut ordered: Vec<HostId> = host_ids.into_iter().collect();
    ordered.sort_by_cached_key(|host_id| {
        let (score, _) = hash.rank(host_id);
        (score, host_id.clone())
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
