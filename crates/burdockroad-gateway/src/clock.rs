//! Time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the time of day in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
