//! The ownership map in the key-value service.

use std::{fmt, time::Duration};

use burdockroad::ownership::OwnershipMap;
use bytes::Bytes;

use crate::platform::{Entry, Expected, Put, Revision, SharedKeyValue, StoreError};

/// Key of the ownership map.
pub const OWNERSHIP_KEY: &str = "burdockroad/ownership";

/// Time before the first repetition of a write whose outcome is not known; it doubles each time.
const SETTLE_DELAY: Duration = Duration::from_millis(50);

/// Longest time between two repetitions.
const SETTLE_DELAY_MAX: Duration = Duration::from_secs(2);

/// Reads and changes the map.
#[derive(Clone, Debug)]
pub struct MapStore {
    store: SharedKeyValue,
}

/// A map, and what to expect of the key when changing it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedMap {
    /// The map.
    pub map: OwnershipMap,
    /// Revision of the key.
    pub revision: Revision,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Swap {
    /// The map is changed.
    Done(VersionedMap),
    /// Another process changed the map first; this is it.
    Conflict(Option<VersionedMap>),
}

/// Why the map could not be read, or was not changed.
#[derive(Clone, Debug)]
pub enum MapError {
    /// The key-value service cannot be reached; nothing was changed.
    Unavailable(StoreError),
    /// The key holds something that is not a map.
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
    /// Makes a store of the map over a key-value service.
    pub fn new(store: SharedKeyValue) -> Self {
        Self { store }
    }

    /// Reads the map; none before the first.
    ///
    /// # Errors
    ///
    /// Fails when the service cannot be reached, or holds something else.
    pub async fn read(&self) -> Result<Option<VersionedMap>, MapError> {
        let entry = self.store.get(OWNERSHIP_KEY).await?;
        entry.as_ref().map(decode).transpose()
    }

    /// Changes the map if it is still as expected, and returns only once it is certain whether it did.
    ///
    /// A write whose reply was lost may still be on its way, so reading the key back is not enough: an
    /// old value read back could yet be replaced. The same write is made again until it succeeds or
    /// conflicts. Either way the revision has changed, and an earlier try can do nothing any more; the
    /// change id in the conflicting map tells whether one of them was it.
    ///
    /// # Errors
    ///
    /// Fails when the service refused the first try without effect, or the map cannot be encoded.
    pub async fn swap(&self, expected: Expected, next: &OwnershipMap) -> Result<Swap, MapError> {
        let value = Bytes::from(next.encode()?);
        let mut delay = SETTLE_DELAY;
        let mut uncertain = false;
        loop {
            match self.store.put(OWNERSHIP_KEY, value.clone(), expected).await {
                Ok(Put::Done(revision)) => {
                    let map = next.clone();
                    return Ok(Swap::Done(VersionedMap { map, revision }));
                }
                Ok(Put::Conflict(entry)) => return settle(entry.as_ref(), next),
                Err(cause @ StoreError::Unavailable { .. }) if !uncertain => return Err(cause.into()),
                Err(cause) => {
                    log::warn!("event=ownership_write_uncertain reason=\"{cause}\"");
                    uncertain = true;
                    tokio::time::sleep(delay).await;
                    delay = (delay * 2).min(SETTLE_DELAY_MAX);
                }
            }
        }
    }
}

fn settle(entry: Option<&Entry>, next: &OwnershipMap) -> Result<Swap, MapError> {
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
