//! Endpoints' responses whose events are relayed.

use std::time::Duration;

use burdockroad::gateway::EventBuffer;
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::timeout;

use crate::{
    attempt::{Call, OpenedResponse},
    content_meter::MeteredBody,
    framing::{Framing, MediaType, StreamBreak},
    pool::Connection,
};

/// Longest event, with the comments and empty lines before it, in bytes. A longer one is not what an endpoint sends, and may
/// have no end.
const EVENT_MAX_BYTES: usize = 256 << 10;

/// Time without data after which a stream that may be repeated counts as silent.
const SILENCE_MAX: Duration = Duration::from_millis(1400);

/// A response that is being read. Dropping it before its end closes its connection.
pub(super) struct Source {
    body: MeteredBody,
    framing: Framing,
    response_type: MediaType,
    connection: Connection,
    keep_alive: Option<Duration>,
    /// Whether the response has had any data.
    pub(super) has_output: bool,
    pub(super) events: EventBuffer,
}

/// What was read from an endpoint.
pub(super) enum Content {
    /// Events that are complete; empty if there are none yet.
    Events(Bytes),
    /// The end of a complete stream.
    End,
}

impl Source {
    /// Creates the source of a response, which continues after `events`.
    pub(super) fn new(opened: OpenedResponse, events: EventBuffer) -> Self {
        Self {
            framing: opened.framing,
            response_type: MediaType::of(opened.response.headers()),
            connection: opened.connection,
            keep_alive: opened.head.keep_alive,
            body: opened.response.into_body(),
            has_output: false,
            events,
        }
    }

    pub(super) fn framing(&self) -> Framing {
        self.framing
    }

    pub(super) fn media_type(&self) -> &MediaType {
        &self.response_type
    }

    /// Ends the call at a response that was read completely.
    pub(super) fn finish(self, call: &mut Call) {
        call.finish(self.connection, self.keep_alive);
    }

    /// Reads until some events are complete, or until the response is silent for [`SILENCE_MAX`] and the call may be
    /// attempted again.
    pub(super) async fn read_events(
        &mut self,
        call: &mut Call,
        stream_type: &MediaType,
    ) -> Result<Content, StreamBreak> {
        loop {
            let silence_max = if call.may_attempt_again() {
                SILENCE_MAX.min(call.time_left())
            } else {
                call.time_left()
            };
            let reading = timeout(silence_max, self.read(stream_type));
            let result = reading.await.unwrap_or(Err(StreamBreak::NoData));
            if self.has_output {
                call.record_output();
            }
            match result {
                Ok(Content::Events(ready)) if ready.is_empty() => {}
                result => return result,
            }
        }
    }

    /// Reads until some events are complete, however long that takes.
    pub(super) async fn read_events_when_they_come(
        &mut self,
        stream_type: &MediaType,
    ) -> Result<Content, StreamBreak> {
        loop {
            match self.read(stream_type).await {
                Ok(Content::Events(ready)) if ready.is_empty() => {}
                result => return result,
            }
        }
    }

    /// Reads once. No data is lost if the reading is given up before its end.
    async fn read(&mut self, stream_type: &MediaType) -> Result<Content, StreamBreak> {
        if let Err(foreign) = self.events.check_bytes() {
            return Err(StreamBreak::ForeignBytes(foreign));
        }
        if !stream_type.may_resume_as(&self.response_type) {
            return Err(StreamBreak::OtherMediaType);
        }
        match self.body.frame().await {
            Some(Ok(frame)) => self.push(&frame.into_data().unwrap_or_default()),
            Some(Err(_)) if self.body.is_without_content() => Err(StreamBreak::NoContent),
            Some(Err(_)) => Err(StreamBreak::ConnectionFailed),
            None => self.check_end(),
        }
    }

    fn push(&mut self, data: &[u8]) -> Result<Content, StreamBreak> {
        self.has_output |= !data.is_empty();
        let ready = self.events.push(data);
        if self.events.eventless_bytes() > EVENT_MAX_BYTES {
            return Err(StreamBreak::EventTooLong);
        }
        Ok(Content::Events(ready))
    }

    /// Returns whether the stream was complete when its response ended.
    fn check_end(&self) -> Result<Content, StreamBreak> {
        match self.events.check_end(self.framing.is_delimited()) {
            Ok(()) => Ok(Content::End),
            Err(truncation) => Err(StreamBreak::Truncated(truncation)),
        }
    }
}
