//! Calls outside a program.
//!
//! These calls have no call number or idempotency key by which a caller could request their response
//! again, so they are not journaled.

use std::sync::Arc;

use crate::{
    answer::{Frame, ResponseLog, ResponseReader},
    calls::{
        CallPayload, CallPlan, CallRunner,
        attempt::{Attempt, AttemptEnd, Failure},
        key_withdrawn_problem, start_timer,
    },
    dispatch::{Slot, SlotRequest},
    problem::{Problem, ProblemKind, Ran},
};

impl CallRunner {
    /// Starts a call outside a program and returns a reader of its response.
    ///
    /// The call is cancelled once all readers are dropped.
    pub fn single_call(&self, plan: CallPlan) -> ResponseReader {
        let log = ResponseLog::new();
        let reader = log.reader();
        let runner = self.clone();
        tokio::spawn(async move { runner.run_single(&plan, &log).await });
        reader
    }

    async fn run_single(&self, plan: &CallPlan, log: &Arc<ResponseLog>) {
        let outcome = tokio::select! {
            outcome = self.run_single_attempts(plan, log) => outcome,
            () = self.wait_until_key_withdrawn(&plan.caller) => {
                Err(key_withdrawn_problem().ran(Ran::Unknown))
            }
            () = tokio::time::sleep_until(plan.deadline) => Err(timed_out()),
            () = log.wait_for_no_readers() => return,
        };
        match outcome {
            Ok(()) => log.push(Frame::End),
            Err(problem) => {
                self.record_refusal(plan, &problem);
                log.fail(&problem);
            }
        }
    }

    async fn run_single_attempts(&self, plan: &CallPlan, log: &Arc<ResponseLog>) -> Result<(), Problem> {
        let slot_deadline = self.slot_deadline(plan);
        let queued = start_timer();
        if !plan.caller.account_id.is_empty() {
            self.quota.admit(&plan.caller.account_id, slot_deadline).await?;
        }
        self.record_call(plan);
        let mut attempted_endpoints = Vec::new();
        loop {
            let slot = self
                .dispatcher
                .acquire(self.single_slot_request(
                    plan,
                    self.excluded_endpoints(plan, &attempted_endpoints),
                    slot_deadline,
                ))
                .await?;
            if !self.is_key_valid(&plan.caller) {
                self.dispatcher
                    .release(slot, crate::dispatch::SlotReport::default());
                return Err(key_withdrawn_problem());
            }
            if attempted_endpoints.is_empty() {
                self.record_queue_wait(plan, queued);
            }
            attempted_endpoints.push(slot.endpoint_id.clone());
            let failure = match self.attempt_single(plan, &slot, log).await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
            if !may_retry(plan, &failure, log) {
                return Err(failure.problem);
            }
            let Some(backoff) = self.acquire_retry(plan, &attempted_endpoints) else {
                return Err(failure.problem);
            };
            tokio::time::sleep(backoff).await;
        }
    }

    async fn attempt_single(
        &self,
        plan: &CallPlan,
        slot: &Slot,
        log: &Arc<ResponseLog>,
    ) -> Result<(), Failure> {
        let CallPayload::Completion(request) = &plan.payload else {
            return self.send_single(plan, slot, &[], log).await;
        };
        self.send_single(plan, slot, &request.messages, log).await
    }

    async fn send_single(
        &self,
        plan: &CallPlan,
        slot: &Slot,
        prompt: &[String],
        log: &Arc<ResponseLog>,
    ) -> Result<(), Failure> {
        let guard = SlotGuard::new(self, slot.clone());
        let attempt = Attempt {
            plan,
            slot,
            program_id: None,
            prompt,
            max_tokens: self.max_output_tokens(&plan.payload),
            attained_tokens: 0,
            log,
        };
        let AttemptEnd { result, report, .. } = self.attempt(&attempt).await;
        self.record_first_token(plan, &report);
        guard.release(report);
        let response = result?;
        for frame in response.remaining_frames {
            log.push(frame);
        }
        Ok(())
    }

    fn single_slot_request(
        &self,
        plan: &CallPlan,
        excluded: Vec<String>,
        deadline: tokio::time::Instant,
    ) -> SlotRequest {
        SlotRequest {
            pool_ids: plan.pool_ids.clone(),
            account_id: plan.caller.account_id.clone(),
            program_id: None,
            call_number: 1,
            prompt_tokens: estimated_prompt_tokens(&plan.payload, 0),
            max_output_tokens: self.max_output_tokens(&plan.payload),
            attained_tokens: 0,
            prefix_endpoint_id: None,
            excluded,
            deadline,
        }
    }
}

/// Returns whether a failed call may be retried at another endpoint.
///
/// This requires that none of its response was forwarded, and that the call is idempotent or certainly
/// did not run.
pub(super) fn may_retry(plan: &CallPlan, failure: &Failure, log: &ResponseLog) -> bool {
    let safe_to_retry = plan.idempotent || failure.problem.ran == Ran::No;
    failure.retryable && safe_to_retry && !log.has_started()
}

/// Estimates the tokens of a prompt, including the program's history; 0 for a service call.
pub(super) fn estimated_prompt_tokens(payload: &CallPayload, history_bytes: u64) -> u64 {
    let CallPayload::Completion(request) = payload else {
        return 0;
    };
    let new_bytes: usize = request.messages.iter().map(String::len).sum();
    super::CompletionRequest::estimated_tokens(history_bytes + new_bytes as u64)
}

pub(super) fn timed_out() -> Problem {
    Problem::new(
        ProblemKind::CallTimeout,
        "the call did not complete before its deadline",
    )
    .ran(Ran::Unknown)
}

/// A guard that releases its slot when dropped, so that a cancelled call does not leak it.
#[derive(Debug)]
pub(super) struct SlotGuard<'a> {
    runner: &'a CallRunner,
    slot: Option<Slot>,
}

impl<'a> SlotGuard<'a> {
    pub(super) fn new(runner: &'a CallRunner, slot: Slot) -> Self {
        Self {
            runner,
            slot: Some(slot),
        }
    }

    /// Releases the slot with a report of its use.
    pub(super) fn release(mut self, report: crate::dispatch::SlotReport) {
        if let Some(slot) = self.slot.take() {
            self.runner.dispatcher.release(slot, report);
        }
    }
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        if let Some(slot) = self.slot.take() {
            self.runner
                .dispatcher
                .release(slot, crate::dispatch::SlotReport::default());
        }
    }
}
