//! Hands updates of ranges on to other hosts.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Instant,
};

use burdockroad_daemon::platform::Revision;
use http::Response;
use serde::Serialize;

use crate::{
    RangeUpdate,
    clock::as_ms,
    message_server::message_response,
    peer_client::encode_message,
    peer_messages::{PeerResponse, RangeUpdateResponse},
    response_body::ResponseBody,
    shared::Shared,
};

/// Size of the keys and values from which an update counts as large.
const LARGE_UPDATE_BYTES: usize = 16 << 10;

/// Responds to another host that has seen a range up to `after`.
pub(crate) fn serve_update(shared: &Arc<Shared>, prefix: &str, after: Revision) -> Response<ResponseBody> {
    let response = range_update(shared, prefix, after);
    let large = response.as_ref().map(|response| &response.update);
    let Some(large) = large.filter(|update| update.size_bytes() >= LARGE_UPDATE_BYTES) else {
        return message_response(&PeerResponse::RangeUpdate(response));
    };
    let changes = match large {
        RangeUpdate::Changes { changes, .. } => Some(changes.len()),
        RangeUpdate::Snapshot(_) => None,
    };
    let Ok(bytes) = encode_message(&PeerResponse::RangeUpdate(response)) else {
        return message_response(&PeerResponse::RangeUpdate(None));
    };
    let mut transfer = Transfer::begin(shared, prefix, changes, bytes.len());
    Response::new(ResponseBody::chunks(bytes, move |taken_bytes| {
        transfer.record_taken(taken_bytes);
    }))
}

/// Returns the updates of a range after a revision; `None` before this host has read the range.
fn range_update(shared: &Shared, prefix: &str, after: Revision) -> Option<RangeUpdateResponse> {
    let tables = shared.tables();
    let update = tables.range_logs.get(prefix)?.changes_since(after)?;
    Some(RangeUpdateResponse {
        update,
        reregistration_time: tables.departures.reregistration_time(Instant::now()),
    })
}

/// Transfer of a large update to another host. It is logged when it ends.
struct Transfer {
    shared: Arc<Shared>,
    prefix: String,
    /// Number of changes; `None` for a snapshot.
    changes: Option<usize>,
    bytes: usize,
    /// Bytes that the connection has taken. It may still hold some of them when the transfer ends.
    taken_bytes: usize,
    /// Number of transfers under way when this one began, with this one.
    under_way: usize,
    begun_at: Instant,
}

impl Transfer {
    fn begin(shared: &Arc<Shared>, prefix: &str, changes: Option<usize>, bytes: usize) -> Self {
        metrics::counter!("burdockroad_large_range_updates_total").increment(1);
        metrics::counter!("burdockroad_large_range_update_bytes_total").increment(bytes as u64);
        Self {
            shared: Arc::clone(shared),
            prefix: prefix.to_owned(),
            changes,
            bytes,
            taken_bytes: 0,
            under_way: shared.updates_under_way.fetch_add(1, Ordering::Relaxed) + 1,
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
            prefix: &self.prefix,
            changes: self.changes,
            bytes: self.bytes,
            taken_bytes: self.taken_bytes,
            under_way: self.under_way,
            lasted_ms: as_ms(self.begun_at.elapsed()),
        };
        self.shared.log.line("range_update_sent", &line);
    }
}

#[derive(Serialize)]
struct UpdateSentLine<'a> {
    prefix: &'a str,
    changes: Option<usize>,
    bytes: usize,
    taken_bytes: usize,
    under_way: usize,
    lasted_ms: u64,
}
