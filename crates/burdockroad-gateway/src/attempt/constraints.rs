//! Limits on where a call may be sent, and its preference among the endpoints within them.

use std::time::{Duration, Instant};

use burdockroad::{
    RegionId,
    gateway::{Endpoint, Failure, NextStep, next_step},
};
use tokio::time::sleep;

use super::Call;
use crate::{
    endpoint_path::open_own_link,
    pool::{CONNECT_TIMEOUT, Connection},
    refusal::Refusal,
};

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

    /// Waits until the rate of the endpoint that the next attempt must use lets this host send another call. Fails
    /// when the endpoint is evacuated or may no longer be used, and has not ended.
    pub(super) async fn wait_for_rate_of_next_endpoint(&mut self) -> Result<(), Refusal> {
        while let Some(endpoint) = &self.next_endpoint {
            if !self.may_use_next_endpoint() {
                return self.leave_next_endpoint().await;
            }
            let wait = {
                let mut tables = self.shared.tables();
                if tables.endpoints.is_evacuated(endpoint) {
                    return Err(self.give_up_refusal());
                }
                tables.endpoints.endpoint_rate_wait(&endpoint.id, Instant::now())
            };
            match wait {
                Some(Duration::ZERO) => break,
                Some(wait) if wait < self.time_left() => sleep(wait).await,
                Some(_) | None => return Err(self.give_up_refusal()),
            }
        }
        Ok(())
    }

    /// Returns whether the endpoint that the next attempt must use does not depart, and is in a region in which the call
    /// must stay.
    fn may_use_next_endpoint(&self) -> bool {
        let Some(endpoint) = &self.next_endpoint else {
            return true;
        };
        let tables = self.shared.tables();
        let current = tables.endpoints.get(&endpoint.id);
        current.is_some_and(|current| !current.draining && self.is_allowed_at(current))
    }

    /// Lets the next attempt choose another endpoint if the one that it must use has ended: a connection to it, on which
    /// nothing is sent, is refused. Otherwise the call may still run there, so it may not run elsewhere either.
    async fn leave_next_endpoint(&mut self) -> Result<(), Refusal> {
        let Some(endpoint) = self.next_endpoint.take() else {
            return Ok(());
        };
        let time_limit = CONNECT_TIMEOUT.min(self.time_left());
        let connected = open_own_link(&self.shared, &endpoint, time_limit).await;
        let Err(failure @ Failure::NotListening) = connected else {
            return Err(self.give_up_refusal());
        };
        self.count(failure, &endpoint);
        match next_step(self.route.kind, self.route.endpoints_max, failure, self.retries) {
            NextStep::OtherEndpoint => Ok(()),
            NextStep::SameEndpoint | NextStep::Refuse | NextStep::GiveUp => Err(self.give_up_refusal()),
        }
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
