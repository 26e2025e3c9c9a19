//! Configuration of a gateway host.

use std::time::Duration;

use crate::ids::RegionId;

/// One version of the complete configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Version number, which increases with each change.
    pub version: u64,
    /// Routes, in no particular order.
    pub routes: Vec<Route>,
    /// Services that receive the routes' calls.
    pub services: Vec<Service>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Client accounts; `None` if calls carry no keys.
    pub accounts: Option<Vec<Account>>,
}

/// Route for calls to one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, used in logs.
    pub name: String,
    /// Host name in callers' requests, in lowercase.
    pub host: String,
    /// Path prefix, with a leading and a trailing slash.
    pub prefix: String,
    /// Whether calls may be repeated, and whether responses are streams.
    pub kind: RouteKind,
    /// Timeout of a call.
    pub timeout: Duration,
    /// Response time objective.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the calls by weight.
    pub targets: Vec<Target>,
    /// Maximum number of endpoints on which one call may run.
    pub endpoints_max: u32,
    /// Whether calls without a key are accepted.
    pub public: bool,
    /// Time after a program has stopped within which it may resume, and for which its turns are kept.
    pub retention: Duration,
    /// Whether the system keeps the turns of conversations, so that callers send only their new input.
    pub keeps_turns: bool,
    /// Whether calls with one affinity key prefer the same endpoint.
    pub sticky: bool,
    /// Regions in which calls must stay; `None` if any region is allowed.
    pub allowed_regions: Option<Vec<RegionId>>,
}

/// Kind of a route's calls, which determines whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A call may run any number of times.
    Idempotent,
    /// A call may run at most once.
    NonIdempotent,
    /// The response is an event stream.
    Streaming {
        /// Whether an interrupted stream may resume after its last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a call may run again after an attempt of unknown outcome.
    pub fn may_retry(self) -> bool {
        matches!(self, Self::Idempotent | Self::Streaming { resumable: true })
    }

    /// Returns whether the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Streaming { .. })
    }
}

/// Service that receives a share of a route's calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the route's other targets.
    pub weight: u32,
}

/// Service configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Maximum number of connections to one endpoint, over all hosts.
    pub connections_max: usize,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<EngineInfo>,
    /// How its endpoints start cold; `None` if they are never cold.
    pub cold_start: Option<ColdStart>,
}

/// Behaviour of endpoints that are cold, for example because they have just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Time for which an endpoint is cold after its start.
    pub duration: Duration,
    /// Calls per second that a cold endpoint takes from all hosts together.
    pub calls_per_s: f64,
}

/// Properties shared by all model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineInfo {
    /// Generated tokens per event.
    pub event_tokens: u64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_max_bytes: 16 << 10,
            body_max_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// Client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name, which is passed on to endpoints.
    pub name: String,
    /// Keys that identify the account's callers.
    pub keys: Vec<String>,
    /// Priority that overrides the route's priority.
    pub priority: Option<u8>,
    /// Rate limit over all hosts, in calls per second; 0 for no limit.
    pub rate_per_s: f64,
    /// Maximum number of calls above the rate that are admitted at once.
    pub burst: f64,
    /// Regions in which the account's calls must stay; `None` if any region is allowed.
    pub allowed_regions: Option<Vec<RegionId>>,
}
