//! Services of the platform: a small key-value service and a list of hosts.

mod breaker;
mod embedded;
mod etcd;
mod host_list;
mod memory;
mod watches;

use std::{fmt, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

pub use self::{
    breaker::Breaker,
    embedded::EmbeddedKeyValue,
    etcd::EtcdKeyValue,
    host_list::{FixedHostList, HttpHostList, connect_host_list},
    memory::{Fault, MemoryKeyValue},
};
use crate::settings::StoreSettings;

/// Maximum size of a value in the key-value service, in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Timeout of a request to the platform.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens the store that the settings specify.
///
/// An unavailable service is not an error here. Requests to it fail until it is available again.
///
/// # Errors
///
/// Fails when an address is not of the form `http://IP:PORT`, or the data folder cannot be used.
pub fn connect(settings: &StoreSettings) -> Result<SharedKeyValue, PlatformError> {
    match settings {
        StoreSettings::Service { addresses } => Ok(Arc::new(EtcdKeyValue::new(addresses)?)),
        StoreSettings::Embedded { data_folder } => Ok(Arc::new(EmbeddedKeyValue::open(data_folder)?)),
    }
}

/// Error of connecting to a platform service with the given settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlatformError {
    /// No address of the service was given.
    NoAddress,
    /// An address is malformed.
    Address {
        /// The address.
        address: String,
        /// Description of the fault.
        reason: String,
    },
    /// The data folder cannot be used.
    DataFolder {
        /// Error of the file system or the embedded store.
        reason: String,
    },
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoAddress => f.write_str("no address of the key-value service is given"),
            Self::Address { address, reason } => write!(f, "address {address:?} is malformed: {reason}"),
            Self::DataFolder { reason } => write!(f, "the data folder cannot be used: {reason}"),
        }
    }
}

impl std::error::Error for PlatformError {}

/// Revision of a key. The key-value service assigns a higher revision to each change.
pub type Revision = i64;

/// Shared client of the platform's key-value service.
pub type SharedKeyValue = Arc<dyn KeyValue>;

/// Client of a key-value service with compare-and-swap and watches.
///
/// Each request counts against the service's rate limits. A waiting watch counts as one request.
#[async_trait]
pub trait KeyValue: fmt::Debug + Send + Sync {
    /// Reads one key.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable or does not respond within [`CALL_TIMEOUT`].
    async fn get(&self, key: &str) -> Result<Option<Entry>, StoreError>;

    /// Reads all keys that start with `prefix`, sorted by key.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable or does not respond within [`CALL_TIMEOUT`].
    async fn list(&self, prefix: &str, listing: Listing) -> Result<Vec<Entry>, StoreError>;

    /// Writes one key if it is still as expected.
    ///
    /// # Errors
    ///
    /// Fails with [`StoreError::Unavailable`] when nothing was written, and with
    /// [`StoreError::Ambiguous`] when the write may have taken effect. The caller resolves an ambiguous
    /// write by reading the key back.
    async fn put(&self, key: &str, value: Bytes, expected: Expected) -> Result<Put, StoreError>;

    /// Creates a key if it does not exist and `predecessor` does.
    ///
    /// A missing predecessor is reported as a conflict with an absent key.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does.
    async fn create_after(&self, key: &str, value: Bytes, predecessor: &str) -> Result<Put, StoreError>;

    /// Removes all keys from `from` (inclusive) to `to` (exclusive) atomically.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does. Removal is idempotent.
    async fn delete_range(&self, from: &str, to: &str) -> Result<(), StoreError>;

    /// Removes one key, whatever its value. An absent key is not an error.
    ///
    /// # Errors
    ///
    /// Fails as [`put`](Self::put) does. Removal is idempotent.
    async fn delete(&self, key: &str) -> Result<(), StoreError>;

    /// Watches the subsequent changes of one key.
    ///
    /// The receiver is closed when the watch fails. The caller then starts a new watch and reads the key
    /// again.
    ///
    /// # Errors
    ///
    /// Fails when the service is unreachable or does not respond within [`CALL_TIMEOUT`].
    async fn watch(&self, key: &str) -> Result<mpsc::Receiver<WatchEvent>, StoreError>;
}

/// Key with its value and revision.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, which is empty when only keys were listed.
    pub value: Bytes,
    /// Revision of the key's last change.
    pub revision: Revision,
}

/// Content of a listing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Keys and values.
    Entries,
    /// Keys only.
    Keys,
}

/// Condition on a key under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key's last change has this revision.
    Revision(Revision),
}

impl Expected {
    /// Returns whether a key with the given entry meets the condition.
    pub fn matches(self, entry: Option<&Entry>) -> bool {
        match (self, entry) {
            (Self::Absent, None) => true,
            (Self::Revision(revision), Some(entry)) => entry.revision == revision,
            (Self::Absent, Some(_)) | (Self::Revision(_), None) => false,
        }
    }
}

/// Result of a write that reached the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Put {
    /// The value was written with this revision.
    Done(Revision),
    /// The key did not meet the condition. Holds its entry, if it exists.
    Conflict(Option<Entry>),
}

/// Event of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchEvent {
    /// The key changed, or was removed if there is no entry.
    Changed(Option<Entry>),
    /// The service confirmed that the watch is up to date.
    Progress,
}

/// Error of a request to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The request had no effect.
    Unavailable {
        /// Reason of the failure, for the log.
        reason: String,
        /// Backoff before the next attempt.
        retry_after: Duration,
    },
    /// The request may have taken effect.
    Ambiguous {
        /// Reason of the failure, for the log.
        reason: String,
    },
}

impl StoreError {
    /// Converts the error to one whose request may have taken effect, with the same reason.
    #[must_use]
    pub fn into_ambiguous(self) -> Self {
        match self {
            Self::Unavailable { reason, .. } | Self::Ambiguous { reason } => Self::Ambiguous { reason },
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable { reason, .. } => write!(f, "the key-value service is unavailable: {reason}"),
            Self::Ambiguous { reason } => write!(f, "the write may have taken effect: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// Reader of the platform's list of hosts. The list may lag behind the actual hosts.
#[async_trait]
pub trait HostList: fmt::Debug + Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Fails when the list cannot be read in time.
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
}

/// Host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
pub struct ListedHost {
    /// ID of the host.
    pub host_id: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address on which the host's daemon serves peers. Empty for a host that runs only endpoints.
    #[serde(default)]
    pub peer_address: String,
    /// Whether the host is in service or is leaving.
    pub state: HostState,
}

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed and receives no new work.
    Leaving,
}
