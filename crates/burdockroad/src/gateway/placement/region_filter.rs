//! Endpoints in allowed regions.

use std::sync::Arc;

use super::{row::EndpointRow, table::EndpointTable};
use crate::{
    gateway::RegionMap,
    ids::{RegionId, SoftwareVersion},
};

impl EndpointTable {
    /// Sets the regions of failure domains. Without them, endpoints are in no region.
    pub fn set_regions(&mut self, regions: Arc<RegionMap>) {
        self.regions = regions;
    }

    /// Returns whether a service has an endpoint in allowed regions that takes new calls, or that streams of a
    /// version can continue at.
    pub fn is_usable_in(
        &self,
        allowed: Option<&[RegionId]>,
        service: &str,
        version: Option<&SoftwareVersion>,
    ) -> bool {
        let mut rows = self.rows.values();
        rows.any(|row| {
            row.endpoint.service == service
                && row.takes_calls()
                && row.has_version(version)
                && self.allows(row, allowed)
        })
    }

    /// Returns whether a call that is bound to regions may be sent to an endpoint.
    pub(super) fn allows(&self, row: &EndpointRow, allowed: Option<&[RegionId]>) -> bool {
        self.regions.allows(&row.endpoint.failure_domain, allowed)
    }
}
