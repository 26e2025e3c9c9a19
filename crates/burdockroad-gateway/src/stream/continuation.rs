//! Continuation of streams that broke off or are silent, at another response.
//!
//! A silent stream may still continue, so its connection stays open until another endpoint has the next event. Two
//! endpoints must not work on one call for long, though. From the moment at which the call is sent to another endpoint,
//! the silent stream is not read any more, and continues only if that endpoint does not run the call. It is closed after
//! [`OVERLAP_MAX`] at the latest. A second attempt at the same endpoint is no such overlap: there, the response that has
//! the next event first continues the stream.

use std::{
    future::pending,
    pin::pin,
    time::{Duration, Instant},
};

use burdockroad::gateway::EventBuffer;
use bytes::Bytes;
use tokio::time::{Instant as TokioInstant, sleep_until};

use super::source::{Content, Source};
use crate::{
    attempt::{Call, SilentRun},
    framing::{MediaType, StreamBreak},
    refusal::Refusal,
};

/// Longest time for which a silent endpoint keeps the call after it was sent to another one.
const OVERLAP_MAX: Duration = Duration::from_millis(250);

/// Resumes a stream at another response. Returns the response and what was read from it: events, or the end.
pub(super) async fn resume(
    call: &mut Call,
    events: &EventBuffer,
    stream_type: &MediaType,
) -> Result<(Source, Content), Refusal> {
    loop {
        if call.time_left().is_zero() {
            return Err(Refusal::DeadlineExceeded);
        }
        let mut next_events = events.clone();
        next_events.begin_response();
        let opened = call.open(events.last_id()).await?;
        if !opened.response.status().is_success() {
            return Err(Refusal::UnknownOutcome);
        }
        call.record.resumed += 1;
        call.record.framing = Some(opened.framing);
        let mut source = Source::new(opened, next_events);
        match source.read_events(call, stream_type).await {
            Err(cause) => {
                let partial_bytes = source.events.partial_bytes();
                drop(source);
                record_break(call, cause, partial_bytes);
                if call.time_left().is_zero() {
                    return Err(Refusal::DeadlineExceeded);
                }
                if !call.record_broken_response() {
                    return Err(Refusal::UnknownOutcome);
                }
            }
            Ok(content) => return Ok((source, content)),
        }
    }
}

/// Resumes a silent stream, at the response that has the next event first.
pub(super) async fn resume_beside_silent(
    call: &mut Call,
    source: Source,
    stream_type: &MediaType,
) -> Result<(Source, Content), Refusal> {
    let run = call.hold_silent_run()?;
    let (source, content, run) = race_silent_with_resumed(call, source, run, stream_type).await?;
    match run {
        Some(run) => call.return_to(run),
        None => call.leave_silent_run(),
    }
    Ok((source, content))
}

/// Attempts the call again beside a silent response. Returns the response that continues, what was read from it, and
/// its run if it is the silent one.
async fn race_silent_with_resumed(
    call: &mut Call,
    mut silent: Source,
    mut run: SilentRun,
    stream_type: &MediaType,
) -> Result<(Source, Content, Option<SilentRun>), Refusal> {
    let events = silent.events.clone();
    let mut next = pin!(resume(call, &events, stream_type));
    loop {
        let sent_elsewhere_at = *run.sent_elsewhere_at.borrow_and_update();
        tokio::select! {
            biased;
            Ok(()) = run.sent_elsewhere_at.changed() => {}
            content = silent.read_events_when_they_come(stream_type), if sent_elsewhere_at.is_none() => {
                match content {
                    Ok(content) => return Ok((silent, content, Some(run))),
                    Err(_broken) => break,
                }
            }
            next = &mut next => {
                return Ok(match next {
                    Ok((source, content)) => (source, content, None),
                    Err(_refusal) => (silent, Content::Events(Bytes::new()), Some(run)),
                });
            }
            () = wait_for_overlap_end(sent_elsewhere_at) => break,
        }
    }
    drop((silent, run));
    let (source, content) = next.await?;
    Ok((source, content, None))
}

/// Waits until a silent stream must be closed, since the call was sent to another endpoint.
async fn wait_for_overlap_end(sent_elsewhere_at: Option<Instant>) {
    match sent_elsewhere_at {
        Some(sent_at) => sleep_until(TokioInstant::from_std(sent_at + OVERLAP_MAX)).await,
        None => pending().await,
    }
}

/// Logs how an endpoint's stream broke off.
pub(super) fn record_break(call: &Call, cause: StreamBreak, partial_bytes: usize) {
    call.record
        .record_break(&call.shared, &call.head, cause, partial_bytes);
}
