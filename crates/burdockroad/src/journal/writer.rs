//! The writer of one journal.

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
    queue::{Group, Pending, Queue, Role},
    removal::Removal,
    tail::{Due, Tail},
    waiters::{Progress, Waiters},
};
use crate::{
    error::Result,
    ids::SegmentNumber,
    journal::{Copies, Durability, JournalError, Position, RECORD_MAX_BYTES, StoredSegment},
    ownership::Process,
    program::{Event, Record},
};

/// Number by which the caller knows one append.
pub type Ticket = u64;

/// Largest batch of copies in one message, in bytes.
const COPIES_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Failures in a row after which the store counts as down.
const FAILURES_MAX: u32 = 3;

/// Pause before a key whose write was lost is written again.
const REWRITE_PAUSE: Duration = Duration::from_millis(20);

/// Shortest time after which a caller may try again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Gathers records, and decides when they are written and copied.
#[derive(Clone, Debug)]
pub struct Writer {
    options: WriterOptions,
    queue: Queue,
    waiters: Waiters,
    pacer: Pacer,
    tail: Tail,
    store: Store,
    removal: Removal,
    answers: Vec<Action>,
    fenced: bool,
}

/// The segments in the store.
#[derive(Clone, Debug)]
struct Store {
    next_segment: SegmentNumber,
    /// Position after the last record that is stored whole; 0 before the journal is open.
    stored_end: Position,
    /// Whether a segment is stored of which no second write can be on its way.
    ///
    /// A late copy of an earlier segment's write could put that segment back after the journal was
    /// removed, and the next one after it, but never this one: it is where a replaced writer ends.
    open: bool,
    writing: Option<Writing>,
    failures: u32,
    retry_at: Option<Instant>,
    /// When records that nobody waits for began to gather.
    gathering_since: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Writing {
    group: Group,
    step: Step,
    /// Whether an earlier write of it may have taken effect.
    lost_reply: bool,
    began_at: Instant,
}

/// What is under way for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Its write is under way.
    Write,
    /// It is being read back.
    Read,
    /// It may have been written; it is to be read back.
    ToRead,
    /// It was not found; it is to be written again, unchanged, since the lost write may still arrive.
    ToWrite,
}

