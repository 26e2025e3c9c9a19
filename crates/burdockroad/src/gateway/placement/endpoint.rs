//! Endpoints as registered, and what their responses tell of them.

use std::{net::SocketAddr, time::Duration};

use crate::ids::{EndpointId, SoftwareVersion};

/// Part of a call's prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part, identical in every prompt that contains the part.
    pub id: u64,
    /// Length of the part.
    pub tokens: u32,
}

/// Endpoint as registered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Id of this run of the endpoint.
    pub id: EndpointId,
    /// Service that the endpoint belongs to.
    pub service: String,
    /// Network address.
    pub address: SocketAddr,
    /// Failure domain of the endpoint.
    pub failure_domain: String,
    /// Maximum number of concurrent calls.
    pub slots: u32,
    /// Whether the endpoint is draining and takes no new calls.
    pub draining: bool,
    /// Start time of this run in Unix milliseconds; 0 if not reported.
    pub started_unix_ms: u64,
    /// Version of its software. Events of two versions do not fit together in one stream.
    pub software_version: SoftwareVersion,
    /// Time for which the endpoint stays cold, as of its registration; zero if it is warm.
    pub cold_left: Duration,
}

/// Load that an endpoint reports with its response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReading {
    /// Running calls.
    pub running: u32,
    /// Calls queued at the endpoint.
    pub waiting: u32,
    /// Time that work takes at the endpoint now, in percent of its usual time; `None` if it does not report it.
    pub pace_percent: Option<f64>,
}

/// Outcome of a call at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The endpoint responded.
    Responded {
        /// Time from sending the request to the first byte of the response.
        first_byte: Duration,
    },
    /// The endpoint refused the call for lack of capacity.
    Full,
    /// The endpoint failed or was unreachable.
    Failed,
    /// The caller disconnected or the call timed out, which is no evidence of an endpoint failure.
    Abandoned,
}

/// Calls of one host at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCalls {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Running and queued calls.
    pub calls: u32,
}
