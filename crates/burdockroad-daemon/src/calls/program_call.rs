//! Calls of a program.
//!
//! A program's calls run in order and within its budget. The intent of each call is durable before the
//! call is sent, and its result is durable before the end of the response is forwarded.

use std::sync::Arc;

use burdockroad::{
    CallNumber, ProgramId,
    program::{CallKind, CallRequest, CallResponse, Outcome, Placement, Usage},
};
use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    answer::{Frame, Head, ResponseLog, ResponseReader},
    calls::{
        CallPayload, CallPlan, CallRunner, CompletionRequest, EVENT_STREAM_CONTENT_TYPE, JSON_CONTENT_TYPE,
        attempt::{Attempt, AttemptEnd, CompleteResponse, Failure},
        completion::{json_body, stream_body},
        key_withdrawn_problem,
        single_call::{SlotGuard, estimated_prompt_tokens, may_retry, timed_out},
        start_timer,
    },
    dispatch::{Slot, SlotReport, SlotRequest},
    journal::{Appended, JournalError},
    problem::{Problem, ProblemKind, Ran},
    programs::{CallDisposition, RunningCall, Settlement},
};

/// The position of a call in its program.
#[derive(Clone, Debug)]
pub struct CallPosition {
    /// Program of the call.
    pub program_id: ProgramId,
    /// Number of the call.
    pub number: CallNumber,
}

/// Whether an attempt ended by itself or was interrupted. An interrupted call is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptStatus {
    Interrupted,
    Ended,
}

/// The state of a running call of a program.
#[derive(Debug)]
struct ProgramCall {
    plan: CallPlan,
    position: CallPosition,
    log: Arc<ResponseLog>,
    usage: Usage,
    prefix_endpoint_id: Option<String>,
    slot_deadline: Instant,
    /// Endpoints that granted the call a slot, whether or not it was then sent.
    attempted_endpoints: Vec<String>,
}

impl CallRunner {
    /// Runs a call of a program, or returns the response of an earlier attempt of the same call.
    ///
    /// # Errors
    ///
    /// Returns an error if the program refuses the call; the call did not run in that case.
    pub async fn program_call(
        &self,
        plan: CallPlan,
        position: CallPosition,
    ) -> Result<ResponseReader, Problem> {
        let request = call_request(&plan, &position);
        match self.programs.start_call(request).await? {
            CallDisposition::Attach(log) => Ok(log.reader()),
            CallDisposition::Answered(response) => Ok(replay_response(&plan, &response).reader()),
            CallDisposition::Run {
                call,
                usage,
                prefix_endpoint_id,
            } => {
                let reader = call.log.reader();
                let slot_deadline = self.slot_deadline(&plan);
                let log = Arc::clone(&call.log);
                let attempted_endpoints = Vec::new();
                let started = ProgramCall {
                    plan,
                    position,
                    log,
                    usage,
                    prefix_endpoint_id,
                    slot_deadline,
                    attempted_endpoints,
                };
                let runner = self.clone();
                // A separate task lets the call complete after its caller has disconnected.
                tokio::spawn(async move { runner.run_program_call(started, call).await });
                Ok(reader)
            }
        }
    }

    async fn run_program_call(&self, mut call: ProgramCall, running: RunningCall) {
        let RunningCall { mut stop, .. } = running;
        let mut quota_admitted = false;
        self.record_call(&call.plan);
        loop {
            let outcome = self
                .attempt_program_call(&mut call, &mut stop, &mut quota_admitted)
                .await;
            match outcome {
                Ok(remaining_frames) => return push_final_frames(&call.log, remaining_frames),
                Err(AttemptError::Final(problem)) => return call.log.fail(&problem),
                Err(AttemptError::Retryable(problem)) => {
                    let Some(backoff) = self.acquire_retry(&call.plan, &call.attempted_endpoints) else {
                        return call.log.fail(&problem);
                    };
                    tokio::time::sleep(backoff).await;
                    let Some(reopened) = self.reopen(&call).await else {
                        return call.log.fail(&problem);
                    };
                    stop = reopened.stop;
                }
            }
        }
    }

