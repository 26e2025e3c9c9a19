//! Software versions of streams at a host with a disk.
//!
//! Such a host holds versions, too, because it may survive a kill of all gateway hosts.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{SoftwareVersion, gateway::StreamOrigins};
use tokio::{
    net::UdpSocket,
    time::{interval, sleep},
};

use crate::stream_origin_message::{STREAM_ORIGIN, record_stream_origin};

/// Largest datagram.
const DATAGRAM_MAX_BYTES: usize = 2048;

/// Interval at which versions are removed whose streams have ended.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval before a failed receipt is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Versions of streams, as sent by gateway hosts.
#[derive(Debug, Default)]
pub(crate) struct StreamHolder {
    origins: Mutex<StreamOrigins>,
}

impl StreamHolder {
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
        }
    }

    fn lock(&self) -> MutexGuard<'_, StreamOrigins> {
        self.origins.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
