//! Timeout of a call, by its route and its caller.

use std::time::Duration;

use burdockroad::gateway::Route;

use crate::CallHead;

/// Time reserved for sending the response to the caller before the caller's deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Returns the time that a call may take in total: the caller's timeout minus [`RESPONSE_MARGIN`], but at
/// most the route's timeout.
pub(crate) fn call_timeout(head: &CallHead, route: &Route) -> Duration {
    let caller_timeout = head.caller_timeout.unwrap_or(route.timeout);
    caller_timeout.saturating_sub(RESPONSE_MARGIN).min(route.timeout)
}
