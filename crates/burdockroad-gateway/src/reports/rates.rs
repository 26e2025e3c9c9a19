//! Calls to endpoints that limit their rate, in the reports of hosts.

use std::time::Duration;

use burdockroad::{
    EndpointId,
    gateway::{EndpointUsage, StatedRate},
};
use serde::{Deserialize, Serialize};

use crate::shared::Shared;

/// [`EndpointUsage`] on the wire.
#[derive(Serialize, Deserialize)]
pub(super) struct WireRate {
    #[serde(rename = "e")]
    endpoint: EndpointId,
    #[serde(rename = "s")]
    sent: u64,
    #[serde(rename = "d")]
    demand_per_s: f32,
    #[serde(rename = "t")]
    statement: Option<WireStatement>,
}

/// [`StatedRate`] on the wire.
#[derive(Clone, Copy, Serialize, Deserialize)]
struct WireStatement {
    #[serde(rename = "l")]
    calls_per_s: Option<f64>,
    #[serde(rename = "a")]
    age_ms: u64,
}

/// Log line of an endpoint whose limit changes by its statement to another host.
#[derive(Serialize)]
struct ReportedRateLine<'a> {
    endpoint: &'a str,
    /// Host that reported the statement.
    host: &'a str,
    /// Calls per second that the endpoint takes from all hosts together; `None` if it states no limit any more.
    calls_per_s: Option<f64>,
}

impl WireRate {
    pub(super) fn decode(&self) -> EndpointUsage {
        EndpointUsage {
            endpoint: self.endpoint.clone(),
            statement: self.statement.map(|statement| StatedRate {
                calls_per_s: statement.calls_per_s,
                age: Duration::from_millis(statement.age_ms),
            }),
            sent: self.sent,
            demand_per_s: f64::from(self.demand_per_s),
        }
    }
}

impl From<&EndpointUsage> for WireRate {
    #[expect(clippy::cast_possible_truncation, reason = "demand is an estimate")]
    fn from(usage: &EndpointUsage) -> Self {
        Self {
            endpoint: usage.endpoint.clone(),
            sent: usage.sent,
            demand_per_s: usage.demand_per_s as f32,
            statement: usage.statement.map(|statement| WireStatement {
                calls_per_s: statement.calls_per_s,
                age_ms: u64::try_from(statement.age.as_millis()).unwrap_or(u64::MAX),
            }),
        }
    }
}

/// Logs the limits of endpoints that changed by their statements to another host.
pub(super) fn log_changed_rates(shared: &Shared, host: &str, changed: &[(EndpointId, Option<f64>)]) {
    for (endpoint, calls_per_s) in changed {
        let line = ReportedRateLine {
            endpoint,
            host,
            calls_per_s: *calls_per_s,
        };
        shared.log.line("endpoint_rate_reported", &line);
    }
}
