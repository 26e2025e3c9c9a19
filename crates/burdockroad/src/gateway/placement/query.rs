//! What a call asks of its endpoint, and the endpoint that is chosen.

use super::endpoint::{Endpoint, PromptPart};
use crate::ids::{EndpointId, RegionId, SoftwareVersion};

/// Criteria for choosing an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Service that the call is for.
    pub service: &'a str,
    /// Version of the endpoint's software, for a stream that continues; `None` for a new call.
    pub software_version: Option<&'a SoftwareVersion>,
    /// Failure domain of this host.
    pub failure_domain: &'a str,
    /// Parts of the prompt, in order.
    pub parts: &'a [PromptPart],
    /// Endpoints already tried for this call.
    pub tried: &'a [EndpointId],
    /// Endpoints that are chosen only if no other one is left.
    pub avoided: &'a [EndpointId],
    /// Maximum number of this host's calls at one endpoint.
    pub in_flight_max: u32,
    /// Whether the call is placed for the first time. Only then it counts as demand.
    pub is_first: bool,
    /// Key of the object that the call concerns, on a sticky route. Calls with one key prefer the same endpoint.
    pub affinity_key: Option<&'a str>,
    /// Regions in which the call's endpoint must be; `None` if any region is allowed.
    pub allowed_regions: Option<&'a [RegionId]>,
}

/// Endpoint chosen for a call.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Chosen endpoint.
    pub endpoint: Endpoint,
    /// Expected time to the first byte of the response, in milliseconds.
    pub expected_ms: f64,
    /// Pace expected at the endpoint, in percent of its usual time; `None` if it does not state it.
    pub pace_percent: Option<f64>,
    /// Estimate of the calls running or queued at the endpoint.
    pub load: u32,
    /// Position of the endpoint in the order of the call's affinity key, 0 for the first one; `None` without a key.
    pub affinity_position: Option<usize>,
}
