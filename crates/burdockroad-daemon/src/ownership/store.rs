//! Storage of the ownership map in the key-value service.

use std::{fmt, time::Duration};

use burdockroad::ownership::OwnershipMap;
use bytes::Bytes;

use crate::platform::{Entry, Expected, Put, Revision, SharedKeyValue, StoreError};

/// Key under which the ownership map is stored.
pub const OWNERSHIP_KEY: &str = "burdockroad/ownership";

/// Initial backoff before a write with an unknown outcome is repeated. The backoff doubles each time.
const REWRITE_BACKOFF: Duration = Duration::from_millis(50);

/// Maximum backoff between two repetitions.
const REWRITE_BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Access to the stored map.
#[derive(Clone, Debug)]
pub struct MapStore {
    store: SharedKeyValue,
}

/// Ownership map with the key revision that a conditional write expects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedMap {
    /// The map.
    pub map: OwnershipMap,
    /// Revision of the key.
    pub revision: Revision,
}

/// Outcome of a conditional write of the map.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The map was written.
    Done(VersionedMap),
    /// Another process changed the map first. Holds the stored map, if there is one.
    Conflict(Option<VersionedMap>),
}

/// Error of reading or changing the map.
#[derive(Clone, Debug)]
pub enum MapError {
    /// The key-value service is unreachable. Nothing was changed.
    Unavailable(StoreError),
    /// The stored value is not a valid map.
    Damaged(burdockroad::Error),
}

impl fmt::Display for MapError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable(cause) => write!(f, "the ownership map cannot be reached: {cause}"),
            Self::Damaged(cause) => write!(f, "the ownership map is damaged: {cause}"),
        }
    }
}

impl std::error::Error for MapError {}

impl From<StoreError> for MapError {
    fn from(cause: StoreError) -> Self {
        Self::Unavailable(cause)
    }
}

impl From<burdockroad::Error> for MapError {
    fn from(cause: burdockroad::Error) -> Self {
        Self::Damaged(cause)
    }
}

impl MapStore {
    /// Creates a map store that uses a key-value service.
    pub fn new(store: SharedKeyValue) -> Self {
        Self { store }
    }

    /// Reads the map. Returns `None` before the first map is created.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable or the stored value is not a valid map.
    pub async fn read(&self) -> Result<Option<VersionedMap>, MapError> {
        let entry = self.store.get(OWNERSHIP_KEY).await?;
        entry.as_ref().map(decode).transpose()
    }

    /// Writes the map if the key is still as expected. Returns only once the outcome is certain.
    ///
    /// A write whose response was lost may still be in flight. Reading the key back is not enough, because
    /// the write could still replace the old value after it was read. The same write is repeated until it
    /// succeeds or conflicts. In both cases the revision has changed, so an earlier attempt can no longer
    /// succeed. The change ID in the conflicting map shows whether one of the attempts wrote it.
    ///
    /// # Errors
    ///
    /// Fails when the first attempt failed without effect, when the map cannot be encoded, or when the stored
    /// value that conflicts is not a valid map.
    pub async fn swap(&self, expected: Expected, next: &OwnershipMap) -> Result<Swap, MapError> {
        let value = Bytes::from(next.encode()?);
        let mut backoff = REWRITE_BACKOFF;
        let mut uncertain = false;
        loop {
            match self.store.put(OWNERSHIP_KEY, value.clone(), expected).await {
                Ok(Put::Done(revision)) => {
                    let map = next.clone();
                    return Ok(Swap::Done(VersionedMap { map, revision }));
                }
                Ok(Put::Conflict(entry)) => return conflict_outcome(entry.as_ref(), next),
                Err(cause @ StoreError::Unavailable { .. }) if !uncertain => return Err(cause.into()),
                Err(cause) => {
                    log::warn!("event=ownership_write_uncertain reason=\"{cause}\"");
                    uncertain = true;
                    tokio::time::sleep(backoff).await;
                    backoff = (backoff * 2).min(REWRITE_BACKOFF_MAX);
                }
            }
        }
    }
}

fn conflict_outcome(entry: Option<&Entry>, next: &OwnershipMap) -> Result<Swap, MapError> {
    let found = entry.map(decode).transpose()?;
    match found {
        Some(found) if found.map.change_id == next.change_id => Ok(Swap::Done(found)),
        found => Ok(Swap::Conflict(found)),
    }
}

fn decode(entry: &Entry) -> Result<VersionedMap, MapError> {
    Ok(VersionedMap {
        map: OwnershipMap::decode(&entry.value)?,
        revision: entry.revision,
    })
}
