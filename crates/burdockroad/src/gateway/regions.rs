//! Regions in which calls must stay.
//!
//! Load pattern: calls of routes and accounts that are bound to regions, beside many calls that are not, while
//! endpoints and hosts of the regions fail. A call that is bound to regions gets no endpoint, relay or replica
//! elsewhere, also if none is left in its regions. Calls that are not bound cost one check.

use std::collections::HashMap;

use crate::{gateway::HostLocation, ids::RegionId};

/// Region of each failure domain.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RegionMap {
    region_of: HashMap<String, RegionId>,
}

impl RegionMap {
    /// Creates a map from the region of each failure domain.
    pub fn new(region_of: HashMap<String, RegionId>) -> Self {
        Self { region_of }
    }

    /// Returns the region of a failure domain; `None` if it is in no region.
    pub fn region_of(&self, failure_domain: &str) -> Option<&RegionId> {
        self.region_of.get(failure_domain)
    }

    /// Returns whether a failure domain is in one of the allowed regions. If any region is allowed (`None`), so is
    /// every failure domain; otherwise, one that is not in the map is in no region.
    pub fn allows(&self, failure_domain: &str, allowed: Option<&[RegionId]>) -> bool {
        let Some(allowed) = allowed else {
            return true;
        };
        let region = self.region_of(failure_domain);
        region.is_some_and(|region| allowed.contains(region))
    }

    /// Returns those of `hosts` that are in allowed regions.
    pub fn allowed_hosts(
        &self,
        mut hosts: Vec<HostLocation>,
        allowed: Option<&[RegionId]>,
    ) -> Vec<HostLocation> {
        if allowed.is_some() {
            hosts.retain(|host| self.allows(&host.failure_domain, allowed));
        }
        hosts
    }
}

/// Returns the regions that two restrictions allow together; `None` if neither restricts regions. The result is
/// empty if no region satisfies both.
pub fn common_regions(first: Option<&[RegionId]>, second: Option<&[RegionId]>) -> Option<Vec<RegionId>> {
    match (first, second) {
        (None, None) => None,
        (Some(only), None) | (None, Some(only)) => Some(only.to_vec()),
        (Some(first), Some(second)) => {
            let common = first.iter().filter(|region| second.contains(region));
            Some(common.cloned().collect())
        }
    }
}
