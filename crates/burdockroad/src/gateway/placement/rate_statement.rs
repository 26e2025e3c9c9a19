//! Rates of calls that endpoints state, and calls to these endpoints, as hosts report them to each other.

use std::time::Duration;

use crate::ids::EndpointId;

/// What an endpoint states in a response about the rate of calls that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// It states no limit.
    Unlimited,
    /// It takes only so many calls, for as long as it says so.
    Limited {
        /// Calls per second from all hosts together.
        calls_per_s: f64,
    },
    /// It states something that cannot be read, so its last readable statement holds.
    Unreadable,
}

impl RateStatement {
    /// Returns the calls per second that the endpoint takes; `None` if it states no readable limit.
    pub fn calls_per_s(self) -> Option<f64> {
        match self {
            Self::Limited { calls_per_s } => Some(calls_per_s),
            Self::Unlimited | Self::Unreadable => None,
        }
    }
}

/// Statement of an endpoint in a response to one host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRate {
    /// Calls per second that it takes from all hosts together; `None` if it states no limit.
    pub calls_per_s: Option<f64>,
    /// Time since the response.
    pub age: Duration,
}

/// One host's calls to an endpoint that limits its rate, and the endpoint's last statement to that host.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointUsage {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Last statement to the host; `None` if the endpoint has not responded to it.
    pub statement: Option<StatedRate>,
    /// Calls sent by the host to this run of the endpoint.
    pub sent: u64,
    /// Calls per second that the host would send without a limit.
    pub demand_per_s: f64,
}
