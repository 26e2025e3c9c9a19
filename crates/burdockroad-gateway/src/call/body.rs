//! Reads the body of a call.

use std::{sync::Arc, time::Duration};

use burdockroad::gateway::CallerLimits;
use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::{
    body_discard::discard,
    body_space::{BodyShare, BodySpace},
    refusal::Refusal,
};

/// Body of a call, with its share of the host's memory.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    pub(super) bytes: Bytes,
    pub(super) share: BodyShare,
}

/// Reads a body within the limits of callers, and within `body_timeout`. A body for which the host has no room is refused at
/// once, before it has arrived if it states its length.
pub(super) async fn read_body(
    space: &Arc<BodySpace>,
    mut body: Incoming,
    limits: &CallerLimits,
    body_timeout: Duration,
) -> Result<ReceivedBody, Refusal> {
    let mut share = space.share();
    if body.is_end_stream() {
        let bytes = Bytes::new();
        return Ok(ReceivedBody { bytes, share });
    }
    let reading = collect(&mut body, &mut share, limits.body_max_bytes);
    let read = timeout(body_timeout, reading).await;
    match read.unwrap_or(Err(Refusal::BodyIncomplete)) {
        Ok(bytes) => Ok(ReceivedBody { bytes, share }),
        Err(refusal) => {
            if refusal == Refusal::NoRoom {
                // The caller may not see the refusal if the connection is closed while it still sends.
                tokio::spawn(discard(body));
            }
            Err(refusal)
        }
    }
}

async fn collect(body: &mut Incoming, share: &mut BodyShare, max_bytes: usize) -> Result<Bytes, Refusal> {
    let stated = body.size_hint().exact().unwrap_or_default();
    let stated_bytes = usize::try_from(stated).unwrap_or(usize::MAX);
    check_size(share, stated_bytes, max_bytes)?;
    let mut whole = BytesMut::with_capacity(stated_bytes);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_broken_off| Refusal::BodyIncomplete)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        check_size(share, whole.len() + data.len(), max_bytes)?;
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

/// Checks that a body of a size is allowed, and makes room for it.
fn check_size(share: &mut BodyShare, bytes: usize, max_bytes: usize) -> Result<(), Refusal> {
    if bytes > max_bytes {
        return Err(Refusal::BodyTooLong);
    }
    if !share.grow_to(bytes) {
        return Err(Refusal::NoRoom);
    }
    Ok(())
}
