//! A call as a suspect of an endpoint's crash.

use std::time::Instant;

use burdockroad::gateway::{Endpoint, RequestKey, Suspect};

use super::{Call, CallerRequest};
use crate::crash_detection::check_endpoint;

/// The run of a call at an endpoint.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub(super) sent_at: Instant,
    pub(super) has_output: bool,
}

impl Run {
    /// Returns a run whose request is sent now.
    pub(super) fn begin(now: Instant) -> Self {
        Self {
            sent_at: now,
            has_output: false,
        }
    }
}

impl CallerRequest {
    /// Returns what all equal requests of an account have in common.
    pub(crate) fn key(&self, account: &str) -> RequestKey {
        let target = self.target.path_and_query().map_or("", |target| target.as_str());
        RequestKey::new(account, self.method.as_str(), target, &self.input)
    }
}

impl Call {
    /// Records that the endpoint has sent output of the call.
    pub(crate) fn record_output(&mut self) {
        self.run.has_output = true;
    }

    /// Has it checked whether the endpoint crashed, because the call's response is missing or broke off.
    pub(super) fn check_for_crash(&self, endpoint: &Endpoint) {
        let suspect = Suspect {
            key: self.request_key(),
            ran: self.run.sent_at.elapsed(),
            has_output: self.run.has_output,
        };
        check_endpoint(&self.shared, endpoint, suspect);
    }

    fn request_key(&self) -> RequestKey {
        let account = self.account.as_ref().map_or("", |account| &account.name);
        self.request.key(account)
    }
}
