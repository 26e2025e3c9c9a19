//! Writing of segments: when a group is due, and how a write with an unknown outcome is resolved.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use super::{
    Action, ReadReply, WriteReply, Writer,
    store_state::{InFlightWrite, Step},
    waiters::Progress,
};
use crate::journal::StoredSegment;

/// Delay before a segment is written again that a write with unknown outcome did not create.
const REWRITE_BACKOFF: Duration = Duration::from_millis(20);

impl Writer {
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

    pub(super) fn poll_write(&mut self, actions: &mut Vec<Action>, progress: &Progress, now: Instant) {
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

    pub(super) fn next_write(&self, now: Instant) -> Option<Instant> {
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
