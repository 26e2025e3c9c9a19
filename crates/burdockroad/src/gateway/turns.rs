//! Decisions for conversations whose history the system keeps.
//!
//! A turn is one call of a conversation: the input that the caller sent and the output that the endpoint
//! generated. The caller names the previous turn instead of repeating the history. A [`Turn`] is written once
//! and never changes, so replicas of it cannot disagree, and no leader or quorum is needed:
//!
//! * [`replica_order`] ranks the hosts that store a turn, and [`Replication`] decides when it is durable.
//!   [`TurnHostHealth`] tells which of these hosts are lost.
//! * [`Lookup`] decides whether a turn that was not found does not exist.
//! * [`GoneHosts`] decides that no turn is missed without a host that was replaced.
//! * [`TurnTimes`] decides whether a turn could be served in the time that its caller has left.
//! * [`TurnCache`] holds recent turns in memory, and [`prompt`] joins a chain of turns with the new input.
//! * [`OutputCollector`] extracts a turn's output from its event stream.
//! * [`RelayedStreams`] holds the events of streams that callers may take up, and [`StreamLookup`] decides which of
//!   them a caller has received.
//! * [`TurnIndex`] lists the turns on a host's disk, and [`missing_replicas`] selects those to copy from
//!   another host.

mod cache;
mod gone_hosts;
mod health;
mod index;
mod lookup;
mod output;
mod relayed_streams;
mod replication;
mod turn;
mod turn_times;

pub use self::{
    cache::TurnCache,
    gone_hosts::{GoneHosts, GoneTestimony, SyncRound, all_agree},
    health::TurnHostHealth,
    index::{IndexPage, IndexedTurn, TurnCopy, TurnIndex},
    lookup::{Lookup, LookupOutcome, LookupReplies, LookupReply},
    output::OutputCollector,
    relayed_streams::{
        ReceivedEvents, RelayedStreams, StreamAttempt, StreamCall, StreamLookup, StreamPart, UnknownEvents,
    },
    replication::{
        Replication, ReplicationProgress, is_allowed_replica, is_replica, missing_replicas, replica_order,
    },
    turn::{Turn, TurnId, TurnKey, prompt, renewals},
    turn_times::TurnTimes,
};
