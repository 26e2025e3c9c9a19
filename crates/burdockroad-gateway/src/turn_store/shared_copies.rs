//! Copies of turns in the shared store, while too few hosts with disks can store them.
//!
//! A host that does not respond may come back with its disk and without a turn, and the disk of another one may be lost
//! instead. So a turn that only as many hosts have as may be lost is also written to the shared store. Its copies are
//! read where no host has the turn.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{Turn, TurnKey};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::sync::Mutex;

use crate::{ConditionalWrite, LeaseId, SharedStore, WriteOutcome};

/// Key prefix of the copies.
const COPIES_PREFIX: &str = "burdockroad/turns/";

/// Longest value of one key, in bytes. A longer turn has several.
const VALUE_MAX_BYTES: usize = 512 << 10;

/// Maximum number of keys of one write.
const WRITE_MAX_KEYS: usize = 32;

/// Contents at which one write gets no further turn, in bytes.
const WRITE_MAX_BYTES: usize = 2 << 20;

/// Longest lifetime of a copy. Hosts that come back copy the turn from each other sooner.
const LIFETIME_MAX: Duration = Duration::from_mins(10);

/// Reason why copies could not be written or read.
#[derive(Debug)]
pub(super) enum CopyError {
    /// A turn cannot be encoded or decoded, or is too long.
    Unusable,
    /// The store did not take the write.
    NotWritten,
    /// The store failed.
    Store(StoreError),
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unusable => f.write_str("a turn cannot be encoded or decoded, or is too long"),
            Self::NotWritten => f.write_str("the store did not take the write"),
            Self::Store(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for CopyError {}

impl From<StoreError> for CopyError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

/// Copies of turns in the shared store.
#[derive(Debug)]
pub(super) struct SharedCopies {
    store: Arc<dyn SharedStore>,
    /// Lease of the last copies; `None` before the first ones.
    lease: Mutex<Option<CopyLease>>,
}

/// Lease of copies, which other copies may be attached to.
#[derive(Clone, Copy, Debug)]
struct CopyLease {
    id: LeaseId,
    expires_at: Instant,
}

impl SharedCopies {
    pub(super) fn new(store: Arc<dyn SharedStore>) -> Self {
        Self {
            store,
            lease: Mutex::default(),
        }
    }

    /// Writes copies that last for a time, [`LIFETIME_MAX`] at most.
    ///
    /// # Errors
    ///
    /// Fails when not all copies may have been written.
    pub(super) async fn write(&self, turns: &[Turn], lifetime: Duration) -> Result<(), CopyError> {
        let lifetime = lifetime.min(LIFETIME_MAX);
        let mut writes = Vec::new();
        let mut bytes = 0;
        for turn in turns {
            let parts = encode(turn)?;
            let turn_bytes: usize = parts.iter().map(|part| part.value.len()).sum();
            let is_full = writes.len() + parts.len() > WRITE_MAX_KEYS || bytes + turn_bytes > WRITE_MAX_BYTES;
            if is_full && !writes.is_empty() {
                self.write_all(std::mem::take(&mut writes), lifetime).await?;
                bytes = 0;
            }
            bytes += turn_bytes;
            writes.extend(parts);
        }
        self.write_all(writes, lifetime).await?;
        metrics::counter!("burdockroad_turns_copied_to_store_total").increment(turns.len() as u64);
        Ok(())
    }

    /// Reads the copy of a turn; `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails when the store does not tell.
    pub(super) async fn read(&self, key: &TurnKey) -> Result<Option<Turn>, CopyError> {
        let snapshot = self.store.read_range(&key_prefix(key)).await?;
        if snapshot.entries.is_empty() {
            return Ok(None);
        }
        let turn = decode(&snapshot.entries).filter(|turn| turn.key == *key);
        metrics::counter!("burdockroad_turns_read_from_store_total").increment(1);
        turn.map(Some).ok_or(CopyError::Unusable)
    }

    async fn write_all(
        &self,
        mut writes: Vec<ConditionalWrite>,
        lifetime: Duration,
    ) -> Result<(), CopyError> {
        if writes.is_empty() {
            return Ok(());
        }
        let lease = self.lease(lifetime).await?;
        for write in &mut writes {
            write.lease = Some(lease);
        }
        match self.store.write_all(&writes).await? {
            WriteOutcome::Done(_) => Ok(()),
            WriteOutcome::LeaseEnded => {
                self.lease.lock().await.take();
                Err(CopyError::NotWritten)
            }
            WriteOutcome::Conflict(_) | WriteOutcome::Refused(_) => Err(CopyError::NotWritten),
        }
    }

    /// Returns a lease that lasts for a time. The last one is used while it lasts long enough.
    async fn lease(&self, lifetime: Duration) -> Result<LeaseId, StoreError> {
        let mut lease = self.lease.lock().await;
        let needed_until = Instant::now() + lifetime;
        if let Some(lease) = lease.filter(|lease| lease.expires_at >= needed_until) {
            return Ok(lease.id);
        }
        let opened_at = Instant::now();
        let id = self.store.open_lease(LIFETIME_MAX).await?;
        let expires_at = opened_at + LIFETIME_MAX;
        *lease = Some(CopyLease { id, expires_at });
        Ok(id)
    }
}

/// Returns the prefix of the keys of a turn's copy. Names of turns may be longer than keys.
fn key_prefix(key: &TurnKey) -> String {
    let mut hasher = Sha256::new();
    hasher.update(key.account.len().to_le_bytes());
    hasher.update(&key.account);
    hasher.update(&key.turn);
    let digest: [u8; 32] = hasher.finalize().into();
    let name: Vec<String> = digest.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("{COPIES_PREFIX}{}/", name.concat())
}

/// Returns the writes of a turn's copy, without a lease.
fn encode(turn: &Turn) -> Result<Vec<ConditionalWrite>, CopyError> {
    let encoded = cbor(turn).ok_or(CopyError::Unusable)?;
    let prefix = key_prefix(&turn.key);
    let parts = encoded.chunks(VALUE_MAX_BYTES).enumerate();
    let writes = parts.map(|(number, part)| ConditionalWrite {
        key: format!("{prefix}{number:04}"),
        value: Bytes::copy_from_slice(part),
        expected_revision: None,
        unconditional: true,
        lease: None,
    });
    let writes: Vec<ConditionalWrite> = writes.collect();
    if writes.len() > WRITE_MAX_KEYS {
        return Err(CopyError::Unusable);
    }
    Ok(writes)
}

fn cbor(value: &impl Serialize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).ok()?;
    Some(bytes)
}

/// Decodes the parts of a turn's copy, in the order of their keys.
fn decode(parts: &[Entry]) -> Option<Turn> {
    let parts: Vec<&[u8]> = parts.iter().map(|part| part.value.as_ref()).collect();
    ciborium::from_reader(parts.concat().as_slice()).ok()
}
