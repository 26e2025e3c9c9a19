//! What is known of an open connection.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use burdockroad::gateway::{ConnectionStage, OpenConnection};
use tokio::{sync::Notify, time::sleep};

/// Time in which a request that is still arriving gets its refusal before its connection is closed.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

/// State of an open connection, for the decision whether it is closed in favour of others.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    id: u64,
    activity: Mutex<Activity>,
    held_bytes: AtomicUsize,
    is_closing: AtomicBool,
    closed: Notify,
    refused: Notify,
}

/// When a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestArrival {
    /// After the response to the one before, or as the first one.
    AfterResponse,
    /// As a whole before the response to the one before. Who sends many in a row keeps a connection busy without reading,
    /// so its connection is closed after the response.
    BeforeResponse,
}

#[derive(Clone, Copy, Debug)]
struct Activity {
    stage: ConnectionStage,
    progress_at: Instant,
    /// Whether bytes have arrived since the last response.
    has_read_idle: bool,
    /// Whether the rest of a request may still arrive that was answered before its body was read.
    is_rest_awaited: bool,
    /// Time at which the first bytes of an incomplete head arrived.
    head_since: Option<Instant>,
    /// Time since which the other end takes no more bytes.
    unread_since: Option<Instant>,
}

impl ConnectionState {
    pub(super) fn new(id: u64, now: Instant) -> Self {
        Self {
            id,
            activity: Mutex::new(Activity {
                stage: ConnectionStage::Idle,
                progress_at: now,
                has_read_idle: false,
                is_rest_awaited: false,
                head_since: None,
                unread_since: None,
            }),
            held_bytes: AtomicUsize::new(0),
            is_closing: AtomicBool::new(false),
            closed: Notify::new(),
            refused: Notify::new(),
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.id
    }

    /// Records that the head of a request has arrived, and returns when it did.
    pub(crate) fn begin_request(&self) -> RequestArrival {
        self.set_stage(ConnectionStage::Receiving);
        let mut activity = self.lock_activity();
        let arrival = if activity.has_read_idle {
            RequestArrival::AfterResponse
        } else {
            RequestArrival::BeforeResponse
        };
        activity.has_read_idle = false;
        activity.is_rest_awaited = true;
        arrival
    }

    /// Records that the body of a request has arrived as a whole, and that the call runs.
    pub(crate) fn begin_call(&self) {
        self.set_stage(ConnectionStage::Running);
        self.lock_activity().is_rest_awaited = false;
    }

    /// Records what the connection does from now on.
    pub(crate) fn set_stage(&self, stage: ConnectionStage) {
        let mut activity = self.lock_activity();
        activity.stage = stage;
        activity.progress_at = Instant::now();
        activity.head_since = None;
    }

    /// Records that the host holds more bytes for the connection.
    pub(super) fn add_held_bytes(&self, bytes: usize) {
        self.held_bytes.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Records that the host holds `after_bytes` in place of `before_bytes` for the connection.
    pub(crate) fn replace_held_bytes(&self, before_bytes: usize, after_bytes: usize) {
        self.add_held_bytes(after_bytes);
        self.held_bytes.fetch_sub(before_bytes, Ordering::Relaxed);
    }

    /// Waits until the connection is to be closed. A request that is still arriving gets its refusal before.
    pub(crate) async fn wait_for_close(&self) {
        self.closed.notified().await;
        if self.lock_activity().stage == ConnectionStage::Receiving {
            self.refused.notify_one();
            sleep(REFUSAL_TIME).await;
        }
    }

    /// Waits until the request that is arriving is to be refused.
    pub(crate) async fn wait_for_refusal(&self) {
        self.refused.notified().await;
    }

    pub(super) fn close(&self) {
        self.is_closing.store(true, Ordering::Relaxed);
        self.closed.notify_one();
    }

    pub(super) fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Relaxed)
    }

    pub(super) fn record_read(&self) {
        let now = Instant::now();
        let mut activity = self.lock_activity();
        activity.progress_at = now;
        if activity.stage == ConnectionStage::Idle {
            activity.has_read_idle = true;
            if !activity.is_rest_awaited {
                activity.head_since.get_or_insert(now);
            }
        }
    }

    pub(super) fn record_written(&self) {
        let mut activity = self.lock_activity();
        if activity.unread_since.take().is_some() {
            activity.progress_at = Instant::now();
        }
    }

    pub(super) fn record_unwritable(&self) {
        self.lock_activity().unread_since.get_or_insert_with(Instant::now);
    }

    pub(super) fn head_time(&self, now: Instant) -> Option<Duration> {
        let activity = self.lock_activity();
        let head_since = activity.head_since?;
        Some(now.saturating_duration_since(head_since))
    }

    pub(super) fn unread_time(&self, now: Instant) -> Option<Duration> {
        let unread_since = self.lock_activity().unread_since?;
        Some(now.saturating_duration_since(unread_since))
    }

    pub(super) fn describe(&self, now: Instant) -> OpenConnection {
        let activity = *self.lock_activity();
        let progress_at = activity.unread_since.unwrap_or(activity.progress_at);
        let stalled = now.saturating_duration_since(progress_at);
        OpenConnection {
            id: self.id,
            stage: activity.stage,
            held_bytes: self.held_bytes.load(Ordering::Relaxed),
            stalled_ms: u64::try_from(stalled.as_millis()).unwrap_or(u64::MAX),
            is_unread: activity.unread_since.is_some(),
        }
    }

    fn lock_activity(&self) -> MutexGuard<'_, Activity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
