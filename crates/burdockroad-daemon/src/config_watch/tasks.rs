//! Background tasks that keep the document up to date.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    DocumentVersion,
    config::{Freshness, VersionedDocument},
};
use burdockroad_proto::peer::FetchDocumentRequest;
use tokio::time::{sleep, timeout};

use crate::{
    config_watch::{
        DOCUMENT_KEY,
        shared::{Shared, Source},
    },
    platform::{Entry, Listing, Revision, StoreError, WatchEvent},
};

/// Backoff before a failed watch is restarted.
const WATCH_BACKOFF: Duration = Duration::from_millis(500);

/// Interval between two checks of the age of the last confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Age at which a confirmation is renewed by a read of the store.
const CONFIRM_AGE: Duration = Duration::from_millis(800);

/// Maximum backoff after an error of the store.
const CONFIRM_BACKOFF_MAX: Duration = Duration::from_secs(1);

/// Backoff after a failed fetch of the document from a peer.
const FETCH_BACKOFF: Duration = Duration::from_millis(200);

/// Timeout of a document request to a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the document in the store until the task is cancelled.
pub(super) async fn watch(shared: Arc<Shared>) {
    loop {
        if let Err(error) = watch_once(&shared).await {
            log::debug!("event=document_watch_failed reason={:?}", error.to_string());
        }
        sleep(WATCH_BACKOFF).await;
    }
}

async fn watch_once(shared: &Shared) -> Result<(), StoreError> {
    let mut events = shared.store.watch(DOCUMENT_KEY).await?;
    // Read after the watch is established, so that no change between the two is missed.
    read(shared).await?;
    while let Some(event) = events.recv().await {
        match event {
            WatchEvent::Changed(Some(entry)) => {
                take(shared, &entry);
            }
            WatchEvent::Changed(None) => {
                log::error!("event=document_removed version_kept={}", shared.version());
            }
            WatchEvent::Progress => {}
        }
    }
    Ok(())
}

/// Confirms the document by reads of the store, unless it has a confirmation younger than `CONFIRM_AGE`.
pub(super) async fn confirm(shared: Arc<Shared>) {
    let mut confirmed = None;
    let mut last_reported = Freshness::CutOff;
    let mut delay = CONFIRM_INTERVAL;
    loop {
        sleep(delay).await;
        delay = CONFIRM_INTERVAL;
        if shared.attestation_age().is_none_or(|age| age >= CONFIRM_AGE) {
            let result = confirm_once(&shared, &mut confirmed).await;
            delay = result.map_or_else(|error| retry_after(&error), |()| CONFIRM_AGE);
        }
        report_freshness(&mut last_reported, &shared);
    }
}

/// Confirmed document version, with the store revision of the value that contains it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConfirmedRevision {
    version: DocumentVersion,
    revision: Revision,
}

/// Lists the key without its value, and reads the value only when the revision has changed.
async fn confirm_once(shared: &Shared, confirmed: &mut Option<ConfirmedRevision>) -> Result<(), StoreError> {
    let requested_at = Instant::now();
    let entries = shared.store.list(DOCUMENT_KEY, Listing::Keys).await?;
    let entry = entries.into_iter().find(|entry| entry.key == DOCUMENT_KEY);
    let unchanged = confirmed.filter(|confirmed| {
        let revision = entry.as_ref().map(|entry| entry.revision);
        revision == Some(confirmed.revision) && confirmed.version == shared.version()
    });
    match (entry, unchanged) {
        (None, _) => {}
        (Some(_), Some(confirmed)) => shared.confirm(confirmed.version, requested_at),
        (Some(_), None) => *confirmed = read(shared).await?,
    }
    Ok(())
}

/// Reads the document, puts it in force if it is newer, and confirms its version. Returns `None` when the
/// store has no valid document.
async fn read(shared: &Shared) -> Result<Option<ConfirmedRevision>, StoreError> {
    let requested_at = Instant::now();
    let Some(entry) = shared.store.get(DOCUMENT_KEY).await? else {
        return Ok(None);
    };
    let version = take(shared, &entry);
    if let Some(version) = version {
        shared.confirm(version, requested_at);
    }
    Ok(version.map(|version| ConfirmedRevision {
        version,
        revision: entry.revision,
    }))
}

/// Puts a stored document in force if it is newer than the current one. Returns its version, or `None` when
/// the stored document is not valid.
fn take(shared: &Shared, entry: &Entry) -> Option<DocumentVersion> {
    match VersionedDocument::from_bytes(&entry.value) {
        Ok(versioned) => {
            let version = versioned.version;
            if version < shared.version() {
                log::warn!(
                    "event=document_older_in_store version={version} version_kept={}",
                    shared.version()
                );
            }
            shared.put_in_force(versioned, Source::Store);
            Some(version)
        }
        Err(error) => {
            log::error!(
                "event=document_refused revision={} version_kept={} reason={:?}",
                entry.revision,
                shared.version(),
                error.to_string()
            );
            None
        }
    }
}

/// Fetches the document from a peer whenever one has a higher version.
pub(super) async fn fetch(shared: Arc<Shared>) {
    loop {
        match shared.peer_to_fetch_from() {
            None => shared.peer_ahead.notified().await,
            Some(address) => {
                if !fetch_from(&shared, &address).await {
                    sleep(FETCH_BACKOFF).await;
                }
            }
        }
    }
}

/// Fetches the document from one peer, and returns whether the peer had a valid, higher version.
async fn fetch_from(shared: &Shared, address: &str) -> bool {
    match request_document(shared, address).await {
        Ok(versioned) => {
            let is_higher = versioned.version > shared.version();
            shared.put_in_force(versioned, Source::Peer);
            is_higher
        }
        Err(reason) => {
            log::warn!("event=document_fetch_failed peer={address} reason={reason:?}");
            false
        }
    }
}

async fn request_document(shared: &Shared, address: &str) -> Result<VersionedDocument, String> {
    let mut client = shared.peers.get(address).map_err(|error| error.to_string())?;
    let result = timeout(FETCH_TIMEOUT, client.fetch_document(FetchDocumentRequest {})).await;
    let result = result.map_err(|elapsed| elapsed.to_string())?;
    let response = result.map_err(|status| status.to_string())?.into_inner();
    VersionedDocument::new(response.version, response.text).map_err(|findings| {
        let first = findings.first().map(ToString::to_string);
        format!("the peer's document is not valid: {}", first.unwrap_or_default())
    })
}

fn retry_after(error: &StoreError) -> Duration {
    match error {
        StoreError::Unavailable { retry_after, .. } => {
            (*retry_after).clamp(CONFIRM_INTERVAL, CONFIRM_BACKOFF_MAX)
        }
        StoreError::Ambiguous { .. } => CONFIRM_INTERVAL,
    }
}

fn report_freshness(last_reported: &mut Freshness, shared: &Shared) {
    let freshness = shared.freshness();
    let fresh = if freshness == Freshness::Fresh { 1.0 } else { 0.0 };
    metrics::gauge!("burdockroad_document_fresh").set(fresh);
    if freshness == *last_reported {
        return;
    }
    *last_reported = freshness;
    let version = shared.version();
    match freshness {
        Freshness::Fresh => log::info!("event=document_fresh version={version}"),
        Freshness::OutageForAll => log::warn!("event=document_store_outage version={version}"),
        Freshness::CutOff => log::warn!("event=document_cut_off version={version}"),
    }
}
