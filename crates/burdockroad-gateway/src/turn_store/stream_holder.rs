//! Software versions and events of streams at a host with a disk.
//!
//! Such a host holds them in memory, because it may survive a kill of all gateway hosts.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{
    SoftwareVersion,
    gateway::{RelayedStreams, StreamAttempt, StreamOrigins, StreamPart, TurnKey},
};
use tokio::{
    net::UdpSocket,
    time::{interval, sleep},
};

use crate::stream_origin_message::{STREAM_ORIGIN, record_stream_origin};

/// Largest datagram.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// Interval at which versions and events are removed whose streams can no longer be taken up.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval before a failed receipt is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Memory for the events of streams, in bytes.
const EVENTS_MAX_BYTES: usize = 24 << 20;

/// Versions and events of streams, as sent by gateway hosts.
#[derive(Debug)]
pub(crate) struct StreamHolder {
    origins: Mutex<StreamOrigins>,
    events: Mutex<RelayedStreams>,
}

impl Default for StreamHolder {
    fn default() -> Self {
        Self {
            origins: Mutex::default(),
            events: Mutex::new(RelayedStreams::new(EVENTS_MAX_BYTES)),
        }
    }
}

impl StreamHolder {
    /// Holds events of a stream. Returns the number of events of the attempt that this host holds.
    pub(super) fn hold_events(&self, part: StreamPart) -> usize {
        self.lock_events().append(part, Instant::now())
    }

    /// Returns the events of the attempts of a stream that this host holds.
    pub(super) fn held_events(&self, stream: &TurnKey) -> Vec<StreamAttempt> {
        self.lock_events().attempts(stream, Instant::now())
    }

    /// Returns the version that began a stream, if this host holds it.
    pub(super) fn version(&self, stream: &str) -> Option<SoftwareVersion> {
        self.lock().version(stream, Instant::now()).cloned()
    }

    /// Starts to receive versions at an address.
    pub(super) async fn start(self: &Arc<Self>, address: SocketAddr) -> io::Result<()> {
        let socket = UdpSocket::bind(address).await?;
        tokio::spawn(Arc::clone(self).receive(socket));
        tokio::spawn(Arc::clone(self).remove_expired());
        Ok(())
    }

    async fn receive(self: Arc<Self>, socket: UdpSocket) {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            let Ok(length) = socket.recv(&mut buffer).await else {
                sleep(RETRY_INTERVAL).await;
                continue;
            };
            if let [STREAM_ORIGIN, message @ ..] = &buffer[..length] {
                record_stream_origin(&mut self.lock(), message, Instant::now());
            }
        }
    }

    async fn remove_expired(self: Arc<Self>) {
        let mut ticks = interval(EXPIRY_INTERVAL);
        loop {
            ticks.tick().await;
            self.lock().evict_expired(Instant::now());
            self.lock_events().evict_expired(Instant::now());
        }
    }

    fn lock_events(&self) -> MutexGuard<'_, RelayedStreams> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
