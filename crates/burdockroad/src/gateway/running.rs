//! Programs that have called recently and therefore count as running.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::ProgramId;

/// Time after its last call for which a program counts as running.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(6);

/// Programs with a call admitted within `RUNNING_TIMEOUT`.
#[derive(Clone, Debug, Default)]
pub struct RunningPrograms {
    last_call_at: HashMap<ProgramId, Instant>,
}

impl RunningPrograms {
    /// Returns whether a call of the program was admitted within `RUNNING_TIMEOUT`.
    pub fn is_running(&self, program: &str, now: Instant) -> bool {
        let last_call_at = self.last_call_at.get(program);
        last_call_at.is_some_and(|at| now < *at + RUNNING_TIMEOUT)
    }

    /// Records that a call of the program was admitted.
    pub fn record_call(&mut self, program: &ProgramId, now: Instant) {
        if let Some(last_call_at) = self.last_call_at.get_mut(program) {
            *last_call_at = now;
            return;
        }
        self.last_call_at.insert(program.clone(), now);
    }

    /// Evicts programs whose last call is older than `RUNNING_TIMEOUT`.
    pub fn evict_expired(&mut self, now: Instant) {
        self.last_call_at.retain(|_, at| now < *at + RUNNING_TIMEOUT);
    }
}
