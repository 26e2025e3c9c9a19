//! Events of streams that callers may take up, on routes whose turns the system keeps.
//!
//! The record of a turn is what its caller has received over all its attempts. The host that serves an attempt may be gone
//! when the caller takes the stream up, so it sends the events to other hosts, the holders of the stream, before the
//! caller receives them. A host at which the stream is taken up reads them there.

use std::{
    collections::{HashMap, hash_map::Entry},
    time::{Duration, Instant},
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::{TurnId, TurnKey};

/// Longest contents of one stream over all its attempts, in bytes.
const STREAM_MAX_BYTES: usize = 2 << 20;

/// Maximum number of attempts of one stream.
const ATTEMPTS_MAX: usize = 16;

/// Estimated memory of an event or an attempt besides its contents, in bytes.
const OVERHEAD_BYTES: usize = 64;

/// Call that a stream responds to. Attempts that differ in it are no attempts of the same call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamCall {
    /// Name of the route.
    pub route: String,
    /// Turn that the call continues.
    pub previous: Option<TurnId>,
    /// Digest of the request body.
    pub input_digest: [u8; 32],
}

impl StreamCall {
    /// Returns the call with a request body.
    pub fn new(route: &str, previous: Option<&str>, input: &[u8]) -> Self {
        Self {
            route: route.to_owned(),
            previous: previous.map(str::to_owned),
            input_digest: Sha256::digest(input).into(),
        }
    }
}

/// Events of a stream that its caller has received with one attempt and those before it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamAttempt {
    /// Id of the caller's attempt.
    pub id: String,
    /// Number of attempts before it: 0 for the one that began the stream.
    pub order: u32,
    /// The call.
    pub call: StreamCall,
    /// Output of each event, from the stream's first one.
    pub events: Vec<Bytes>,
}

/// Events to add to those of an attempt.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct StreamPart {
    /// Account and id of the attempt that began the stream.
    pub stream: TurnKey,
    /// Attempt with the events to add.
    pub attempt: StreamAttempt,
    /// Number of events of the attempt before these.
    pub from: usize,
    /// Time in which the caller may take the stream up.
    pub lifetime: Duration,
}

/// Streams that callers may take up.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use burdockroad::gateway::{RelayedStreams, StreamAttempt, StreamCall, StreamPart, TurnKey};
///
/// let stream = TurnKey { account: "account".to_owned(), turn: "c1".to_owned() };
/// let attempt = StreamAttempt {
///     id: "c1".to_owned(),
///     order: 0,
///     call: StreamCall::new("route", None, b"question"),
///     events: vec!["one\n".into()],
/// };
/// let part = StreamPart { stream: stream.clone(), attempt, from: 0, lifetime: Duration::from_secs(3) };
/// let now = Instant::now();
/// let mut streams = RelayedStreams::new(1 << 20);
/// assert_eq!(streams.append(part, now), 1);
/// assert_eq!(streams.attempts(&stream, now).len(), 1);
/// ```
#[derive(Debug)]
pub struct RelayedStreams {
    max_bytes: usize,
    used_bytes: usize,
    streams: HashMap<TurnKey, RelayedStream>,
}

#[derive(Debug)]
struct RelayedStream {
    attempts: Vec<StreamAttempt>,
    bytes: usize,
    expires_at: Instant,
}

impl RelayedStreams {
    /// Creates a table for at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            used_bytes: 0,
            streams: HashMap::new(),
        }
    }

    /// Adds events of an attempt. Returns the number of its events that the table then has: fewer than were sent if
    /// those before them are missing, or if there is no room.
    pub fn append(&mut self, part: StreamPart, now: Instant) -> usize {
        let added_bytes = bytes_of(&part.attempt);
        if self.used_bytes + added_bytes > self.max_bytes {
            self.evict_expired(now);
        }
        let has_room = self.used_bytes + added_bytes <= self.max_bytes;
        let expires_at = now + part.lifetime;
        let stream = match self.streams.entry(part.stream) {
            Entry::Occupied(held) => held.into_mut(),
            Entry::Vacant(place) if has_room => place.insert(RelayedStream {
                attempts: Vec::new(),
                bytes: 0,
                expires_at,
            }),
            Entry::Vacant(_) => return 0,
        };
        let has_room = has_room && stream.bytes + added_bytes <= STREAM_MAX_BYTES;
        let addition = stream.append(part.attempt, part.from, has_room);
        if addition.is_done {
            stream.expires_at = stream.expires_at.max(expires_at);
            stream.bytes += added_bytes;
            self.used_bytes += added_bytes;
        }
        addition.events
    }

    /// Returns the attempts of a stream, which may be named by any of them.
    pub fn attempts(&self, named: &TurnKey, now: Instant) -> Vec<StreamAttempt> {
        let has_attempt = |key: &TurnKey, stream: &RelayedStream| {
            key.account == named.account && stream.attempts.iter().any(|attempt| attempt.id == named.turn)
        };
        let stream = self.streams.get(named).or_else(|| {
            let mut streams = self.streams.iter();
            let found = streams.find(|(key, stream)| has_attempt(key, stream));
            found.map(|(_, stream)| stream)
        });
        let current = stream.filter(|stream| now < stream.expires_at);
        current.map_or_else(Vec::new, |stream| stream.attempts.clone())
    }

    /// Evicts streams that callers can no longer take up.
    pub fn evict_expired(&mut self, now: Instant) {
        let used_bytes = &mut self.used_bytes;
        self.streams.retain(|_, stream| {
            let is_current = now < stream.expires_at;
            if !is_current {
                *used_bytes -= stream.bytes;
            }
            is_current
        });
    }

    /// Returns the number of bytes in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }
}

