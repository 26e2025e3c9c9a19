//! Relays responses to callers, either complete or event by event.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::EventBuffer;
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{task::yield_now, time::timeout};

use crate::{
    attempt::{Call, OpenedResponse},
    framing::{Framing, MediaType, StreamBreak},
    kept_turn::KeptTurn,
    pool::Connection,
    refusal::Refusal,
    response_body::ResponseBody,
    response_space::ResponseSpace,
};

/// Longest event, in bytes. A longer one is not what an endpoint sends, and may have no end.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Time without data after which a stream that may be repeated counts as broken.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1400);

/// Longest response that is read as a whole, in bytes.
pub(crate) const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Reads a complete response body before the call's deadline. Returns `None` when the response breaks off, is
/// longer than [`RESPONSE_MAX_BYTES`], or when this host has no room for it.
pub(crate) async fn read_whole(call: &Call, body: Incoming) -> Option<Bytes> {
    let reading = read_bounded(&call.shared.response_space, body);
    timeout(call.time_left(), reading).await.ok().flatten()
}

async fn read_bounded(space: &ResponseSpace, mut body: Incoming) -> Option<Bytes> {
    let mut share = space.share();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let length = whole.len() + data.len();
        if length > RESPONSE_MAX_BYTES || !share.grow_to(length) {
            metrics::counter!("burdockroad_responses_too_long_total").increment(1);
            return None;
        }
        whole.extend_from_slice(&data);
    }
    Some(whole.freeze())
}

/// An event stream that is being relayed.
struct Relay {
    call: Call,
    body: Incoming,
    framing: Framing,
    /// Media type of the stream, by its first response.
    stream_type: MediaType,
    /// Media type of the response that is being read.
    response_type: MediaType,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    events: EventBuffer,
    /// Turn of the call, on a route whose turns the system keeps.
    kept_turn: Option<KeptTurn>,
    progress: Progress,
}

/// How much of a stream was relayed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    /// Events may still arrive.
    Relaying,
    /// All events were relayed. The caller sees the end of the stream when the turn is stored.
    AllRelayed,
    /// The caller has seen the end, or the stream broke off.
    Ended,
}

/// Relays an event stream to the caller. If the endpoint's stream breaks off and the route allows repeats,
/// the relay continues with a new stream, possibly from another endpoint.
pub(crate) fn relay_events(mut call: Call, opened: OpenedResponse) -> ResponseBody {
    let stream_type = MediaType::of(opened.response.headers());
    call.record.framing = Some(opened.framing);
    let relay = Relay {
        events: EventBuffer::after(call.head.last_event),
        kept_turn: call.kept_turn.take(),
        call,
        keep_alive: opened.head.keep_alive,
        connection: Some(opened.connection),
        framing: opened.framing,
        response_type: stream_type.clone(),
        stream_type,
        body: opened.response.into_body(),
        progress: Progress::Relaying,
    };
    ResponseBody::Events(Box::pin(stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk_until_stop().await?;
        Some((chunk, relay))
    })))
}

/// Result of reading from the endpoint.
enum ReadResult {
    Data(Bytes),
    End,
    Broken(StreamBreak),
}

impl Relay {
    /// Returns the next complete events for the caller; `None` at the end of the stream. Breaks the stream off before
    /// the process ends.
    async fn next_chunk_until_stop(&mut self) -> Option<io::Result<Bytes>> {
        let shared = Arc::clone(&self.call.shared);
        let next_chunk = self.next_chunk();
        if let Some(chunk) = shared.shutdown.run_until_responses_are_due(next_chunk).await {
            return chunk;
        }
        // The call has run: an endpoint began the stream, even if no attempt is in progress any more.
        Some(Err(self.break_off(Refusal::CutByStop).await))
    }

