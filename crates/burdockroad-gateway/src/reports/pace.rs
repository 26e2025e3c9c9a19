//! Paces that endpoints stated to a host, in the reports of hosts.

use std::time::Duration;

use burdockroad::{EndpointId, gateway::ReportedPace};
use serde::{Deserialize, Serialize};

/// [`ReportedPace`] on the wire.
#[derive(Serialize, Deserialize)]
pub(super) struct WirePace {
    #[serde(rename = "e")]
    endpoint: EndpointId,
    #[serde(rename = "p")]
    pace_percent: f32,
    #[serde(rename = "a")]
    age_ms: u64,
}

impl WirePace {
    pub(super) fn decode(&self) -> ReportedPace {
        ReportedPace {
            endpoint: self.endpoint.clone(),
            pace_percent: f64::from(self.pace_percent),
            age: Duration::from_millis(self.age_ms),
        }
    }
}

impl From<&ReportedPace> for WirePace {
    #[expect(clippy::cast_possible_truncation, reason = "the pace is an estimate")]
    fn from(pace: &ReportedPace) -> Self {
        Self {
            endpoint: pace.endpoint.clone(),
            pace_percent: pace.pace_percent as f32,
            age_ms: u64::try_from(pace.age.as_millis()).unwrap_or(u64::MAX),
        }
    }
}
