//! Hands updates of ranges on to other hosts.

use std::{
    net::SocketAddr,
    sync::{Arc, MutexGuard, PoisonError, atomic::Ordering},
    time::{Duration, Instant},
};

use burdockroad::{
    HostId,
    gateway::{TransferId, UpdatePacer, UpdateReply},
};
use burdockroad_daemon::platform::Revision;
use bytes::Bytes;
use http::Response;
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    RangeUpdate,
    clock::as_ms,
    message_server::message_response,
    peer_client::encode_message,
    peer_messages::{PeerResponse, RangeUpdateResponse},
    response_body::ResponseBody,
    shared::Shared,
    update_message::{UpdateContent, compressed_response},
};

/// Size of the keys and values from which an update is compressed.
const COMPRESSED_MIN_BYTES: usize = 1 << 10;

/// Size of the keys and values from which an update counts as large. Each transfer of one is logged.
const LARGE_UPDATE_BYTES: usize = 16 << 10;

/// Responds to another host that has seen a range up to `after`. A requester that is named by `compressed_for` gets the
/// update when it is its turn, or is told when and where to ask again.
pub(crate) async fn serve_update(
    shared: &Arc<Shared>,
    prefix: &str,
    after: Revision,
    compressed_for: Option<HostId>,
) -> Response<ResponseBody> {
    let Some((response, last_change)) = range_update(shared, prefix, after) else {
        return message_response(&PeerResponse::RangeUpdate(None));
    };
    let sent = SentUpdate {
        requester: compressed_for.clone(),
        ..SentUpdate::of(prefix, last_change, &response.update)
    };
    let Some(requester) = compressed_for else {
        return match encode_message(&PeerResponse::RangeUpdate(Some(response))) {
            Ok(bytes) => send(shared, sent, bytes, Duration::ZERO),
            Err(_unencodable) => message_response(&PeerResponse::RangeUpdate(None)),
        };
    };
    let Some(bytes) = encoded_bytes(shared, &sent, response) else {
        return message_response(&PeerResponse::RangeUpdate(None));
    };
    match decide_reply(shared, &sent.content, bytes.len(), &requester) {
        UpdateReply::Send { transfer, .. } => {
            let wait = WaitingTransfer::new(shared, transfer).begin().await;
            send(shared, sent, bytes, wait)
        }
        UpdateReply::Later { wait, holder } => {
            count_deferred(&sent);
            message_response(&PeerResponse::RangeUpdateLater { wait, holder })
        }
    }
}

/// Returns the updates of a range after a revision, and the revision of the range's last change; `None` before this
/// host has read the range.
fn range_update(shared: &Shared, prefix: &str, after: Revision) -> Option<(RangeUpdateResponse, Revision)> {
    let tables = shared.tables();
    let log = tables.range_logs.get(prefix)?;
    let response = RangeUpdateResponse {
        update: log.changes_since(after)?,
        reregistration_time: tables.departures.reregistration_time(Instant::now()),
    };
    Some((response, log.last_change()))
}

/// Returns the response with an update, in compressed form unless it is too small for that.
fn encoded_bytes(shared: &Shared, sent: &SentUpdate, response: RangeUpdateResponse) -> Option<Bytes> {
    if sent.size_bytes < COMPRESSED_MIN_BYTES {
        return encode_message(&PeerResponse::RangeUpdate(Some(response))).ok();
    }
    compressed_bytes(shared, &sent.content, &response.update)
}

/// Returns the response with an update in compressed form, which is encoded once for all hosts.
fn compressed_bytes(shared: &Shared, content: &UpdateContent, update: &RangeUpdate) -> Option<Bytes> {
    let mut encoded = shared
        .encoded_updates
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if let Some(bytes) = encoded.get(content) {
        return Some(bytes);
    }
    let bytes = compressed_response(update).ok()?;
    encoded.insert(content.clone(), bytes.clone());
    Some(bytes)
}

fn count_deferred(sent: &SentUpdate) {
    let name = if sent.is_large() {
        "burdockroad_large_range_updates_deferred_total"
    } else {
        "burdockroad_small_range_updates_deferred_total"
    };
    metrics::counter!(name).increment(1);
}

fn decide_reply(shared: &Shared, content: &UpdateContent, bytes: usize, requester: &HostId) -> UpdateReply {
    let address: Option<SocketAddr> = shared.peers.borrow().get(requester).map(|peer| peer.address);
    pacer(shared).decide(
        &content.prefix,
        content.last_change,
        bytes,
        address,
        Instant::now(),
    )
}

