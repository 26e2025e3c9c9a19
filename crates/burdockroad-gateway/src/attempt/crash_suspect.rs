//! Calls whose requests may crash endpoints.

use std::time::Instant;

use burdockroad::{
    EndpointId,
    gateway::{Account, Endpoint, Quarantine, RequestIdentity, RunDecision, Suspect},
};
use http::{Method, Uri};
use tokio::time::sleep;

use super::{Call, CallerRequest};
use crate::{
    crash_detection::{check_endpoint, decide_run, wait_for_check},
    refusal::Refusal,
};

/// The run of a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(super) sent_at: Instant,
    pub(super) has_output: bool,
    /// Whether the run is counted as one of a request that should run apart from others.
    pub(super) runs_apart: bool,
}

impl Run {
    /// Returns a run that has not begun.
    pub(super) fn none(now: Instant) -> Self {
        Self {
            sent_at: now,
            has_output: false,
            runs_apart: false,
        }
    }
}

impl CallerRequest {
    /// Returns the identity by which the request is recognized when it comes again.
    pub(crate) fn identity(&self, account: Option<&Account>) -> RequestIdentity {
        identify(account, &self.method, &self.target, &self.input)
    }
}

/// Returns the identity of a request by what its caller sent.
pub(crate) fn identify(
    account: Option<&Account>,
    method: &Method,
    target: &Uri,
    body: &[u8],
) -> RequestIdentity {
    let account = account.map_or("", |account| account.name.as_str());
    let target = target.path_and_query().map_or("", |target| target.as_str());
    RequestIdentity::new(account, method.as_str(), target, body)
}

impl Call {
    /// Waits while it is decided whether the call's request crashes endpoints. Fails when it is quarantined.
    pub(super) async fn wait_for_run_decision(&mut self) -> Result<(), Refusal> {
        if let Some(endpoint) = self.checked_endpoint.take() {
            wait_for_check(&self.shared, &endpoint).await;
        }
        if self.shared.tables().quarantine.is_empty() {
            return Ok(());
        }
        let request = self.request.identity(self.account.as_deref());
        loop {
            match decide_run(&self.shared, &request) {
                RunDecision::Admit => return Ok(()),
                RunDecision::Hold { wait } if wait < self.time_left() => sleep(wait).await,
                RunDecision::Hold { .. } | RunDecision::Refuse { .. } if self.retries.unknown > 0 => {
                    return Err(self.give_up_refusal());
                }
                RunDecision::Hold { wait } => return Err(Refusal::NoEndpoint(wait)),
                RunDecision::Refuse { retry_after } => return Err(Refusal::Quarantined(retry_after)),
            }
        }
    }

    /// Begins a run at an endpoint. One that should be apart from others is counted until
    /// [`end_run`](Self::end_run).
    pub(super) fn begin_run(&mut self, endpoint: &EndpointId, now: Instant) {
        let mut tables = self.shared.tables();
        let quarantine = &mut tables.quarantine;
        let runs_apart = !quarantine.is_empty()
            && quarantine.should_run_apart(&self.request.identity(self.account.as_deref()));
        if runs_apart {
            quarantine.start_run(endpoint);
        }
        drop(tables);
        self.run = Run {
            sent_at: now,
            has_output: false,
            runs_apart,
        };
    }

    /// Ends the run at an endpoint.
    pub(super) fn end_run(&mut self, endpoint: &EndpointId) {
        if std::mem::take(&mut self.run.runs_apart) {
            self.shared.tables().quarantine.end_run(endpoint);
        }
    }

    /// Returns the endpoints that the call should not be sent to, as it should run apart from calls there.
    pub(super) fn endpoints_to_avoid(&self, quarantine: &Quarantine) -> Vec<EndpointId> {
        if quarantine.is_empty()
            || !quarantine.should_run_apart(&self.request.identity(self.account.as_deref()))
        {
            return Vec::new();
        }
        quarantine.endpoints_with_suspects()
    }

    /// Records that the endpoint has sent output of the call, which therefore did not cause earlier crashes.
    pub(crate) fn record_output(&mut self) {
        if std::mem::replace(&mut self.run.has_output, true) || self.shared.tables().quarantine.is_empty() {
            return;
        }
        let request = self.request.identity(self.account.as_deref());
        let now = Instant::now();
        self.shared.tables().quarantine.record_output(&request, now);
    }

    /// Starts a check whether the endpoint crashed, because the call's response is missing or broke off. An evacuated
    /// endpoint is not checked: it gets no connections, and may be shut down without a crash.
    pub(super) fn check_for_crash(&mut self, endpoint: &Endpoint) {
        if self.shared.tables().endpoints.is_evacuated(endpoint) {
            return;
        }
        let suspect = (!self.run.has_output).then(|| Suspect {
            request: self.request.identity(self.account.as_deref()),
            ran: self.run.sent_at.elapsed(),
        });
        check_endpoint(&self.shared, endpoint, suspect);
        self.checked_endpoint = Some(endpoint.id.clone());
    }
}
