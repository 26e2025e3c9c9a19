//! Runs whose streams are silent while the call is attempted again.
//!
//! Their connections stay open, because the endpoint may continue.

use std::{mem, sync::Arc, time::Instant};

use burdockroad::{
    EndpointId,
    gateway::{Endpoint, Outcome},
};
use serde::Serialize;
use tokio::sync::watch;

use super::{Call, Run};
use crate::{call_record::CallRecord, refusal::Refusal, shared::Shared};

/// A run whose stream is silent. Dropping it ends the run; its connection is closed together with it.
#[derive(Debug)]
pub(crate) struct SilentRun {
    shared: Arc<Shared>,
    endpoint: Endpoint,
    run: Run,
    /// The call's record as it was when the stream fell silent.
    record: Box<CallRecord>,
    is_handed_back: bool,
    /// Time at which the call was sent to another endpoint; `None` while it is at no other one.
    pub(crate) sent_elsewhere_at: watch::Receiver<Option<Instant>>,
}

/// What a call knows of its last silent run.
#[derive(Debug)]
pub(super) struct SilentEndpoint {
    id: EndpointId,
    /// Closed when the run has ended.
    sent_elsewhere_at: watch::Sender<Option<Instant>>,
}

impl Call {
    /// Begins attempts beside the current run, whose stream is silent. Fails when the call may not be attempted
    /// again.
    pub(crate) fn hold_silent_run(&mut self) -> Result<SilentRun, Refusal> {
        let endpoint = self.current_endpoint.take().ok_or(Refusal::UnknownOutcome)?;
        let record = Box::new(self.record.clone());
        let now = Instant::now();
        let mut tables = self.shared.tables();
        tables
            .endpoints
            .record_outcome(&endpoint.id, Outcome::Failed, now);
        drop(tables);
        let may_attempt_again = self.count_unknown(endpoint.clone());
        let (sender, receiver) = watch::channel(None);
        self.silent_endpoint = Some(SilentEndpoint {
            id: endpoint.id.clone(),
            sent_elsewhere_at: sender,
        });
        let silent_run = SilentRun {
            shared: Arc::clone(&self.shared),
            endpoint,
            run: mem::replace(&mut self.run, Run::none(now)),
            record,
            is_handed_back: false,
            sent_elsewhere_at: receiver,
        };
        if may_attempt_again {
            Ok(silent_run)
        } else {
            Err(Refusal::UnknownOutcome)
        }
    }

    /// Continues a silent run in place of the attempts beside it.
    pub(crate) fn return_to(&mut self, mut silent_run: SilentRun) {
        self.end_attempt(Outcome::Abandoned);
        self.next_endpoint = None;
        self.silent_endpoint = None;
        silent_run.is_handed_back = true;
        self.run = silent_run.run;
        self.current_endpoint = Some(silent_run.endpoint.clone());
        self.record.return_to(*mem::take(&mut silent_run.record));
        metrics::counter!("burdockroad_silent_streams_kept_total").increment(1);
        let line = SilentStreamKeptLine {
            id: &self.head.call_id,
            endpoint: &silent_run.endpoint.id,
            events: self.record.events,
        };
        self.shared.log.line("silent_stream_kept", &line);
    }

    /// Records that the stream continued at another response than that of a silent run.
    pub(crate) fn leave_silent_run(&mut self) {
        self.silent_endpoint = None;
    }

    /// Returns whether the call has left an endpoint only because that was silent, and the run there has ended.
    pub(super) fn has_left_silent_run(&self) -> bool {
        let silent_endpoint = self.silent_endpoint.as_ref();
        silent_endpoint.is_some_and(|silent| silent.sent_elsewhere_at.is_closed())
    }

    /// Records that the call is being sent to an endpoint.
    pub(super) fn record_sent(&self, endpoint: &EndpointId) {
        self.set_sent_elsewhere(endpoint, Some(Instant::now()));
    }

    /// Records that the call is not at an endpoint, because the attempt there ended or nothing of it was written.
    pub(super) fn record_not_at(&self, endpoint: &EndpointId) {
        self.set_sent_elsewhere(endpoint, None);
    }

    /// Tells the last silent run since when the call is at `endpoint`, if that is another one.
    fn set_sent_elsewhere(&self, endpoint: &EndpointId, sent_at: Option<Instant>) {
        let silent_endpoint = self.silent_endpoint.as_ref();
        if let Some(silent) = silent_endpoint.filter(|silent| silent.id != *endpoint) {
            silent.sent_elsewhere_at.send_replace(sent_at);
        }
    }
}

impl Drop for SilentRun {
    fn drop(&mut self) {
        if self.is_handed_back {
            return;
        }
        let mut tables = self.shared.tables();
        tables.endpoints.end_call(&self.endpoint.id);
        if self.run.runs_apart {
            tables.quarantine.end_run(&self.endpoint.id);
        }
    }
}

/// Log line of a silent stream that was kept, because it continued first or no other endpoint took the call.
#[derive(Serialize)]
struct SilentStreamKeptLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    /// Events sent to the caller before the silence.
    events: u64,
}
