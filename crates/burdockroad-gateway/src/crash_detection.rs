//! Detects crashes of endpoints.
//!
//! A response that is missing or breaks off may have many causes. The endpoint has crashed if nothing listens at its
//! address any more, so the first call whose response breaks off makes a connection; calls that break off meanwhile
//! wait for its result.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId,
    gateway::{CrashReport, Endpoint, Failure, RequestKey, Suspect},
};
use serde::Serialize;

use crate::{call::as_ms, endpoint_path::connect_to_endpoint, shared::Shared};

/// Timeout of a check. An endpoint that crashed refuses connections at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of idle connections to an endpoint beside which the connection of a check is kept.
const IDLE_CONNECTIONS_MAX: usize = 2;

/// Maximum number of suspects in one log line.
const LOGGED_SUSPECTS_MAX: usize = 16;

/// Checks in progress, with the requests whose responses have broken off.
#[derive(Debug, Default)]
pub(crate) struct CrashChecks {
    checks: HashMap<EndpointId, Vec<Suspect>>,
}

impl CrashChecks {
    /// Adds a request whose response broke off. Returns whether a check has to be started.
    fn add(&mut self, endpoint: &EndpointId, suspect: Suspect) -> bool {
        let suspects = self.checks.entry(endpoint.clone()).or_default();
        suspects.push(suspect);
        suspects.len() == 1
    }

    fn end(&mut self, endpoint: &str) -> Vec<Suspect> {
        self.checks.remove(endpoint).unwrap_or_default()
    }
}

/// Checks whether an endpoint crashed, because a response of it is missing or broke off.
pub(crate) fn check_endpoint(shared: &Arc<Shared>, endpoint: &Endpoint, suspect: Suspect) {
    let is_first = shared.tables().crash_checks.add(&endpoint.id, suspect);
    if is_first {
        tokio::spawn(check(Arc::clone(shared), endpoint.clone(), Instant::now()));
    }
}

async fn check(shared: Arc<Shared>, endpoint: Endpoint, broke_off_at: Instant) {
    let result = connect_to_endpoint(&shared, &endpoint, CHECK_TIMEOUT).await;
    let suspects = shared.tables().crash_checks.end(&endpoint.id);
    match result {
        Ok(connection) => {
            let now = Instant::now();
            shared
                .pool
                .put(&endpoint.id, connection, None, IDLE_CONNECTIONS_MAX, now);
        }
        Err(Failure::NotListening) => {
            let report = CrashReport {
                endpoint: endpoint.id,
                at: broke_off_at,
                suspects,
            };
            record_crash(&shared, &report);
        }
        // Without a connection or a refusal, nothing is known of the endpoint.
        Err(_) => {}
    }
    shared.endpoint_checked.notify_waiters();
}

fn record_crash(shared: &Shared, report: &CrashReport) {
    metrics::counter!("burdockroad_endpoint_crashes_total").increment(1);
    let suspects = report.suspects.iter().take(LOGGED_SUSPECTS_MAX);
    let line = EndpointCrashedLine {
        endpoint: &report.endpoint,
        requests: report.suspects.len(),
        suspects: suspects.map(SuspectLine::from).collect(),
    };
    shared.log.line("endpoint_crashed", &line);
}

/// Returns the name of a request in the log.
pub(crate) fn request_name(key: &RequestKey) -> String {
    format!("{:032x}", key.digest)
}

/// Log line of an endpoint that crashed.
#[derive(Serialize)]
struct EndpointCrashedLine<'a> {
    endpoint: &'a str,
    /// Number of calls of this host whose responses it broke off.
    requests: usize,
    suspects: Vec<SuspectLine<'a>>,
}

#[derive(Serialize)]
struct SuspectLine<'a> {
    account: &'a str,
    /// Equal requests have the same name.
    request: String,
    ran_ms: u64,
    output: bool,
}

impl<'a> From<&'a Suspect> for SuspectLine<'a> {
    fn from(suspect: &'a Suspect) -> Self {
        Self {
            account: &suspect.key.account,
            request: request_name(&suspect.key),
            ran_ms: as_ms(suspect.ran),
            output: suspect.has_output,
        }
    }
}
