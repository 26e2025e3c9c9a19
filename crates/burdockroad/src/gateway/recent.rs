//! Programs that have begun at this host.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::ProgramId;

/// Time after its last call for which a program counts as running.
const RUNNING_AFTER_CALL: Duration = Duration::from_secs(6);

/// Programs whose calls were admitted lately.
#[derive(Clone, Debug, Default)]
pub struct RunningPrograms {
    seen_at: HashMap<ProgramId, Instant>,
}

impl RunningPrograms {
    /// Whether a call of the program was admitted lately.
    pub fn is_known(&self, program: &str, now: Instant) -> bool {
        let seen_at = self.seen_at.get(program);
        seen_at.is_some_and(|at| now < *at + RUNNING_AFTER_CALL)
    }

    /// Notes that a call of the program was admitted.
    pub fn note(&mut self, program: &ProgramId, now: Instant) {
        if let Some(seen_at) = self.seen_at.get_mut(program) {
            *seen_at = now;
            return;
        }
        self.seen_at.insert(program.clone(), now);
    }

    /// Forgets programs that have ended.
    pub fn forget_old(&mut self, now: Instant) {
        self.seen_at.retain(|_, at| now < *at + RUNNING_AFTER_CALL);
    }
}
