//! Calls of a program: in order, within budget, recorded before they are sent and before their answer
//! ends.

use std::sync::Arc;

use burdockroad::{
    CallNumber, ProgramId,
    program::{CallKind, CallRequest, CallResponse, Outcome, Placement, Usage},
};
use bytes::Bytes;
use tokio::time::Instant;

use crate::{
    answer::{AnswerLog, AnswerReader, Frame, Head},
    calls::{
        CallRunner, CompletionRequest, EVENT_STREAM_CONTENT_TYPE, JSON_CONTENT_TYPE, Plan, Work,
        attempt::{Attempt, AttemptEnd, Failure, Whole},
        clock,
        completion::{stream_body, whole_body},
        single_call::{SlotGuard, may_repeat, prompt_tokens, timed_out},
        withdrawn,
    },
    dispatch::{Slot, SlotReport, SlotRequest},
    journal::{Appended, JournalError},
    problem::{Problem, ProblemKind, Ran},
    programs::{RunningCall, Settlement, Taken},
};

/// Where a call stands in its program.
#[derive(Clone, Debug)]
pub struct ProgramPosition {
    /// The program.
    pub program_id: ProgramId,
    /// The call's number.
    pub number: CallNumber,
}

/// How far a call has come, so that stopping it says truthfully whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Waiting,
    Sent,
}

/// A call of a program while it runs.
#[derive(Debug)]
struct ProgramCall {
    plan: Plan,
    position: ProgramPosition,
    log: Arc<AnswerLog>,
    usage: Usage,
    prefix_endpoint_id: Option<String>,
    slot_deadline: Instant,
    /// Endpoints that the call was sent to, or was about to be.
    tried: Vec<String>,
}

impl CallRunner {
    /// Runs a call of a program, or joins or repeats the answer of an earlier try of it.
    ///
    /// # Errors
    ///
    /// Fails when the program does not take the call; it did not run then.
    pub async fn program_call(&self, plan: Plan, position: ProgramPosition) -> Result<AnswerReader, Problem> {
        let request = call_request(&plan, &position);
        match self.programs.begin(request).await? {
            Taken::Attach(log) => Ok(log.reader()),
            Taken::Answered(answer) => Ok(repeat(&plan, &answer).reader()),
            Taken::Run {
                call,
                usage,
                prefix_endpoint_id,
            } => {
                let reader = call.log.reader();
                let slot_deadline = self.latest_start(&plan);
                let log = Arc::clone(&call.log);
                let tried = Vec::new();
                let started = ProgramCall {
                    plan,
                    position,
                    log,
                    usage,
                    prefix_endpoint_id,
                    slot_deadline,
                    tried,
                };
                let runner = self.clone();
                // A task of its own: the call goes on when its caller is gone.
                tokio::spawn(async move { runner.run_program_call(started, call).await });
                Ok(reader)
            }
        }
    }

    async fn run_program_call(&self, mut call: ProgramCall, running: RunningCall) {
        let RunningCall { mut stop, .. } = running;
        let mut quota_paid = false;
        self.record_call(&call.plan);
        loop {
            let outcome = self.try_program_call(&mut call, &mut stop, &mut quota_paid).await;
            match outcome {
                Ok(rest) => return finish(&call.log, rest),
                Err(Retry::Never(problem)) => return call.log.fail(&problem),
                Err(Retry::Elsewhere(problem)) => {
                    let Some(wait) = self.draw_retry(&call.plan, &call.tried) else {
                        return call.log.fail(&problem);
                    };
                    tokio::time::sleep(wait).await;
                    let Some(reopened) = self.reopen(&call).await else {
                        return call.log.fail(&problem);
                    };
                    stop = reopened.stop;
                }
            }
        }
    }

