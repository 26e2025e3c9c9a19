//! Detects crashes of endpoints, and keeps requests that cause them from endpoints.
//!
//! A response that is missing or breaks off may have many causes. The endpoint has crashed if nothing listens at its
//! address any more, so the first call whose response breaks off makes a connection; calls that break off meanwhile
//! wait for its result.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{
    CrashReport, Endpoint, Failure, RequestIdentity, RequestKey, RunDecision, Suspect,
};
use serde::Serialize;

use crate::{clock::as_ms, endpoint_path::connect_to_endpoint, shared::Shared};

/// Timeout of a check. An endpoint that crashed refuses connections at once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of idle connections to an endpoint beside which the connection of a check is kept.
const IDLE_CONNECTIONS_MAX: usize = 2;

/// Maximum number of suspects in one log line.
const LOGGED_SUSPECTS_MAX: usize = 16;

/// Checks whether an endpoint crashed, because a response of it is missing or broke off. `suspect` is the request if
/// the endpoint had not sent any of its output.
pub(crate) fn check_endpoint(shared: &Arc<Shared>, endpoint: &Endpoint, suspect: Option<Suspect>) {
    let is_first = shared.tables().crash_checks.add(&endpoint.id, suspect);
    if is_first {
        tokio::spawn(check(Arc::clone(shared), endpoint.clone(), Instant::now()));
    }
}

/// Waits for the end of a check of an endpoint, if there is one.
pub(crate) async fn wait_for_check(shared: &Shared, endpoint: &str) {
    loop {
        let mut checked = std::pin::pin!(shared.endpoint_checked.notified());
        checked.as_mut().enable();
        if !shared.tables().crash_checks.is_checking(endpoint) {
            return;
        }
        checked.await;
    }
}

async fn check(shared: Arc<Shared>, endpoint: Endpoint, broke_off_at: Instant) {
    let result = connect_to_endpoint(&shared, &endpoint, None, CHECK_TIMEOUT).await;
    let broken_off = shared.tables().crash_checks.end(&endpoint.id);
    match result {
        Ok(connection) if !shared.tables().endpoints.is_evacuated(&endpoint) => {
            let now = Instant::now();
            shared
                .pool
                .put(&endpoint.id, connection, None, IDLE_CONNECTIONS_MAX, now);
        }
        Err(Failure::NotListening) => {
            let report = CrashReport {
                endpoint: endpoint.id,
                at: broke_off_at,
                suspects: broken_off.suspects,
            };
            record_crash(&shared, report, broken_off.calls);
        }
        // Without a connection or a refusal, nothing is known of the endpoint.
        Ok(_) | Err(_) => {}
    }
    shared.endpoint_checked.notify_waiters();
}

/// Records a crash of an endpoint, and tells the other hosts.
fn record_crash(shared: &Shared, report: CrashReport, calls: usize) {
    metrics::counter!("burdockroad_endpoint_crashes_total").increment(1);
    let suspects = report.suspects.iter().take(LOGGED_SUSPECTS_MAX);
    let line = EndpointCrashedLine {
        endpoint: &report.endpoint,
        calls,
        suspects: suspects.map(SuspectLine::from).collect(),
    };
    shared.log.line("endpoint_crashed", &line);
    let mut tables = shared.tables();
    tables
        .endpoints
        .record_refused_connection(&report.endpoint, Instant::now());
    tables.quarantine.record_crash(report);
    drop(tables);
    shared.report_now.notify_one();
}

/// Decides whether a request may be sent to an endpoint.
pub(crate) fn decide_run(shared: &Shared, request: &RequestIdentity) -> RunDecision {
    let now = Instant::now();
    let mut tables = shared.tables();
    let quarantined = tables.quarantine.evaluate(now);
    let decision = tables.quarantine.decide(request, now);
    drop(tables);
    log_quarantined(shared, &quarantined, None);
    decision
}

/// Logs requests that are quarantined from now on. `reported_by` is the host that told of them; `None` if this host
/// evaluated by itself.
pub(crate) fn log_quarantined(shared: &Shared, quarantined: &[RequestKey], reported_by: Option<&str>) {
    for key in quarantined {
        metrics::counter!("burdockroad_requests_quarantined_total").increment(1);
        let line = RequestQuarantinedLine {
            account: &key.account,
            request: request_name(key),
            host: reported_by,
        };
        shared.log.line("request_quarantined", &line);
    }
}

/// Logs that a call is refused because its request is quarantined.
pub(crate) fn log_refused(shared: &Shared, call_id: &str, request: &RequestIdentity) {
    let line = RequestRefusedLine {
        id: call_id,
        account: &request.equal.account,
        request: request_name(&request.equal),
        similar: request_name(&request.similar),
    };
    shared.log.line("request_refused", &line);
}

/// Returns the name of equal or similar requests in the log.
pub(crate) fn request_name(key: &RequestKey) -> String {
    format!("{:032x}", key.digest)
}

/// Log line of a request that is kept from endpoints from now on.
#[derive(Serialize)]
struct RequestQuarantinedLine<'a> {
    account: &'a str,
    /// Name of the request, or of all that begin like it.
    request: String,
    /// Host that told of it.
    #[serde(skip_serializing_if = "Option::is_none")]
    host: Option<&'a str>,
}

/// Log line of a call whose request is quarantined. It leads from the id of the call to the crashes of endpoints.
#[derive(Serialize)]
struct RequestRefusedLine<'a> {
    id: &'a str,
    account: &'a str,
    request: String,
    similar: String,
}

/// Log line of an endpoint that crashed.
#[derive(Serialize)]
struct EndpointCrashedLine<'a> {
    endpoint: &'a str,
    /// Number of calls of this host whose responses it broke off.
    calls: usize,
    /// Those without output.
    suspects: Vec<SuspectLine<'a>>,
}

#[derive(Serialize)]
struct SuspectLine<'a> {
    account: &'a str,
    /// Name of all equal requests.
    request: String,
    /// Name of all requests that begin like it.
    similar: String,
    ran_ms: u64,
}

impl<'a> From<&'a Suspect> for SuspectLine<'a> {
    fn from(suspect: &'a Suspect) -> Self {
        Self {
            account: &suspect.request.equal.account,
            request: request_name(&suspect.request.equal),
            similar: request_name(&suspect.request.similar),
            ran_ms: as_ms(suspect.ran),
        }
    }
}
