//! Reads bodies that are not needed.

use std::{sync::Arc, time::Duration};

use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::{sync::Semaphore, time::timeout};

/// Time for which the rest of a refused request is read. A connection that is closed before may lose the refusal.
const DISCARD_TIME_MAX: Duration = Duration::from_secs(1);

/// Refused requests whose rest is read at the same time. The connections of further ones are closed at once.
const DISCARDS_MAX: usize = 32;

/// Reads of the rest of refused requests.
#[derive(Debug)]
pub(crate) struct Discards {
    free: Arc<Semaphore>,
}

impl Default for Discards {
    fn default() -> Self {
        Self {
            free: Arc::new(Semaphore::new(DISCARDS_MAX)),
        }
    }
}

impl Discards {
    /// Reads the rest of a refused request beside its refusal, which the caller may not see if the connection is closed while
    /// it still sends. Where many requests are refused, the rest is not read.
    pub(crate) fn discard_later(&self, body: Incoming) {
        let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() else {
            metrics::counter!("burdockroad_bodies_not_discarded_total").increment(1);
            return;
        };
        tokio::spawn(async move {
            discard(body).await;
            drop(permit);
        });
    }
}

/// Reads a body to its end without keeping it, for a limited time.
pub(crate) async fn discard(mut body: Incoming) {
    let reading = async { while let Some(Ok(_frame)) = body.frame().await {} };
    // The sender may have left, and then needs no response.
    let _ended = timeout(DISCARD_TIME_MAX, reading).await;
}
