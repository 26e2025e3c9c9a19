//! Rates and bursts of client accounts, over all hosts together.

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::AccountId;
use tokio::time::Instant;

/// Admits calls within each account's rate and burst.
#[async_trait]
pub trait Quota: fmt::Debug + Send + Sync {
    /// Takes one call's worth from an account's bucket, waiting no longer than `latest`.
    ///
    /// # Errors
    ///
    /// Refuses at once, and finally, when the call cannot be admitted by `latest`.
    async fn admit(&self, account_id: &AccountId, latest: Instant) -> Result<(), QuotaRefusal>;
}

/// Why a call was not admitted. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Whether the account is over its rate; if not, the bucket's owner could not be asked.
    pub over_rate: bool,
    /// When a later try may succeed.
    pub retry_after: Duration,
}
