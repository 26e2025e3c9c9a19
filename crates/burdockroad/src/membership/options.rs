//! Options of the membership.

use std::time::Duration;

/// Interval between two heartbeats to a host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a heartbeat after which a host is suspected to have failed.
const SUSPICION_TIME: Duration = Duration::from_millis(1_500);

/// Time for which an acknowledged heartbeat allows a process to act as an owner, from when it was sent.
const LEASE_TIME: Duration = Duration::from_secs(1);

/// Time between two ticks above which this process is considered to have been paused.
const PAUSE_GAP: Duration = Duration::from_millis(750);

/// Maximum number of hosts for which every host sends heartbeats to every other.
const FULL_MESH_HOSTS_MAX: usize = 16;

/// Number of hosts that monitor each host in a larger fleet.
const MONITORS_PER_HOST: usize = 8;

/// Options of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Interval between two heartbeats to a host.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a host is suspected to have failed.
    pub suspicion_time: Duration,
    /// Time for which an acknowledged heartbeat allows a process to act as an owner, from when it was
    /// sent. Must be shorter than the suspicion time.
    pub lease_time: Duration,
    /// Time between two ticks above which this process is considered to have been paused.
    pub pause_gap: Duration,
    /// Maximum number of hosts for which every host sends heartbeats to every other.
    pub full_mesh_hosts_max: usize,
    /// Number of hosts that monitor each host in a larger fleet.
    pub monitors_per_host: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_interval: HEARTBEAT_INTERVAL,
            suspicion_time: SUSPICION_TIME,
            lease_time: LEASE_TIME,
            pause_gap: PAUSE_GAP,
            full_mesh_hosts_max: FULL_MESH_HOSTS_MAX,
            monitors_per_host: MONITORS_PER_HOST,
        }
    }
}
