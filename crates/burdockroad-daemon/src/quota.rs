//! Rate limits of client accounts, enforced across all hosts.

mod escrow;
mod grant_client;
mod message;
mod table;

use std::{fmt, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, quota::Limits};
use tokio::time::Instant;

pub use self::{escrow::EscrowQuota, message::QuotaParts};

/// A rate limiter that admits calls within each account's rate and burst.
#[async_trait]
pub trait Quota: fmt::Debug + Send + Sync {
    /// Takes the tokens of one call from an account's bucket, waiting until `deadline` if necessary.
    ///
    /// # Errors
    ///
    /// Returns a refusal as soon as it is certain that the call cannot be admitted by `deadline`. A
    /// refused call is not queued any longer.
    async fn admit(&self, account_id: &AccountId, deadline: Instant) -> Result<(), QuotaRefusal>;
}

/// A lease under which this process may act as the owner that the ownership map specifies.
///
/// The lease is valid while a majority of hosts has reported to this process recently enough. An
/// owner that was paused or partitioned therefore stops before another host can replace it.
pub trait OwnerLease: fmt::Debug + Send + Sync {
    /// Returns whether the lease is valid at `now`.
    fn is_valid(&self, now: std::time::Instant) -> bool;
}

/// A source of the accounts' limits in the document in force.
pub trait AccountLimits: fmt::Debug + Send + Sync {
    /// Returns the limits of an account, or `None` if the document does not contain the account.
    fn limits(&self, account_id: &AccountId) -> Option<Limits>;

    /// Returns the weight that determines the account's share of contended endpoints.
    fn weight(&self, account_id: &AccountId) -> f64;
}

/// The refusal of a call by the rate limiter. The call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaRefusal {
    /// Whether the account exceeds its rate; if not, its rate could not be checked.
    pub over_rate: bool,
    /// Delay after which a retry may succeed.
    pub retry_after: Duration,
}
