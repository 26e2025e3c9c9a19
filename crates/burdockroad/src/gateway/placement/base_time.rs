//! Decay of an endpoint's time at its usual pace between two samples.
//!
//! Load pattern: endpoints that differ permanently in speed. A host sends an endpoint a call every few seconds,
//! and none at all while it counts as slow.

use std::time::Duration;

/// Half-life of the difference between an endpoint's time and the service's mean. A host of a fleet of 60 has
/// several samples of each endpoint in this time, so lasting differences are kept between them.
const BASE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Time without a sample after which an endpoint that was slower than the service's mean is expected to be faster.
/// Its expected time falls from the mean to `RETRIAL_MIN` of it at twice this time. An endpoint that recovered would
/// otherwise stay unused. If it did not recover, one call of each host in this time costs little.
const RETRIAL_AFTER: Duration = Duration::from_secs(15);

/// Part of the service's mean that an endpoint is expected to take at least when it is tried again.
const RETRIAL_MIN: f64 = 0.5;

/// What is known of the times of a service's endpoints.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceTimes {
    /// Mean time to the first byte.
    pub(super) mean_ms: f64,
    /// Whether this host has no report of any other host of its fleet.
    pub(super) lacks_reports: bool,
}

/// Returns the time at the usual pace that is expected of an endpoint whose last sample has an age.
pub(super) fn retained_base_ms(base_ms: f64, service_mean_ms: f64, age: Duration) -> f64 {
    if base_ms > service_mean_ms && age >= RETRIAL_AFTER {
        let overdue = age
            .saturating_sub(RETRIAL_AFTER)
            .div_duration_f64(RETRIAL_AFTER)
            .min(1.0);
        return service_mean_ms * (1.0 - (1.0 - RETRIAL_MIN) * overdue);
    }
    let half_lives = age.div_duration_f64(BASE_HALF_LIFE);
    service_mean_ms + (base_ms - service_mean_ms) * (-half_lives).exp2()
}
