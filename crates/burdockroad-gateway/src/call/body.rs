//! Reads the body of a call.

use std::{sync::Arc, time::Duration};

use burdockroad::gateway::CallerLimits;
use burdockroad_daemon::http::CountedBody;
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{connections::ConnectionState, memory::CallShare, refusal::Refusal, shared::Shared};

/// Body of a call, with its share of the host's memory.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    pub(super) bytes: Bytes,
    pub(super) share: CallShare,
}

/// Reads a body within the limits of callers, and within `body_timeout`. A body for which the host has no room is refused at
/// once, before it has arrived if it states its length.
pub(super) async fn read_body(
    shared: &Shared,
    connection: &Arc<ConnectionState>,
    mut body: Incoming,
    limits: &CallerLimits,
    body_timeout: Duration,
) -> Result<ReceivedBody, Refusal> {
    let mut whole = CountedBody::new(shared.room.request_share(connection));
    if !body.is_end_stream() {
        let reading = collect(&mut body, &mut whole, limits.body_max_bytes);
        let read = timeout(body_timeout, reading).await;
        if let Err(refusal) = read.unwrap_or(Err(Refusal::BodyIncomplete)) {
            if refusal == Refusal::NoRoom {
                shared.discards.discard_later(body);
            }
            return Err(refusal);
        }
    }
    let (bytes, share) = whole.into_parts();
    Ok(ReceivedBody { bytes, share })
}

async fn collect(
    body: &mut Incoming,
    whole: &mut CountedBody<CallShare>,
    max_bytes: usize,
) -> Result<(), Refusal> {
    let stated = body.size_hint().exact().unwrap_or_default();
    let stated_bytes = usize::try_from(stated).unwrap_or(usize::MAX);
    check_size(stated_bytes, max_bytes)?;
    if !whole.reserve(stated_bytes).await {
        return Err(Refusal::NoRoom);
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken_off| Refusal::BodyIncomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        check_size(whole.length_bytes() + data.len(), max_bytes)?;
        if !whole.extend(&data, max_bytes).await {
            return Err(Refusal::NoRoom);
        }
    }
    Ok(())
}

fn check_size(bytes: usize, max_bytes: usize) -> Result<(), Refusal> {
    if bytes > max_bytes {
        return Err(Refusal::BodyTooLong);
    }
    Ok(())
}
