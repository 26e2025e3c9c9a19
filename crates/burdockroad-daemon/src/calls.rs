//! Calls from their admission to the end of their answer, at the host that runs them.
//!
//! A call passes its account's rate, waits for a slot, is recorded, is sent, and its result is recorded
//! before the end of the answer is passed on. It runs to its end even if its caller has gone, since the
//! caller may ask again under the same number.

mod attempt;
mod completion;
mod engine_stream;
mod program_call;
mod service;
mod single_call;

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant as StdInstant},
};

use burdockroad::{
    AccountId, EndpointId, KeyId, PoolId, RouteId,
    config::KeyMatch,
    program::{CallKind, RequestDigest},
    retry::RetryBudgets,
};
use rand::RngExt;
use tokio::time::Instant;

pub(crate) use self::program_call::recorded;
pub use self::{
    completion::{CompletionRequest, EVENT_STREAM_CONTENT_TYPE, JSON_CONTENT_TYPE, stream_body, whole_body},
    program_call::ProgramPosition,
    service::{ServiceRequest, headers_without_key, service_headers, target_without_key},
};
use crate::{
    config_watch::InForceReceiver,
    dispatch::{Dispatcher, SlotReport},
    endpoint::Endpoints,
    problem::{Problem, ProblemKind},
    programs::ProgramsHandle,
    quota::Quota,
    telemetry::{Measure, RefusalReason, Telemetry},
};

/// On whose behalf a call runs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// The account; empty on an open route without a key.
    pub account_id: AccountId,
    /// The key that came with the call.
    pub key_id: Option<KeyId>,
}

/// A call, ready to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// On whose behalf it runs.
    pub caller: Caller,
    /// Route that it takes.
    pub route_id: RouteId,
    /// Pools that serve the route, the preferred ones first.
    pub pool_ids: Vec<PoolId>,
    /// Whether a repeated run does no harm.
    pub idempotent: bool,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Whether a later call of the same program will begin with this one's conversation.
    pub keeps_prefix: bool,
    /// What is asked of the endpoint.
    pub work: Work,
    /// When the call must have ended.
    pub deadline: Instant,
    /// Value of the caller's `traceparent` header.
    pub traceparent: Option<http::HeaderValue>,
}

/// What is asked of an endpoint.
#[derive(Clone, Debug)]
pub enum Work {
    /// A chat completion.
    Completion(CompletionRequest),
    /// A request to a plain service.
    Service(ServiceRequest),
}

impl Work {
    /// Kind of the call.
    pub fn kind(&self) -> CallKind {
        match self {
            Self::Completion(_) => CallKind::Completion,
            Self::Service(_) => CallKind::Service,
        }
    }
}

/// Limits of calls.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Longest wait for the account's rate and for a slot together.
    pub queue_timeout: Duration,
    /// Largest answer of a plain service, in bytes.
    pub answer_max_bytes: usize,
}

/// Runs calls at this host.
#[derive(Clone, Debug)]
pub struct CallRunner {
    /// The programs of this host.
    pub programs: ProgramsHandle,
    /// Rates and bursts.
    pub quota: Arc<dyn Quota>,
    /// Slots at endpoints.
    pub dispatcher: Arc<dyn Dispatcher>,
    /// Requests to endpoints.
    pub endpoints: Arc<dyn Endpoints>,
    /// The document in force.
    pub in_force: InForceReceiver,
    /// Budgets of retries.
    pub retries: Arc<Mutex<RetryBudgets>>,
    /// Durations and refusals of each account.
    pub telemetry: Telemetry,
    /// Limits of calls.
    pub limits: CallLimits,
}

impl CallRunner {
    /// When a call that arrived now must have its slot.
    fn latest_start(&self, plan: &Plan) -> Instant {
        plan.deadline.min(Instant::now() + self.limits.queue_timeout)
    }

