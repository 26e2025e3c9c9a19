//! Which programs may begin while a service is full.
//!
//! Load pattern: twice the usual number of programs for some seconds. All of them together would end too
//! late to be of use; refused at their first call, some come back when there is room, and those that have
//! begun end in time.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::ids::ProgramId;

/// Calls for each slot of a service from which programs are kept from beginning.
const FULL_LOAD: f64 = 0.85;

/// What the most urgent programs may add to that.
const URGENT_LOAD: f64 = 0.1;

/// What programs that were refused before may add to that.
const RETURNING_LOAD: f64 = 0.05;

/// Shortest time that a refused program is told to wait.
const RETRY_MIN: Duration = Duration::from_millis(250);

/// Longest time beyond that, by which refused programs are spread.
const RETRY_SPREAD: Duration = Duration::from_millis(500);

/// Time for which a refusal is remembered.
const REMEMBERED: Duration = Duration::from_secs(5);

/// Whether a program may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Beginning {
    /// It may.
    Admitted,
    /// It is to come back later.
    Refused {
        /// When.
        retry_after: Duration,
    },
}

/// Programs that were kept from beginning lately.
#[derive(Clone, Debug, Default)]
pub struct ProgramStartGate {
    refused_at: HashMap<ProgramId, Instant>,
}

impl ProgramStartGate {
    /// Decides whether a program may begin at a service with `load` calls for each slot.
    ///
    /// `spread` is a random number from 0 to 1 that parts those who come back.
    pub fn decide(
        &mut self,
        program: &ProgramId,
        load: f64,
        priority: u8,
        spread: f64,
        now: Instant,
    ) -> Beginning {
        let returning = self.refused_at.contains_key(program);
        let mut allowed_load = FULL_LOAD;
        if priority == 0 {
            allowed_load += URGENT_LOAD;
        }
        if returning {
            allowed_load += RETURNING_LOAD;
        }
        if load < allowed_load {
            self.refused_at.remove(program);
            return Beginning::Admitted;
        }
        self.refused_at.insert(program.clone(), now);
        Beginning::Refused {
            retry_after: RETRY_MIN + RETRY_SPREAD.mul_f64(spread.clamp(0.0, 1.0)),
        }
    }

    /// Forgets refusals that are long past.
    pub fn forget_old(&mut self, now: Instant) {
        self.refused_at.retain(|_, at| now < *at + REMEMBERED);
    }
}
