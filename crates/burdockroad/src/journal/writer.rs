//! Writer of a journal.

mod action;
mod index;
mod options;
mod pacer;
mod queue;
mod removal;
mod segment_writes;
mod store_state;
mod tail;
mod waiters;

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

pub use self::{
    action::{Action, ReadReply, TailReply, WriteReply},
    options::{Peer, WriterOptions},
};
use self::{
    pacer::Pacer,
    queue::{Queue, QueuedRecord, Role},
    removal::Removal,
    store_state::StoreState,
    tail::{DueBatch, TailReplicator},
    waiters::{Progress, Waiters},
};
use crate::{
    error::Result,
    journal::{Durability, JournalError, Position, RECORD_MAX_BYTES, TailBatch},
    ownership::Process,
    program::{Event, Record},
};

/// Number by which the caller identifies an append.
pub type Ticket = u64;

/// Maximum size of the records in one batch of copies, in bytes.
const COPIES_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Minimum retry delay suggested to callers.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Batches records into segments, and decides when the segments are written and the records replicated.
#[derive(Clone, Debug)]
pub struct Writer {
    options: WriterOptions,
    queue: Queue,
    waiters: Waiters,
    pacer: Pacer,
    tail: TailReplicator,
    store: StoreState,
    removal: Removal,
    completions: Vec<Action>,
    fenced: bool,
}

impl Writer {
    /// Creates the writer of a new journal. Its first segment is due immediately.
    ///
    /// No record counts as stored until the journal is open. It opens when a segment is stored by the
    /// first attempt to write it.
    pub fn new(options: WriterOptions, now: Instant) -> Self {
        Self {
            queue: Queue::new(options.segment_max_bytes),
            waiters: Waiters::default(),
            pacer: Pacer::new(
                options.writes_per_s,
                options.writes_burst,
                options.window_min,
                options.window_max,
                now,
            ),
            tail: TailReplicator::new(options.owner.clone(), options.failure_domain.clone()),
            store: StoreState::new(),
            removal: Removal::new(options.segments_max, options.stored_max_bytes),
            completions: Vec::new(),
            fenced: false,
            options,
        }
    }

    /// Returns whether another process has sealed the journal.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Checks whether new work that needs this durability can be accepted.
    ///
    /// # Errors
    ///
    /// Fails if the journal is sealed, if the durability cannot be reached at present, or if the queue
    /// exceeds [`WriterOptions::queue_max_bytes`].
    pub fn admit(&self, durability: Durability, now: Instant) -> std::result::Result<(), JournalError> {
        if self.fenced {
            return Err(JournalError::Fenced);
        }
        let progress = self.progress(now);
        if progress.is_unattainable(durability) || self.queue.bytes() > self.options.queue_max_bytes {
            return Err(progress.unavailable());
        }
        Ok(())
    }

    /// Queues records. The result of the append is returned by a later [`poll`](Self::poll).
    pub fn append(&mut self, records: &[Record], durability: Durability, ticket: Ticket, now: Instant) {
        if self.fenced {
            return self.complete(ticket, Err(JournalError::Fenced));
        }
        let queued: Result<Vec<QueuedRecord>> = records.iter().map(queued_record).collect();
        // A record that cannot be encoded can never be stored, so it is treated like one that is too
        // large.
        let Ok(queued) = queued else {
            return self.complete(ticket, Err(JournalError::TooLarge));
        };
        if queued.iter().any(|record| record.bytes.len() > RECORD_MAX_BYTES) {
            return self.complete(ticket, Err(JournalError::TooLarge));
        }
        for record in queued {
            self.queue.push(record);
            self.store.batch_started_at.get_or_insert(now);
        }
        let deadline = now + self.options.append_timeout;
        self.waiters.push(ticket, self.queue.end(), durability, deadline);
    }

    /// Sets the live peers, and whether a majority of the hosts is live.
    pub fn set_peers(&mut self, peers: Vec<Peer>, majority_live: bool) {
        self.tail.set_peers(peers, majority_live);
    }

    /// Handles the reply to [`Action::Replicate`].
    pub fn replicated(&mut self, from: &Process, session: u64, reply: TailReply, now: Instant) {
        match reply {
            TailReply::Acknowledged(acked_end) => self.tail.on_replicated(from, session, acked_end, now),
            TailReply::Sealed => self.fence(),
            TailReply::Failed => self.tail.on_replication_failed(from, session, now),
        }
    }

    /// Handles the reply to [`Action::Remove`].
    pub fn removed(&mut self, succeeded: bool) {
        self.removal.on_removal_ended(succeeded);
    }

    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.completions);
        if self.fenced {
            return actions;
        }
        self.tail.choose_peer(now);
        let progress = self.progress(now);
        self.tail.advance_relied_on(progress.replicated_end);
        for (ticket, result) in self.waiters.settle(&progress, now) {
            actions.push(Action::Complete { ticket, result });
        }
        self.poll_copies(&mut actions, now);
        self.poll_write(&mut actions, &progress, now);
        if self.store.failures == 0 {
            actions.extend(self.removal.poll(self.queue.partial_record_segment(), now));
        }
        actions
    }

    /// Returns when [`poll`](Self::poll) must be called next, unless another event occurs first.
    pub fn next_poll(&self, now: Instant) -> Option<Instant> {
        if self.fenced {
            return None;
        }
        let waiters = self.waiters.next_deadline();
        let times = [waiters, self.tail.next_retry(), self.next_write(now)];
        times.into_iter().flatten().min()
    }

    fn poll_copies(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let (first, end) = (self.queue.first(), self.queue.end());
        for due in self.tail.due(first, end, now) {
            let records = self.queue.copies(due.position, COPIES_MAX_BYTES);
            actions.push(replicate(due, records, first));
        }
        for due in self.tail.releases(end) {
            actions.push(replicate(due, Vec::new(), end));
        }
    }

    fn fence(&mut self) {
        self.fenced = true;
        self.queue.clear();
        self.store.in_flight = None;
        for (ticket, result) in self.waiters.fence() {
            self.complete(ticket, result);
        }
    }

    fn complete(&mut self, ticket: Ticket, result: std::result::Result<(), JournalError>) {
        self.completions.push(Action::Complete { ticket, result });
    }

    fn progress(&self, now: Instant) -> Progress {
        let retry_in = self
            .store
            .retry_at
            .map(|retry_at| retry_at.saturating_duration_since(now));
        Progress {
            stored_end: self.store.stored_end,
            replicated_end: self.tail.replicated_end(),
            store_down: self.store.is_down(),
            tail_usable: self.tail.is_usable(),
            retry_after: retry_in.unwrap_or_default().max(RETRY_AFTER_MIN),
        }
    }
}

fn replicate(due: DueBatch, records: Vec<Arc<[u8]>>, stored_end: Position) -> Action {
    Action::Replicate {
        to: due.to,
        copies: TailBatch {
            session: due.session,
            position: due.position,
            records,
            stored_end,
        },
    }
}

fn queued_record(record: &Record) -> Result<QueuedRecord> {
    let role = match &record.event {
        Event::Created { parent_id: None, .. } | Event::Snapshot { .. } => Role::Base,
        Event::Dropped => Role::End,
        _ => Role::Change,
    };
    Ok(QueuedRecord {
        root_id: record.root_id.clone(),
        role,
        bytes: record.encode()?.into(),
        stored_bytes: 0,
        first_segment: None,
    })
}
