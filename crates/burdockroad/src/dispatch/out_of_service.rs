//! Hosts and failure domains whose endpoints get no new calls.

use std::collections::BTreeSet;

use crate::{config::Endpoint, dispatch::EndpointInfo, ids::HostId};

/// Hosts and failure domains whose endpoints get no new calls.
///
/// Load pattern: a large part of a pool's endpoints stops taking calls at once, while all slots are occupied
/// and calls wait. Running calls finish in place. Waiting calls, also those that wait for one endpoint because
/// of its cached prefix, get the next free slots of the remaining endpoints. The remaining slots bound which
/// calls the pool accepts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OutOfService {
    /// Hosts that are about to be removed.
    pub draining_hosts: BTreeSet<HostId>,
    /// Failure domains that the operators have evacuated.
    pub evacuated_domains: BTreeSet<String>,
}

impl OutOfService {
    /// Returns an endpoint of the document as an endpoint of a pool that may assign `slots` of its slots.
    pub fn endpoint_info(&self, endpoint: &Endpoint, slots: u32) -> EndpointInfo {
        EndpointInfo {
            endpoint_id: endpoint.id.clone(),
            slots,
            draining: endpoint.draining
                || self.draining_hosts.contains(&endpoint.host_id)
                || self.evacuated_domains.contains(&endpoint.failure_domain),
        }
    }
}
