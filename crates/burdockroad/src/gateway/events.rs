//! Splitting of an event stream into complete events.

use bytes::{Bytes, BytesMut};

use super::event::{Block, read_block};

/// Id of a stream's first event.
const FIRST_ID: u64 = 1;

/// Bytes that a comment or an empty line counts for at least. Reading a shorter one takes as long.
const EVENTLESS_BLOCK_MIN_BYTES: usize = 64;

/// Part of a stream after which it broke off, although its response has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Truncation {
    /// The last event is incomplete.
    InsideEvent,
    /// No event has arrived.
    BeforeFirstEvent,
    /// The response repeats earlier events, and ends before the last one that the caller has received.
    BeforeLastId,
}

/// Bytes in a stream that are not its next event, so nothing after them belongs to the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForeignBytes {
    /// They are no event, for example the text of an error or the head of another response.
    NoEvent,
    /// An event whose id is not greater than that of the event before it.
    IdNotIncreasing,
    /// An event after others that did not arrive.
    EventsMissing,
}

/// Buffer that receives the bytes of an event stream and returns complete events.
///
/// An endpoint may stop in the middle of an event. The incomplete event stays in the buffer, so a stream that
/// resumes at another endpoint continues at an event boundary. After a resumption, events that were already
/// returned are dropped. From the first bytes that are not the stream's next event, nothing is returned until
/// the stream resumes.
#[derive(Clone, Debug, Default)]
pub struct EventBuffer {
    pending: BytesMut,
    /// Number of leading bytes of `pending` already searched for the end of an event.
    scanned_bytes: usize,
    last_id: Option<u64>,
    /// Id of the last event of the response that is being read; `None` before its first event.
    last_id_of_response: Option<u64>,
    foreign: Option<ForeignBytes>,
    released: u64,
    /// Bytes of the comments and empty lines since the last event, by [`EVENTLESS_BLOCK_MIN_BYTES`].
    eventless_block_bytes: usize,
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
        while self.foreign.is_none()
            && let Some(end) = self.find_end()
        {
            let event = self.pending.split_to(end);
            self.scanned_bytes = 0;
            match self.release(&event) {
                Ok(true) => ready.extend_from_slice(&event),
                Ok(false) => {}
                Err(foreign) => self.foreign = Some(foreign),
            }
        }
        ready.freeze()
    }

    /// Prepares for the response of another endpoint, at which the stream resumes. Discards an incomplete event.
    pub fn begin_response(&mut self) {
        self.pending.clear();
        self.scanned_bytes = 0;
        self.last_id_of_response = None;
        self.foreign = None;
        self.eventless_block_bytes = 0;
    }

    /// Returns the number of bytes after the last complete event.
    pub fn partial_bytes(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of bytes after the last event. Comments and empty lines are no events; short ones count for 64
    /// bytes each.
    ///
    /// # Example
    ///
    /// ```
    /// use burdockroad::gateway::EventBuffer;
    ///
    /// let mut buffer = EventBuffer::after(None);
    /// buffer.push(b"id: 1\ndata: a\n\n: c\n\nid: 2");
    /// assert_eq!(buffer.eventless_bytes(), 64 + 5);
    /// ```
    pub fn eventless_bytes(&self) -> usize {
        self.eventless_block_bytes + self.pending.len()
    }

    /// Checks that all bytes of the current response belong to the stream.
    ///
    /// # Errors
    ///
    /// Fails from the first bytes that are not the next event. Those that arrived before them were returned.
    ///
    /// # Example
    ///
    /// ```
    /// use burdockroad::gateway::{EventBuffer, ForeignBytes};
    ///
    /// let mut buffer = EventBuffer::after(None);
    /// assert_eq!(buffer.push(b"id: 1\ndata: a\n\n<p>sorry</p>\n\n"), "id: 1\ndata: a\n\n");
    /// assert_eq!(buffer.check_bytes(), Err(ForeignBytes::NoEvent));
    /// ```
    pub fn check_bytes(&self) -> Result<(), ForeignBytes> {
        self.foreign.map_or(Ok(()), Err)
    }

    /// Checks that a stream that has ended is complete.
    ///
    /// `is_delimited` says whether the framing of the response proves that its whole body has arrived. A
    /// response that ends with its connection proves nothing, since a crash closes connections, too.
    ///
    /// # Errors
    ///
    /// Fails when the stream ended inside an event or before the last event that the caller has, whatever the
    /// framing, or before the first event of a response that is not delimited.
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
        match self.last_id_of_response {
            // A resumed stream may have no events left, but only the framing can prove that.
            None if !is_delimited => Err(Truncation::BeforeFirstEvent),
            Some(last_id) if Some(last_id) < self.last_id => Err(Truncation::BeforeLastId),
            _ => Ok(()),
        }
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

    /// Returns whether the caller receives a block.
    fn release(&mut self, block: &[u8]) -> Result<bool, ForeignBytes> {
        let id = match read_block(block) {
            Block::Event { id } => id,
            Block::Comment => {
                self.eventless_block_bytes += block.len().max(EVENTLESS_BLOCK_MIN_BYTES);
                return Ok(true);
            }
            Block::NoEvent => return Err(ForeignBytes::NoEvent),
        };
        self.eventless_block_bytes = 0;
        if self.last_id_of_response.is_some_and(|last_id| id <= last_id) {
            return Err(ForeignBytes::IdNotIncreasing);
        }
        if self.last_id.is_some_and(|last_id| id <= last_id) {
            self.last_id_of_response = Some(id);
            return Ok(false);
        }
        let next_id = self.last_id.map_or(FIRST_ID, |last_id| last_id.saturating_add(1));
        if id != next_id {
            return Err(ForeignBytes::EventsMissing);
        }
        self.last_id_of_response = Some(id);
        self.last_id = Some(id);
        self.released += 1;
        Ok(true)
    }
}
