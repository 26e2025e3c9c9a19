//! What a program's tokens are spent and reserved for, as one host knows it.

use crate::{
    gateway::budget::{Ledger, program_budget::ProgramBudget},
    ids::Incarnation,
};

/// Tokens of one program, as of the host's calls and the last response of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenUse {
    /// Tokens that completed calls have generated.
    pub spent_tokens: u64,
    /// Tokens that this host has reserved.
    pub reserved_tokens: u64,
    /// Sum of the maximums of the calls that run on tokens of this host.
    pub running_tokens: u64,
    /// Sum of the maximums of the calls that wait for tokens at this host.
    pub waiting_tokens: u64,
    /// Tokens that other live processes have reserved.
    pub live_tokens: u64,
    /// Tokens that processes which are not live have reserved.
    pub lost_tokens: u64,
    /// Whether the outcome of a write is not known yet.
    pub write_pending: bool,
}

impl Ledger {
    /// Returns what a program's tokens are spent and reserved for; `live` are the other live processes.
    pub fn token_use(&self, program: &str, live: &[Incarnation]) -> Option<TokenUse> {
        let row = self.rows.get(program)?;
        Some(row.token_use(self.incarnation, live))
    }
}

impl ProgramBudget {
    fn token_use(&self, this: Incarnation, live: &[Incarnation]) -> TokenUse {
        let mut live_tokens = 0_u64;
        let mut lost_tokens = 0_u64;
        let stored = self.stored.iter();
        for reservation in stored.flat_map(|stored| &stored.budget.reservations) {
            if reservation.incarnation == this {
                continue;
            }
            let is_live = live.contains(&reservation.incarnation);
            let sum = if is_live {
                &mut live_tokens
            } else {
                &mut lost_tokens
            };
            *sum = sum.saturating_add(reservation.reserved_tokens);
        }
        TokenUse {
            spent_tokens: self.spent_tokens(),
            reserved_tokens: self.reserved_tokens,
            running_tokens: self.running_tokens,
            waiting_tokens: self.waiting_tokens,
            live_tokens,
            lost_tokens,
            write_pending: self.pending.is_some(),
        }
    }
}
