//! What this host knows of a range of the store, and from where.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use burdockroad_daemon::platform::Revision;

/// Where an update of a range came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum UpdateSource {
    /// The store, directly or relayed by another host.
    Store,
    /// The host at this address, a watcher or one that had the update from it.
    Host(SocketAddr),
}

impl fmt::Display for UpdateSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Host(address) => write!(f, "host {address}"),
        }
    }
}

/// The last update of a range.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RangeView {
    /// Where it came from.
    pub(crate) source: UpdateSource,
    /// Revision up to which the range is known.
    pub(crate) as_of: Revision,
    updated_at: Instant,
}

impl RangeView {
    /// Returns the view after an update that has just arrived.
    pub(crate) fn new(source: UpdateSource, as_of: Revision) -> Self {
        Self {
            source,
            as_of,
            updated_at: Instant::now(),
        }
    }

    /// Returns the time since the update.
    pub(crate) fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.updated_at)
    }
}
