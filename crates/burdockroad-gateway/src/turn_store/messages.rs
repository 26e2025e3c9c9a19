//! Calls to hosts that store turns.

use burdockroad::{
    Incarnation, SoftwareVersion,
    gateway::{
        GoneTestimony, IndexPage, StreamAttempt, StreamId, StreamPart, Turn, TurnCopy, TurnId, TurnKey,
    },
};
use serde::{Deserialize, Serialize};

/// Call to a host that stores turns.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum TurnCall {
    /// Stores turns. The response follows when they are on the disk.
    Store(Vec<Turn>),
    /// Reads the newest turns of the chain that ends with this turn.
    ReadChain(TurnKey),
    /// Reads single turns.
    Read(Vec<TurnKey>),
    /// Lists the turns that the host has stored since a position in its index.
    List {
        /// Run of the host that the position belongs to; with another run, the list starts anew.
        incarnation: Incarnation,
        /// Position in the index.
        from: u64,
    },
    /// Asks which of these copies' turns the host does not have for at least as long.
    Missing(Vec<TurnCopy>),
    /// Requests the software version that began a stream.
    StreamVersion {
        /// Id of the stream.
        stream: StreamId,
    },
    /// Requests what the host tells of hosts that seem gone for good.
    GoneHosts,
    /// Stores a claim, then lists all claims of its account.
    Claim(Turn),
    /// Holds events of a stream in memory.
    HoldEvents(StreamPart),
    /// Requests the events of a stream that the host holds.
    HeldEvents {
        /// Account, and id of one of the caller's attempts.
        stream: TurnKey,
    },
}

/// Response to a [`TurnCall`].
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum TurnResponse {
    /// All turns of the call are on the disk.
    Stored,
    /// The turns may not be on the disk: it failed, or the host is being removed.
    NotStored,
    /// Turns of a chain, newest turn first. Further turns of the chain may be stored elsewhere.
    Chain(Vec<Turn>),
    /// The host does not have the turn.
    Absent {
        /// Whether the host has copied all turns that it should store.
        complete: bool,
    },
    /// Turns that were read; those missing here were not found or did not fit into the response.
    Turns(Vec<Turn>),
    /// Part of the host's index.
    Page {
        /// Run of the host that the position of the page belongs to.
        incarnation: Incarnation,
        /// Turns and the position of the next page.
        page: IndexPage,
    },
    /// The turns that the host does not have for that long.
    Missing(Vec<TurnKey>),
    /// Version that began the stream; `None` if the host does not hold it.
    StreamVersion(Option<SoftwareVersion>),
    /// What the host tells of hosts that seem gone for good.
    GoneHosts(GoneTestimony),
    /// The claim is on the disk.
    Claims {
        /// Ids of all claims of the account.
        claims: Vec<TurnId>,
        /// Whether the host has copied all turns that it should store.
        complete: bool,
    },
    /// The host holds events of an attempt.
    EventsHeld {
        /// Number of the attempt's events that it holds.
        events: usize,
    },
    /// Events of the attempts of a stream; empty if the host holds none.
    HeldEvents(Vec<StreamAttempt>),
}
