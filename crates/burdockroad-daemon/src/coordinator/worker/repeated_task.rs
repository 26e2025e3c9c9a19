//! Task that is started repeatedly.

use std::time::Duration;

use tokio::{task::JoinHandle, time::Instant};

/// Task that is started repeatedly, with at most one run at a time.
#[derive(Debug)]
pub(super) struct RepeatedTask {
    pub(super) first_due: Instant,
    last_start: Option<Instant>,
    pub(super) task: Option<JoinHandle<()>>,
}

impl RepeatedTask {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            first_due: now,
            last_start: None,
            task: None,
        }
    }

    pub(super) fn is_running(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Returns whether the task is not running and was last started at least `interval` ago.
    pub(super) fn is_due(&self, now: Instant, interval: Duration) -> bool {
        !self.is_running() && self.last_start.is_none_or(|start| now - start >= interval)
    }

    pub(super) fn start(&mut self, now: Instant, work: impl Future<Output = ()> + Send + 'static) {
        self.last_start = Some(now);
        self.task = Some(tokio::spawn(work));
    }

    pub(super) async fn cancel(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            // The result is the cancellation error of the abort.
            let _ = task.await;
        }
    }
}
