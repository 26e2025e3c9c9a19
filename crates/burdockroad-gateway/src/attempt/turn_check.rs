//! Check before a call is sent that its turn can end within the caller's time.

use super::Call;
use crate::{kept_turn::takes_stream_up, refusal::Refusal};

impl Call {
    /// Refuses a call that has not run and whose turn could not be served and stored within the time left. How long the
    /// rest of a stream takes that a caller takes up is not known.
    pub(super) fn check_turn(&self) -> Result<(), Refusal> {
        if self.kept_turn.is_none() || self.retries.unknown > 0 || takes_stream_up(&self.head) {
            return Ok(());
        }
        let turns = &self.shared.turns;
        if turns.may_be_served_in(&self.route.name, self.time_left()) {
            Ok(())
        } else {
            Err(Refusal::DeadlineExceededUnsent)
        }
    }
}
