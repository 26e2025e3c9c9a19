//! Claims at a host that stores turns.
//!
//! A claim is stored like a turn. The host lists the claims of an account only after the new claim is on its
//! disk, so of two processes that claim the same thing here, the later one learns of the earlier one.

use std::sync::atomic::Ordering;

use burdockroad::gateway::Turn;

use crate::turn_store::{messages::TurnResponse, state::TurnHostState};

impl TurnHostState {
    /// Stores a claim, and lists all claims of its account.
    pub(super) async fn store_claim(&self, claim: Turn) -> TurnResponse {
        if self.is_leaving() {
            return TurnResponse::NotStored;
        }
        let account = claim.key.account.clone();
        match self.log.append(vec![claim]).await {
            Ok(()) => TurnResponse::Claims {
                claims: self.log.turns_of(&account),
                complete: self.complete.load(Ordering::Relaxed),
            },
            Err(error) => {
                self.log_disk_error(&error);
                TurnResponse::NotStored
            }
        }
    }
}