    /// Performs one attempt, from the wait for a slot to the journaled result.
    async fn attempt_program_call(
        &self,
        call: &mut ProgramCall,
        stop: &mut tokio::sync::watch::Receiver<bool>,
        quota_admitted: &mut bool,
    ) -> Result<Vec<Frame>, AttemptError> {
        let queued = start_timer();
        let slot = match self.wait_for_slot(call, stop, quota_admitted).await {
            Ok(slot) => slot,
            Err(problem) => {
                self.record_refusal(&call.plan, &problem);
                self.programs.withdraw(call.position.program_id.clone());
                return Err(AttemptError::Final(problem));
            }
        };
        self.record_queue_wait(&call.plan, queued);
        call.attempted_endpoints.push(slot.endpoint_id.clone());
        let guard = SlotGuard::new(self, slot.clone());
        let placement = Placement {
            pool_id: slot.pool_id.clone(),
            endpoint_id: slot.endpoint_id.clone(),
            max_tokens: self.max_output_tokens(&call.plan.payload),
        };
        let send_result = self
            .programs
            .send(call.position.program_id.clone(), placement)
            .await;
        let (prepared, appended) = send_result.map_err(|refusal| AttemptError::Final(refusal.into()))?;
        if let Err(problem) = wait_durable(appended).await {
            guard.release(SlotReport::default());
            return Err(AttemptError::Final(self.settle_not_run(call, problem).await));
        }
        let mut status = AttemptStatus::Ended;
        let attempt = Attempt {
            plan: &call.plan,
            slot: &slot,
            program_id: Some(&call.position.program_id).filter(|_| call.plan.keeps_prefix),
            prompt: &prepared.prompt,
            max_tokens: prepared.reserved_tokens,
            attained_tokens: call.usage.attained_tokens,
            log: &call.log,
        };
        let deadline = call.plan.deadline.min(Instant::now() + prepared.time_left);
        let end = tokio::select! {
            end = self.attempt(&attempt) => end,
            problem = self.wait_for_stop(call, stop, deadline) => {
                status = AttemptStatus::Interrupted;
                interrupted_attempt(problem, prepared.reserved_tokens)
            }
        };
        self.record_first_token(&call.plan, &end.report);
        self.record_recomputed_prefix(call, &end.report);
        guard.release(end.report);
        self.settle(call, end, status).await
    }

    /// Records how many history tokens the engine had to compute again because they were not cached.
    fn record_recomputed_prefix(&self, call: &ProgramCall, report: &SlotReport) {
        let history_tokens = CompletionRequest::estimated_tokens(call.usage.history_bytes);
        let recomputed_tokens = history_tokens
            .min(report.prompt_tokens)
            .saturating_sub(report.cached_tokens);
        if recomputed_tokens > 0 {
            self.telemetry
                .record_recomputed_tokens(&call.plan.caller.account_id, recomputed_tokens);
        }
    }

    async fn wait_for_slot(
        &self,
        call: &ProgramCall,
        stop: &mut tokio::sync::watch::Receiver<bool>,
        quota_admitted: &mut bool,
    ) -> Result<Slot, Problem> {
        let account_id = &call.plan.caller.account_id;
        if !*quota_admitted && !account_id.is_empty() {
            self.quota.admit(account_id, call.slot_deadline).await?;
            *quota_admitted = true;
        }
        let request = self.slot_request(call);
        let slot = tokio::select! {
            slot = self.dispatcher.acquire(request) => slot?,
            problem = self.wait_for_stop(call, stop, call.plan.deadline) => return Err(problem.ran(Ran::No)),
        };
        if self.is_key_valid(&call.plan.caller) {
            return Ok(slot);
        }
        self.dispatcher.release(slot, SlotReport::default());
        Err(key_withdrawn_problem())
    }

    /// Waits until the call must stop, and returns the reason.
    async fn wait_for_stop(
        &self,
        call: &ProgramCall,
        stop: &mut tokio::sync::watch::Receiver<bool>,
        deadline: Instant,
    ) -> Problem {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => {
                Problem::new(ProblemKind::Stopped, "the program ended before the call completed")
                    .ran(Ran::Unknown)
            }
            () = self.wait_until_key_withdrawn(&call.plan.caller) => {
                key_withdrawn_problem().ran(Ran::Unknown)
            }
            () = tokio::time::sleep_until(deadline) => timed_out(),
        }
    }

    /// Records that a call did not run because its intent could not be made durable.
    ///
    /// Returns `problem`, which states why.
    async fn settle_not_run(&self, call: &ProgramCall, problem: Problem) -> Problem {
        let settlement = Settlement {
            program_id: call.position.program_id.clone(),
            outcome: Outcome::NotRun,
            spent_tokens: 0,
        };
        if self.programs.settle(settlement).await.is_none() {
            log::info!("event=call_lost program={}", call.position.program_id);
        }
        problem
    }

    async fn settle(
        &self,
        call: &ProgramCall,
        end: AttemptEnd,
        status: AttemptStatus,
    ) -> Result<Vec<Frame>, AttemptError> {
        let program_id = call.position.program_id.clone();
        let outcome = outcome(&call.plan, &end);
        let settlement = Settlement {
            program_id,
            outcome,
            spent_tokens: end.spent_tokens,
        };
        let settled = self.programs.settle(settlement).await;
        let CompleteResponse { remaining_frames, .. } = match end.result {
            Ok(response) => response,
            Err(failure) => return Err(attempt_error(call, failure, status)),
        };
        let Some(appended) = settled else {
            return Err(AttemptError::Final(moved_after_run()));
        };
        match wait_durable(appended).await {
            Ok(()) => Ok(remaining_frames),
            Err(problem) => Err(AttemptError::Final(problem.ran(Ran::Yes))),
        }
    }

    /// Reopens the call for another attempt.
    ///
    /// Returns `None` if the program no longer accepts the call.
    async fn reopen(&self, call: &ProgramCall) -> Option<RunningCall> {
        let request = call_request(&call.plan, &call.position);
        self.programs.reopen(request, Arc::clone(&call.log)).await
    }

    fn slot_request(&self, call: &ProgramCall) -> SlotRequest {
        SlotRequest {
            pool_ids: call.plan.pool_ids.clone(),
            account_id: call.plan.caller.account_id.clone(),
            program_id: Some(call.position.program_id.clone()),
            call_number: call.position.number,
            prompt_tokens: estimated_prompt_tokens(&call.plan.payload, call.usage.history_bytes),
            max_output_tokens: self.max_output_tokens(&call.plan.payload),
            attained_tokens: call.usage.attained_tokens,
            prefix_endpoint_id: call.prefix_endpoint_id.clone(),
            excluded: self.excluded_endpoints(&call.plan, &call.attempted_endpoints),
            deadline: call.slot_deadline,
        }
    }
}

