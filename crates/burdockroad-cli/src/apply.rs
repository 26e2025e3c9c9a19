//! Writes the document by compare-and-swap, and finds out what became of it.

use std::time::Duration;

use burdockroad::{
    DocumentVersion,
    config::{self, VersionedDocument},
};
use burdockroad_daemon::{
    config_watch::DOCUMENT_KEY,
    platform::{Entry, Expected, KeyValue, Listing, Put, Revision, StoreError},
};
use bytes::Bytes;
use tokio::time::sleep;

use crate::error::CliError;

/// Keys of earlier versions; the version follows in 16 digits.
const HISTORY_PREFIX: &str = "burdockroad/config/history/";

/// Earlier versions that are kept.
const HISTORY_MAX: usize = 64;

/// Tries to find out what became of a write whose reply was lost.
const SETTLE_TRIES: u32 = 12;

/// Pause between two such tries.
const SETTLE_PAUSE: Duration = Duration::from_millis(500);

/// Text of the document before the first one was applied.
const EMPTY_TEXT: &str = r#"{
  "sites": [],
  "accounts": [],
  "routes": [],
  "endpoint_sets": [],
}
"#;

/// The stored document that a change starts from.
#[derive(Clone, Debug)]
pub struct Base {
    /// The document; version 0 with empty lists before the first one.
    pub versioned: VersionedDocument,
    revision: Option<Revision>,
}

impl Base {
    /// Reads the stored document.
    ///
    /// # Errors
    ///
    /// Fails when the store cannot be reached, or holds a document that this tool cannot read.
    pub async fn read(store: &dyn KeyValue) -> Result<Self, CliError> {
        match store.get(DOCUMENT_KEY).await? {
            Some(entry) => Ok(Self {
                versioned: decode(&entry)?,
                revision: Some(entry.revision),
            }),
            None => Ok(Self {
                versioned: version(0, EMPTY_TEXT.to_owned(), "empty document")?,
                revision: None,
            }),
        }
    }

    /// Fails when this is not the version that the operator started from.
    ///
    /// # Errors
    ///
    /// [`CliError::Superseded`] with what changed since, when the operator's version is still kept.
    pub async fn expect(
        &self,
        store: &dyn KeyValue,
        expected: Option<DocumentVersion>,
    ) -> Result<(), CliError> {
        match expected {
            Some(expected) if expected != self.versioned.version => {
                let started_from = history(store, expected).await.ok().flatten();
                Err(superseded(expected, started_from.as_ref(), &self.versioned))
            }
            _ => Ok(()),
        }
    }

    /// Stores a text as the next version, if nobody changed the document since this was read.
    ///
    /// # Errors
    ///
    /// [`CliError::Invalid`], [`CliError::Superseded`] and [`CliError::Unavailable`] when nothing was
    /// stored; [`CliError::Unknown`] when that could not be found out.
    pub async fn apply(
        &self,
        store: &dyn KeyValue,
        text: String,
        origin: &str,
    ) -> Result<VersionedDocument, CliError> {
        let next = version(self.versioned.version + 1, text, origin)?;
        self.keep(store).await?;
        self.write(store, &next).await?;
        // The change stands already; old versions that stay are removed by the next change.
        let _ = trim_history(store).await;
        Ok(next)
    }

    /// Keeps this version in the history, before it is replaced.
    async fn keep(&self, store: &dyn KeyValue) -> Result<(), CliError> {
        if self.revision.is_none() {
            return Ok(());
        }
        let key = history_key(self.versioned.version);
        let value = Bytes::from(self.versioned.to_bytes());
        let mut last = None;
        for _ in 0..SETTLE_TRIES {
            match store.put(&key, value.clone(), Expected::Absent).await {
                // A conflict means that it is kept already.
                Ok(_) => return Ok(()),
                Err(StoreError::Unavailable { reason, .. }) => return Err(CliError::Unavailable(reason)),
                Err(error) => last = Some(error.to_string()),
            }
            sleep(SETTLE_PAUSE).await;
        }
        Err(CliError::Unavailable(last.unwrap_or_default()))
    }