impl Writer {
    /// Makes the writer of a new journal, whose first segment is due at once.
    ///
    /// Until the journal is open nothing in it counts as stored: a segment must have been stored with the
    /// first write of it.
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
            tail: Tail::new(options.me.clone(), options.failure_domain.clone()),
            store: Store::new(),
            removal: Removal::new(options.segments_max, options.stored_max_bytes),
            answers: Vec::new(),
            fenced: false,
            options,
        }
    }

    /// Whether another process has sealed the journal.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Tells whether new work may be taken that needs that durability.
    ///
    /// # Errors
    ///
    /// As the append would be answered at present.
    pub fn admit(&self, durability: Durability, now: Instant) -> std::result::Result<(), JournalError> {
        if self.fenced {
            return Err(JournalError::Fenced);
        }
        let progress = self.progress(now);
        if progress.hopeless(durability) || self.queue.bytes() > self.options.queue_max_bytes {
            return Err(progress.unavailable());
        }
        Ok(())
    }

    /// Queues records; the answer comes with a later [`poll`](Self::poll).
    pub fn append(&mut self, records: &[Record], durability: Durability, ticket: Ticket, now: Instant) {
        if self.fenced {
            return self.answer(ticket, Err(JournalError::Fenced));
        }
        let pending: Result<Vec<Pending>> = records.iter().map(pending).collect();
        // A record that cannot be encoded will never be stored, as one that is too large.
        let Ok(pending) = pending else {
            return self.answer(ticket, Err(JournalError::TooLarge));
        };
        if pending.iter().any(|record| record.bytes.len() > RECORD_MAX_BYTES) {
            return self.answer(ticket, Err(JournalError::TooLarge));
        }
        for record in pending {
            self.queue.push(record);
            self.store.gathering_since.get_or_insert(now);
        }
        let deadline = now + self.options.append_timeout;
        self.waiters.push(ticket, self.queue.end(), durability, deadline);
    }

    /// Takes note of the peers that are alive, and whether most of the hosts are heard.
    pub fn set_peers(&mut self, peers: Vec<Peer>, hears_most: bool) {
        self.tail.set_peers(peers, hears_most);
    }

    /// Takes the reply to [`Action::Write`].
    pub fn written(&mut self, reply: WriteReply, now: Instant) {
        let Some(mut writing) = self.store.writing.take() else {
            return;
        };
        match reply {
            WriteReply::Done => self.stored(&writing, now),
            WriteReply::Held(held) => self.settle(&writing, &held, now),
            WriteReply::Removed => self.fence(),
            WriteReply::Ambiguous => {
                writing.step = Step::ToRead;
                writing.lost_reply = true;
                self.store.failed(Duration::ZERO, now);
                self.store.writing = Some(writing);
            }
            WriteReply::Unavailable { retry_after } => {
                self.store.failed(retry_after, now);
                self.not_written(writing);
            }
        }
    }

    /// Takes the reply to [`Action::ReadBack`].
    pub fn read_back(&mut self, reply: ReadReply, now: Instant) {
        let Some(mut writing) = self.store.writing.take() else {
            return;
        };
        match reply {
            ReadReply::Held(held) => self.settle(&writing, &held, now),
            ReadReply::Absent => {
                writing.step = Step::ToWrite;
                self.store.retry_at = Some(now + REWRITE_PAUSE);
                self.store.writing = Some(writing);
            }
            ReadReply::Unavailable { retry_after } => {
                writing.step = Step::ToRead;
                self.store.failed(retry_after, now);
                self.store.writing = Some(writing);
            }
        }
    }

    /// Takes the reply to [`Action::Replicate`].
    pub fn replicated(&mut self, from: &Process, session: u64, reply: TailReply, now: Instant) {
        match reply {
            TailReply::Held(held_end) => self.tail.held(from, session, held_end, now),
            TailReply::Sealed => self.fence(),
            TailReply::Failed => self.tail.failed(from, session, now),
        }
    }

    /// Takes the reply to [`Action::Remove`].
    pub fn removed(&mut self, succeeded: bool) {
        self.removal.ended(succeeded);
    }

    /// Returns what is to be done now.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.answers);
        if self.fenced {
            return actions;
        }
        self.tail.choose(now);
        let progress = self.progress(now);
        self.tail.rely(progress.replicated_end);
        for (ticket, result) in self.waiters.settle(&progress, now) {
            actions.push(Action::Answer { ticket, result });
        }
        self.poll_copies(&mut actions, now);
        self.poll_write(&mut actions, &progress, now);
        if self.store.failures == 0 {
            actions.extend(self.removal.poll(self.queue.begun_in(), now));
        }
        actions
    }

    /// When [`poll`](Self::poll) is to be called next if nothing else happens.
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
        let step = self.store.writing.as_ref().map(|writing| writing.step);
        match step {
            Some(Step::ToRead) => self.start_reading(actions),
            Some(Step::ToWrite) if self.pacer.allowed_at(now) <= now => self.start_writing(actions, now),
            Some(Step::Write | Step::Read | Step::ToWrite) => {}
            None => {
                if (self.urgent(progress) || self.window_ended(now)) && self.pacer.allowed_at(now) <= now {
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
            .group(segment, writer_id, |end| self.tail.nameable(end));
        // Plain data always encodes; were it not so, records would stay queued and callers be told.
        let Ok(group) = group else { return };
        self.tail.writing(&group);
        self.store.gathering_since = None;
        self.store.writing = Some(Writing {
            group,
            step: Step::ToWrite,
            lost_reply: false,
            began_at: now,
        });
    }

    fn start_writing(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let Some(writing) = &mut self.store.writing else {
            return;
        };
        writing.step = Step::Write;
        self.pacer.take(now);
        self.store.retry_at = None;
        actions.push(Action::Write {
            segment: writing.group.segment,
            value: Arc::clone(&writing.group.value),
        });
    }

    fn start_reading(&mut self, actions: &mut Vec<Action>) {
        let Some(writing) = &mut self.store.writing else {
            return;
        };
        writing.step = Step::Read;
        self.store.retry_at = None;
        actions.push(Action::ReadBack {
            segment: writing.group.segment,
        });
    }

    /// Finds out whose segment stands under the number that was written.
    fn settle(&mut self, writing: &Writing, held: &[u8], now: Instant) {
        match StoredSegment::decode(held) {
            Ok(StoredSegment::Group(segment)) if segment.writer_id == self.options.writer_id => {
                self.stored(writing, now);
            }
            // A seal, or anything else that this writer did not put there.
            Ok(_) | Err(_) => self.fence(),
        }
    }

    fn stored(&mut self, writing: &Writing, now: Instant) {
        let group = &writing.group;
        let records = self.queue.stored(group);
        self.removal.stored(group, records);
        self.tail.stored(group);
        self.pacer
            .measured(now.saturating_duration_since(writing.began_at));
        self.store.next_segment = group.segment + 1;
        self.store.open |= !writing.lost_reply;
        if self.store.open {
            self.store.stored_end = group.end;
        }
        self.store.failures = 0;
        self.store.retry_at = None;
        if !self.queue.is_empty() {
            self.store.gathering_since.get_or_insert(now);
        }
    }

    /// Lets the records of a group be grouped anew, unless an earlier write of it may have taken effect.
    fn not_written(&mut self, mut writing: Writing) {
        if writing.lost_reply {
            writing.step = Step::ToRead;
            self.store.writing = Some(writing);
            return;
        }
        self.tail.not_written();
        self.store.gathering_since.get_or_insert(writing.began_at);
    }

    fn fence(&mut self) {
        self.fenced = true;
        self.queue.clear();
        self.store.writing = None;
        for (ticket, result) in self.waiters.fence() {
            self.answer(ticket, result);
        }
    }

    fn answer(&mut self, ticket: Ticket, result: std::result::Result<(), JournalError>) {
        self.answers.push(Action::Answer { ticket, result });
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
            tail_usable: self.tail.usable(),
            retry_after: retry_in.unwrap_or_default().max(RETRY_AFTER_MIN),
        }
    }

    /// Whether a segment is to be written without waiting for the window to end.
    ///
    /// After a failure it is: callers are refused at once then, and only a write tells that the store
    /// is back.
    fn urgent(&self, progress: &Progress) -> bool {
        !self.store.open || self.store.failures > 0 || self.tail.must_name() || self.waiters.urgent(progress)
    }

    fn window_ended(&self, now: Instant) -> bool {
        let since = self.store.gathering_since;
        since.is_some_and(|since| now >= since + self.pacer.window())
    }

    fn next_write(&self, now: Instant) -> Option<Instant> {
        let due = match &self.store.writing {
            Some(writing) if matches!(writing.step, Step::Write | Step::Read) => return None,
            Some(_) => now,
            None if self.urgent(&self.progress(now)) => now,
            None => self.store.gathering_since? + self.pacer.window(),
        };
        let allowed = due.max(self.pacer.allowed_at(now));
        Some(
            self.store
                .retry_at
                .map_or(allowed, |retry_at| allowed.max(retry_at)),
        )
    }
}

impl Store {
    fn new() -> Self {
        Self {
            next_segment: 1,
            stored_end: 0,
            open: false,
            writing: None,
            failures: 0,
            retry_at: None,
            gathering_since: None,
        }
    }

    fn failed(&mut self, retry_after: Duration, now: Instant) {
        self.failures = self.failures.saturating_add(1);
        self.retry_at = Some(now + retry_after);
    }

    fn is_down(&self) -> bool {
        self.failures >= FAILURES_MAX
    }
}

fn replicate(due: Due, records: Vec<Arc<[u8]>>, stored_end: Position) -> Action {
    Action::Replicate {
        to: due.to,
        copies: Copies {
            session: due.session,
            position: due.position,
            records,
            stored_end,
        },
    }
}

fn pending(record: &Record) -> Result<Pending> {
    let role = match &record.event {
        Event::Created { parent_id: None, .. } | Event::Snapshot { .. } => Role::Base,
        Event::Dropped => Role::End,
        _ => Role::Change,
    };
    Ok(Pending {
        root_id: record.root_id.clone(),
        role,
        bytes: record.encode()?.into(),
        stored_bytes: 0,
        begins_in: None,
    })
}
