//! Registration of a host under a key whose lease the host renews.

use std::time::Duration;

use burdockroad_daemon::platform::StoreError;
use bytes::Bytes;
use serde::Serialize;

use crate::{ConditionalWrite, LeaseId, SharedStore, WriteOutcome};

/// Entry of a host in the store.
#[derive(Clone, Debug)]
pub(crate) struct Registration {
    /// Key of the entry.
    pub(crate) key: String,
    /// Value of the entry.
    pub(crate) value: Bytes,
    /// Lifetime of the entry after its last renewal.
    pub(crate) lifetime: Duration,
}

/// Renews the lease of an entry, or writes the entry on a new lease when there is none or it has ended.
///
/// # Errors
///
/// Fails when the store does not respond in time.
pub(crate) async fn renew(
    store: &dyn SharedStore,
    lease: Option<LeaseId>,
    registration: &Registration,
) -> Result<LeaseId, StoreError> {
    if let Some(lease) = lease
        && store.renew_lease(lease).await?
    {
        return Ok(lease);
    }
    let lease = store.open_lease(registration.lifetime).await?;
    let write = ConditionalWrite {
        key: registration.key.clone(),
        value: registration.value.clone(),
        expected_revision: None,
        unconditional: true,
        lease: Some(lease),
    };
    match store.write_all(&[write]).await? {
        WriteOutcome::Done(_) => Ok(lease),
        WriteOutcome::Conflict(_) | WriteOutcome::LeaseEnded => Err(StoreError::Ambiguous {
            reason: "the lease ended before the entry was written".to_owned(),
        }),
        WriteOutcome::Refused(reason) => Err(StoreError::Ambiguous { reason }),
    }
}

/// Log line of a registration that failed.
#[derive(Serialize)]
pub(crate) struct RegistrationErrorLine {
    pub(crate) reason: String,
}
