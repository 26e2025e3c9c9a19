//! Memory that callers make a process hold.
//!
//! A limit for each body alone has no end: there are as many bodies as connections. Bodies draw from one budget, by their
//! capacity, for as long as they are in use.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use burdockroad::gateway::{MemoryBudget, MemoryUse};
use bytes::{Bytes, BytesMut};

/// Capacity with which a body without a length begins.
const CAPACITY_MIN_BYTES: usize = 4 << 10;

/// Capacity from which a body without a length counts as large.
const LARGE_CAPACITY_BYTES: usize = 256 << 10;

/// Memory that callers make a process hold.
#[derive(Debug)]
pub struct CallerMemory {
    budget: Mutex<MemoryBudget>,
}

impl CallerMemory {
    /// Creates the memory with its budget.
    pub fn new(budget: MemoryBudget) -> Arc<Self> {
        Arc::new(Self {
            budget: Mutex::new(budget),
        })
    }

    /// Returns an empty share.
    pub fn share(self: &Arc<Self>, memory_use: MemoryUse) -> MemoryShare {
        MemoryShare {
            memory: Arc::clone(self),
            memory_use,
            held_bytes: 0,
        }
    }

    /// Returns a copy of the budget, with what is in use.
    pub fn budget(&self) -> MemoryBudget {
        self.lock_budget().clone()
    }

    fn lock_budget(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Part of the memory that one holder uses. It is free again when this is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    memory: Arc<CallerMemory>,
    memory_use: MemoryUse,
    held_bytes: usize,
}

impl MemoryShare {
    /// Returns the size of the share, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Makes the share as large as `bytes`, or smaller. Returns whether there is room.
    pub fn resize(&mut self, bytes: usize) -> bool {
        let mut budget = self.memory.lock_budget();
        let has_room = budget.resize(self.held_bytes, bytes, self.memory_use);
        drop(budget);
        if has_room {
            self.held_bytes = bytes;
        }
        has_room
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.resize(0);
    }
}

/// Share whose holder decides what is done where there is no room.
pub trait BodyShare: Send {
    /// Makes the share as large as `bytes`, or smaller. Returns whether there is room.
    fn resize(&mut self, bytes: usize) -> impl Future<Output = bool> + Send;
}

impl BodyShare for MemoryShare {
    async fn resize(&mut self, bytes: usize) -> bool {
        Self::resize(self, bytes)
    }
}

/// Body that grows within a share, which counts its capacity and the copy that is made while it grows.
#[derive(Debug)]
pub struct CountedBody<S> {
    bytes: BytesMut,
    share: S,
}

impl<S: BodyShare> CountedBody<S> {
    /// Creates an empty body.
    pub fn new(share: S) -> Self {
        Self {
            bytes: BytesMut::new(),
            share,
        }
    }

    /// Returns the length of the body, in bytes.
    pub fn length_bytes(&self) -> usize {
        self.bytes.len()
    }

    /// Makes room for a body of `length_bytes`. Returns whether there is room.
    pub async fn reserve(&mut self, length_bytes: usize) -> bool {
        let capacity_bytes = self.bytes.capacity();
        if length_bytes <= capacity_bytes {
            return true;
        }
        if !self.share.resize(capacity_bytes + length_bytes).await {
            return false;
        }
        let mut grown = BytesMut::with_capacity(length_bytes);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        self.share.resize(length_bytes).await
    }

    /// Adds bytes to a body that may become as long as `max_bytes`. Returns whether there is room.
    pub async fn extend(&mut self, data: &[u8], max_bytes: usize) -> bool {
        let length_bytes = self.bytes.len() + data.len();
        if length_bytes > self.bytes.capacity() {
            let capacity_bytes = next_capacity_bytes(self.bytes.capacity()).min(max_bytes);
            if !self.reserve(capacity_bytes.max(length_bytes)).await {
                return false;
            }
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the bytes and their share.
    pub fn into_parts(self) -> (Bytes, S) {
        (self.bytes.freeze(), self.share)
    }
}

/// Returns the capacity with which a full body grows. Large bodies grow in few steps, since the allocator may keep what each step frees
/// for a while.
fn next_capacity_bytes(capacity_bytes: usize) -> usize {
    let factor = if capacity_bytes < LARGE_CAPACITY_BYTES {
        2
    } else {
        4
    };
    (factor * capacity_bytes).max(CAPACITY_MIN_BYTES)
}

/// Returns bytes that hold a share for as long as they are in use.
pub fn hold_share(bytes: Bytes, share: impl Send + 'static) -> Bytes {
    struct Held<S> {
        bytes: Bytes,
        _share: S,
    }

    impl<S> AsRef<[u8]> for Held<S> {
        fn as_ref(&self) -> &[u8] {
            &self.bytes
        }
    }

    Bytes::from_owner(Held { bytes, _share: share })
}
