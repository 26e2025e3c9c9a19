//! Decision logic for calls whose requests carry the whole program history.
//!
//! A gateway host forwards each call of a program to an endpoint. It stores no history of the program, only
//! its remaining budget. These modules make the decisions; they open no sockets and read no clock:
//!
//! * [`Document`] is the active configuration. [`Directory`] looks up a call's route and account in it.
//! * [`Ledger`] reserves tokens of a program's budget before its calls run, and [`Overdrafts`] allow one call
//!   to run while the store takes no writes.
//! * [`RateLimiter`] shares an account's rate among the hosts that admit its calls.
//! * [`ProgramStartGate`] refuses new programs while a service is congested.
//! * [`EndpointTable`] chooses the endpoint of a call.
//! * [`EvacuationOrder`] takes a failure domain out of use, and [`EvacuationChange`] reports that it took effect.
//! * [`EndpointReach`] tells when endpoints are reached only through another host, and through which one.
//! * [`RegionMap`] and [`common_regions`] tell in which regions a call must stay.
//! * [`should_watch`] selects the hosts that watch the store, and [`report_targets`] the recipients of a
//!   report; in large fleets a [`collector`] sends the reports of many hosts together.
//! * [`next_step`] selects the action after a failed attempt.
//! * [`Quarantine`] finds requests that crash the endpoints that run them, and keeps them from endpoints.
//! * [`ConnectionLimits`] and [`MemoryBudget`] bound what others may make a host hold, and [`connection_to_close`] selects the connection
//!   that yields to others.
//! * [`EventBuffer`] splits an event stream into complete events.
//! * [`StreamOrigins`] holds the software versions that streams began at, so that they continue at the same one.
//! * [`UpdatePacer`] decides when a host hands an update on, and which host a requester is sent on to.
//!   [`UpdateSearch`] decides which host a requester asks, and when it reads the store.
//! * [`Turn`] and the types around it keep the history of conversations on routes that ask for it.

mod budget;
mod departures;
mod directory;
mod dissemination;
mod document;
mod evacuation;
mod event;
mod events;
mod memory_budget;
mod placement;
mod program_start;
mod quarantine;
mod rate_limit;
mod reach;
mod regions;
mod report_batch;
mod resource_limits;
mod retry;
mod running;
mod store_contact;
mod stream_origin;
mod turns;
mod update_pacer;
mod update_search;
mod version_history;

pub use self::{
    budget::{
        AddedReservation, BudgetWrite, ClaimOutcome, ClaimReply, HostReservation, Ledger, LedgerOptions,
        LocalAccount, OverdraftDecision, Overdrafts, Readiness, RemoteReservation, RemoteReservationId,
        RemoteReservations, StoreResponse, StoredBudget, TokenUse, VersionedBudget, claim_account,
        claim_record, decide_claim,
    },
    departures::{Departure, Departures},
    directory::{AccountLookup, Directory},
    dissemination::{
        HostLocation, collector, collects_reports, report_interval, report_targets, should_watch, watchers,
    },
    document::{Account, CallerLimits, ColdStart, Document, EngineInfo, Route, RouteKind, Service, Target},
    evacuation::{EvacuationChange, EvacuationOrder, EvacuationStep},
    events::{EventBuffer, ForeignBytes, Truncation},
    memory_budget::{MemoryBudget, MemoryUse},
    placement::{
        ColdCause, ColdChange, ColdStatus, Endpoint, EndpointCalls, EndpointTable, EndpointUsage,
        LoadReading, Outcome, Placement, PlacementQuery, PromptPart, RateStatement, ReportedPace, StatedRate,
    },
    program_start::{ProgramStartGate, StartDecision},
    quarantine::{
        ClearedSuspect, CrashReport, Quarantine, QuarantineReport, QuarantinedRequest, RequestIdentity,
        RequestKey, RunDecision, Suspect,
    },
    rate_limit::{AccountUsage, Admission, RateLimiter, UsageReport},
    reach::{EndpointReach, RelayCandidate},
    regions::{RegionMap, common_regions},
    report_batch::{join_reports, split_reports},
    resource_limits::{
        ConnectionLimits, ConnectionStage, MachineLimits, OpenConnection, PartLimits, connection_to_close,
    },
    retry::{Failure, NextStep, RetryState, next_step},
    running::RunningPrograms,
    store_contact::StoreOutage,
    stream_origin::{StreamId, StreamOrigins, UnsentOrigin, UnsentOrigins, stream_holders},
    turns::{
        GoneHosts, GoneTestimony, IndexPage, IndexedTurn, Lookup, LookupOutcome, LookupReplies, LookupReply,
        OutputCollector, ReceivedEvents, RelayedStreams, Replication, ReplicationProgress, StreamAttempt,
        StreamCall, StreamLookup, StreamPart, SyncRound, Turn, TurnCache, TurnCopy, TurnHostHealth, TurnId,
        TurnIndex, TurnKey, TurnTimes, UnknownEvents, all_agree, is_allowed_replica, is_replica,
        missing_replicas, prompt, renewals, replica_order,
    },
    update_pacer::{TransferId, UpdatePacer, UpdateReply},
    update_search::{SearchStep, UpdateSearch},
    version_history::VersionHistory,
};