/// Result of adding events to an attempt.
struct Addition {
    /// Number of events that the attempt has.
    events: usize,
    /// Whether the events were added.
    is_done: bool,
}

impl RelayedStream {
    fn append(&mut self, added: StreamAttempt, from: usize, has_room: bool) -> Addition {
        let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.id == added.id) else {
            let is_done = from == 0 && has_room && self.attempts.len() < ATTEMPTS_MAX;
            let events = if is_done { added.events.len() } else { 0 };
            if is_done {
                self.attempts.push(added);
            }
            return Addition { events, is_done };
        };
        if attempt.order != added.order || attempt.call != added.call {
            return Addition {
                events: 0,
                is_done: false,
            };
        }
        let is_done = has_room && from == attempt.events.len();
        if is_done {
            attempt.events.extend(added.events);
        }
        Addition {
            events: attempt.events.len(),
            is_done,
        }
    }
}

/// What the holders of a stream told of it.
#[derive(Clone, Debug, Default)]
pub struct StreamLookup {
    /// The attempts, each as the holder has it that has the most of its events.
    attempts: Vec<StreamAttempt>,
}

/// Events that a caller has received before it takes its stream up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedEvents {
    /// Id of the attempt that began the stream.
    pub stream: TurnId,
    /// Number of attempts before the one that takes the stream up.
    pub attempts: u32,
    /// Output of each event.
    pub events: Vec<Bytes>,
}

/// Reason why the events that a caller has received are not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnknownEvents {
    /// No holder has the stream.
    NotHeld,
    /// The stream responds to another call.
    OtherCall,
    /// The holders have fewer events than the caller.
    TooFew,
    /// Which attempt the caller has the events of is not known.
    Ambiguous,
}

impl StreamLookup {
    /// Adds what a holder has.
    pub fn add(&mut self, attempts: Vec<StreamAttempt>) {
        for attempt in attempts {
            match self.attempts.iter_mut().find(|known| known.id == attempt.id) {
                Some(known) if known.events.len() < attempt.events.len() => *known = attempt,
                Some(_) => {}
                None => self.attempts.push(attempt),
            }
        }
    }

    /// Returns the events that the caller of `call` has received up to its `last_event`.
    ///
    /// The events of a later attempt replace those of the earlier ones. `is_complete` tells whether all holders have
    /// told what they have; else a later attempt may have more events than is known.
    ///
    /// # Errors
    ///
    /// Fails when the events are not known, or not for certain.
    pub fn received(
        &self,
        call: &StreamCall,
        last_event: usize,
        is_complete: bool,
    ) -> Result<ReceivedEvents, UnknownEvents> {
        let begin = self.attempts.iter().find(|attempt| attempt.order == 0);
        let begin = begin.ok_or(UnknownEvents::NotHeld)?;
        if self.attempts.iter().any(|attempt| attempt.call != *call) {
            return Err(UnknownEvents::OtherCall);
        }
        let latest = self.attempts.iter().map(|attempt| attempt.order).max();
        let latest = latest.unwrap_or_default();
        let with_events = self
            .attempts
            .iter()
            .filter(|attempt| attempt.events.len() >= last_event);
        let order = with_events.clone().map(|attempt| attempt.order).max();
        let order = order.ok_or(UnknownEvents::TooFew)?;
        if order < latest && !is_complete {
            return Err(UnknownEvents::TooFew);
        }
        let mut chosen = with_events.filter(|attempt| attempt.order == order);
        let events = chosen.next().map(|attempt| &attempt.events[..last_event]);
        let events = events.ok_or(UnknownEvents::TooFew)?;
        if chosen.any(|attempt| attempt.events[..last_event] != *events) {
            return Err(UnknownEvents::Ambiguous);
        }
        Ok(ReceivedEvents {
            stream: begin.id.clone(),
            attempts: latest + 1,
            events: events.to_vec(),
        })
    }
}

fn bytes_of(attempt: &StreamAttempt) -> usize {
    let events = attempt.events.iter();
    let contents: usize = events.map(|event| event.len() + OVERHEAD_BYTES).sum();
    contents + OVERHEAD_BYTES
}
