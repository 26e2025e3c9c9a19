//! Execution of calls at the host that runs them, from admission to the end of the response.
//!
//! A call is admitted by its account's rate limit, waits for a slot, and is sent to an endpoint. The
//! intent of a program's call is journaled before the call is sent, and its result is journaled
//! before the end of the response is forwarded to the caller. A program's call runs to completion even
//! if the caller disconnects, because the caller may retry it under the same call number.

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

pub(crate) use self::program_call::wait_durable;
pub use self::{
    completion::{CompletionRequest, EVENT_STREAM_CONTENT_TYPE, JSON_CONTENT_TYPE, json_body, stream_body},
    program_call::CallPosition,
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

/// The account and key that a call is made with.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Caller {
    /// Account; empty for a call without a key on an open route.
    pub account_id: AccountId,
    /// Key that authenticated the call.
    pub key_id: Option<KeyId>,
}

/// A call with all the data that is needed to run it.
#[derive(Clone, Debug)]
pub struct CallPlan {
    /// Account and key of the caller.
    pub caller: Caller,
    /// Route of the call.
    pub route_id: RouteId,
    /// Pools that serve the route, in order of preference.
    pub pool_ids: Vec<PoolId>,
    /// Whether the call may be executed more than once.
    pub idempotent: bool,
    /// Digest of the request, by which a retry of the same call is recognized.
    pub digest: RequestDigest,
    /// Whether later calls of the same program extend this call's conversation, so that the engine
    /// should cache its prefix.
    pub keeps_prefix: bool,
    /// Request to send to the endpoint.
    pub payload: CallPayload,
    /// Time by which the call must have completed.
    pub deadline: Instant,
    /// Value of the caller's `traceparent` header.
    pub traceparent: Option<http::HeaderValue>,
}

/// A request to an endpoint.
#[derive(Clone, Debug)]
pub enum CallPayload {
    /// A chat completion.
    Completion(CompletionRequest),
    /// A request to a plain service.
    Service(ServiceRequest),
}

impl CallPayload {
    /// Returns the kind of the call.
    pub fn kind(&self) -> CallKind {
        match self {
            Self::Completion(_) => CallKind::Completion,
            Self::Service(_) => CallKind::Service,
        }
    }
}

/// Limits that apply to each call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Maximum total wait for admission by the rate limit and for a slot.
    pub queue_timeout: Duration,
    /// Maximum response body size of a plain service, in bytes.
    pub response_max_bytes: usize,
}

/// The executor of calls at this host.
#[derive(Clone, Debug)]
pub struct CallRunner {
    /// Table of the programs that this host owns.
    pub programs: ProgramsHandle,
    /// Rate limits of the accounts.
    pub quota: Arc<dyn Quota>,
    /// Source of slots at endpoints.
    pub dispatcher: Arc<dyn Dispatcher>,
    /// Client for requests to endpoints.
    pub endpoints: Arc<dyn Endpoints>,
    /// Document in force.
    pub in_force: InForceReceiver,
    /// Retry budgets by account and route.
    pub retries: Arc<Mutex<RetryBudgets>>,
    /// Per-account durations and refusals.
    pub telemetry: Telemetry,
    /// Limits that apply to each call.
    pub limits: CallLimits,
}

impl CallRunner {
    /// Returns the time by which a call that arrives now must have a slot.
    fn slot_deadline(&self, plan: &CallPlan) -> Instant {
        plan.deadline.min(Instant::now() + self.limits.queue_timeout)
    }

    /// Returns the upper bound of tokens that a completion may generate; 0 for a service call.
    fn max_output_tokens(&self, payload: &CallPayload) -> u64 {
        match payload {
            CallPayload::Completion(request) => {
                request.max_tokens.unwrap_or_else(|| self.default_max_tokens())
            }
            CallPayload::Service(_) => 0,
        }
    }

    /// Counts a call that was refused by the rate limit, for lack of a slot, or because the journal
    /// does not accept its records.
    fn record_refusal(&self, plan: &CallPlan, problem: &Problem) {
        let reason = match problem.kind {
            ProblemKind::OverRate => RefusalReason::OverRate,
            ProblemKind::Overloaded | ProblemKind::NotRecordable => RefusalReason::InsideRate,
            _ => return,
        };
        self.telemetry.refused(&plan.caller.account_id, reason);
    }

