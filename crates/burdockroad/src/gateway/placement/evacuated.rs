//! Endpoints in evacuated failure domains.

use std::time::Instant;

use super::{endpoint::Endpoint, table::EndpointTable};
use crate::{
    gateway::evacuation::{EvacuationChange, EvacuationOrder, EvacuationStep},
    ids::{EndpointId, Revision},
};

impl EndpointTable {
    /// Applies the operator's order to evacuate a failure domain. Returns the change, unless the domain is evacuated
    /// already or the order is outdated.
    ///
    /// From then on, no endpoint in the domain is chosen. Calls that run there are not affected.
    pub fn apply_evacuation(&mut self, order: &EvacuationOrder, now: Instant) -> Option<EvacuationChange> {
        let change = self.evacuations.begin(order, now)?;
        self.apply_change(&change, now);
        Some(change)
    }

    /// Applies the withdrawal of an order. Returns the change, unless the domain is not evacuated or the withdrawal is
    /// outdated.
    pub fn withdraw_evacuation(
        &mut self,
        domain: &str,
        revision: Revision,
        now: Instant,
    ) -> Option<EvacuationChange> {
        let change = self.evacuations.end(domain, revision, now)?;
        self.apply_change(&change, now);
        Some(change)
    }

    /// Replaces all orders by those of a snapshot as of a revision, and returns the changes. A snapshot that is older
    /// than an order that was applied has no effect.
    pub fn replace_evacuations(
        &mut self,
        orders: &[EvacuationOrder],
        as_of: Revision,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        let changes = self.evacuations.replace(orders, as_of, now);
        for change in &changes {
            self.apply_change(change, now);
        }
        changes
    }

    /// Returns whether the operator's orders are known. Before that, any endpoint may be in an evacuated domain.
    pub fn knows_evacuations(&self) -> bool {
        self.evacuations.is_known()
    }

    /// Returns whether an endpoint is in an evacuated failure domain, by its state when it was chosen or by its
    /// current entry. The entry may have been removed or have moved to another domain since.
    pub fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        let row = self.rows.get(&endpoint.id);
        self.evacuations.contains(&endpoint.failure_domain) || row.is_some_and(|row| row.evacuated)
    }

    /// Returns the number of evacuated failure domains.
    pub fn evacuated_domains(&self) -> usize {
        self.evacuations.len()
    }

    /// Returns the number of this host's calls in flight in evacuated failure domains.
    pub fn evacuated_in_flight(&self) -> u32 {
        let evacuated = self.rows.values().filter(|row| row.evacuated);
        evacuated.map(|row| row.in_flight).sum()
    }

    /// Returns the endpoints in a failure domain.
    pub fn ids_in_domain(&self, domain: &str) -> impl Iterator<Item = &EndpointId> {
        let rows = self.rows.iter();
        rows.filter(move |(_, row)| row.endpoint.failure_domain == domain)
            .map(|(id, _)| id)
    }

    /// Returns the endpoints outside evacuated failure domains.
    pub fn ids_outside_evacuations(&self) -> impl Iterator<Item = &EndpointId> {
        let rows = self.rows.iter().filter(|(_, row)| !row.evacuated);
        rows.map(|(id, _)| id)
    }

    fn apply_change(&mut self, change: &EvacuationChange, now: Instant) {
        match change.step {
            EvacuationStep::Started => self.begin_evacuation(&change.domain),
            EvacuationStep::Ended { .. } => self.end_evacuation(&change.domain, now),
        }
    }

    fn begin_evacuation(&mut self, domain: &str) {
        for row in self.rows.values_mut() {
            row.evacuated |= row.endpoint.failure_domain == domain;
        }
    }

    /// Lets the endpoints in a failure domain take calls again. They are usually cold by then.
    fn end_evacuation(&mut self, domain: &str, now: Instant) {
        let rows = self.rows.values_mut();
        for row in rows.filter(|row| row.endpoint.failure_domain == domain) {
            row.evacuated = false;
        }
        self.assume_cold(domain, now);
    }
}
