//! Lease under which this process may act as an owner.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

use burdockroad::membership::TooFewAcknowledgements;

use crate::quota::OwnerLease;

/// Lease of this process. Responses to its heartbeats extend the lease.
#[derive(Debug)]
pub struct Lease {
    expires_at: Mutex<Result<Option<Instant>, TooFewAcknowledgements>>,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            expires_at: Mutex::new(Err(TooFewAcknowledgements)),
        }
    }
}

impl Lease {
    /// Sets the expiry of the lease.
    ///
    /// `Ok(None)` is a lease that never expires, for a process that no other process could replace. An
    /// error means that there is no lease, because too few hosts responded.
    pub fn set(&self, expires_at: Result<Option<Instant>, TooFewAcknowledgements>) {
        *self.expires_at.lock().unwrap_or_else(PoisonError::into_inner) = expires_at;
    }
}

impl OwnerLease for Lease {
    fn is_valid(&self, now: Instant) -> bool {
        let expires_at = *self.expires_at.lock().unwrap_or_else(PoisonError::into_inner);
        expires_at.is_ok_and(|expires_at| expires_at.is_none_or(|expires_at| now < expires_at))
    }
}
