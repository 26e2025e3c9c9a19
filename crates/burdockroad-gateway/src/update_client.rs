//! Fetches updates of ranges from other hosts.

use std::{
    net::SocketAddr,
    sync::PoisonError,
    time::{Duration, Instant},
};

use burdockroad_daemon::platform::Revision;
use bytes::Bytes;
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::{
    RangeUpdate,
    clock::as_ms,
    peer_client::{FailedFetch, FetchPhase},
    peer_messages::{PeerCall, PeerResponse},
    shared::Shared,
    update_message::{UpdateContent, decompress, encode_compressed},
};

/// Time without any data after which a host counts as unresponsive.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a host no longer asks for an update that no host has sent.
const ASKING_TIME_MAX: Duration = Duration::from_millis(1500);

/// Time after which an update is given up, also one that is being received.
const UPDATE_TIME_MAX: Duration = Duration::from_secs(2);

/// Time after which a host asks the watcher again when the host that it was sent on to lacks the update.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time after which a host asks again.
const ASK_AGAIN_MAX: Duration = Duration::from_millis(500);

/// An update, and the address of the host that sent it.
#[derive(Debug)]
pub(crate) struct FetchedUpdate {
    pub(crate) sender: SocketAddr,
    pub(crate) update: RangeUpdate,
}

/// Response of a host to a request for an update.
enum Answer {
    Update(RangeUpdate),
    /// The host asks again after a wait, at `holder` if there is one.
    Later {
        wait: Duration,
        holder: Option<SocketAddr>,
    },
    /// The host has not read the range.
    Unread,
    Failed(FailedFetch),
}

/// Fetches the update of a range after a revision from a watcher, or from a host that the watcher names; `None` if none
/// of them sends one in time.
pub(crate) async fn fetch_update(
    shared: &Shared,
    prefix: &str,
    watcher: SocketAddr,
    after: Revision,
) -> Option<FetchedUpdate> {
    let begun_at = Instant::now();
    let asking = ask_until_sent(shared, prefix, watcher, after);
    if let Ok(fetched) = timeout(UPDATE_TIME_MAX, asking).await {
        return fetched;
    }
    log_not_sent(shared, prefix, watcher, begun_at);
    None
}

async fn ask_until_sent(
    shared: &Shared,
    prefix: &str,
    watcher: SocketAddr,
    after: Revision,
) -> Option<FetchedUpdate> {
    let begun_at = Instant::now();
    let mut asked = watcher;
    while begun_at.elapsed() < ASKING_TIME_MAX {
        let asked_at = Instant::now();
        let answer = ask(shared, prefix, asked, after).await;
        let given_up = |phase, received_bytes| UpdateGivenUpLine {
            prefix,
            host: asked,
            phase,
            received_bytes,
            waited_ms: as_ms(asked_at.elapsed()),
        };
        match answer {
            Answer::Update(update) if asked == watcher || update.as_of() > after => {
                let sender = asked;
                return Some(FetchedUpdate { sender, update });
            }
            Answer::Later { wait, holder } => {
                sleep(wait.min(ASK_AGAIN_MAX)).await;
                asked = holder.unwrap_or(asked);
                continue;
            }
            Answer::Update(_) | Answer::Unread => {}
            Answer::Failed(failed) => {
                let line = given_up(failed.phase, failed.received_bytes);
                shared.log.line("range_update_given_up", &line);
            }
        }
        if asked == watcher {
            return None;
        }
        asked = watcher;
        sleep(RETRY_INTERVAL).await;
    }
    log_not_sent(shared, prefix, watcher, begun_at);
    None
}

/// Logs that an update was not received until the end of the time for it.
fn log_not_sent(shared: &Shared, prefix: &str, watcher: SocketAddr, begun_at: Instant) {
    let line = UpdateGivenUpLine {
        prefix,
        host: watcher,
        phase: FetchPhase::Queue,
        received_bytes: 0,
        waited_ms: as_ms(begun_at.elapsed()),
    };
    shared.log.line("range_update_given_up", &line);
}

async fn ask(shared: &Shared, prefix: &str, address: SocketAddr, after: Revision) -> Answer {
    let call = PeerCall::RangeUpdate {
        prefix: prefix.to_owned(),
        after,
        compressed_for: Some(shared.host.clone()),
    };
    match shared.peer_client.fetch(address, &call, PROGRESS_TIMEOUT).await {
        Ok(PeerResponse::RangeUpdate(Some(response))) => Answer::Update(response.update),
        Ok(PeerResponse::CompressedRangeUpdate { compressed }) => match decompress(&compressed) {
            Some(update) => {
                keep_received(shared, prefix, &update, compressed);
                Answer::Update(update)
            }
            None => Answer::Failed(FailedFetch {
                phase: FetchPhase::Decoding,
                received_bytes: compressed.len(),
            }),
        },
        Ok(PeerResponse::RangeUpdateLater { wait, holder }) => Answer::Later { wait, holder },
        Ok(_unread) => Answer::Unread,
        Err(failed) => Answer::Failed(failed),
    }
}

/// Keeps a received update in its compressed form, so that this host can hand it on without compressing it again.
fn keep_received(shared: &Shared, prefix: &str, update: &RangeUpdate, compressed: Bytes) {
    let RangeUpdate::Changes { changes, .. } = update else {
        return;
    };
    let Some(last) = changes.last() else {
        return;
    };
    let content = UpdateContent::of(prefix, last.revision(), update);
    let Ok(encoded) = encode_compressed(compressed) else {
        return;
    };
    let kept = shared.encoded_updates.lock();
    kept.unwrap_or_else(PoisonError::into_inner)
        .insert(content, encoded);
}

#[derive(Serialize)]
struct UpdateGivenUpLine<'a> {
    prefix: &'a str,
    host: SocketAddr,
    phase: FetchPhase,
    received_bytes: usize,
    waited_ms: u64,
}
