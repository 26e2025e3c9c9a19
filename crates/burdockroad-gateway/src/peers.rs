//! The other registered hosts.

use std::{collections::BTreeMap, net::SocketAddr};

use burdockroad::{HostId, Incarnation};

/// Another registered host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Peer {
    /// Address for reports and calls.
    pub(crate) address: SocketAddr,
    /// Failure domain of the host.
    pub(crate) failure_domain: String,
    /// Run of the host's process.
    pub(crate) incarnation: Incarnation,
}

/// The other registered hosts, by id.
pub(crate) type Peers = BTreeMap<HostId, Peer>;