    /// Writes the next version, and repeats the write until its outcome is known.
    ///
    /// The repetition is harmless: it expects the same revision, so at most one of the writes takes
    /// effect, and a conflict with the written value itself means that an earlier one did.
    async fn write(&self, store: &dyn KeyValue, next: &VersionedDocument) -> Result<(), CliError> {
        let value = Bytes::from(next.to_bytes());
        let expected = self.revision.map_or(Expected::Absent, Expected::Revision);
        let mut ambiguous = None;
        for _ in 0..SETTLE_TRIES {
            match store.put(DOCUMENT_KEY, value.clone(), expected).await {
                Ok(Put::Done(_)) => return Ok(()),
                Ok(Put::Conflict(held)) => return self.settle(store, next, held, &value).await,
                Err(StoreError::Unavailable { reason, .. }) if ambiguous.is_none() => {
                    return Err(CliError::Unavailable(reason));
                }
                Err(error) => ambiguous = Some(error.to_string()),
            }
            sleep(SETTLE_PAUSE).await;
        }
        Err(CliError::Unknown {
            version: next.version,
            reason: ambiguous.unwrap_or_default(),
        })
    }

    /// Tells from what the store holds whether the change took effect.
    async fn settle(
        &self,
        store: &dyn KeyValue,
        next: &VersionedDocument,
        held: Option<Entry>,
        value: &Bytes,
    ) -> Result<(), CliError> {
        let Some(entry) = held else {
            return Err(CliError::Failed(
                "the document was removed from the store".to_owned(),
            ));
        };
        if entry.value == *value {
            return Ok(());
        }
        let held = decode(&entry)?;
        // Whoever replaced this change has kept it in the history first.
        if held.version > next.version && history(store, next.version).await?.as_ref() == Some(next) {
            return Ok(());
        }
        Err(superseded(self.versioned.version, Some(&self.versioned), &held))
    }
}

/// Returns an earlier version; none when it is not kept.
///
/// # Errors
///
/// Fails when the store cannot be reached, or holds a document that this tool cannot read.
pub async fn history(
    store: &dyn KeyValue,
    version: DocumentVersion,
) -> Result<Option<VersionedDocument>, CliError> {
    let entry = store.get(&history_key(version)).await?;
    entry.as_ref().map(decode).transpose()
}

/// Returns the versions that the history keeps, the oldest first.
///
/// # Errors
///
/// Fails when the store cannot be reached.
pub async fn history_versions(store: &dyn KeyValue) -> Result<Vec<DocumentVersion>, CliError> {
    let entries = store.list(HISTORY_PREFIX, Listing::Keys).await?;
    let names = entries
        .iter()
        .filter_map(|entry| entry.key.strip_prefix(HISTORY_PREFIX));
    Ok(names.filter_map(|name| name.parse().ok()).collect())
}

async fn trim_history(store: &dyn KeyValue) -> Result<(), CliError> {
    let versions = history_versions(store).await?;
    let surplus = versions.len().saturating_sub(HISTORY_MAX);
    for version in &versions[..surplus] {
        store.delete(&history_key(*version)).await?;
    }
    Ok(())
}

fn history_key(version: DocumentVersion) -> String {
    format!("{HISTORY_PREFIX}{version:016}")
}

fn decode(entry: &Entry) -> Result<VersionedDocument, CliError> {
    VersionedDocument::from_bytes(&entry.value)
        .map_err(|error| CliError::Failed(format!("{}: {error}", entry.key)))
}

fn version(version: DocumentVersion, text: String, origin: &str) -> Result<VersionedDocument, CliError> {
    VersionedDocument::new(version, text).map_err(|findings| CliError::Invalid {
        origin: origin.to_owned(),
        findings,
    })
}

fn superseded(
    expected: DocumentVersion,
    started_from: Option<&VersionedDocument>,
    found: &VersionedDocument,
) -> CliError {
    let changes = started_from.map(|started| config::diff(&started.document, &found.document));
    CliError::Superseded {
        expected,
        found: found.version,
        changes: changes.unwrap_or_default(),
    }
}
