//! Check before a call is sent that its turn can be stored.

use super::Call;
use crate::refusal::{Refusal, TurnObstacle};

impl Call {
    /// Refuses a call that has not run and whose turn could not be stored now, or not within the time left.
    pub(super) fn check_turn(&self) -> Result<(), Refusal> {
        if self.kept_turn.is_none() || self.retries.unknown > 0 {
            return Ok(());
        }
        let turns = &self.shared.turns;
        if !turns.can_store(self.allowed_regions()) {
            return Err(Refusal::TurnUnavailable(TurnObstacle::DiskHostsLost));
        }
        if !turns.may_be_served_in(&self.route.name, self.time_left()) {
            return Err(Refusal::DeadlineExceededUnsent);
        }
        Ok(())
    }
}