    /// Records how long a call waited for admission and a slot.
    fn record_queue_wait(&self, plan: &CallPlan, since: StdInstant) {
        self.telemetry
            .record(&plan.caller.account_id, Measure::Queue, since.elapsed());
    }

    /// Records the time to first token of a completion, if a token arrived.
    fn record_first_token(&self, plan: &CallPlan, report: &SlotReport) {
        if let (CallPayload::Completion(_), Some(first)) = (&plan.payload, report.first_token) {
            self.telemetry
                .record(&plan.caller.account_id, Measure::FirstToken, first);
        }
    }

    /// Credits a call to the retry budget of its account and route.
    fn record_call(&self, plan: &CallPlan) {
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        retries.record_call(&plan.caller.account_id, &plan.route_id);
    }

    /// Takes a retry from the budget of the call's account and route, and returns the backoff before
    /// it.
    ///
    /// Returns `None` when the budget does not allow another retry.
    fn acquire_retry(&self, plan: &CallPlan, attempted_endpoints: &[EndpointId]) -> Option<Duration> {
        let attempts = u32::try_from(attempted_endpoints.len()).unwrap_or(u32::MAX);
        let mut retries = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        if !retries.withdraw(&plan.caller.account_id, &plan.route_id, attempts) {
            return None;
        }
        metrics::counter!("burdockroad_retries_total").increment(1);
        Some(retries.backoff(attempts, &mut rand::rng()))
    }

    /// Returns the endpoints that the next attempt should avoid.
    ///
    /// These are the endpoints that were already attempted, or none if that would exclude every
    /// endpoint of the call's pools that accepts calls.
    fn excluded_endpoints(&self, plan: &CallPlan, attempted_endpoints: &[EndpointId]) -> Vec<EndpointId> {
        let in_force = self.in_force.borrow();
        let document = &in_force.document;
        let sets = document.endpoint_sets.iter();
        let sets = sets.filter(|set| plan.pool_ids.contains(&set.id));
        let mut endpoints = sets
            .flat_map(|set| &set.endpoints)
            .filter(|endpoint| document.accepts_calls(endpoint));
        if endpoints.any(|endpoint| !attempted_endpoints.contains(&endpoint.id)) {
            attempted_endpoints.to_vec()
        } else {
            Vec::new()
        }
    }

    /// Returns the token limit of a completion whose caller sets none.
    fn default_max_tokens(&self) -> u64 {
        self.in_force
            .borrow()
            .document
            .budget_defaults
            .completion_max_tokens
    }

    /// Returns whether the endpoint's failure domain is evacuated.
    fn is_evacuated(&self, endpoint_id: &str) -> bool {
        self.in_force.borrow().document.is_evacuated(endpoint_id)
    }

    /// Returns whether the caller's key is still valid.
    fn is_key_valid(&self, caller: &Caller) -> bool {
        is_key_valid(&self.in_force, caller)
    }

    /// Waits until the caller's key is withdrawn.
    async fn wait_until_key_withdrawn(&self, caller: &Caller) {
        wait_until_key_withdrawn(&self.in_force, caller).await;
    }
}

/// Returns whether the caller's key is still valid; a caller without a key always passes.
fn is_key_valid(in_force: &InForceReceiver, caller: &Caller) -> bool {
    let Some(key_id) = caller.key_id.clone() else {
        return true;
    };
    let account_id = caller.account_id.clone();
    in_force.borrow().keys.contains(&KeyMatch { account_id, key_id })
}

/// Waits until the caller's key is withdrawn; never resolves for a caller without a key.
pub(crate) async fn wait_until_key_withdrawn(in_force: &InForceReceiver, caller: &Caller) {
    let mut in_force = in_force.clone();
    loop {
        in_force.mark_unchanged();
        if !is_key_valid(&in_force, caller) {
            return;
        }
        if in_force.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

/// Returns the problem of a call whose key was withdrawn while the call waited or ran.
fn key_withdrawn_problem() -> Problem {
    Problem::new(ProblemKind::InvalidKey, "the key was withdrawn")
}

/// Returns a random id for one attempt, by which its stream at the engine is cancelled or resumed.
fn request_id() -> String {
    format!("{:032x}", rand::rng().random::<u128>())
}

/// Returns the current time, from which a duration for a log line or metric is measured.
fn start_timer() -> StdInstant {
    StdInstant::now()
}
