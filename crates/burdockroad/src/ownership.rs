//! Which process serves which partition, and how that changes.
//!
//! The [`OwnershipMap`] is one value that changes by compare-and-swap. The functions here decide what
//! it should become; whether a change may be made at all depends on what is durable where, which the
//! caller sees to: the new owner has a partition's programs in its own journal before the map names it.

mod map;
mod plan;
mod rank;

pub use self::{
    map::{Move, Owner, OwnershipMap, Process},
    plan::{Candidate, initial_map, rebalance, takeover_moves},
    rank::{rendezvous_order, takeover_rank},
};
