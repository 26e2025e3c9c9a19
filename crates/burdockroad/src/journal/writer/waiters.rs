//! Appends that wait for their records to become durable.

use std::time::{Duration, Instant};

use crate::journal::{Durability, JournalError, Position, Ticket};

/// Current durability of the records of a journal.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Position after the last completely stored record; 0 before the journal is open.
    pub(super) stored_end: Position,
    /// Position after the last record that is replicated to all required peers; 0 while copies do not
    /// count as durable.
    pub(super) replicated_end: Position,
    /// Whether the store is considered down.
    pub(super) store_down: bool,
    /// Whether a peer can currently accept copies.
    pub(super) tail_usable: bool,
    /// Delay before a retry of a failed append.
    pub(super) retry_after: Duration,
}

/// Result of one append.
pub(super) type Completion = (Ticket, Result<(), JournalError>);

#[derive(Clone, Debug, Default)]
pub(super) struct Waiters {
    waiting: Vec<Waiter>,
}

#[derive(Clone, Debug)]
struct Waiter {
    ticket: Ticket,
    end: Position,
    durability: Durability,
    deadline: Instant,
}

impl Waiters {
    pub(super) fn push(&mut self, ticket: Ticket, end: Position, durability: Durability, deadline: Instant) {
        self.waiting.push(Waiter {
            ticket,
            end,
            durability,
            deadline,
        });
    }

    /// Returns whether any waiting append requires an immediate write.
    pub(super) fn is_urgent(&self, progress: &Progress) -> bool {
        self.waiting
            .iter()
            .any(|waiter| waiter.durability == Durability::Stored || !progress.tail_usable)
    }

    /// Returns the earliest deadline of all waiting appends.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiter| waiter.deadline).min()
    }

    /// Removes and returns the appends whose records are durable, have timed out, or cannot currently
    /// become durable.
    pub(super) fn settle(&mut self, progress: &Progress, now: Instant) -> Vec<Completion> {
        let mut completions = Vec::new();
        self.waiting.retain(|waiter| match waiter.outcome(progress, now) {
            Some(outcome) => {
                completions.push((waiter.ticket, outcome));
                false
            }
            None => true,
        });
        completions
    }

    /// Fails all waiting appends because the journal is sealed.
    pub(super) fn fence(&mut self) -> Vec<Completion> {
        let waiting = std::mem::take(&mut self.waiting);
        let tickets = waiting.into_iter().map(|waiter| waiter.ticket);
        tickets
            .map(|ticket| (ticket, Err(JournalError::Fenced)))
            .collect()
    }
}

impl Waiter {
    fn outcome(&self, progress: &Progress, now: Instant) -> Option<Result<(), JournalError>> {
        let durable = match self.durability {
            Durability::Queued => true,
            Durability::Replicated => self.end <= progress.replicated_end.max(progress.stored_end),
            Durability::Stored => self.end <= progress.stored_end,
        };
        if durable {
            return Some(Ok(()));
        }
        if now < self.deadline && !progress.is_unattainable(self.durability) {
            return None;
        }
        Some(Err(progress.unavailable()))
    }
}

impl Progress {
    /// Returns whether records currently cannot reach this durability, so appends should fail without
    /// waiting.
    pub(super) fn is_unattainable(&self, durability: Durability) -> bool {
        match durability {
            Durability::Queued => false,
            Durability::Replicated => self.store_down && !self.tail_usable,
            Durability::Stored => self.store_down,
        }
    }

    pub(super) fn unavailable(&self) -> JournalError {
        JournalError::Unavailable {
            retry_after: self.retry_after,
        }
    }
}
