//! Counting of failed attempts, and the steps that follow them.

use std::time::Instant;

use burdockroad::gateway::{Endpoint, Failure, NextStep, Outcome, RetryState, next_step};

use super::Call;

impl Call {
    /// Records that the current endpoint's response broke off. Returns whether the call may be attempted
    /// again.
    pub(crate) fn record_broken_response(&mut self) -> bool {
        let Some(endpoint) = self.end_attempt(Outcome::Failed) else {
            return false;
        };
        self.count_unknown(endpoint)
    }

    /// Counts an attempt of unknown outcome, and lets the next attempt use the same endpoint if it must. Returns
    /// whether the call may be attempted again.
    pub(super) fn count_unknown(&mut self, endpoint: Endpoint) -> bool {
        let step = self.step_after_unknown(&endpoint);
        self.count(Failure::Unknown, &endpoint);
        if step == NextStep::SameEndpoint {
            self.next_endpoint = Some(endpoint);
        }
        matches!(step, NextStep::SameEndpoint | NextStep::OtherEndpoint)
    }

    /// Returns whether the call may be attempted again if the current endpoint does not respond further.
    pub(crate) fn may_attempt_again(&self) -> bool {
        let endpoint = self.current_endpoint.as_ref();
        endpoint.is_some_and(|endpoint| self.step_after_unknown(endpoint) != NextStep::GiveUp)
    }

    /// Returns the step that follows an attempt of unknown outcome at an endpoint.
    pub(super) fn step_after_unknown(&self, endpoint: &Endpoint) -> NextStep {
        let retries = self.retries_after_unknown(endpoint);
        next_step(
            self.route.kind,
            self.route.endpoints_max,
            Failure::Unknown,
            retries,
        )
    }

    /// Returns the retry state after an attempt of unknown outcome at an endpoint.
    fn retries_after_unknown(&self, endpoint: &Endpoint) -> RetryState {
        let is_new = !self.possibly_ran_on.contains(&endpoint.id);
        RetryState {
            unknown: self.retries.unknown + 1,
            last_endpoint_removed: false,
            unreachable_attempts: 0,
            endpoints_run: self.retries.endpoints_run + u32::from(is_new),
            ..self.retries
        }
    }

    /// Counts a failed attempt in the retry state and logs the attempt. Closes the idle connections to the
    /// endpoint unless it was full, and has it checked whether it crashed.
    pub(super) fn count(&mut self, failure: Failure, endpoint: &Endpoint) {
        if failure != Failure::Full {
            self.shared.pool.close_idle(&endpoint.id);
        }
        if failure == Failure::NotListening {
            let mut tables = self.shared.tables();
            tables
                .endpoints
                .record_refused_connection(&endpoint.id, Instant::now());
        }
        let may_have_run_here = self.possibly_ran_on.contains(&endpoint.id);
        match failure {
            Failure::Unknown => {
                self.check_for_crash(endpoint);
                self.retries = self.retries_after_unknown(endpoint);
                if !may_have_run_here {
                    self.possibly_ran_on.push(endpoint.id.clone());
                }
            }
            Failure::NotListening
            | Failure::WrongEndpoint
            | Failure::Unreachable
            | Failure::Full
            | Failure::Evacuated => {
                if failure == Failure::NotListening {
                    self.retries.refused += 1;
                } else {
                    self.retries.unstarted += 1;
                }
                if may_have_run_here && failure == Failure::Unreachable {
                    self.retries.unreachable_attempts += 1;
                }
                if may_have_run_here && matches!(failure, Failure::NotListening | Failure::WrongEndpoint) {
                    self.retries.last_endpoint_removed = true;
                    self.retries.endpoints_run = self.retries.endpoints_run.saturating_sub(1);
                }
            }
        }
        if !self.attempted.contains(&endpoint.id) {
            self.attempted.push(endpoint.id.clone());
        }
        self.record
            .record_failure(&self.shared, &self.head, endpoint, failure);
    }
}
