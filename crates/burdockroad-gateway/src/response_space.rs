//! Memory for responses that are read as a whole.
//!
//! An endpoint in trouble may send a body without end to each of its calls. A limit for each response alone would let
//! a few dozen such calls use up the memory of the host.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of one response that need no share of the common space, so that usual responses always fit.
const OWN_BYTES: usize = 64 << 10;

/// Space that all responses share for what exceeds [`OWN_BYTES`], in bytes.
const SHARED_BYTES: usize = 16 << 20;

/// Space that the responses of a host share.
#[derive(Debug, Default)]
pub(crate) struct ResponseSpace {
    used_bytes: AtomicUsize,
}

/// Part of the space that one response uses; it is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct ResponseShare<'a> {
    space: &'a ResponseSpace,
    shared_bytes: usize,
}

impl ResponseSpace {
    /// Returns the share of an empty response.
    pub(crate) fn share(&self) -> ResponseShare<'_> {
        ResponseShare {
            space: self,
            shared_bytes: 0,
        }
    }
}

impl ResponseShare<'_> {
    /// Makes room for a response that now has `bytes`. Returns whether there is room.
    pub(crate) fn grow_to(&mut self, bytes: usize) -> bool {
        let shared_bytes = bytes.saturating_sub(OWN_BYTES);
        let added = shared_bytes.saturating_sub(self.shared_bytes);
        let used = self.space.used_bytes.fetch_add(added, Ordering::Relaxed);
        self.shared_bytes += added;
        used + added <= SHARED_BYTES
    }
}

impl Drop for ResponseShare<'_> {
    fn drop(&mut self) {
        self.space
            .used_bytes
            .fetch_sub(self.shared_bytes, Ordering::Relaxed);
    }
}
