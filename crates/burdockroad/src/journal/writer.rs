//! Writer of a journal.

mod action;
mod index;
mod options;
mod pacer;
mod queue;
mod removal;
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
    queue::{Group, Queue, QueuedRecord, Role},
    removal::Removal,
    tail::{DueBatch, TailReplicator},
    waiters::{Progress, Waiters},
};
use crate::{
    error::Result,
    ids::SegmentNumber,
    journal::{Durability, JournalError, Position, RECORD_MAX_BYTES, StoredSegment, TailBatch},
    ownership::Process,
    program::{Event, Record},
};

/// Number by which the caller identifies an append.
pub type Ticket = u64;

/// Maximum size of the records in one batch of copies, in bytes.
const COPIES_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Number of consecutive failures after which the store is considered down.
const FAILURES_MAX: u32 = 3;

/// Delay before a segment is written again that a write with unknown outcome did not create.
const REWRITE_BACKOFF: Duration = Duration::from_millis(20);

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

/// State of the segments in the store.
#[derive(Clone, Debug)]
struct StoreState {
    next_segment: SegmentNumber,
    /// Position after the last completely stored record; 0 before the journal is open.
    stored_end: Position,
    /// Whether a segment was stored that no delayed duplicate write can create again.
    ///
    /// After the journal is removed, a delayed duplicate of a write could recreate a segment, and the next
    /// segment could then be created after it. No duplicate exists of the write that opened the journal,
    /// so a replaced writer cannot get past that segment.
    open: bool,
    in_flight: Option<InFlightWrite>,
    failures: u32,
    retry_at: Option<Instant>,
    /// Start of the batching window of the next group.
    batch_started_at: Option<Instant>,
}

/// A group that is being written.
#[derive(Clone, Debug)]
struct InFlightWrite {
    group: Group,
    step: Step,
    /// Whether an earlier write of the group may have taken effect.
    may_be_stored: bool,
    started_at: Instant,
}

