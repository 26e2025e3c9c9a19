//! Which hosts are up, as one host sees it.
//!
//! A [`Table`] takes in the platform's host list, which lags, and heartbeats. It says which processes
//! may be taken over, and for how long this process may act as an owner. Clocks decide when something
//! is tried; what is true is decided by the journals and the ownership map.
//!
//! # Why a lease ends before a takeover starts
//!
//! The hosts that vote on a process are the other hosts of the ownership map, and of a large fleet the
//! few that monitor it. A process holds its lease while half of the voters, rounded up, answered a
//! heartbeat that it *sent* within the lease time. A takeover needs more than half of the voters,
//! rounded down, that have heard nothing for the suspicion time, which is longer. The two sets share a
//! host, so both cannot be.

mod options;
mod peer;
mod table;

pub use self::{
    options::Options,
    peer::{ListedMember, Member, Sighting},
    table::{Gone, Table, Target, TooFewAnswers},
};
