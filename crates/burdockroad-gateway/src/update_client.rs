//! Fetches updates of ranges from other hosts.

use std::{
    net::SocketAddr,
    sync::PoisonError,
    time::{Duration, Instant},
};

use burdockroad::gateway::{SearchStep, UpdateSearch};
use burdockroad_daemon::platform::Revision;
use bytes::Bytes;
use serde::Serialize;
use tokio::time::{sleep, timeout_at};

use crate::{
    RangeUpdate,
    announced_range::AnnouncedRange,
    clock::as_ms,
    peer_client::{FailedFetch, FetchPhase},
    peer_messages::{PeerCall, PeerResponse},
    shared::Shared,
    update_message::{UpdateContent, decompress, encode_compressed},
};

/// Time without any data after which a host counts as unresponsive.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(400);

/// An update that no host sent.
const NOT_SENT: FailedFetch = FailedFetch {
    phase: FetchPhase::Queue,
    received_bytes: 0,
};

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

/// Fetches the update of a range after a revision from a watcher, from a host that it names, or from another watcher;
/// `None` when this host should read the store.
pub(crate) async fn fetch_update(
    shared: &Shared,
    prefix: &str,
    watcher: SocketAddr,
    after: Revision,
) -> Option<FetchedUpdate> {
    let begun_at = Instant::now();
    let mut search = UpdateSearch::new(watcher, rand::random(), begun_at);
    let ends_at = search.ends_at();
    let asking = ask_until_sent(shared, prefix, &mut search, after);
    let asked = timeout_at(ends_at.into(), asking).await;
    match asked {
        Ok(Ok(fetched)) => return Some(fetched),
        Ok(Err(read_wait)) => sleep(read_wait).await,
        Err(_elapsed) => {
            let line = UpdateGivenUpLine {
                reads_store: true,
                ..UpdateGivenUpLine::new(prefix, search.asked(), NOT_SENT, begun_at)
            };
            shared.log.line("range_update_given_up", &line);
        }
    }
    None
}

/// Asks hosts until one of them sends the update. Returns the time after which this host reads the store otherwise.
async fn ask_until_sent(
    shared: &Shared,
    prefix: &str,
    search: &mut UpdateSearch,
    after: Revision,
) -> Result<FetchedUpdate, Duration> {
    loop {
        let asked_at = Instant::now();
        let unsent = match ask(shared, prefix, search.asked(), after).await {
            Answer::Update(update) if search.is_at_announcer() || update.as_of() > after => {
                let sender = search.asked();
                return Ok(FetchedUpdate { sender, update });
            }
            unsent => unsent,
        };
        match record_unsent(shared, prefix, search, &unsent, asked_at) {
            SearchStep::Ask { wait, .. } => sleep(wait).await,
            SearchStep::ReadStore { wait } => return Err(wait),
        }
    }
}

/// Records that the asked host did not send the update. Returns what this host does next.
fn record_unsent(
    shared: &Shared,
    prefix: &str,
    search: &mut UpdateSearch,
    unsent: &Answer,
    asked_at: Instant,
) -> SearchStep {
    let now = Instant::now();
    let watchers = watchers(shared, prefix);
    let asked = search.asked();
    let mut failed = None;
    let step = match unsent {
        Answer::Later { wait, holder } => search.record_later(*wait, *holder, &watchers, now),
        Answer::Update(_) | Answer::Unread => search.record_missing(&watchers, now),
        Answer::Failed(failure) => {
            failed = Some(*failure);
            search.record_silent(&watchers, now)
        }
    };
    let reads_store = matches!(step, SearchStep::ReadStore { .. });
    if failed.is_some() || reads_store {
        let line = UpdateGivenUpLine {
            reads_store,
            ..UpdateGivenUpLine::new(prefix, asked, failed.unwrap_or(NOT_SENT), asked_at)
        };
        shared.log.line("range_update_given_up", &line);
    }
    step
}

/// Returns the watchers that have announced the last change of a range by now.
fn watchers(shared: &Shared, prefix: &str) -> Vec<SocketAddr> {
    let tables = shared.tables();
    let announced = tables.announced_ranges.get(prefix);
    announced.map(AnnouncedRange::watchers).unwrap_or_default()
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
    reads_store: bool,
}

impl<'a> UpdateGivenUpLine<'a> {
    /// Returns the line for an update that was asked for at `asked_at`, after which another host is asked.
    fn new(prefix: &'a str, host: SocketAddr, failed: FailedFetch, asked_at: Instant) -> Self {
        Self {
            prefix,
            host,
            phase: failed.phase,
            received_bytes: failed.received_bytes,
            waited_ms: as_ms(asked_at.elapsed()),
            reads_store: false,
        }
    }
}
