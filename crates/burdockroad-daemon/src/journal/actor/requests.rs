//! Requests to the store and to peers that the journal's writer asks for.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    SegmentNumber,
    journal::{ReadReply, TailBatch, TailReply, WriteReply},
};
use burdockroad_proto::peer::ReplicateTailRequest;
use bytes::Bytes;
use tokio::time::timeout;

use crate::{
    journal::{keys, tail::host_ref},
    ownership::Process,
    peer::PeerClients,
    platform::{Expected, Put, SharedKeyValue, StoreError},
};

/// Timeout of replication to a peer.
const REPLICATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Backoff after a failed read for which the store gave no retry delay.
const READ_BACKOFF: Duration = Duration::from_millis(100);

/// Writes a segment after its predecessor.
pub(super) async fn write(
    store: &SharedKeyValue,
    owner: &Process,
    segment: SegmentNumber,
    value: Arc<[u8]>,
) -> WriteReply {
    let key = keys::segment(owner, segment);
    let value = Bytes::from_owner(value);
    let started_at = Instant::now();
    let put = if segment == 1 {
        store.put(&key, value, Expected::Absent).await
    } else {
        let predecessor = keys::segment(owner, segment - 1);
        store.create_after(&key, value, &predecessor).await
    };
    metrics::histogram!("burdockroad_journal_write_seconds").record(started_at.elapsed().as_secs_f64());
    match put {
        Ok(Put::Done(_)) => WriteReply::Done,
        Ok(Put::Conflict(Some(existing))) => WriteReply::Exists(existing.value.into()),
        Ok(Put::Conflict(None)) => WriteReply::Removed,
        Err(StoreError::Unavailable { retry_after, .. }) => WriteReply::Unavailable { retry_after },
        Err(StoreError::Ambiguous { .. }) => WriteReply::Ambiguous,
    }
}

/// Reads a segment whose write had an unknown outcome.
pub(super) async fn read_back(store: &SharedKeyValue, key: &str) -> ReadReply {
    match store.get(key).await {
        Ok(Some(existing)) => ReadReply::Found(existing.value.into()),
        Ok(None) => ReadReply::Absent,
        Err(StoreError::Unavailable { retry_after, .. }) => ReadReply::Unavailable { retry_after },
        Err(StoreError::Ambiguous { .. }) => ReadReply::Unavailable {
            retry_after: READ_BACKOFF,
        },
    }
}

/// Replicates a batch of records to a peer.
pub(super) async fn send_batch(
    clients: &PeerClients,
    address: &str,
    owner: &Process,
    to: &Process,
    batch: TailBatch,
) -> TailReply {
    let request = ReplicateTailRequest {
        writer: Some(host_ref(owner)),
        to: Some(host_ref(to)),
        session: batch.session,
        position: batch.position,
        records: batch.records.iter().map(|record| record.to_vec()).collect(),
        stored_end: batch.stored_end,
    };
    let Ok(mut client) = clients.get(address) else {
        return TailReply::Failed;
    };
    let sent = timeout(REPLICATE_TIMEOUT, client.replicate_tail(request)).await;
    let Ok(Ok(response)) = sent else {
        return TailReply::Failed;
    };
    let response = response.into_inner();
    if response.sealed {
        return TailReply::Sealed;
    }
    if response.other_process || response.other_session {
        return TailReply::Failed;
    }
    TailReply::Acknowledged(response.held_end)
}

/// Counts a written segment, and logs a write that failed.
pub(super) fn log_write(owner: &Process, reply: &WriteReply) {
    let outcome = match reply {
        WriteReply::Done => {
            metrics::counter!("burdockroad_journal_segments_total").increment(1);
            return;
        }
        WriteReply::Exists(_) => "held",
        WriteReply::Removed => "removed",
        WriteReply::Unavailable { .. } => "unavailable",
        WriteReply::Ambiguous => "ambiguous",
    };
    log::warn!(
        "event=journal_write_failed host={} outcome={outcome}",
        owner.host_id
    );
}
