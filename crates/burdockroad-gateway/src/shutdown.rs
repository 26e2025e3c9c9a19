//! Phases of a planned stop.
//!
//! The host first serves all calls, while the balancer and the `Connection: close` headers move callers to other hosts.
//! Then it closes the connections that wait for another call, and serves only the calls whose timeouts end before the
//! process does. At the end it answers the calls that are still running.

use std::time::{Duration, Instant};

use tokio::{
    sync::watch,
    time::{Instant as TokioInstant, sleep_until},
};

/// Longest time after the stop signal for which the host serves all calls.
const NOTICE_TIME_MAX: Duration = Duration::from_millis(2500);

/// Part of the grace period that is left unused, so that the process exits before it is killed.
const STOP_RESERVE: Duration = Duration::from_millis(400);

/// Time before the end of the process in which the last responses are sent.
const RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StopPlan {
    /// End of the time in which all calls are served.
    pub(crate) notice_end: Instant,
    /// Time at which the calls that are still running are answered.
    pub(crate) responses_due: Instant,
    /// Latest end of the process.
    pub(crate) end: Instant,
}

impl StopPlan {
    /// Plans a stop that began at `begun_at`.
    fn new(begun_at: Instant, grace_period: Duration) -> Self {
        let usable_time = grace_period.saturating_sub(STOP_RESERVE);
        Self {
            notice_end: begun_at + NOTICE_TIME_MAX.min(usable_time / 2),
            responses_due: begun_at + usable_time.saturating_sub(RESPONSE_TIME),
            end: begun_at + usable_time,
        }
    }
}

/// Whether the host is being stopped, and when which phase of the stop begins.
#[derive(Debug)]
pub(crate) struct Shutdown {
    /// Plan of the stop; `None` before it has begun.
    plan: watch::Sender<Option<StopPlan>>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            plan: watch::Sender::new(None),
        }
    }
}

impl Shutdown {
    /// Begins the stop.
    pub(crate) fn begin(&self, grace_period: Duration) -> StopPlan {
        let plan = StopPlan::new(Instant::now(), grace_period);
        self.plan.send_replace(Some(plan));
        plan
    }

    pub(crate) fn is_begun(&self) -> bool {
        self.plan.borrow().is_some()
    }

    /// Returns whether the host serves a call whose timeout ends at `deadline`.
    pub(crate) fn may_serve(&self, deadline: Instant) -> bool {
        self.plan
            .borrow()
            .is_none_or(|plan| Instant::now() < plan.notice_end || deadline <= plan.responses_due)
    }

    /// Waits until the host no longer serves all calls.
    pub(crate) async fn wait_for_notice_end(&self) {
        let plan = self.wait_for_plan().await;
        sleep_until(TokioInstant::from_std(plan.notice_end)).await;
    }

    /// Runs a part of a call. Returns `None` if the call must be answered before the part ends.
    pub(crate) async fn run_until_responses_are_due<F: Future>(&self, part: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = part => Some(output),
            () = self.wait_until_responses_are_due() => None,
        }
    }

    /// Waits until the calls that are still running must be answered.
    async fn wait_until_responses_are_due(&self) {
        let plan = self.wait_for_plan().await;
        sleep_until(TokioInstant::from_std(plan.responses_due)).await;
    }

    async fn wait_for_plan(&self) -> StopPlan {
        let mut plan = self.plan.subscribe();
        // The sender lives as long as `self`, so waiting does not fail.
        match plan.wait_for(Option::is_some).await.map(|plan| *plan) {
            Ok(Some(plan)) => plan,
            Ok(None) | Err(_) => std::future::pending().await,
        }
    }
}
