//! Rate and burst limits of a client account, enforced over all hosts by granting tokens.
//!
//! The owner of an account has its [`Bucket`] and grants tokens to the other hosts for a limited time. Each
//! host has a [`Holder`] that spends them. Granted tokens that have neither expired nor been reported as
//! spent still occupy the bucket. Therefore, the number of calls that all hosts admit in a window of `w`
//! seconds never exceeds `rate_per_s * w + burst`, even if grants are spent just before they expire.
//!
//! # Example
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use burdockroad::quota::{Admission, Bucket, Holder, Limits};
//!
//! let start = Instant::now();
//! let mut bucket = Bucket::new(Limits { rate_per_s: 10.0, burst: 2 }, start);
//! let mut holder = Holder::new();
//!
//! let later = start + Duration::from_millis(200);
//! let deadline = later + Duration::from_secs(1);
//! assert_eq!(holder.admit(1, deadline, later), Admission::Waiting);
//! let token_request = holder.token_request(later).unwrap();
//! let grant = bucket.grant(&"host-b".to_owned(), &token_request, later);
//! let settled = holder.on_response(token_request.sequence, grant, later);
//! assert_eq!(settled[0].admission, Admission::Admitted);
//! ```

mod bucket;
mod holder;

use std::time::Duration;

pub use self::{
    bucket::{Bucket, HolderId},
    holder::{Admission, Holder, Settled, WaiterId},
};

/// Lifetime of a grant, starting when the holder sent the request for it.
///
/// A longer lifetime saves requests to the owner; a shorter one speeds up a takeover of the bucket.
pub const GRANT_LIFE: Duration = Duration::from_secs(1);

/// Limits of an account over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Calls per second.
    pub rate_per_s: f64,
    /// Calls admitted at once after an idle period.
    pub burst: u32,
}

/// Request of a holder for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRequest {
    /// Sequence number, which increases with each request of the holder for this account.
    pub sequence: u64,
    /// Tokens for waiting calls.
    pub wanted: u64,
    /// Additional tokens for expected calls.
    pub ahead: u64,
    /// Tokens that the holder has spent since it started.
    pub spent_total: u64,
    /// Tokens of earlier grants that the holder may still spend. It will not spend any others.
    pub unspent: u64,
}

/// Response of the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Granted tokens.
    pub granted: u64,
    /// Lifetime of the grant, starting when the request was sent.
    pub expires_after: Duration,
    /// Time until the tokens that were requested for waiting calls but not granted are available; zero if there
    /// are none.
    pub retry_after: Duration,
}
