//! Memory for bodies that are received as a whole.
//!
//! A limit for each body alone would let a few dozen of them use up the memory of the host: callers may send large
//! requests at the same time, and an endpoint in trouble may send a body without end to each of its calls.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Bytes of one body that need no share of the common space, so that usual bodies always fit.
const OWN_BYTES: usize = 64 << 10;

/// Space that all responses share for what exceeds [`OWN_BYTES`], in bytes.
const RESPONSES_MAX_BYTES: usize = 16 << 20;

/// Space that all requests share for what exceeds [`OWN_BYTES`], in bytes. Together with that for responses, it leaves room
/// for the rest of the process on a host with 110 MB.
const REQUESTS_MAX_BYTES: usize = 64 << 20;

/// Space that the bodies of a host share.
#[derive(Debug)]
pub(crate) struct BodySpace {
    used_bytes: AtomicUsize,
    max_bytes: usize,
}

/// Part of the space that one body uses; it is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct BodyShare {
    space: Arc<BodySpace>,
    shared_bytes: usize,
}

impl BodySpace {
    /// Creates the space for bodies of endpoints' responses.
    pub(crate) fn for_responses() -> Arc<Self> {
        Arc::new(Self::new(RESPONSES_MAX_BYTES))
    }

    /// Creates the space for bodies of callers' requests.
    pub(crate) fn for_requests() -> Arc<Self> {
        Arc::new(Self::new(REQUESTS_MAX_BYTES))
    }

    fn new(max_bytes: usize) -> Self {
        Self {
            used_bytes: AtomicUsize::new(0),
            max_bytes,
        }
    }

    /// Returns the share of an empty body.
    pub(crate) fn share(self: &Arc<Self>) -> BodyShare {
        BodyShare {
            space: Arc::clone(self),
            shared_bytes: 0,
        }
    }
}

impl BodyShare {
    /// Makes room for a body that now has `bytes`. Returns whether there is room.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let shared_bytes = bytes.saturating_sub(OWN_BYTES);
        let added = shared_bytes.saturating_sub(self.shared_bytes);
        let used = self.space.used_bytes.fetch_add(added, Ordering::Relaxed);
        self.shared_bytes += added;
        used + added <= self.space.max_bytes
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.space
            .used_bytes
            .fetch_sub(self.shared_bytes, Ordering::Relaxed);
    }
}
