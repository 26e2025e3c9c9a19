//! Software versions in entries of endpoints that this host has not applied yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use burdockroad::SoftwareVersion;
use tokio::sync::Mutex;

/// Result of the last read of the changes of endpoints. A call uses it if the read began after the call asked;
/// otherwise, it makes a new read.
#[derive(Debug, Default)]
pub(crate) struct LastRead(pub(crate) Mutex<Option<UnseenVersions>>);

/// Versions in entries that this host had not applied when it read them.
#[derive(Debug)]
pub(crate) struct UnseenVersions {
    /// Time at which the read began.
    pub(crate) read_at: Instant,
    pub(crate) by_service: BTreeMap<String, BTreeSet<SoftwareVersion>>,
}