/// Progress of writing a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// The write is in progress.
    Writing,
    /// The read-back is in progress.
    Reading,
    /// The write had an unknown outcome. The segment must be read back.
    NeedsRead,
    /// The segment was not found. The same value must be written again, because the earlier write may
    /// still take effect.
    NeedsWrite,
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

    /// Handles the reply to [`Action::Write`].
    pub fn written(&mut self, reply: WriteReply, now: Instant) {
        let Some(mut in_flight) = self.store.in_flight.take() else {
            return;
        };
        match reply {
            WriteReply::Done => self.on_stored(&in_flight, now),
            WriteReply::Exists(found) => self.check_stored_segment(&in_flight, &found, now),
            WriteReply::Removed => self.fence(),
            WriteReply::Ambiguous => {
                in_flight.step = Step::NeedsRead;
                in_flight.may_be_stored = true;
                self.store.on_failure(Duration::ZERO, now);
                self.store.in_flight = Some(in_flight);
            }
            WriteReply::Unavailable { retry_after } => {
                self.store.on_failure(retry_after, now);
                self.on_not_written(in_flight);
            }
        }
    }

    /// Handles the reply to [`Action::ReadBack`].
    pub fn read_back(&mut self, reply: ReadReply, now: Instant) {
        let Some(mut in_flight) = self.store.in_flight.take() else {
            return;
        };
        match reply {
            ReadReply::Found(found) => self.check_stored_segment(&in_flight, &found, now),
            ReadReply::Absent => {
                in_flight.step = Step::NeedsWrite;
                self.store.retry_at = Some(now + REWRITE_BACKOFF);
                self.store.in_flight = Some(in_flight);
            }
            ReadReply::Unavailable { retry_after } => {
                in_flight.step = Step::NeedsRead;
                self.store.on_failure(retry_after, now);
                self.store.in_flight = Some(in_flight);
            }
        }
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

    fn poll_write(&mut self, actions: &mut Vec<Action>, progress: &Progress, now: Instant) {
        if self.store.retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        let step = self.store.in_flight.as_ref().map(|in_flight| in_flight.step);
        match step {
            Some(Step::NeedsRead) => self.start_reading(actions),
            Some(Step::NeedsWrite) if self.pacer.allowed_at(now) <= now => self.start_writing(actions, now),
            Some(Step::Writing | Step::Reading | Step::NeedsWrite) => {}
            None => {
                if (self.is_urgent(progress) || self.window_elapsed(now)) && self.pacer.allowed_at(now) <= now
                {
                    self.start_group(now);
                    self.start_writing(actions, now);
                }
            }
        }
    }

    fn start_group(&mut self, now: Instant) {
        let (segment, writer_id) = (self.store.next_segment, self.options.writer_id);
        let group = self
            .queue
            .build_group(segment, writer_id, |end| self.tail.peer_to_name(end));
        // Plain data always encodes. If it did not, the records would stay queued and their appends
        // would time out.
        let Ok(group) = group else { return };
        self.tail.on_write_started(&group);
        self.store.batch_started_at = None;
        self.store.in_flight = Some(InFlightWrite {
            group,
            step: Step::NeedsWrite,
            may_be_stored: false,
            started_at: now,
        });
    }

    fn start_writing(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let Some(in_flight) = &mut self.store.in_flight else {
            return;
        };
        in_flight.step = Step::Writing;
        self.pacer.take(now);
        self.store.retry_at = None;
        actions.push(Action::Write {
            segment: in_flight.group.segment,
            value: Arc::clone(&in_flight.group.value),
        });
    }

    fn start_reading(&mut self, actions: &mut Vec<Action>) {
        let Some(in_flight) = &mut self.store.in_flight else {
            return;
        };
        in_flight.step = Step::Reading;
        self.store.retry_at = None;
        actions.push(Action::ReadBack {
            segment: in_flight.group.segment,
        });
    }

    /// Checks whether this writer created the segment that already exists under the written number, and
    /// fences the writer if not.
    fn check_stored_segment(&mut self, in_flight: &InFlightWrite, found: &[u8], now: Instant) {
        match StoredSegment::decode(found) {
            Ok(StoredSegment::Group(segment)) if segment.writer_id == self.options.writer_id => {
                self.on_stored(in_flight, now);
            }
            // A seal, or a segment that this writer did not create.
            Ok(_) | Err(_) => self.fence(),
        }
    }

    fn on_stored(&mut self, in_flight: &InFlightWrite, now: Instant) {
        let group = &in_flight.group;
        let records = self.queue.on_stored(group);
        self.removal.on_stored(group, records);
        self.tail.on_stored(group);
        self.pacer
            .record_write_time(now.saturating_duration_since(in_flight.started_at));
        self.store.next_segment = group.segment + 1;
        self.store.open |= !in_flight.may_be_stored;
        if self.store.open {
            self.store.stored_end = group.end;
        }
        self.store.failures = 0;
        self.store.retry_at = None;
        if !self.queue.is_empty() {
            self.store.batch_started_at.get_or_insert(now);
        }
    }

    /// Discards a group that was not written. Its records are still queued and are grouped again. If an
    /// earlier write of the group may have taken effect, the segment is read back instead.
    fn on_not_written(&mut self, mut in_flight: InFlightWrite) {
        if in_flight.may_be_stored {
            in_flight.step = Step::NeedsRead;
            self.store.in_flight = Some(in_flight);
            return;
        }
        self.tail.on_write_failed();
        self.store.batch_started_at.get_or_insert(in_flight.started_at);
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

    /// Returns whether a segment must be written before the batching window ends.
    ///
    /// This is the case after a failure: callers are refused until the store recovers, and only a write
    /// can detect that it has recovered.
    fn is_urgent(&self, progress: &Progress) -> bool {
        !self.store.open
            || self.store.failures > 0
            || self.tail.needs_peer_change()
            || self.waiters.is_urgent(progress)
    }

    fn window_elapsed(&self, now: Instant) -> bool {
        let since = self.store.batch_started_at;
        since.is_some_and(|since| now >= since + self.pacer.window())
    }

    fn next_write(&self, now: Instant) -> Option<Instant> {
        let due = match &self.store.in_flight {
            Some(in_flight) if matches!(in_flight.step, Step::Writing | Step::Reading) => return None,
            Some(_) => now,
            None if self.is_urgent(&self.progress(now)) => now,
            None => self.store.batch_started_at? + self.pacer.window(),
        };
        let allowed = due.max(self.pacer.allowed_at(now));
        Some(
            self.store
                .retry_at
                .map_or(allowed, |retry_at| allowed.max(retry_at)),
        )
    }
}

impl StoreState {
    fn new() -> Self {
        Self {
            next_segment: 1,
            stored_end: 0,
            open: false,
            in_flight: None,
            failures: 0,
            retry_at: None,
            batch_started_at: None,
        }
    }

    fn on_failure(&mut self, retry_after: Duration, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + retry_after);
    }

    fn is_down(&self) -> bool {
        self.failures >= FAILURES_MAX
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
