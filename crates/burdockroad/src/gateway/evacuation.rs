//! Failure domains that the operator has evacuated, as one host knows them.
//!
//! Load pattern: a third or more of a service's endpoints is taken away while all endpoints are busy, and comes
//! back later. Evacuations overlap, and are ordered and withdrawn in quick succession. A host may read orders late,
//! twice, or from a snapshot whose pages have different revisions; revisions tell which order is the latest.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::ids::{FailureDomainId, Revision};

/// The operator's order to evacuate a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationOrder {
    /// Failure domain to evacuate. No endpoint in it needs to be known.
    pub domain: FailureDomainId,
    /// Revision of the store at which the order was given.
    pub revision: Revision,
}

/// Change of a failure domain's evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The failure domain.
    pub domain: FailureDomainId,
    /// Revision of the store that caused the change.
    pub revision: Revision,
    /// Whether the evacuation started or ended.
    pub step: EvacuationStep,
}

/// Start or end of an evacuation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EvacuationStep {
    /// No new calls are sent to the domain.
    Started,
    /// Calls may be sent to the domain again.
    Ended {
        /// Time since this host applied the evacuation.
        lasted: Duration,
    },
}

/// The evacuated failure domains.
#[derive(Clone, Debug, Default)]
pub(super) struct Evacuations {
    domains: BTreeMap<FailureDomainId, Evacuation>,
    /// Revision up to which all orders are applied; `None` before the first snapshot.
    as_of: Option<Revision>,
}

#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Revision of the latest order.
    revision: Revision,
    applied_at: Instant,
}

impl Evacuations {
    pub(super) fn contains(&self, domain: &str) -> bool {
        self.domains.contains_key(domain)
    }

    pub(super) fn len(&self) -> usize {
        self.domains.len()
    }

    /// Returns whether a snapshot of the orders was applied.
    pub(super) fn is_known(&self) -> bool {
        self.as_of.is_some()
    }

    /// Applies an order. Returns the change, unless the domain is evacuated already or the order is outdated.
    pub(super) fn begin(&mut self, order: &EvacuationOrder, now: Instant) -> Option<EvacuationChange> {
        if !self.advance_to(order.revision) {
            return None;
        }
        self.insert(order, now)
    }

    /// Applies the withdrawal of an order. Returns the change, unless the domain is not evacuated or the withdrawal
    /// is outdated.
    pub(super) fn end(&mut self, domain: &str, revision: Revision, now: Instant) -> Option<EvacuationChange> {
        if !self.advance_to(revision) {
            return None;
        }
        // The pages of a snapshot are read one after the other, so an entry in it may be later than the changes that
        // follow the snapshot.
        if self.domains.get(domain)?.revision > revision {
            return None;
        }
        self.remove(domain, revision, now)
    }

    /// Replaces all orders by those of a snapshot, and returns the changes. A snapshot that is older than an order
    /// that was applied has no effect.
    pub(super) fn replace(
        &mut self,
        orders: &[EvacuationOrder],
        as_of: Revision,
        now: Instant,
    ) -> Vec<EvacuationChange> {
        if !self.advance_to(as_of) {
            return Vec::new();
        }
        let mut ended: Vec<FailureDomainId> = self.domains.keys().cloned().collect();
        ended.retain(|domain| orders.iter().all(|order| order.domain != *domain));
        let ended = ended
            .iter()
            .filter_map(|domain| self.remove(domain, as_of, now))
            .collect::<Vec<_>>();
        let started = orders.iter().filter_map(|order| self.insert(order, now));
        started.chain(ended).collect()
    }

    /// Advances `as_of`. Returns `false` if it is later than `revision` already. Keys that were written together have
    /// the same revision, so changes at `as_of` itself are not outdated.
    fn advance_to(&mut self, revision: Revision) -> bool {
        if self.as_of.is_some_and(|as_of| as_of > revision) {
            return false;
        }
        self.as_of = Some(revision);
        true
    }

    fn insert(&mut self, order: &EvacuationOrder, now: Instant) -> Option<EvacuationChange> {
        if let Some(known) = self.domains.get_mut(&order.domain) {
            known.revision = known.revision.max(order.revision);
            return None;
        }
        let evacuation = Evacuation {
            revision: order.revision,
            applied_at: now,
        };
        self.domains.insert(order.domain.clone(), evacuation);
        Some(EvacuationChange {
            domain: order.domain.clone(),
            revision: order.revision,
            step: EvacuationStep::Started,
        })
    }

    fn remove(&mut self, domain: &str, revision: Revision, now: Instant) -> Option<EvacuationChange> {
        let evacuation = self.domains.remove(domain)?;
        Some(EvacuationChange {
            domain: domain.to_owned(),
            revision,
            step: EvacuationStep::Ended {
                lasted: now.saturating_duration_since(evacuation.applied_at),
            },
        })
    }
}
