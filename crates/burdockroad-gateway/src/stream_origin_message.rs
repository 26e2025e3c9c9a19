//! Datagram that tells a holder of a stream the software version that began it.

use std::time::{Duration, Instant};

use burdockroad::{
    SoftwareVersion,
    gateway::{StreamId, StreamOrigins},
};
use serde::{Deserialize, Serialize};

/// First byte of the datagram.
pub(crate) const STREAM_ORIGIN: u8 = 5;

/// Version of a stream.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct StreamOriginMessage {
    /// Id of the stream.
    pub(crate) stream: StreamId,
    /// Version that began it.
    pub(crate) version: SoftwareVersion,
    /// Time in which the caller may take the stream up.
    pub(crate) lifetime_ms: u64,
}

impl StreamOriginMessage {
    pub(crate) fn new(stream: StreamId, version: SoftwareVersion, lifetime: Duration) -> Self {
        Self {
            stream,
            version,
            lifetime_ms: u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Returns the datagram; `None` if the message cannot be encoded.
    pub(crate) fn to_datagram(&self) -> Option<Vec<u8>> {
        let mut datagram = vec![STREAM_ORIGIN];
        ciborium::into_writer(self, &mut datagram).ok()?;
        Some(datagram)
    }
}

/// Records the version in a datagram without its first byte.
pub(crate) fn record_stream_origin(origins: &mut StreamOrigins, message: &[u8], now: Instant) {
    match ciborium::from_reader::<StreamOriginMessage, _>(message) {
        Ok(message) => {
            let lifetime = Duration::from_millis(message.lifetime_ms);
            origins.record(message.stream, message.version, lifetime, now);
        }
        Err(_malformed) => {
            metrics::counter!("burdockroad_stream_origins_unreadable_total").increment(1);
        }
    }
}
