//! Checks in progress whether endpoints crashed.

use std::collections::HashMap;

use burdockroad::{EndpointId, gateway::Suspect};

/// Checks in progress, by endpoint.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    checks: HashMap<EndpointId, BrokenOff>,
}

/// Calls of this host whose responses an endpoint has broken off.
#[derive(Debug, Default)]
pub(crate) struct BrokenOff {
    /// Number of these calls.
    pub(crate) calls: usize,
    /// Those of which the endpoint had not sent any output.
    pub(crate) suspects: Vec<Suspect>,
}

impl CrashChecks {
    /// Adds a call whose response broke off. Returns whether a check has to be started.
    pub(crate) fn add(&mut self, endpoint: &EndpointId, suspect: Option<Suspect>) -> bool {
        let broken_off = self.checks.entry(endpoint.clone()).or_default();
        broken_off.calls += 1;
        broken_off.suspects.extend(suspect);
        broken_off.calls == 1
    }

    /// Returns whether a check of an endpoint is in progress.
    pub(crate) fn is_checking(&self, endpoint: &str) -> bool {
        self.checks.contains_key(endpoint)
    }

    /// Ends a check. Returns the calls that waited for it.
    pub(crate) fn end(&mut self, endpoint: &str) -> BrokenOff {
        self.checks.remove(endpoint).unwrap_or_default()
    }
}
