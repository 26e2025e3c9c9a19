//! JSON types of the admin API.

use burdockroad::{
    AccountId, DocumentVersion, EndpointId, HostId, Incarnation, PoolId, ProgramId, config::Freshness,
};
use serde::{Deserialize, Serialize};

use crate::telemetry::AccountService;

/// Whether a host can accept calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The host can accept calls.
    Ready,
    /// The host cannot accept calls, for the given reason.
    NotReady(String),
}

/// Status report of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// ID of the host.
    pub host_id: HostId,
    /// Incarnation of the host's daemon.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Whether the host is handing off its partitions and reports that it is not ready.
    pub draining: bool,
    /// The document in force.
    pub document: DocumentStatus,
    /// Partitions and programs that the host owns.
    pub ownership: OwnershipStatus,
    /// Endpoints of the pools that the host owns.
    pub endpoints: Vec<EndpointStatus>,
    /// Accounts with the worst service on this host, worst first.
    pub worst_served: Vec<AccountService>,
}

/// The document in force on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DocumentStatus {
    /// Version of the document, or 0 when there is none.
    pub version: DocumentVersion,
    /// Freshness of the document: `fresh`, `outage_for_all` or `cut_off`.
    pub freshness: String,
}

/// Response to a document sent by an operator's tool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DocumentResponse {
    /// Document version in force after the request.
    pub version: DocumentVersion,
}

/// Partition ownership of a host.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnershipStatus {
    /// Version of the host's copy of the ownership map.
    pub version: u64,
    /// Number of partitions that the host owns.
    pub partitions: usize,
    /// Number of program trees that the host owns, including ended ones within their retention period.
    pub open_programs: usize,
    /// Live hosts, not including this one.
    pub peers_heard: Vec<HostId>,
}

/// Status of an endpoint, reported by the owner of its pool.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointStatus {
    /// ID of the endpoint.
    pub endpoint_id: EndpointId,
    /// Pool of the endpoint.
    pub pool_id: PoolId,
    /// Number of calls that the endpoint is serving.
    pub busy_slots: u32,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Service state, which decides whether the endpoint receives calls: `in_service`, `draining` or `failed`.
    pub state: String,
}

/// Summary of a program, reported by its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramSummary {
    /// ID of the program.
    pub program_id: ProgramId,
    /// Client account that the program runs for.
    pub account_id: AccountId,
    /// Parent program, if the program is a sub-agent.
    pub parent_id: Option<ProgramId>,
    /// `open`, or the reason for which the program ended.
    pub state: String,
    /// Number of calls that the program has started.
    pub calls: u32,
    /// Number of tokens that the program's tree has spent.
    pub spent_tokens: u64,
    /// Age of the program's tree, in seconds.
    pub age_s: u64,
}

/// Returns the name of a freshness in [`DocumentStatus`].
pub fn freshness_name(freshness: Freshness) -> &'static str {
    match freshness {
        Freshness::Fresh => "fresh",
        Freshness::OutageForAll => "outage_for_all",
        Freshness::CutOff => "cut_off",
    }
}
