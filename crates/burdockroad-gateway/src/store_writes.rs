//! Whether the store takes the writes of reservations.

use std::time::Duration;

use crate::shared::Shared;

/// Duration of store write failures after which calls that need a write are refused without waiting.
const STORE_FAILING_MIN: Duration = Duration::from_millis(400);

/// Time without a successful store write after which a call that waited for one until its end takes the store for
/// unavailable. It is shorter than the wait that is left when the budget owner does not respond.
const STORE_SILENT_MIN: Duration = Duration::from_millis(400);

/// Returns whether store writes have failed for at least [`STORE_FAILING_MIN`]. Calls then do not wait for a
/// write, but the writer continues to retry.
pub(crate) fn store_writes_are_failing(shared: &Shared) -> bool {
    let failing_since = shared.tables().writes_failing_since;
    failing_since.is_some_and(|at| at.elapsed() >= STORE_FAILING_MIN)
}

/// Returns whether no store write has succeeded for [`STORE_SILENT_MIN`] although one was sent. Without it, a call
/// that ends its wait for a write has only run out of its own time.
pub(crate) fn store_is_silent(shared: &Shared) -> bool {
    let unanswered_since = shared.tables().writes_unanswered_since;
    unanswered_since.is_some_and(|at| at.elapsed() >= STORE_SILENT_MIN)
}
