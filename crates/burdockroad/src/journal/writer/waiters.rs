//! Appends that wait until their records are durable.

use std::time::{Duration, Instant};

use crate::journal::{Durability, JournalError, Position, Ticket};

/// How far the records of a journal are durable.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Position after the last record that is stored; 0 before the first segment is.
    pub(super) stored_end: Position,
    /// Position after the last record that is stored or has a copy.
    pub(super) replicated_end: Position,
    /// Whether the store fails at present.
    pub(super) store_down: bool,
    /// Whether a peer can take copies at present.
    pub(super) tail_usable: bool,
    /// When a later try may succeed.
    pub(super) retry_after: Duration,
}

/// The answer to one append.
pub(super) type Answer = (Ticket, Result<(), JournalError>);

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

    /// Whether one of them needs the next write at once.
    pub(super) fn urgent(&self, progress: &Progress) -> bool {
        self.waiting
            .iter()
            .any(|waiter| waiter.durability == Durability::Stored || !progress.tail_usable)
    }

    /// When the first of them has waited long enough.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiter| waiter.deadline).min()
    }

    /// Takes out those whose records are durable, or cannot be made so in time.
    pub(super) fn settle(&mut self, progress: &Progress, now: Instant) -> Vec<Answer> {
        let mut answers = Vec::new();
        self.waiting.retain(|waiter| match waiter.outcome(progress, now) {
            Some(outcome) => {
                answers.push((waiter.ticket, outcome));
                false
            }
            None => true,
        });
        answers
    }

    /// Tells all of them that the journal is sealed.
    pub(super) fn fence(&mut self) -> Vec<Answer> {
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
        if now < self.deadline && !progress.hopeless(self.durability) {
            return None;
        }
        Some(Err(progress.unavailable()))
    }
}

impl Progress {
    /// Whether waiting for that durability is of no use at present.
    pub(super) fn hopeless(&self, durability: Durability) -> bool {
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
