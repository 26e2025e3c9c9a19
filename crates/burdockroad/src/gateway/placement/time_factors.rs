//! Additions to the expected time of a call at an endpoint, relative to its mean time.

/// Additional time of a call on an endpoint whose slots are all occupied, as a fraction of the mean time.
pub(super) const CONGESTION_FACTOR: f64 = 0.25;

/// Additional time of a call for each batch of queued calls, as a multiple of the mean time.
pub(super) const QUEUE_FACTOR: f64 = 2.0;

/// Maximum random addition to the expected time, as a fraction of the endpoint's mean time.
pub(super) const JITTER_FRACTION: f64 = 0.06;
