//! The tasks that keep the document up to date.

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

/// Pause before a broken watch is made anew.
const WATCH_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Pause between two looks at the age of the last confirmation.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(200);

/// Age at which a confirmation is renewed by a read of the store.
const CONFIRM_AGE: Duration = Duration::from_millis(800);

/// Longest pause after the store failed.
const CONFIRM_RETRY_MAX: Duration = Duration::from_secs(1);

/// Pause before a document is fetched again after that failed.
const FETCH_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Time in which a peer must have given its document.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Watches the document in the store for as long as the daemon runs.
pub(super) async fn watch(shared: Arc<Shared>) {
    loop {
        if let Err(error) = watch_once(&shared).await {
            log::debug!("event=document_watch_failed reason={:?}", error.to_string());
        }
        sleep(WATCH_RETRY_AFTER).await;
    }
}

async fn watch_once(shared: &Shared) -> Result<(), StoreError> {
    let mut events = shared.store.watch(DOCUMENT_KEY).await?;
    // Read after the watch stands, so that no change falls between the two.
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

/// Confirms the document by reads of the store, unless a peer has confirmed it lately.
pub(super) async fn confirm(shared: Arc<Shared>) {
    let mut known = None;
    let mut last_seen = Freshness::CutOff;
    let mut pause = CONFIRM_INTERVAL;
    loop {
        sleep(pause).await;
        pause = CONFIRM_INTERVAL;
        if shared.attestation_age().is_none_or(|age| age >= CONFIRM_AGE) {
            let result = confirm_once(&shared, &mut known).await;
            pause = result.map_or_else(|error| retry_after(&error), |()| CONFIRM_AGE);
        }
        report_change(&mut last_seen, &shared);
    }
}

/// A version in force, and the revision by which the store holds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Known {
    version: DocumentVersion,
    revision: Revision,
}

/// Lists the key without its value; only when that shows another revision is the value read.
async fn confirm_once(shared: &Shared, known: &mut Option<Known>) -> Result<(), StoreError> {
    let asked_at = Instant::now();
    let entries = shared.store.list(DOCUMENT_KEY, Listing::Keys).await?;
    let entry = entries.into_iter().find(|entry| entry.key == DOCUMENT_KEY);
    let unchanged = known.filter(|known| {
        let revision = entry.as_ref().map(|entry| entry.revision);
        revision == Some(known.revision) && known.version == shared.version()
    });
    match (entry, unchanged) {
        (None, _) => {}
        (Some(_), Some(known)) => shared.confirm(known.version, asked_at),
        (Some(_), None) => *known = read(shared).await?,
    }
    Ok(())
}

/// Reads the document and confirms its version; none when there is none that can be used.
async fn read(shared: &Shared) -> Result<Option<Known>, StoreError> {
    let asked_at = Instant::now();
    let Some(entry) = shared.store.get(DOCUMENT_KEY).await? else {
        return Ok(None);
    };
    let version = take(shared, &entry);
    if let Some(version) = version {
        shared.confirm(version, asked_at);
    }
    Ok(version.map(|version| Known {
        version,
        revision: entry.revision,
    }))
}

/// Puts a stored document in force if it is newer, and returns its version.
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
            shared.offer(versioned, Source::Store);
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
                    sleep(FETCH_RETRY_AFTER).await;
                }
            }
        }
    }
}

/// Fetches the document from one peer, and returns whether that gave a usable one.
async fn fetch_from(shared: &Shared, address: &str) -> bool {
    match ask_peer(shared, address).await {
        Ok(versioned) => {
            let is_higher = versioned.version > shared.version();
            shared.offer(versioned, Source::Peer);
            is_higher
        }
        Err(reason) => {
            log::warn!("event=document_fetch_failed peer={address} reason={reason:?}");
            false
        }
    }
}

async fn ask_peer(shared: &Shared, address: &str) -> Result<VersionedDocument, String> {
    let mut client = shared.peers.get(address).map_err(|error| error.to_string())?;
    let answer = timeout(FETCH_TIMEOUT, client.fetch_document(FetchDocumentRequest {})).await;
    let answer = answer.map_err(|elapsed| elapsed.to_string())?;
    let answer = answer.map_err(|status| status.to_string())?.into_inner();
    VersionedDocument::new(answer.version, answer.text).map_err(|findings| {
        let first = findings.first().map(ToString::to_string);
        format!("the peer's document is not valid: {}", first.unwrap_or_default())
    })
}

fn retry_after(error: &StoreError) -> Duration {
    match error {
        StoreError::Unavailable { retry_after, .. } => {
            (*retry_after).clamp(CONFIRM_INTERVAL, CONFIRM_RETRY_MAX)
        }
        StoreError::Ambiguous { .. } => CONFIRM_INTERVAL,
    }
}

fn report_change(last_seen: &mut Freshness, shared: &Shared) {
    let freshness = shared.decide();
    let fresh = if freshness == Freshness::Fresh { 1.0 } else { 0.0 };
    metrics::gauge!("burdockroad_document_fresh").set(fresh);
    if freshness == *last_seen {
        return;
    }
    *last_seen = freshness;
    let version = shared.version();
    match freshness {
        Freshness::Fresh => log::info!("event=document_fresh version={version}"),
        Freshness::OutageForAll => log::warn!("event=document_store_outage version={version}"),
        Freshness::CutOff => log::warn!("event=document_cut_off version={version}"),
    }
}
