//! Software versions that streams began at.
//!
//! A caller may take a stream up at any host, and the stream may continue only at the version that began it. The
//! host that relays a stream's first event therefore sends the version to a few other hosts, the holders of the
//! stream, which survive it and which every host can determine from the stream's id.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use crate::{
    ids::{HostId, SoftwareVersion},
    ownership::rendezvous_order,
};

/// Number of hosts that hold the version of a stream; the host that relays it may be one of them. When three of
/// six hosts are killed at once, one stream in twenty of theirs loses all holders.
const HOLDER_COUNT: usize = 3;

/// Maximum number of streams whose version a host holds.
const STREAMS_MAX: usize = 20_000;

/// Id of a stream: the id of the caller's attempt that brought its first event.
pub type StreamId = String;

/// Versions of streams that callers may take up.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use burdockroad::gateway::StreamOrigins;
///
/// let now = Instant::now();
/// let mut origins = StreamOrigins::default();
/// origins.record("c1".to_owned(), "v2".to_owned(), Duration::from_secs(3), now);
/// assert_eq!(origins.version("c1", now).map(String::as_str), Some("v2"));
/// assert_eq!(origins.version("c1", now + Duration::from_secs(3)), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamId, Origin>,
}

#[derive(Clone, Debug)]
struct Origin {
    version: SoftwareVersion,
    expires_at: Instant,
}

impl StreamOrigins {
    /// Records the version that began a stream. It is held for `lifetime`, in which the caller may take the
    /// stream up. A full table records no further streams.
    pub fn record(&mut self, stream: StreamId, version: SoftwareVersion, lifetime: Duration, now: Instant) {
        if self.streams.len() >= STREAMS_MAX {
            self.evict_expired(now);
        }
        if self.streams.len() < STREAMS_MAX {
            let expires_at = now + lifetime;
            self.streams.insert(stream, Origin { version, expires_at });
        }
    }

    /// Returns the version that began a stream, if it is held.
    pub fn version(&self, stream: &str, now: Instant) -> Option<&SoftwareVersion> {
        let origin = self.streams.get(stream)?;
        (now < origin.expires_at).then_some(&origin.version)
    }

    /// Evicts streams whose lifetime has ended.
    pub fn evict_expired(&mut self, now: Instant) {
        self.streams.retain(|_, origin| now < origin.expires_at);
    }
}

/// Streams whose versions were not sent to their holders, because their services had one version only.
///
/// They are sent when a second version appears, since the hosts that know them may be killed after that.
#[derive(Clone, Debug, Default)]
pub struct UnsentOrigins {
    streams: HashMap<String, Vec<UnsentOrigin>>,
}

/// Version of a stream that was not sent to its holders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsentOrigin {
    /// Id of the stream.
    pub stream: StreamId,
    /// Version that began it.
    pub version: SoftwareVersion,
    /// End of the time in which the caller may take it up.
    pub expires_at: Instant,
}

impl UnsentOrigins {
    /// Records a stream of a service.
    pub fn record(&mut self, service: &str, origin: UnsentOrigin) {
        let streams = self.streams.entry(service.to_owned()).or_default();
        if streams.len() < STREAMS_MAX {
            streams.push(origin);
        }
    }

    /// Removes and returns the streams of a service that callers may still take up.
    pub fn take(&mut self, service: &str, now: Instant) -> Vec<UnsentOrigin> {
        let mut streams = self.streams.remove(service).unwrap_or_default();
        streams.retain(|origin| now < origin.expires_at);
        streams
    }

    /// Evicts streams whose lifetime has ended.
    pub fn evict_expired(&mut self, now: Instant) {
        for streams in self.streams.values_mut() {
            streams.retain(|origin| now < origin.expires_at);
        }
    }
}

/// Returns the hosts that hold the version of a stream, out of all hosts.
pub fn stream_holders(stream: &str, hosts: impl Iterator<Item = HostId>) -> Vec<HostId> {
    let mut holders = rendezvous_order(stream, hosts);
    holders.truncate(HOLDER_COUNT);
    holders
}
