//! Rates and bursts of client accounts, over all hosts together.

mod asking;
mod escrow;
mod table;

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, quota::Limits};
use tokio::time::Instant;

pub use self::escrow::{EscrowQuota, QuotaParts};

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

/// Tells whether this process may still act as the owner that the ownership map names.
///
/// It may while it has heard lately from most hosts, so that an owner that was paused or cut off stops
/// before another host can take its place.
pub trait OwnerLease: fmt::Debug + Send + Sync {
    /// Whether this process may act as an owner at `now`.
    fn holds(&self, now: std::time::Instant) -> bool;
}

/// Gives the limits of accounts, as the document in force has them.
pub trait AccountLimits: fmt::Debug + Send + Sync {
    /// The limits of an account; none for one that the document does not name.
    fn limits(&self, account_id: &AccountId) -> Option<Limits>;

    /// The account's share of the endpoints under contention.
    fn weight(&self, account_id: &AccountId) -> f64;
}

/// Why a call was not admitted. It did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Whether the account is over its rate; if not, the bucket's owner could not be asked.
    pub over_rate: bool,
    /// When a later try may succeed.
    pub retry_after: Duration,
}