fn pacer(shared: &Shared) -> MutexGuard<'_, UpdatePacer> {
    shared.update_pacer.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Transfer that waits for its turn, which it gives up when its requester leaves.
#[derive(Debug)]
struct WaitingTransfer {
    shared: Arc<Shared>,
    id: TransferId,
}

impl WaitingTransfer {
    fn new(shared: &Arc<Shared>, id: TransferId) -> Self {
        let shared = Arc::clone(shared);
        Self { shared, id }
    }

    /// Waits until the transfer may begin. Returns the time that it waited.
    async fn begin(self) -> Duration {
        let added_at = Instant::now();
        loop {
            let wait = pacer(&self.shared).begin(self.id, Instant::now());
            let Some(wait) = wait else {
                return added_at.elapsed();
            };
            sleep(wait).await;
        }
    }
}

impl Drop for WaitingTransfer {
    fn drop(&mut self) {
        pacer(&self.shared).cancel(self.id);
    }
}

fn send(shared: &Arc<Shared>, sent: SentUpdate, bytes: Bytes, wait: Duration) -> Response<ResponseBody> {
    if !sent.is_large() {
        return Response::new(ResponseBody::full(bytes));
    }
    let mut transfer = Transfer::begin(shared, sent, bytes.len(), wait);
    Response::new(ResponseBody::chunks(bytes, move |taken_bytes| {
        transfer.record_taken(taken_bytes);
    }))
}

/// An update that is sent.
#[derive(Debug)]
struct SentUpdate {
    content: UpdateContent,
    /// Requesting host; `None` if it has an earlier version.
    requester: Option<HostId>,
    /// Number of changes; `None` for a snapshot.
    changes: Option<usize>,
    /// Size of the keys and values.
    size_bytes: usize,
}

impl SentUpdate {
    fn of(prefix: &str, last_change: Revision, update: &RangeUpdate) -> Self {
        let changes = match update {
            RangeUpdate::Changes { changes, .. } => Some(changes.len()),
            RangeUpdate::Snapshot(_) => None,
        };
        Self {
            content: UpdateContent::of(prefix, last_change, update),
            requester: None,
            changes,
            size_bytes: update.size_bytes(),
        }
    }

    fn is_large(&self) -> bool {
        self.size_bytes >= LARGE_UPDATE_BYTES
    }
}

/// Transfer of a large update to another host. It is logged when it ends.
#[derive(Debug)]
struct Transfer {
    shared: Arc<Shared>,
    sent: SentUpdate,
    /// Length of the message.
    bytes: usize,
    /// Bytes that the connection has taken. It may still hold some of them when the transfer ends.
    taken_bytes: usize,
    /// Number of transfers under way when this one began, with this one.
    under_way: usize,
    /// Time for which the request waited for its turn.
    wait: Duration,
    begun_at: Instant,
}

impl Transfer {
    fn begin(shared: &Arc<Shared>, sent: SentUpdate, bytes: usize, wait: Duration) -> Self {
        metrics::counter!("burdockroad_large_range_updates_total").increment(1);
        metrics::counter!("burdockroad_large_range_update_bytes_total").increment(bytes as u64);
        Self {
            shared: Arc::clone(shared),
            sent,
            bytes,
            taken_bytes: 0,
            under_way: shared.updates_under_way.fetch_add(1, Ordering::Relaxed) + 1,
            wait,
            begun_at: Instant::now(),
        }
    }

    fn record_taken(&mut self, bytes: usize) {
        self.taken_bytes += bytes;
    }
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.shared.updates_under_way.fetch_sub(1, Ordering::Relaxed);
        let line = UpdateSentLine {
            prefix: &self.sent.content.prefix,
            to: self.sent.requester.as_ref(),
            changes: self.sent.changes,
            size_bytes: self.sent.size_bytes,
            bytes: self.bytes,
            taken_bytes: self.taken_bytes,
            under_way: self.under_way,
            waited_ms: as_ms(self.wait),
            lasted_ms: as_ms(self.begun_at.elapsed()),
        };
        self.shared.log.line("range_update_sent", &line);
    }
}

#[derive(Serialize)]
struct UpdateSentLine<'a> {
    prefix: &'a str,
    to: Option<&'a HostId>,
    changes: Option<usize>,
    size_bytes: usize,
    bytes: usize,
    taken_bytes: usize,
    under_way: usize,
    waited_ms: u64,
    lasted_ms: u64,
}
