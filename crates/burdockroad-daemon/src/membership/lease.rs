//! How long this process may act as an owner.

use std::{
    sync::{Mutex, PoisonError},
    time::Instant,
};

use burdockroad::membership::TooFewAcknowledgements;

use crate::quota::OwnerLease;

/// The lease, as the last answers to heartbeats extended it.
#[derive(Debug)]
pub struct Lease {
    until: Mutex<Result<Option<Instant>, TooFewAcknowledgements>>,
}

impl Default for Lease {
    fn default() -> Self {
        Self {
            until: Mutex::new(Err(TooFewAcknowledgements)),
        }
    }
}

impl Lease {
    /// Sets the lease; none is one without an end, for a process that nobody could replace.
    pub fn set(&self, until: Result<Option<Instant>, TooFewAcknowledgements>) {
        *self.until.lock().unwrap_or_else(PoisonError::into_inner) = until;
    }
}

impl OwnerLease for Lease {
    fn is_valid(&self, now: Instant) -> bool {
        let until = *self.until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_ok_and(|until| until.is_none_or(|until| now < until))
    }
}
