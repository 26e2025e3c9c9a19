//! Log lines and the counter of cold endpoints.

use burdockroad::gateway::{ColdCause, ColdChange, ColdStatus};
use serde::Serialize;

use crate::shared::Shared;

/// Log line of an endpoint that is cold from now on.
#[derive(Serialize)]
struct EndpointColdLine<'a> {
    endpoint: &'a str,
    /// Calls per second that it takes from all hosts together.
    calls_per_s: f64,
    left_ms: u64,
    cause: &'static str,
}

/// Log line of an endpoint that is warm from now on.
#[derive(Serialize)]
struct EndpointWarmLine<'a> {
    endpoint: &'a str,
}

/// Logs the endpoints that became cold or warm, and counts the calls that cold ones could not take.
pub(crate) fn report_cold_endpoints(shared: &Shared, changes: &[ColdChange], diverted_calls: u64) {
    if diverted_calls > 0 {
        metrics::counter!("burdockroad_cold_diverted_calls_total").increment(diverted_calls);
    }
    for ColdChange { endpoint, began } in changes {
        match began {
            Some(status) => shared.log.line("endpoint_cold", &cold_line(endpoint, *status)),
            None => shared.log.line("endpoint_warm", &EndpointWarmLine { endpoint }),
        }
    }
}

fn cold_line(endpoint: &str, status: ColdStatus) -> EndpointColdLine<'_> {
    EndpointColdLine {
        endpoint,
        calls_per_s: status.calls_per_s,
        left_ms: u64::try_from(status.left.as_millis()).unwrap_or(u64::MAX),
        cause: match status.cause {
            ColdCause::Entry => "entry",
            ColdCause::EvacuationEnded => "evacuation_ended",
            ColdCause::ConnectionRefused => "connection_refused",
        },
    }
}
