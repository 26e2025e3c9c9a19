//! Reads bodies that are not needed.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

/// Time for which the rest of a refused request is read. A connection that is closed before may lose the refusal.
const DISCARD_TIME_MAX: Duration = Duration::from_secs(1);

/// Reads a body to its end without keeping it, for a limited time.
pub(crate) async fn discard(mut body: Incoming) {
    let reading = async { while let Some(Ok(_frame)) = body.frame().await {} };
    // The sender may have left, and then needs no response.
    let _ended = timeout(DISCARD_TIME_MAX, reading).await;
}