/// The failure of one attempt of a program's call.
#[derive(Debug)]
enum AttemptError {
    Final(Problem),
    Retryable(Problem),
}

/// Classifies a failure as final or retryable.
fn attempt_error(call: &ProgramCall, failure: Failure, status: AttemptStatus) -> AttemptError {
    let may_retry_now = status == AttemptStatus::Ended
        && Instant::now() < call.slot_deadline
        && may_retry(&call.plan, &failure, &call.log);
    if may_retry_now {
        AttemptError::Retryable(failure.problem)
    } else {
        AttemptError::Final(failure.problem)
    }
}

/// Waits until an append is durable.
pub(crate) async fn wait_durable(appended: Appended) -> Result<(), Problem> {
    match appended.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.into()),
        // The journal was dropped without a result, which happens when the process stops.
        Err(_) => Err(JournalError::Fenced.into()),
    }
}

fn outcome(plan: &CallPlan, end: &AttemptEnd) -> Outcome {
    let failure = match &end.result {
        Ok(response) => return Outcome::Answered(response.call_response.clone()),
        Err(failure) => failure,
    };
    let reason = failure.problem.detail.clone();
    match failure.problem.ran {
        Ran::No if end.spent_tokens == 0 => Outcome::NotRun,
        _ if plan.idempotent => Outcome::Failed { reason },
        _ => Outcome::Unknown { reason },
    }
}

fn interrupted_attempt(problem: Problem, spent_tokens: u64) -> AttemptEnd {
    let failure = Failure {
        problem,
        retryable: false,
    };
    AttemptEnd {
        result: Err(failure),
        spent_tokens,
        report: SlotReport::default(),
    }
}

fn moved_after_run() -> Problem {
    let detail = "the program moved to another host while the call ran";
    Problem::new(ProblemKind::Moving, detail)
        .ran(Ran::Yes)
        .retry_after(std::time::Duration::from_secs(1))
}

fn push_final_frames(log: &ResponseLog, remaining_frames: Vec<Frame>) {
    for frame in remaining_frames {
        log.push(frame);
    }
    log.push(Frame::End);
}

fn call_request(plan: &CallPlan, position: &CallPosition) -> CallRequest {
    let messages = match &plan.payload {
        CallPayload::Completion(request) => request.messages.clone(),
        CallPayload::Service(_) => Vec::new(),
    };
    CallRequest {
        account_id: plan.caller.account_id.clone(),
        program_id: position.program_id.clone(),
        number: position.number,
        digest: plan.digest,
        route_id: plan.route_id.clone(),
        kind: plan.payload.kind(),
        idempotent: plan.idempotent,
        messages,
        keeps_prefix: plan.keeps_prefix && plan.payload.kind() == CallKind::Completion,
    }
}

/// Returns a recorded response in the format that the caller requested.
fn replay_response(plan: &CallPlan, response: &CallResponse) -> Arc<ResponseLog> {
    let CallPayload::Completion(request) = &plan.payload else {
        let head = Head::new(response.status, &response.content_type);
        return ResponseLog::complete(head, Bytes::from(response.body.clone()));
    };
    if request.stream {
        let head = Head::new(200, EVENT_STREAM_CONTENT_TYPE);
        return ResponseLog::complete(head, stream_body(response, request.include_usage));
    }
    ResponseLog::complete(Head::new(200, JSON_CONTENT_TYPE), json_body(response))
}
