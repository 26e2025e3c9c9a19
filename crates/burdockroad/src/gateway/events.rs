//! Splitting of an event stream into complete events.

use bytes::{Bytes, BytesMut};

/// Part of a stream after which it broke off, although its response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The last event is incomplete.
    InsideEvent,
    /// No event has arrived.
    BeforeFirstEvent,
}

/// Buffer that receives the bytes of an event stream and returns complete events.
///
/// An endpoint may stop in the middle of an event. The incomplete event stays in the buffer, so a stream that
/// resumes at another endpoint continues at an event boundary. After a resumption, events that were already
/// returned are dropped.
#[derive(Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Number of leading bytes of `pending` already searched for the end of an event.
    scanned_bytes: usize,
    last_id: Option<u64>,
    released: u64,
}

impl EventBuffer {
    /// Creates a buffer whose caller has received all events up to `last_id`.
    pub fn after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Adds bytes and returns the events that they complete; empty if there are none.
    pub fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.pending.extend_from_slice(chunk);
        let mut ready = BytesMut::new();
        while let Some(end) = self.find_end() {
            let event = self.pending.split_to(end);
            self.scanned_bytes = 0;
            self.release(&event, &mut ready);
        }
        ready.freeze()
    }

    /// Discards an incomplete event, for a stream that resumes at another endpoint.
    pub fn discard_partial(&mut self) {
        self.pending.clear();
        self.scanned_bytes = 0;
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Checks that a stream that has ended is complete.
    ///
    /// `is_delimited` says whether the framing of the response proves that its whole body has arrived. A
    /// response that ends with its connection proves nothing, since a crash closes connections, too.
    ///
    /// # Errors
    ///
    /// Fails when the stream ended inside an event, whatever the framing, or before the first event of a
    /// response that is not delimited.
    ///
    /// # Example
    ///
    /// ```
    /// use burdockroad::gateway::{EventBuffer, Truncation};
    ///
    /// let mut buffer = EventBuffer::after(None);
    /// buffer.push(b"id: 1\ndata: a\n\nid: 2\nda");
    /// assert_eq!(buffer.check_end(true), Err(Truncation::InsideEvent));
    /// ```
    pub fn check_end(&self, is_delimited: bool) -> Result<(), Truncation> {
        if !self.pending.is_empty() {
            return Err(Truncation::InsideEvent);
        }
        // A resumed stream may have no events left, so only a stream from the start must have one.
        if !is_delimited && self.last_id.is_none() {
            return Err(Truncation::BeforeFirstEvent);
        }
        Ok(())
    }

    /// Returns the id of the last event released to the caller.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of events with an id released to the caller.
    pub fn released(&self) -> u64 {
        self.released
    }

    /// Returns the offset after the empty line that ends the first event.
    fn find_end(&mut self) -> Option<usize> {
        // The line break before an empty line may be among the bytes already scanned.
        let from = self.scanned_bytes.saturating_sub(2);
        let tail = &self.pending[from..];
        for (at, byte) in tail.iter().enumerate() {
            if *byte != b'\n' {
                continue;
            }
            match tail.get(at + 1..) {
                Some([b'\n', ..]) => return Some(from + at + 2),
                Some([b'\r', b'\n', ..]) => return Some(from + at + 3),
                _ => {}
            }
        }
        self.scanned_bytes = self.pending.len();
        None
    }

    fn release(&mut self, event: &BytesMut, ready: &mut BytesMut) {
        let id = event_id(event);
        if let (Some(id), Some(last_id)) = (id, self.last_id)
            && id <= last_id
        {
            return;
        }
        if id.is_some() {
            self.last_id = id;
            self.released += 1;
        }
        ready.extend_from_slice(event);
    }
}

/// Returns the id in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    let line = event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
