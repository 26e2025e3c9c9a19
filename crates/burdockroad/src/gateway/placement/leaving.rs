//! Runs of endpoints that said themselves that they leave.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::endpoint::Endpoint;
use crate::ids::EndpointId;

/// Time for which an endpoint that said that it leaves is remembered. Endpoints leave within less.
const LEAVING_MEMORY: Duration = Duration::from_hours(1);

/// Endpoints that said themselves that they leave, with the start time of the run that said so. It outlives
/// their rows, because an entry that expired may come back.
#[derive(Debug, Default)]
pub(super) struct LeavingRuns {
    runs: HashMap<EndpointId, LeavingRun>,
}

/// A run of an endpoint that said that it leaves.
#[derive(Debug)]
struct LeavingRun {
    started_unix_ms: u64,
    said_at: Instant,
}

impl LeavingRuns {
    pub(super) fn record(&mut self, endpoint: &Endpoint, now: Instant) {
        let run = LeavingRun {
            started_unix_ms: endpoint.started_unix_ms,
            said_at: now,
        };
        self.runs.retain(|_, run| now < run.said_at + LEAVING_MEMORY);
        self.runs.insert(endpoint.id.clone(), run);
    }

    pub(super) fn contains(&self, endpoint: &Endpoint) -> bool {
        let run = self.runs.get(&endpoint.id);
        run.is_some_and(|run| run.started_unix_ms == endpoint.started_unix_ms)
    }
}
