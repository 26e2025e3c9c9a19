//! Assignment of partitions to processes, and its changes.
//!
//! The [`OwnershipMap`] is a single value that is updated by compare-and-swap. The functions in this
//! module compute the next version of the map. The caller ensures that a change is safe: the new owner
//! must have the programs of a partition in its own journal before the map names it.

mod map;
mod plan;
mod rank;

pub use self::{
    map::{Move, Owner, OwnershipMap, Process},
    plan::{Candidate, initial_map, rebalance, takeover_moves},
    rank::{RendezvousHash, RendezvousRank, rendezvous_order, takeover_rank},
};
