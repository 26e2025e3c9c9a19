//! A crash of an endpoint, and the requests that it ran at that moment.

use std::time::{Duration, Instant};

use super::RequestKey;
use crate::ids::EndpointId;

/// A request that an endpoint ran when it crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The request.
    pub key: RequestKey,
    /// Time from sending it to the endpoint until the crash.
    pub ran: Duration,
    /// Whether the endpoint had sent any of its output.
    pub has_output: bool,
}

/// Crash of an endpoint, as one host saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// Endpoint that crashed.
    pub endpoint: EndpointId,
    /// Time of the crash.
    pub at: Instant,
    /// Requests that the host had sent to the endpoint and that were still running there.
    pub suspects: Vec<Suspect>,
}
