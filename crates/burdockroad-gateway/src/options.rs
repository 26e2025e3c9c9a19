//! Options of a gateway host.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use burdockroad::{HostId, Incarnation, RegionId, gateway::MachineLimits};

/// Options of a gateway host.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Id of the host.
    pub host: HostId,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which callers are served.
    pub caller_address: SocketAddr,
    /// Address at which the balancer checks the host's readiness.
    pub readiness_address: SocketAddr,
    /// Address of the metrics page.
    pub metrics_address: Option<SocketAddr>,
    /// Address at which other hosts send reports over UDP and calls over TCP.
    pub peer_address: SocketAddr,
    /// Time from the stop signal to the end of the process.
    pub grace_period: Duration,
    /// Interval at which endpoints renew their entries in the store.
    pub heartbeat_interval: Duration,
    /// Number of hosts with a disk that may be lost at the same time without losing turns.
    pub tolerated_losses: usize,
    /// Region of each failure domain.
    pub regions: HashMap<String, RegionId>,
    /// Limits of the process.
    pub machine: MachineLimits,
}
