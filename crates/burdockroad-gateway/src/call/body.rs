//! Reads the body of a call.

use std::time::Duration;

use burdockroad::gateway::CallerLimits;
use bytes::Bytes;
use http_body::Body;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::refusal::Refusal;

/// Reads a body within the limits of callers, and within `body_timeout`.
pub(super) async fn read_body(
    body: Incoming,
    limits: &CallerLimits,
    body_timeout: Duration,
) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limited = Limited::new(body, limits.body_max_bytes);
    match timeout(body_timeout, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Refusal::BodyTooLong),
        Ok(Err(_)) | Err(_) => Err(Refusal::BodyIncomplete),
    }
}
