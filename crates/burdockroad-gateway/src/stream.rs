//! Relays responses to callers, either complete or event by event.

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
    attempt::{Call, OpenedResponse},
    pool::Connection,
    refusal::Refusal,
};

/// Time without data after which a stream that may be repeated counts as broken.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1400);

/// Longest response that is not a stream, in bytes.
const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A complete body.
    Full(Full<Bytes>),
    /// Events as they arrive.
    Events(Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>),
}

impl ResponseBody {
    pub(crate) fn full(bytes: Bytes) -> Self {
        Self::Full(Full::new(bytes))
    }
}

impl fmt::Debug for ResponseBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Full(_) => "Full",
            Self::Events(_) => "Events",
        })
    }
}

impl Body for ResponseBody {
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

/// Reads a complete response body before the call's deadline. Returns `None` when the response breaks off or
/// is longer than [`RESPONSE_MAX_BYTES`].
pub(crate) async fn read_whole(call: &Call, body: Incoming) -> Option<Bytes> {
    let result = timeout(call.time_left(), Limited::new(body, RESPONSE_MAX_BYTES).collect()).await;
    match result {
        Ok(Ok(collected)) => Some(collected.to_bytes()),
        Ok(Err(_)) | Err(_) => None,
    }
}

/// An event stream that is being relayed.
struct Relay {
    call: Call,
    body: Incoming,
    connection: Option<Connection>,
    keep_alive: Option<Duration>,
    events: EventBuffer,
    ended: bool,
}

/// Relays an event stream to the caller. If the endpoint's stream breaks off and the route allows repeats,
/// the relay continues with a new stream, possibly from another endpoint.
pub(crate) fn relay_events(call: Call, opened: OpenedResponse) -> ResponseBody {
    let relay = Relay {
        events: EventBuffer::after(call.head.last_event),
        call,
        keep_alive: opened.head.keep_alive,
        connection: Some(opened.connection),
        body: opened.response.into_body(),
        ended: false,
    };
    ResponseBody::Events(Box::pin(stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk().await?;
        Some((chunk, relay))
    })))
}

/// Result of reading from the endpoint.
enum ReadResult {
    Data(Bytes),
    End,
    Broken,
}

impl Relay {
    /// Returns the next complete events for the caller; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            if self.ended {
                return None;
            }
            let ready = match self.read_frame().await {
                ReadResult::Data(data) => self.events.push(&data),
                ReadResult::End => self.end(),
                ReadResult::Broken => match self.resume().await {
                    Ok(()) => continue,
                    Err(refusal) => {
                        self.ended = true;
                        self.call.record.refusal = Some(refusal);
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

    async fn read_frame(&mut self) -> ReadResult {
        let time_left = self.call.time_left();
        let frame_timeout = if self.call.route.kind.may_retry() {
            time_left.min(EVENT_TIMEOUT)
        } else {
            time_left
        };
        match timeout(frame_timeout, self.body.frame()).await {
            Ok(Some(Ok(frame))) => ReadResult::Data(frame.into_data().unwrap_or_default()),
            Ok(None) => ReadResult::End,
            Ok(Some(Err(_))) | Err(_) => ReadResult::Broken,
        }
    }

    /// Ends the stream and returns the remaining data.
    fn end(&mut self) -> Bytes {
        self.ended = true;
        if let Some(connection) = self.connection.take() {
            self.call.finish(connection, self.keep_alive);
        }
        self.call.record.complete = true;
        self.events.take_remainder()
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
