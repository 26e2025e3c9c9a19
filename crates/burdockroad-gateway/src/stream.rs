//! Relays responses to callers, either complete or event by event.

mod continuation;
mod source;

use std::{io, sync::Arc, time::Instant};

use burdockroad::gateway::EventBuffer;
use bytes::Bytes;
use futures_util::stream;
use tokio::{task::yield_now, time::timeout};

use self::{
    continuation::{record_break, resume, resume_beside_silent},
    source::{Content, Source},
};
use crate::{
    attempt::{Call, OpenedResponse},
    content_meter::MeteredBody,
    framing::{MediaType, StreamBreak},
    kept_turn::{KeptTurn, takes_stream_up},
    memory::read_response,
    refusal::Refusal,
    response_body::ResponseBody,
};

/// Longest response that is read as a whole, in bytes.
pub(crate) const RESPONSE_MAX_BYTES: usize = 8 << 20;

/// Reads a complete response body before the call's deadline. Returns `None` when the response breaks off, is
/// longer than [`RESPONSE_MAX_BYTES`], or when this host has no room for it.
pub(crate) async fn read_whole(call: &Call, body: MeteredBody) -> Option<Bytes> {
    let share = call.shared.room.response_share();
    let reading = read_response(share, body, RESPONSE_MAX_BYTES);
    timeout(call.time_left(), reading).await.ok().flatten()
}

/// An event stream that is being relayed.
struct Relay {
    call: Call,
    /// Response that is being read; `None` between two of them, and when the stream has ended.
    source: Option<Source>,
    /// Media type of the stream, by its first response.
    stream_type: MediaType,
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

/// Relays an event stream to the caller. If the endpoint's stream breaks off or falls silent and the route allows
/// repeats, the relay continues with a new stream, possibly from another endpoint.
pub(crate) fn relay_events(mut call: Call, opened: OpenedResponse) -> ResponseBody {
    let source = Source::new(opened, EventBuffer::after(call.head.last_event));
    call.record.framing = Some(source.framing());
    let relay = Relay {
        kept_turn: call.kept_turn.take(),
        call,
        stream_type: source.media_type().clone(),
        source: Some(source),
        progress: Progress::Relaying,
    };
    ResponseBody::Events(Box::pin(stream::unfold(relay, |mut relay| async move {
        let chunk = relay.next_chunk_until_stop().await?;
        Some((chunk, relay))
    })))
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
            // A stream that always has further events would never wait, and so never see the deadline.
            if self.call.time_left().is_zero() {
                return Some(Err(self.break_off(Refusal::DeadlineExceeded).await));
            }
            let ready = match self.read().await {
                Ok(Content::Events(ready)) => ready,
                Ok(Content::End) => {
                    self.end();
                    continue;
                }
                Err(refusal) => return Some(Err(self.break_off(refusal).await)),
            };
            if !ready.is_empty() {
                self.call.begin_stream();
                if let Some(kept_turn) = &mut self.kept_turn
                    && let Err(refusal) = kept_turn.push_events(&ready).await
                {
                    return Some(Err(self.break_off(refusal).await));
                }
                return Some(Ok(ready));
            }
        }
    }

    /// Reads what comes next, at the response that has it.
    async fn read(&mut self) -> Result<Content, Refusal> {
        let mut source = self.source.take().ok_or(Refusal::UnknownOutcome)?;
        let content = match source.read_events(&mut self.call, &self.stream_type).await {
            Ok(content) => content,
            Err(cause) => {
                let content;
                (source, content) = self.resume_after(source, cause).await?;
                content
            }
        };
        if source.has_output {
            self.call.record_output();
        }
        self.call.record.events = source.events.released();
        self.source = Some(source);
        Ok(content)
    }

    /// Resumes the stream after a response that broke off, or beside one that is silent.
    async fn resume_after(
        &mut self,
        source: Source,
        cause: StreamBreak,
    ) -> Result<(Source, Content), Refusal> {
        record_break(&self.call, cause, source.events.partial_bytes());
        if self.call.time_left().is_zero() {
            return Err(Refusal::DeadlineExceeded);
        }
        if cause == StreamBreak::NoData {
            return resume_beside_silent(&mut self.call, source, &self.stream_type).await;
        }
        let events = source.events.clone();
        drop(source);
        if !self.call.record_broken_response() {
            return Err(Refusal::UnknownOutcome);
        }
        resume(&mut self.call, &events, &self.stream_type).await
    }

    /// Stores the turn of the call before the caller sees the end of the stream, because a caller that has
    /// seen the end may continue the turn. Its events are not delayed.
    async fn store_turn(&mut self) -> Option<io::Result<Bytes>> {
        if let Some(kept_turn) = self.kept_turn.take() {
            let started_at = Instant::now();
            let time_left = self.call.time_left();
            let events = kept_turn.events();
            let storing = kept_turn.store(&self.call.shared, time_left);
            let replicas = storing.await;
            self.call.record.store_time = Some(started_at.elapsed());
            if replicas.is_none() {
                self.call.record.cut_turn_time_left = Some(time_left);
                return Some(Err(self.break_off(Refusal::TurnNotStored).await));
            }
            self.call.record.turn_events = Some(events);
            if let Some(time) = self
                .call
                .record
                .attempt_time()
                .filter(|_| self.call.record.resumed == 0 && !takes_stream_up(&self.call.head))
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

    /// Ends a complete stream.
    fn end(&mut self) {
        self.progress = Progress::AllRelayed;
        if let Some(source) = self.source.take() {
            source.finish(&mut self.call);
        }
    }
}