    /// One pass from the queue to the recorded result.
    async fn try_program_call(
        &self,
        call: &mut ProgramCall,
        stop: &mut tokio::sync::watch::Receiver<bool>,
        quota_paid: &mut bool,
    ) -> Result<Vec<Frame>, Retry> {
        let queued = clock();
        let slot = match self.wait_for_slot(call, stop, quota_paid).await {
            Ok(slot) => slot,
            Err(problem) => {
                self.note_refusal(&call.plan, &problem);
                self.programs.withdraw(call.position.program_id.clone());
                return Err(Retry::Never(problem));
            }
        };
        self.note_queue(&call.plan, queued);
        call.tried.push(slot.endpoint_id.clone());
        let guard = SlotGuard::new(self, slot.clone());
        let placement = Placement {
            pool_id: slot.pool_id.clone(),
            endpoint_id: slot.endpoint_id.clone(),
            max_tokens: self.max_tokens(&call.plan.work),
        };
        let sent = self
            .programs
            .send(call.position.program_id.clone(), placement)
            .await;
        let (sending, appended) = sent.map_err(|refusal| Retry::Never(refusal.into()))?;
        if let Err(problem) = recorded(appended).await {
            guard.close(SlotReport::default());
            return Err(Retry::Never(self.give_up(call, problem).await));
        }
        let mut progress = Progress::Sent;
        let attempt = Attempt {
            plan: &call.plan,
            slot: &slot,
            program_id: Some(&call.position.program_id).filter(|_| call.plan.keeps_prefix),
            prompt: &sending.prompt,
            max_tokens: sending.reserved_tokens,
            attained_tokens: call.usage.attained_tokens,
            log: &call.log,
        };
        let deadline = call.plan.deadline.min(Instant::now() + sending.time_left);
        let end = tokio::select! {
            end = self.attempt(&attempt) => end,
            stopped = self.stopped(call, stop, deadline) => {
                progress = Progress::Waiting;
                stopped_end(stopped, sending.reserved_tokens)
            }
        };
        self.note_answer(&call.plan, &end.report);
        self.note_waste(call, &end.report);
        guard.close(end.report);
        self.settle(call, end, progress).await
    }

    /// Takes note of the history that the engine had to compute again.
    fn note_waste(&self, call: &ProgramCall, report: &SlotReport) {
        let known = CompletionRequest::estimated_tokens(call.usage.history_bytes);
        let wasted = known
            .min(report.prompt_tokens)
            .saturating_sub(report.cached_tokens);
        if wasted > 0 {
            self.telemetry
                .record_recomputed_tokens(&call.plan.caller.account_id, wasted);
        }
    }

    async fn wait_for_slot(
        &self,
        call: &ProgramCall,
        stop: &mut tokio::sync::watch::Receiver<bool>,
        quota_paid: &mut bool,
    ) -> Result<Slot, Problem> {
        let account_id = &call.plan.caller.account_id;
        if !*quota_paid && !account_id.is_empty() {
            self.quota.admit(account_id, call.slot_deadline).await?;
            *quota_paid = true;
        }
        let request = self.slot_request(call);
        let slot = tokio::select! {
            slot = self.dispatcher.acquire(request) => slot?,
            problem = self.stopped(call, stop, call.plan.deadline) => return Err(problem.ran(Ran::No)),
        };
        if self.key_works(&call.plan.caller) {
            return Ok(slot);
        }
        self.dispatcher.release(slot, SlotReport::default());
        Err(withdrawn())
    }

    /// Waits until the call has to stop, and says why.
    async fn stopped(
        &self,
        call: &ProgramCall,
        stop: &mut tokio::sync::watch::Receiver<bool>,
        deadline: Instant,
    ) -> Problem {
        tokio::select! {
            _ = stop.wait_for(|stopped| *stopped) => {
                Problem::new(ProblemKind::Stopped, "the program ended while the call ran").ran(Ran::Unknown)
            }
            () = self.key_withdrawn(&call.plan.caller) => withdrawn().ran(Ran::Unknown),
            () = tokio::time::sleep_until(deadline) => timed_out(),
        }
    }

