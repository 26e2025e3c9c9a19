//! Calls outside a program, which nobody can ask for again: they are not recorded.

use std::sync::Arc;

use crate::{
    answer::{AnswerLog, AnswerReader, Frame},
    calls::{
        CallRunner, Plan, Work,
        attempt::{Attempt, AttemptEnd, Failure},
        clock, withdrawn,
    },
    dispatch::{Slot, SlotRequest},
    problem::{Problem, ProblemKind, Ran},
};

impl CallRunner {
    /// Runs a call outside a program; it stops when nobody reads its answer any more.
    pub fn single_call(&self, plan: Plan) -> AnswerReader {
        let log = AnswerLog::new();
        let reader = log.reader();
        let runner = self.clone();
        tokio::spawn(async move { runner.run_single(&plan, &log).await });
        reader
    }

    async fn run_single(&self, plan: &Plan, log: &Arc<AnswerLog>) {
        let outcome = tokio::select! {
            outcome = self.try_single(plan, log) => outcome,
            () = self.key_withdrawn(&plan.caller) => Err(withdrawn().ran(Ran::Unknown)),
            () = tokio::time::sleep_until(plan.deadline) => Err(timed_out()),
            () = log.unread() => return,
        };
        match outcome {
            Ok(()) => log.push(Frame::End),
            Err(problem) => {
                self.note_refusal(plan, &problem);
                log.fail(&problem);
            }
        }
    }

    async fn try_single(&self, plan: &Plan, log: &Arc<AnswerLog>) -> Result<(), Problem> {
        let slot_deadline = self.latest_start(plan);
        let queued = clock();
        if !plan.caller.account_id.is_empty() {
            self.quota.admit(&plan.caller.account_id, slot_deadline).await?;
        }
        self.record_call(plan);
        let mut tried = Vec::new();
        loop {
            let slot = self
                .dispatcher
                .acquire(self.single_slot(plan, self.excluded(plan, &tried), slot_deadline))
                .await?;
            if !self.key_works(&plan.caller) {
                self.dispatcher
                    .release(slot, crate::dispatch::SlotReport::default());
                return Err(withdrawn());
            }
            if tried.is_empty() {
                self.note_queue(plan, queued);
            }
            tried.push(slot.endpoint_id.clone());
            let failure = match self.single_attempt(plan, &slot, log).await {
                Ok(()) => return Ok(()),
                Err(failure) => failure,
            };
            if !may_repeat(plan, &failure, log) {
                return Err(failure.problem);
            }
            let Some(wait) = self.draw_retry(plan, &tried) else {
                return Err(failure.problem);
            };
            tokio::time::sleep(wait).await;
        }
    }

    async fn single_attempt(&self, plan: &Plan, slot: &Slot, log: &Arc<AnswerLog>) -> Result<(), Failure> {
        let Work::Completion(request) = &plan.work else {
            return self.one_attempt(plan, slot, &[], log).await;
        };
        self.one_attempt(plan, slot, &request.messages, log).await
    }

    async fn one_attempt(
        &self,
        plan: &Plan,
        slot: &Slot,
        prompt: &[String],
        log: &Arc<AnswerLog>,
    ) -> Result<(), Failure> {
        let guard = SlotGuard::new(self, slot.clone());
        let attempt = Attempt {
            plan,
            slot,
            program_id: None,
            prompt,
            max_tokens: self.max_tokens(&plan.work),
            attained_tokens: 0,
            log,
        };
        let AttemptEnd { result, report, .. } = self.attempt(&attempt).await;
        self.note_answer(plan, &report);
        guard.close(report);
        let whole = result?;
        for frame in whole.rest {
            log.push(frame);
        }
        Ok(())
    }

    fn single_slot(&self, plan: &Plan, excluded: Vec<String>, slot_deadline: tokio::time::Instant) -> SlotRequest {
        SlotRequest {
            pool_ids: plan.pool_ids.clone(),
            account_id: plan.caller.account_id.clone(),
            program_id: None,
            call_number: 1,
            prompt_tokens: prompt_tokens(&plan.work, 0),
            max_output_tokens: self.max_tokens(&plan.work),
            attained_tokens: 0,
            prefix_endpoint_id: None,
            excluded,
            slot_deadline,
        }
    }
}

/// Whether a failed call may be sent again: nothing of its answer was passed on, and it either may
/// be repeated or certainly did not run.
pub(super) fn may_repeat(plan: &Plan, failure: &Failure, log: &AnswerLog) -> bool {
    let harmless = plan.idempotent || failure.problem.ran == Ran::No;
    failure.elsewhere && harmless && !log.has_begun()
}

/// Estimated tokens of a prompt, with the history before it; 0 for a service.
pub(super) fn prompt_tokens(work: &Work, history_bytes: u64) -> u64 {
    let Work::Completion(request) = work else {
        return 0;
    };
    let new_bytes: usize = request.messages.iter().map(String::len).sum();
    super::CompletionRequest::estimated_tokens(history_bytes + new_bytes as u64)
}

pub(super) fn timed_out() -> Problem {
    Problem::new(ProblemKind::CallTimeout, "the call's time is over").ran(Ran::Unknown)
}

/// Gives a slot back even when the call that held it is dropped.
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

    /// Gives the slot back with what was seen on it.
    pub(super) fn close(mut self, report: crate::dispatch::SlotReport) {
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
