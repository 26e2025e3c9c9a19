//! Requests that crash endpoints or run beside them, for the tests of the quarantine.

use std::time::Duration;

use burdockroad::gateway::RequestIdentity;

pub(crate) const RUN: Duration = Duration::from_millis(80);

pub(crate) fn request(account: &str, body: &str) -> RequestIdentity {
    RequestIdentity::new(account, "POST", "/path", body.as_bytes())
}

/// Returns a request whose body begins like that of all others with the same start.
pub(crate) fn similar_request(start: u8, number: u32) -> RequestIdentity {
    let mut body = vec![start; 100];
    body.extend(number.to_le_bytes());
    RequestIdentity::new("account", "POST", "/path", &body)
}
