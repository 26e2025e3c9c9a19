//! What one host knows of one program's budget.

use std::time::Instant;

use crate::{
    gateway::budget::{Holder, StoredBudget, Versioned},
    ids::Incarnation,
};

/// Calls for which room is left when what calls gave back need not be written on its own.
const AMPLE_ROOM_CALLS: u64 = 5;

/// One program's row of a ledger.
#[derive(Debug)]
pub(super) struct Row {
    /// What the store was last seen to hold.
    pub(super) stored: Option<Versioned>,
    pub(super) budget_tokens: u64,
    /// Tokens that the store holds for this host.
    pub(super) held_tokens: u64,
    /// The most of calls that run; part of what is held.
    pub(super) running_tokens: u64,
    /// Tokens that ended calls handed out and that no write has yet counted; part of what is held.
    pub(super) used_tokens: u64,
    /// The most of calls that wait.
    pub(super) max_tokens: u64,
    /// The most of the latest call.
    pub(super) call_tokens: u64,
    /// Whether this host keeps the program's account.
    pub(super) keeps: bool,
    pub(super) pending: Option<Pending>,
    pub(super) queued: bool,
    pub(super) settle_at: Option<Instant>,
    /// When the store was last read for what other hosts gave back.
    pub(super) looked_at: Option<Instant>,
    pub(super) touched_at: Instant,
}

/// A write whose outcome is not known.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) expected_revision: Option<i64>,
    pub(super) budget: StoredBudget,
    /// What this host holds once the write is made.
    pub(super) held_tokens: u64,
    /// Part of the used tokens that the write counts as spent.
    pub(super) counted_tokens: u64,
    pub(super) under_way: bool,
}

impl Row {
    pub(super) fn new(budget_tokens: u64, now: Instant) -> Self {
        Self {
            stored: None,
            budget_tokens,
            held_tokens: 0,
            running_tokens: 0,
            used_tokens: 0,
            max_tokens: 0,
            call_tokens: 0,
            keeps: false,
            pending: None,
            queued: false,
            settle_at: None,
            looked_at: None,
            touched_at: now,
        }
    }

    /// Held tokens that no call uses, whether or not a write under way is made.
    pub(super) fn free_tokens(&self) -> u64 {
        let now = self.held_tokens.saturating_sub(self.used_tokens);
        let later = self.pending.as_ref().map_or(now, |pending| {
            let used = self.used_tokens.saturating_sub(pending.counted_tokens);
            pending.held_tokens.saturating_sub(used)
        });
        now.min(later).saturating_sub(self.running_tokens)
    }

    /// Tokens that ended calls handed out, as far as known here.
    pub(super) fn spent_tokens(&self) -> u64 {
        let stored = self.stored.as_ref();
        stored.map_or(0, |stored| stored.budget.spent_tokens) + self.used_tokens
    }

    /// Tokens that other hosts hold.
    pub(super) fn others_tokens(&self) -> u64 {
        let held = self
            .stored
            .as_ref()
            .map_or(0, |stored| stored.budget.held_tokens());
        held.saturating_sub(self.held_tokens)
    }

    /// Tokens that could be held for calls that wait.
    pub(super) fn room_tokens(&self) -> u64 {
        let taken = self.spent_tokens() + self.others_tokens() + self.running_tokens;
        self.budget_tokens.saturating_sub(taken)
    }

    /// Whether other hosts may soon miss what is held here for nothing.
    pub(super) fn has_to_settle(&self) -> bool {
        let idle = self.held_tokens.saturating_sub(self.running_tokens);
        let in_store = self
            .budget_tokens
            .saturating_sub(self.spent_tokens() + self.others_tokens());
        let visible = in_store.saturating_sub(self.held_tokens);
        idle > 0 && !self.keeps && self.pending.is_none() && visible < self.call_tokens * AMPLE_ROOM_CALLS
    }

    /// Makes the next write; one of unknown outcome is sent again unchanged until its fate is known.
    pub(super) fn plan(&mut self, incarnation: Incarnation, write_mark: u64) -> Option<Pending> {
        if let Some(pending) = &mut self.pending {
            pending.under_way = true;
            return Some(pending.clone());
        }
        let room = self.room_tokens();
        let wanted = self.max_tokens.min(room);
        let ahead = if self.keeps { room / 2 } else { 0 };
        let held_tokens = self.running_tokens + wanted.max(ahead);
        if held_tokens == self.held_tokens && self.used_tokens == 0 {
            return None;
        }
        let mut budget = self
            .stored
            .as_ref()
            .map(|stored| stored.budget.clone())
            .unwrap_or_default();
        budget.spent_tokens += self.used_tokens;
        budget.holders.retain(|holder| holder.incarnation != incarnation);
        if held_tokens > 0 {
            budget.holders.push(Holder {
                incarnation,
                held_tokens,
                write_mark,
            });
        }
        let pending = Pending {
            expected_revision: self.stored.as_ref().map(|stored| stored.revision),
            budget,
            held_tokens,
            counted_tokens: self.used_tokens,
            under_way: true,
        };
        self.pending = Some(pending.clone());
        Some(pending)
    }

    pub(super) fn note_written(&mut self, revision: i64) {
        if let Some(pending) = self.pending.take() {
            self.held_tokens = pending.held_tokens;
            self.used_tokens = self.used_tokens.saturating_sub(pending.counted_tokens);
            self.stored = Some(Versioned {
                budget: pending.budget,
                revision,
            });
        }
    }

    /// Takes what the key holds, which tells whether a pending write was made: a host's part of the value
    /// changes with each of its writes, and only with these.
    pub(super) fn note_found(&mut self, found: Option<Versioned>, incarnation: Incarnation) {
        if let Some(pending) = self.pending.take() {
            let unchanged = found.as_ref().map(|found| found.revision) == pending.expected_revision;
            let of_found = found.as_ref().and_then(|found| found.budget.holder(incarnation));
            let made = !unchanged && of_found == pending.budget.holder(incarnation);
            if made {
                self.held_tokens = pending.held_tokens;
                self.used_tokens = self.used_tokens.saturating_sub(pending.counted_tokens);
            } else if unchanged {
                // It was not made so far, but may still be on its way.
                self.pending = Some(Pending {
                    under_way: false,
                    ..pending
                });
            }
        }
        self.stored = found;
    }

    pub(super) fn note_unsettled(&mut self) {
        if let Some(pending) = &mut self.pending {
            pending.under_way = false;
        }
    }
}
