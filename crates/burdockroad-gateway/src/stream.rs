//! Passing an answer on: whole, or event by event.

use std::{
    fmt, io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use burdockroad::gateway::EventBuffer;
use bytes::Bytes;
use futures_util::{Stream, stream};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    attempt::{Call, Opened},
    pool::Connection,
    refusal::Refusal,
};

/// Time without an event after which a stream that may be resumed is taken up anew.
const EVENT_SILENCE_MAX: Duration = Duration::from_millis(1400);

/// Longest answer that is not a stream, in bytes.
const ANSWER_MAX_BYTES: usize = 8 << 20;

/// Body of an answer to a caller.
pub(crate) enum AnswerBody {
    /// All of it.
    Full(Full<Bytes>),
    /// Events as they come.
    Events(Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>),
}

impl AnswerBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full(_) => "Full",
            Self::Events(_) => "Events",
        })
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Self::Events(events) => events
                .as_mut()
                .poll_next(cx)
                .map(|next| next.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Full(full) => full.is_end_stream(),
            Self::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(full) => full.size_hint(),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Reads a whole answer, within the call's time; none when it breaks or is too long.
pub(crate) async fn read_whole(call: &Call, body: Incoming) -> Option<Bytes> {
    let whole = timeout(call.time_left(), Limited::new(body, ANSWER_MAX_BYTES).collect()).await;
    match whole {
        Ok(Ok(collected)) => Some(collected.to_bytes()),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// An event stream that is being passed on.
struct Relay {
    call: Call,
    body: Incoming,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    events: EventBuffer,
    ended: bool,
}

/// Passes a stream on, and takes it up at another endpoint when it breaks and its route allows.
pub(crate) fn relay_events(call: Call, opened: Opened) -> AnswerBody {
    let relay = Relay {
        events: EventBuffer::after(call.head.last_event),
        call,
        keep_alive: opened.head.keep_alive,
        connection: Some(opened.connection),
        body: opened.response.into_body(),
        ended: false,
    };
    AnswerBody::Events(Box::pin(stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Some((chunk, relay))
    })))
}

/// What the endpoint's side gave.
enum Step {
    Data(Bytes),
    End,
    Broken,
}

impl Relay {
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.ended {
                return None;
            }
            let ready = match self.step().await {
                Step::Data(data) => self.events.push(&data),
                Step::End => self.end(),
                Step::Broken => match self.resume().await {
                    Ok(()) => continue,
                    Err(refusal) => {
                        self.ended = true;
                        self.call.record.refused = Some(refusal);
                        return Some(Err(io::Error::from(io::ErrorKind::ConnectionAborted)));
                    }
                },
            };
            self.call.record.events = self.events.released();
            if !ready.is_empty() {
                return Some(Ok(ready));
            }
        }
    }

    async fn step(&mut self) -> Step {
        let time_left = self.call.time_left();
        let patience = if self.call.route.kind.may_retry() {
            time_left.min(EVENT_SILENCE_MAX)
        } else {
            time_left
        };
        match timeout(patience, self.body.frame()).await {
            Ok(Some(Ok(frame))) => Step::Data(frame.into_data().unwrap_or_default()),
            Ok(None) => Step::End,
            Ok(Some(Err(_))) | Err(_) => Step::Broken,
        }
    }

    fn end(&mut self) -> Bytes {
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.call.finish(connection, self.keep_alive);
        }
        self.call.record.complete = true;
        self.events.take_remainder()
    }

    async fn resume(&mut self) -> Result<(), Refusal> {
        self.connection = None;
        if self.call.time_left().is_zero() {
            return Err(Refusal::TimeOver);
        }
        if !self.call.note_broken() {
            return Err(Refusal::UnknownOutcome);
        }
        self.events.discard_partial();
        let opened = self.call.open(self.events.last_id()).await?;
        if !opened.response.status().is_success() {
            return Err(Refusal::UnknownOutcome);
        }
        self.call.record.resumed += 1;
        self.keep_alive = opened.head.keep_alive;
        self.connection = Some(opened.connection);
        self.body = opened.response.into_body();
        Ok(())
    }
}
