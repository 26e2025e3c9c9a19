//! Failure detection: the hosts that are live, as seen by one host.
//!
//! A [`Table`] processes heartbeats and the platform's host list. The list may be outdated. The table
//! determines which processes can be taken over, and until when this process may act as an owner.
//! Clocks only decide when a takeover is attempted. The journals and the ownership map ensure that it is
//! correct.
//!
//! # Why a lease ends before a takeover starts
//!
//! The voters for a process are the other hosts in the ownership map; in a large fleet, only the hosts
//! that monitor the process. A process holds its lease while at least half of its voters have
//! acknowledged a heartbeat that it *sent* within the lease time. A takeover requires more than half of
//! the voters to have received no heartbeat from the process within the suspicion time, which is longer
//! than the lease time. The two sets of voters overlap in at least one host, so a lease and a takeover
//! cannot coincide.

mod options;
mod peer;
mod table;

pub use self::{
    options::Options,
    peer::{HeartbeatReport, ListedMember, Member},
    table::{DeadProcess, Table, Target, TooFewAcknowledgements},
};
