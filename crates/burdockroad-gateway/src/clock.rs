//! Time of day and durations in milliseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    u64::try_from(since_unix_epoch().as_millis()).unwrap_or(u64::MAX)
}

/// Returns the time of day as the time since the Unix epoch.
pub(crate) fn since_unix_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Converts a duration to whole milliseconds for log lines.
pub(crate) fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
