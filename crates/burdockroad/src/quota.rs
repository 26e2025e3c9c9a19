//! Rate and burst of a client account, kept over all hosts together by granted tokens.
//!
//! The owner of an account keeps its [`Bucket`] and grants tokens to the other hosts for a short time;
//! each host keeps a [`Holder`] that spends them. Every token that was granted, has not expired and is
//! not reported as spent counts as still in the bucket. So what all hosts admit in a window of `w`
//! seconds stays within `rate_per_s * w + burst`, however late in its life a grant is spent.
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
//! let latest = later + Duration::from_secs(1);
//! assert_eq!(holder.admit(1, latest, later), Admission::Waiting);
//! let ask = holder.ask(later).unwrap();
//! let grant = bucket.grant(&"host-b".to_owned(), &ask, later);
//! let settled = holder.answered(ask.sequence, grant, later);
//! assert_eq!(settled[0].admission, Admission::Admitted);
//! ```

mod bucket;
mod holder;

use std::time::Duration;

pub use self::{
    bucket::{Bucket, HolderId},
    holder::{Admission, Holder, Settled, WaiterId},
};

/// Time that a grant may be spent in, from when the holder sent the request for it.
///
/// A longer one spares requests to the owner; a shorter one makes a takeover of the bucket quicker.
pub const GRANT_LIFE: Duration = Duration::from_secs(1);

/// What an account may do over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Calls a second.
    pub rate_per_s: f64,
    /// Calls at once after a pause.
    pub burst: u32,
}

/// A holder's request for tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Grows with each request of the holder for this account.
    pub sequence: u64,
    /// Tokens for calls that wait.
    pub wanted: u64,
    /// Tokens for calls that are expected soon.
    pub ahead: u64,
    /// Tokens that the holder has spent since it began.
    pub spent_total: u64,
    /// Tokens that the holder still may spend; it will spend none of earlier requests beside these.
    pub unspent: u64,
}

/// The owner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Tokens granted.
    pub granted: u64,
    /// Time that they may be spent in, from when the request was sent.
    pub expires_after: Duration,
    /// Time until the rest of what was wanted can be had; zero when nothing is missing.
    pub retry_after: Duration,
}
