//! Limits on where a call may be sent, and its preference among the endpoints within them.

use burdockroad::{RegionId, gateway::Endpoint};

use super::Call;
use crate::{pool::Connection, refusal::Refusal};

impl Call {
    /// Returns the key of the object that the call concerns, on routes whose endpoints work faster for objects that
    /// they know.
    pub(super) fn affinity_key(&self) -> Option<&str> {
        let key = self.head.affinity_key.as_deref();
        key.filter(|key| self.route.sticky && !key.is_empty())
    }

    /// Returns the regions in which the call must stay; `None` if any region is allowed.
    pub(crate) fn allowed_regions(&self) -> Option<&[RegionId]> {
        self.record.allowed_regions.as_deref()
    }

    /// Returns whether an endpoint is in the regions in which the call must stay.
    fn is_allowed_at(&self, endpoint: &Endpoint) -> bool {
        self.shared
            .regions
            .allows(&endpoint.failure_domain, self.allowed_regions())
    }

    /// Gives the call up if the endpoint that the next attempt must use departs, or has registered again in another
    /// region. The call may have run there, so it may not run elsewhere either.
    pub(super) fn check_next_endpoint(&self) -> Result<(), Refusal> {
        let Some(endpoint) = &self.next_endpoint else {
            return Ok(());
        };
        let tables = self.shared.tables();
        let current = tables.endpoints.get(&endpoint.id);
        let may_be_used = current.is_some_and(|current| !current.draining && self.is_allowed_at(current));
        drop(tables);
        if may_be_used {
            return Ok(());
        }
        Err(self.give_up_refusal())
    }

    /// Returns whether the call's body may be sent on a connection, which another host may have opened.
    pub(super) fn may_use(&self, connection: &Connection) -> bool {
        let (Some(regions), Some(host)) = (self.allowed_regions(), &connection.through_host) else {
            return true;
        };
        let peers = self.shared.peers.borrow();
        let relay = peers.get(host);
        relay.is_some_and(|relay| self.shared.regions.allows(&relay.failure_domain, Some(regions)))
    }
}
