//! Memory that callers make this host hold.
//!
//! Connections, bodies of requests and of responses, and what is kept for a call count towards one budget, by what is
//! really held. Where there is no room, connections that stand still are closed.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use burdockroad::gateway::{MemoryBudget, MemoryUse};
use burdockroad_daemon::http::{BodyShare, CallerMemory, CountedBody, MemoryShare, hold_share};
use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use tokio::task::yield_now;

use crate::connections::{ConnectionState, ConnectionTable};

/// Times for which a request lets others run until connections have closed.
const CLOSE_YIELDS: usize = 64;

/// Memory that callers make a host hold, and the connections that may be closed to make room.
#[derive(Debug)]
pub(crate) struct CallerRoom {
    memory: Arc<CallerMemory>,
    callers: Arc<ConnectionTable>,
    refused: AtomicU64,
}

impl CallerRoom {
    pub(crate) fn new(memory: Arc<CallerMemory>, callers: Arc<ConnectionTable>) -> Arc<Self> {
        Arc::new(Self {
            memory,
            callers,
            refused: AtomicU64::new(0),
        })
    }

    /// Returns an empty share of a response.
    pub(crate) fn response_share(self: &Arc<Self>) -> CallShare {
        self.share(MemoryUse::Response, None)
    }

    /// Returns an empty share of a request that arrives on a connection.
    pub(crate) fn request_share(self: &Arc<Self>, connection: &Arc<ConnectionState>) -> CallShare {
        self.share(MemoryUse::Request, Some(Arc::clone(connection)))
    }

    /// Returns a copy of the budget, with what is in use.
    pub(crate) fn budget(&self) -> MemoryBudget {
        self.memory.budget()
    }

    /// Returns how often there was no room since the last call.
    pub(crate) fn take_refused(&self) -> u64 {
        self.refused.swap(0, Ordering::Relaxed)
    }

    fn share(self: &Arc<Self>, memory_use: MemoryUse, connection: Option<Arc<ConnectionState>>) -> CallShare {
        CallShare {
            share: self.memory.share(memory_use),
            room: Arc::clone(self),
            connection,
        }
    }

    fn record_refused(&self) {
        self.refused.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("burdockroad_caller_memory_refused_total").increment(1);
    }
}

/// Part of the memory that a call uses. It is free again when this is dropped.
#[derive(Debug)]
pub(crate) struct CallShare {
    share: MemoryShare,
    room: Arc<CallerRoom>,
    /// Connection for which the memory is held; `None` if it is not closed to make room.
    connection: Option<Arc<ConnectionState>>,
}

impl CallShare {
    /// Makes the share as large as `bytes`, or smaller, without closing connections. Returns whether there is room.
    pub(crate) fn try_resize(&mut self, bytes: usize) -> bool {
        let held_bytes = self.share.held_bytes();
        if !self.share.resize(bytes) {
            return false;
        }
        if let Some(connection) = &self.connection {
            connection.replace_held_bytes(held_bytes, bytes);
        }
        true
    }

    /// Adds to the share. Where there is no room, connections that stand still are closed.
    pub(crate) async fn grow(&mut self, added_bytes: usize) -> bool {
        let bytes = self.share.held_bytes().saturating_add(added_bytes);
        self.resize(bytes).await
    }
}

impl BodyShare for CallShare {
    async fn resize(&mut self, bytes: usize) -> bool {
        for _ in 0..CLOSE_YIELDS {
            if self.try_resize(bytes) {
                return true;
            }
            if !self.room.callers.close_one_at_a_time() {
                break;
            }
            yield_now().await;
        }
        let has_room = self.try_resize(bytes);
        if !has_room {
            self.room.record_refused();
        }
        has_room
    }
}

impl Drop for CallShare {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.replace_held_bytes(self.share.held_bytes(), 0);
        }
    }
}

/// Reads a whole response within a share. Returns `None` when it breaks off, is longer than `max_bytes`, or has no room.
pub(crate) async fn read_response<B>(share: CallShare, mut body: B, max_bytes: usize) -> Option<Bytes>
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut whole = CountedBody::new(share);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.ok()?.into_data() else {
            continue;
        };
        let fits = whole.length_bytes() + data.len() <= max_bytes;
        if !fits || !whole.extend(&data, max_bytes).await {
            metrics::counter!("burdockroad_responses_too_long_total").increment(1);
            return None;
        }
    }
    let (bytes, share) = whole.into_parts();
    Some(hold_share(bytes, share))
}