    /// Tokens that a completion may have generated at most; 0 for a service.
    fn max_tokens(&self, work: &Work) -> u64 {
        match work {
            Work::Completion(request) => request.max_tokens.unwrap_or_else(|| self.default_max_tokens()),
            Work::Service(_) => 0,
        }
    }

    /// Takes note of a call that was refused for want of rate or of a slot.
    fn note_refusal(&self, plan: &Plan, problem: &Problem) {
        let because = match problem.kind {
            ProblemKind::OverRate => RefusalReason::OverRate,
            ProblemKind::Overloaded | ProblemKind::NotRecordable => RefusalReason::InsideRate,
            _ => return,
        };
        self.telemetry.refused(&plan.caller.account_id, because);
    }

    /// Takes note of how long a call waited for its slot.
    fn note_queue(&self, plan: &Plan, since: StdInstant) {
        self.telemetry
            .record(&plan.caller.account_id, Measure::Queue, since.elapsed());
    }

    /// Takes note of what was seen of an engine's answer.
    fn note_answer(&self, plan: &Plan, report: &SlotReport) {
        if let (Work::Completion(_), Some(first)) = (&plan.work, report.first_token) {
            self.telemetry
                .record(&plan.caller.account_id, Measure::FirstToken, first);
        }
    }

    /// Pays a call into its account's budget of retries.
    fn record_call(&self, plan: &Plan) {
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        retries.record_call(&plan.caller.account_id, &plan.route_id);
    }

    /// Draws a retry for a call that was tried some times, and returns how long to wait before it.
    fn draw_retry(&self, plan: &Plan, tried: &[EndpointId]) -> Option<Duration> {
        let attempts = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        if !retries.withdraw(&plan.caller.account_id, &plan.route_id, attempts) {
            return None;
        }
        metrics::counter!("burdockroad_retries_total").increment(1);
        Some(retries.backoff(attempts, &mut rand::rng()))
    }

    /// Endpoints that another try should leave out: those tried before, as long as others are left.
    fn excluded(&self, plan: &Plan, tried: &[EndpointId]) -> Vec<EndpointId> {
        let in_force = self.in_force.borrow();
        let sets = in_force
            .document
            .endpoint_sets
            .iter()
            .filter(|set| plan.pool_ids.contains(&set.id));
        let mut endpoints = sets.flat_map(|set| &set.endpoints);
        if endpoints.any(|endpoint| !tried.contains(&endpoint.id)) {
            tried.to_vec()
        } else {
            Vec::new()
        }
    }

    /// Tokens set aside for a completion whose caller states no limit.
    fn default_max_tokens(&self) -> u64 {
        self.in_force
            .borrow()
            .document
            .budget_defaults
            .completion_max_tokens
    }

    /// Whether the key that a call came with still works.
    fn key_works(&self, caller: &Caller) -> bool {
        key_works(&self.in_force, caller)
    }

    /// Waits until the key that a call came with no longer works.
    async fn key_withdrawn(&self, caller: &Caller) {
        key_withdrawn(&self.in_force, caller).await;
    }
}

/// Whether the key that a call came with still works.
fn key_works(in_force: &InForceReceiver, caller: &Caller) -> bool {
    let Some(key_id) = caller.key_id.clone() else {
        return true;
    };
    let account_id = caller.account_id.clone();
    in_force.borrow().keys.contains(&KeyMatch { account_id, key_id })
}

/// Waits until the key that a call came with no longer works; for ever when it came with none.
pub(crate) async fn key_withdrawn(in_force: &InForceReceiver, caller: &Caller) {
    let mut in_force = in_force.clone();
    loop {
        in_force.mark_unchanged();
        if !key_works(&in_force, caller) {
            return;
        }
        if in_force.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// The problem of a call whose key was withdrawn while it ran or waited.
fn withdrawn() -> Problem {
    Problem::new(ProblemKind::InvalidKey, "the key was withdrawn")
}

/// Random name of one attempt, by which an engine's stream is cancelled or resumed.
fn request_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// Starts a clock for a figure in the log or a metric.
fn clock() -> StdInstant {
    StdInstant::now()
}
