//! Writes the document with compare-and-swap and determines whether the write took effect.

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

/// Prefix of the keys of earlier versions. The version number follows, padded to 16 digits.
const HISTORY_PREFIX: &str = "burdockroad/config/history/";

/// Maximum number of versions in the history.
const HISTORY_MAX: usize = 64;

/// Maximum attempts of a write whose response is lost.
const WRITE_ATTEMPTS_MAX: u32 = 12;

/// Backoff between two attempts of a write.
const WRITE_BACKOFF: Duration = Duration::from_millis(500);

/// Text of the document before the first one is applied.
const EMPTY_TEXT: &str = r#"{
  "sites": [],
  "accounts": [],
  "routes": [],
  "endpoint_sets": [],
}
"#;

/// Stored document that a change is based on.
#[derive(Clone, Debug)]
pub struct Base {
    /// Document with its version; before the first one, version 0 with empty lists.
    pub versioned: VersionedDocument,
    revision: Option<Revision>,
}

impl Base {
    /// Reads the stored document.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, or if this tool cannot parse the stored document.
    pub async fn read(store: &dyn KeyValue) -> Result<Self, CliError> {
        match store.get(DOCUMENT_KEY).await? {
            Some(entry) => Ok(Self {
                versioned: decode(&entry)?,
                revision: Some(entry.revision),
            }),
            None => Ok(Self {
                versioned: versioned_document(0, EMPTY_TEXT.to_owned(), "empty document")?,
                revision: None,
            }),
        }
    }

    /// Checks that this is the version that the operator expects. Without an expected version, any
    /// version is accepted.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Superseded`] if the versions differ. The error lists the changes since the
    /// expected version if that version is still in the history.
    pub async fn expect(
        &self,
        store: &dyn KeyValue,
        expected: Option<DocumentVersion>,
    ) -> Result<(), CliError> {
        match expected {
            Some(expected) if expected != self.versioned.version => {
                let base = history(store, expected).await.ok().flatten();
                Err(superseded(expected, base.as_ref(), &self.versioned))
            }
            _ => Ok(()),
        }
    }

    /// Stores a text as the next version, unless the document was changed after this base was read.
    ///
    /// # Errors
    ///
    /// Returns [`CliError::Invalid`], [`CliError::Superseded`] or [`CliError::Unavailable`] if nothing
    /// was stored, and [`CliError::Unknown`] if it is not known whether the text was stored.
    pub async fn apply(
        &self,
        store: &dyn KeyValue,
        text: String,
        origin: &str,
    ) -> Result<VersionedDocument, CliError> {
        let next = versioned_document(self.versioned.version + 1, text, origin)?;
        self.archive(store).await?;
        self.write(store, &next).await?;
        // The change is already stored. If trimming fails, the next change removes the old versions.
        let _ = trim_history(store).await;
        Ok(next)
    }

    /// Writes this version to the history. [`Self::apply`] calls this before it replaces the document.
    async fn archive(&self, store: &dyn KeyValue) -> Result<(), CliError> {
        if self.revision.is_none() {
            return Ok(());
        }
        let key = history_key(self.versioned.version);
        let value = Bytes::from(self.versioned.to_bytes());
        let mut last = None;
        for _ in 0..WRITE_ATTEMPTS_MAX {
            match store.put(&key, value.clone(), Expected::Absent).await {
                // A conflict means that the history already contains this version.
                Ok(_) => return Ok(()),
                Err(StoreError::Unavailable { reason, .. }) => return Err(CliError::Unavailable(reason)),
                Err(error) => last = Some(error.to_string()),
            }
            sleep(WRITE_BACKOFF).await;
        }
        Err(CliError::Unavailable(last.unwrap_or_default()))
    }

    /// Writes the next version and repeats the write until its outcome is known.
    ///
    /// Repeating the write is safe. All attempts expect the same revision, so at most one takes effect.
    /// A conflict with the written value itself means that an earlier attempt took effect.
    async fn write(&self, store: &dyn KeyValue, next: &VersionedDocument) -> Result<(), CliError> {
        let value = Bytes::from(next.to_bytes());
        let expected = self.revision.map_or(Expected::Absent, Expected::Revision);
        let mut ambiguous_error = None;
        for _ in 0..WRITE_ATTEMPTS_MAX {
            match store.put(DOCUMENT_KEY, value.clone(), expected).await {
                Ok(Put::Done(_)) => return Ok(()),
                Ok(Put::Conflict(found)) => return self.resolve_conflict(store, next, found, &value).await,
                Err(StoreError::Unavailable { reason, .. }) if ambiguous_error.is_none() => {
                    return Err(CliError::Unavailable(reason));
                }
                Err(error) => ambiguous_error = Some(error.to_string()),
            }
            sleep(WRITE_BACKOFF).await;
        }
        Err(CliError::Unknown {
            version: next.version,
            reason: ambiguous_error.unwrap_or_default(),
        })
    }

    /// Determines from the stored entry whether the change took effect.
    async fn resolve_conflict(
        &self,
        store: &dyn KeyValue,
        next: &VersionedDocument,
        found: Option<Entry>,
        value: &Bytes,
    ) -> Result<(), CliError> {
        let Some(entry) = found else {
            return Err(CliError::Failed(
                "the document was removed from the store".to_owned(),
            ));
        };
        if entry.value == *value {
            return Ok(());
        }
        let found = decode(&entry)?;
        // If another writer has replaced this change, that writer first added it to the history.
        if found.version > next.version && history(store, next.version).await?.as_ref() == Some(next) {
            return Ok(());
        }
        Err(superseded(self.versioned.version, Some(&self.versioned), &found))
    }
}

/// Returns an earlier version, or none if the history does not contain it.
///
/// # Errors
///
/// Fails if the store cannot be reached, or if this tool cannot parse the stored document.
pub async fn history(
    store: &dyn KeyValue,
    version: DocumentVersion,
) -> Result<Option<VersionedDocument>, CliError> {
    let entry = store.get(&history_key(version)).await?;
    entry.as_ref().map(decode).transpose()
}

/// Returns the versions in the history, oldest first.
///
/// # Errors
///
/// Fails if the store cannot be reached.
pub async fn history_versions(store: &dyn KeyValue) -> Result<Vec<DocumentVersion>, CliError> {
    let entries = store.list(HISTORY_PREFIX, Listing::Keys).await?;
    let names = entries
        .iter()
        .filter_map(|entry| entry.key.strip_prefix(HISTORY_PREFIX));
    Ok(names.filter_map(|name| name.parse().ok()).collect())
}

async fn trim_history(store: &dyn KeyValue) -> Result<(), CliError> {
    let versions = history_versions(store).await?;
    let excess = versions.len().saturating_sub(HISTORY_MAX);
    for version in &versions[..excess] {
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

fn versioned_document(
    version: DocumentVersion,
    text: String,
    origin: &str,
) -> Result<VersionedDocument, CliError> {
    VersionedDocument::new(version, text).map_err(|findings| CliError::Invalid {
        origin: origin.to_owned(),
        findings,
    })
}

fn superseded(
    expected: DocumentVersion,
    base: Option<&VersionedDocument>,
    found: &VersionedDocument,
) -> CliError {
    let changes = base.map(|base| config::diff(&base.document, &found.document));
    CliError::Superseded {
        expected,
        found: found.version,
        changes: changes.unwrap_or_default(),
    }
}