    /// Records that a call whose intent could not be made durable was not sent.
    async fn give_up(&self, call: &ProgramCall, problem: Problem) -> Problem {
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
        progress: Progress,
    ) -> Result<Vec<Frame>, Retry> {
        let program_id = call.position.program_id.clone();
        let outcome = outcome(&call.plan, &end);
        let settlement = Settlement {
            program_id,
            outcome,
            spent_tokens: end.spent_tokens,
        };
        let settled = self.programs.settle(settlement).await;
        let Whole { rest, .. } = match end.result {
            Ok(whole) => whole,
            Err(failure) => return Err(retry(call, failure, progress)),
        };
        let Some(appended) = settled else {
            return Err(Retry::Never(moved_after_run()));
        };
        match recorded(appended).await {
            Ok(()) => Ok(rest),
            Err(problem) => Err(Retry::Never(problem.ran(Ran::Yes))),
        }
    }

    /// Opens the call again for another attempt; none when the program no longer takes it.
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
            prompt_tokens: prompt_tokens(&call.plan.work, call.usage.history_bytes),
            max_output_tokens: self.max_tokens(&call.plan.work),
            attained_tokens: call.usage.attained_tokens,
            prefix_endpoint_id: call.prefix_endpoint_id.clone(),
            excluded: self.excluded(&call.plan, &call.tried),
            slot_deadline: call.slot_deadline,
        }
    }
}

/// Whether a failed pass is followed by another.
#[derive(Debug)]
enum Retry {
    Never(Problem),
    Elsewhere(Problem),
}

/// Whether a failed pass is followed by another.
fn retry(call: &ProgramCall, failure: Failure, progress: Progress) -> Retry {
    let again = progress == Progress::Sent
        && Instant::now() < call.slot_deadline
        && may_repeat(&call.plan, &failure, &call.log);
    if again {
        Retry::Elsewhere(failure.problem)
    } else {
        Retry::Never(failure.problem)
    }
}

/// Waits until an append is durable.
pub(crate) async fn recorded(appended: Appended) -> Result<(), Problem> {
    match appended.await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.into()),
        // The journal is gone without an answer, as when the process stops.
        Err(_) => Err(JournalError::Fenced.into()),
    }
}

fn outcome(plan: &Plan, end: &AttemptEnd) -> Outcome {
    let failure = match &end.result {
        Ok(whole) => return Outcome::Answered(whole.answer.clone()),
        Err(failure) => failure,
    };
    let reason = failure.problem.detail.clone();
    match failure.problem.ran {
        Ran::No if end.spent_tokens == 0 => Outcome::NotRun,
        _ if plan.idempotent => Outcome::Failed { reason },
        _ => Outcome::Unknown { reason },
    }
}

fn stopped_end(problem: Problem, spent_tokens: u64) -> AttemptEnd {
    let failure = Failure {
        problem,
        elsewhere: false,
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

fn finish(log: &AnswerLog, rest: Vec<Frame>) {
    for frame in rest {
        log.push(frame);
    }
    log.push(Frame::End);
}

fn call_request(plan: &Plan, position: &ProgramPosition) -> CallRequest {
    let messages = match &plan.work {
        Work::Completion(request) => request.messages.clone(),
        Work::Service(_) => Vec::new(),
    };
    CallRequest {
        account_id: plan.caller.account_id.clone(),
        program_id: position.program_id.clone(),
        number: position.number,
        digest: plan.digest,
        route_id: plan.route_id.clone(),
        kind: plan.work.kind(),
        idempotent: plan.idempotent,
        messages,
        keeps_prefix: plan.keeps_prefix && plan.work.kind() == CallKind::Completion,
    }
}

/// A recorded answer in the form that the caller asks for.
fn repeat(plan: &Plan, answer: &CallResponse) -> Arc<AnswerLog> {
    let Work::Completion(request) = &plan.work else {
        let head = Head::new(answer.status, &answer.content_type);
        return AnswerLog::whole(head, Bytes::from(answer.body.clone()));
    };
    if request.stream {
        let head = Head::new(200, EVENT_STREAM_CONTENT_TYPE);
        return AnswerLog::whole(head, stream_body(answer, request.include_usage));
    }
    AnswerLog::whole(Head::new(200, JSON_CONTENT_TYPE), whole_body(answer))
}
