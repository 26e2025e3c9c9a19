//! What the admin address tells, as JSON.

use burdockroad::{
    AccountId, DocumentVersion, EndpointId, HostId, Incarnation, PoolId, ProgramId, config::Freshness,
};
use serde::{Deserialize, Serialize};

use crate::telemetry::AccountService;

/// Whether a host may be given calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// It may.
    Ready,
    /// It may not, for this reason.
    NotReady(String),
}

/// What an operator has to know of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// The host.
    pub host_id: HostId,
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Whether it hands its work over and takes no more.
    pub draining: bool,
    /// The document in force.
    pub document: DocumentStatus,
    /// What it owns.
    pub ownership: OwnershipStatus,
    /// Endpoints of the pools that it owns.
    pub endpoints: Vec<EndpointStatus>,
    /// Accounts that it served worst, the worst first.
    pub worst_served: Vec<AccountService>,
}

/// The document in force on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DocumentStatus {
    /// Version; 0 as long as there is none.
    pub version: DocumentVersion,
    /// `fresh`, `outage_for_all` or `cut_off`.
    pub freshness: String,
}

/// Answer to a document that was handed over.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DocumentResponse {
    /// Version that is in force now.
    pub version: DocumentVersion,
}

/// What a host owns.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnershipStatus {
    /// Version of the map that it knows.
    pub version: u64,
    /// Partitions that it owns.
    pub partitions: usize,
    /// Programs that have not ended.
    pub open_programs: usize,
    /// Hosts that it hears, itself left out.
    pub peers_heard: Vec<HostId>,
}

/// One endpoint, as the owner of its pool sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The endpoint.
    pub endpoint_id: EndpointId,
    /// Its pool.
    pub pool_id: PoolId,
    /// Calls that it serves now.
    pub busy_slots: u32,
    /// Calls that it may serve at once.
    pub slots: u32,
    /// Whether it is given calls: `in_service`, `draining` or `failed`.
    pub state: String,
}

/// One program, as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProgramSummary {
    /// The program.
    pub program_id: ProgramId,
    /// Account that it runs for.
    pub account_id: AccountId,
    /// Its parent, for a sub-agent.
    pub parent_id: Option<ProgramId>,
    /// `open`, or how it ended.
    pub state: String,
    /// Calls that it has begun.
    pub calls: u32,
    /// Tokens spent by its tree.
    pub spent_tokens: u64,
    /// Seconds since it was created.
    pub age_s: u64,
}

/// Returns how a freshness is written in [`DocumentStatus`].
pub fn freshness_name(freshness: Freshness) -> &'static str {
    match freshness {
        Freshness::Fresh => "fresh",
        Freshness::OutageForAll => "outage_for_all",
        Freshness::CutOff => "cut_off",
    }
}
