//! Times and sizes of the membership.

use std::time::Duration;

/// Time between two heartbeats to one host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a heartbeat after which a host is suspected.
const SUSPICION_TIME: Duration = Duration::from_millis(1_500);

/// Time after sending a heartbeat for which its answer lets a process act as an owner.
const LEASE_TIME: Duration = Duration::from_secs(1);

/// Time between two ticks after which this process counts as having been paused.
const PAUSE_GAP: Duration = Duration::from_millis(750);

/// Number of hosts up to which every host sends heartbeats to every other.
const FULL_MESH_HOSTS_MAX: usize = 16;

/// Number of hosts that monitor each host of a larger fleet.
const MONITORS_PER_HOST: usize = 8;

/// Times and sizes of the membership.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// Time between two heartbeats to one host.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which a host is suspected.
    pub suspicion_time: Duration,
    /// Time after sending a heartbeat for which its answer lets a process act as an owner; shorter than
    /// the suspicion time.
    pub lease_time: Duration,
    /// Time between two ticks after which this process counts as having been paused.
    pub pause_gap: Duration,
    /// Number of hosts up to which every host sends heartbeats to every other.
    pub full_mesh_hosts_max: usize,
    /// Number of hosts that monitor each host of a larger fleet.
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
