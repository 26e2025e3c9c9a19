//! Difference between the expected and the measured time to the first byte.

use std::time::Duration;

use burdockroad::gateway::Placement;

/// Name of the histogram of the error, in percent of the expected time.
pub(crate) const TIME_ERROR_METRIC: &str = "burdockroad_expected_time_error_percent";

/// Records how much the time to the first byte differs from the expected one. Attempts at an endpoint that was not
/// chosen by its expected time are left out.
pub(crate) fn record_time_error(placement: &Placement, first_byte: Duration) {
    if placement.expected_ms <= 0.0 {
        return;
    }
    let error_ms = first_byte.as_secs_f64() * 1000.0 - placement.expected_ms;
    let response = if error_ms < 0.0 { "early" } else { "late" };
    let error_percent = error_ms.abs() / placement.expected_ms * 100.0;
    metrics::histogram!(TIME_ERROR_METRIC, "response" => response).record(error_percent);
}