    /// Returns the next complete events for the caller; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.progress {
                Progress::Relaying => {}
                Progress::AllRelayed => return self.store_turn().await,
                Progress::Ended => return None,
            }
            let ready = match self.read_events().await {
                ReadResult::Data(ready) => ready,
                ReadResult::End => {
                    self.end();
                    continue;
                }
                ReadResult::Broken(cause) => {
                    self.record_break(cause);
                    match self.resume().await {
                        Ok(()) => continue,
                        Err(refusal) => return Some(Err(self.break_off(refusal).await)),
                    }
                }
            };
            self.call.record.events = self.events.released();
            if !ready.is_empty() {
                self.call.begin_stream();
                if let Some(kept_turn) = &mut self.kept_turn {
                    kept_turn.push_events(&ready);
                }
                return Some(Ok(ready));
            }
        }
    }

    /// Stores the turn of the call before the caller sees the end of the stream, because a caller that has
    /// seen the end may continue the turn. Its events are not delayed.
    async fn store_turn(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(kept_turn) = self.kept_turn.take() {
            let started_at = Instant::now();
            let time_left = self.call.time_left();
            let storing = kept_turn.store(&self.call.shared, time_left);
            let replicas = storing.await;
            self.call.record.store_time = Some(started_at.elapsed());
            if replicas.is_none() {
                self.call.record.cut_turn_time_left = Some(time_left);
                return Some(Err(self.break_off(Refusal::TurnNotStored).await));
            }
            if let Some(time) = self
                .call
                .record
                .attempt_time()
                .filter(|_| self.call.record.resumed == 0)
            {
                let turns = &self.call.shared.turns;
                turns.record_turn_time(&self.call.route.name, time);
            }
        }
        self.progress = Progress::Ended;
        self.call.record.complete = true;
        None
    }

    /// Ends the stream before its end, so that the caller sees that it is incomplete.
    async fn break_off(&mut self, refusal: Refusal) -> io::Error {
        // An error discards the events that are not written yet; the server writes them while this yields.
        yield_now().await;
        self.progress = Progress::Ended;
        if self.kept_turn.is_some() {
            self.call.record.cut_turn_time_left = Some(self.call.time_left());
        }
        self.call.record.refusal = Some(refusal);
        io::Error::from(io::ErrorKind::ConnectionAborted)
    }

    /// Reads from the endpoint and returns the events that are complete then.
    async fn read_events(&mut self) -> ReadResult {
        if let Err(foreign) = self.events.check_bytes() {
            return ReadResult::Broken(StreamBreak::ForeignBytes(foreign));
        }
        if !self.stream_type.may_go_on_as(&self.response_type) {
            return ReadResult::Broken(StreamBreak::OtherMediaType);
        }
        match self.read_frame().await {
            ReadResult::Data(data) => {
                if !data.is_empty() {
                    self.call.record_output();
                }
                let ready = self.events.push(&data);
                if self.events.partial_bytes() > EVENT_MAX_BYTES {
                    return ReadResult::Broken(StreamBreak::EventTooLong);
                }
                ReadResult::Data(ready)
            }
            result => result,
        }
    }

    async fn read_frame(&mut self) -> ReadResult {
        let time_left = self.call.time_left();
        let frame_timeout = if self.call.route.kind.may_retry() {
            time_left.min(EVENT_TIMEOUT)
        } else {
            time_left
        };
        match timeout(frame_timeout, self.body.frame()).await {
            Ok(Some(Ok(frame))) => ReadResult::Data(frame.into_data().unwrap_or_default()),
            Ok(None) => self.check_end(),
            Ok(Some(Err(_))) => ReadResult::Broken(StreamBreak::ConnectionFailed),
            Err(_elapsed) => ReadResult::Broken(StreamBreak::NoData),
        }
    }

    /// Logs how the endpoint's stream broke off.
    fn record_break(&self, cause: StreamBreak) {
        let partial_bytes = self.events.partial_bytes();
        self.call
            .record
            .record_break(&self.call.shared, &self.call.head, cause, partial_bytes);
    }

    /// Returns whether the stream was complete when its response ended.
    fn check_end(&self) -> ReadResult {
        match self.events.check_end(self.framing.is_delimited()) {
            Ok(()) => ReadResult::End,
            Err(truncation) => ReadResult::Broken(StreamBreak::Truncated(truncation)),
        }
    }

    /// Ends a complete stream.
    fn end(&mut self) {
        self.progress = Progress::AllRelayed;
        if let Some(connection) = self.connection.take() {
            self.call.finish(connection, self.keep_alive);
        }
    }

    /// Opens a new stream that continues after the last event sent to the caller.
    async fn resume(&mut self) -> Result<(), Refusal> {
        self.connection = None;
        if self.call.time_left().is_zero() {
            return Err(Refusal::DeadlineExceeded);
        }
        if !self.call.record_broken_response() {
            return Err(Refusal::UnknownOutcome);
        }
        self.events.begin_response();
        let opened = self.call.open(self.events.last_id()).await?;
        if !opened.response.status().is_success() {
            return Err(Refusal::UnknownOutcome);
        }
        self.call.record.resumed += 1;
        self.call.record.framing = Some(opened.framing);
        self.framing = opened.framing;
        self.response_type = MediaType::of(opened.response.headers());
        self.keep_alive = opened.head.keep_alive;
        self.connection = Some(opened.connection);
        self.body = opened.response.into_body();
        Ok(())
    }
}
