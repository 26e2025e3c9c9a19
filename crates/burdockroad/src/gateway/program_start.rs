//! Admission of new programs while a service is congested.
//!
//! Load pattern: twice the usual number of programs for some seconds. If all of them ran at the same time, they
//! would finish too late to be useful. The gate therefore refuses programs at their first call, so that
//! running programs finish in time. Some of the refused programs retry later and are admitted then.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::ProgramId;

/// Load, in calls per slot of a service, from which new programs are refused.
const START_LOAD_MAX: f64 = 0.85;

/// Additional load admitted for programs of the most urgent priority.
const URGENT_EXTRA_LOAD: f64 = 0.1;

/// Additional load admitted for programs that were refused before.
const RETURNING_EXTRA_LOAD: f64 = 0.05;

/// Minimum retry delay of a refused program.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(250);

/// Maximum random addition to the retry delay, which spreads the retries of refused programs.
const RETRY_JITTER_MAX: Duration = Duration::from_millis(500);

/// Time after a refusal within which a program counts as refused before.
const REFUSAL_RETENTION: Duration = Duration::from_secs(5);

/// Decision on whether a program may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartDecision {
    /// The program may start.
    Admitted,
    /// The program must not start now.
    Refused {
        /// Time after which it may retry.
        retry_after: Duration,
    },
}

/// Admission gate for new programs, with the time of each program's last refusal.
#[derive(Clone, Debug, Default)]
pub struct ProgramStartGate {
    refused_at: HashMap<ProgramId, Instant>,
}

impl ProgramStartGate {
    /// Decides whether a program may start at a service with `load` calls per slot.
    ///
    /// `jitter` is a random number from 0 to 1 that spreads the retries.
    pub fn decide(
        &mut self,
        program: &ProgramId,
        load: f64,
        priority: u8,
        jitter: f64,
        now: Instant,
    ) -> StartDecision {
        let returning = self.refused_at.contains_key(program);
        let mut load_max = START_LOAD_MAX;
        if priority == 0 {
            load_max += URGENT_EXTRA_LOAD;
        }
        if returning {
            load_max += RETURNING_EXTRA_LOAD;
        }
        if load < load_max {
            self.refused_at.remove(program);
            return StartDecision::Admitted;
        }
        self.refused_at.insert(program.clone(), now);
        StartDecision::Refused {
            retry_after: RETRY_AFTER_MIN + RETRY_JITTER_MAX.mul_f64(jitter.clamp(0.0, 1.0)),
        }
    }

    /// Removes refusals older than `REFUSAL_RETENTION`.
    pub fn evict_expired(&mut self, now: Instant) {
        self.refused_at.retain(|_, at| now < *at + REFUSAL_RETENTION);
    }
}
