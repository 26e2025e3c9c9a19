//! Ranges of the store that watchers announce.

use std::{net::SocketAddr, time::Instant};

use burdockroad_daemon::platform::Revision;

/// State of a range as announced in a watcher's reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnnouncedRange {
    /// Address of the watcher.
    pub(crate) address: SocketAddr,
    /// Revision of the last change that the watcher has seen.
    pub(crate) last_change: Revision,
    /// Time of the last announcement of the range by any watcher.
    pub(crate) announced_at: Instant,
}
