//! Preference of calls with an affinity key for the same endpoint.
//!
//! Load pattern: calls for many objects, some of them much more frequent than the others, that arrive at all hosts
//! at once, each host seeing few calls of an object. An endpoint works faster for objects that it handled
//! recently. The usable endpoints are put in rendezvous order by key, which every host computes alike, and the
//! first one that is not loaded much beyond the others is preferred. Calls for an object that is too frequent for
//! one endpoint therefore go to the next ones in its order.

use std::time::Instant;

use super::row::EndpointRow;
use crate::ownership::RendezvousHash;

/// Load relative to the service's mean load per slot above which the next endpoint in the order is preferred.
const LOAD_BOUND_FACTOR: f64 = 1.25;

/// Calls above the mean load that an endpoint may have in any case, because with a low mean load, the factor alone
/// would pass over every endpoint that runs a call.
const LOAD_BOUND_MIN_CALLS: f64 = 1.0;

/// Part of an endpoint's mean time to the first byte that a call is assumed to save if its object was handled there
/// before. It is more than the differences by congestion, so that hosts whose estimates differ a little
/// prefer the same endpoint, and less than the call's whole time, so that no call is sent to an endpoint that is
/// more than twice as slow.
const SAVING_FRACTION: f64 = 0.5;

/// The endpoints that a call with an affinity key prefers.
#[derive(Debug)]
pub(super) struct Affinity<'a> {
    hash: RendezvousHash,
    /// Endpoints whose expected time is reduced.
    preferred: Vec<&'a EndpointRow>,
}

impl<'a> Affinity<'a> {
    /// Selects the preferred endpoint for a key among the candidates of a call: the first one in the order of the
    /// key that is neither loaded beyond the bound nor full, ejected or avoided.
    ///
    /// An endpoint whose rate lets this host send no call now stays preferred together with the next one. Hosts
    /// share its rate in proportion to their demand, and the call still counts as demand for it.
    pub(super) fn new(
        key: &str,
        candidates: &[&'a EndpointRow],
        is_avoided: impl Fn(&EndpointRow) -> bool,
        now: Instant,
    ) -> Self {
        let hash = RendezvousHash::new(key);
        let mean_load = mean_load_per_slot(candidates, now);
        let eligible = candidates
            .iter()
            .copied()
            .filter(|row| is_within_bound(row, mean_load, now) && !row.is_ejected(now) && !is_avoided(row));
        let eligible: Vec<&EndpointRow> = eligible.collect();
        let with_room = eligible.iter().filter(|row| row.has_room());
        let first = with_room.map(|row| hash.rank(&row.endpoint.id)).min();
        let preferred = eligible
            .into_iter()
            .filter(|row| first.is_none_or(|first| hash.rank(&row.endpoint.id) <= first));
        Self {
            hash,
            preferred: preferred.collect(),
        }
    }

    pub(super) fn prefers(&self, row: &EndpointRow) -> bool {
        let mut preferred = self.preferred.iter();
        preferred.any(|preferred| std::ptr::eq(*preferred, row))
    }

    /// Returns the reduction of the expected time of a call at a preferred endpoint whose mean time is `mean_ms`.
    ///
    /// The reduction takes the place of the jitter, which would send the calls of hosts with the same information
    /// to different endpoints.
    pub(super) fn saving_ms(mean_ms: f64) -> f64 {
        mean_ms * SAVING_FRACTION
    }

    /// Returns the number of candidates that precede an endpoint in the order of the key.
    pub(super) fn position(&self, row: &EndpointRow, candidates: &[&EndpointRow]) -> usize {
        let rank = self.hash.rank(&row.endpoint.id);
        let preceding = candidates
            .iter()
            .filter(|other| self.hash.rank(&other.endpoint.id) < rank);
        preceding.count()
    }
}

fn mean_load_per_slot(candidates: &[&EndpointRow], now: Instant) -> f64 {
    let (load, slots) = candidates.iter().fold((0_u32, 0_u32), |(load, slots), row| {
        let load = load.saturating_add(row.load(now));
        (load, slots.saturating_add(row.endpoint.slots))
    });
    f64::from(load) / f64::from(slots.max(1))
}

/// Returns whether an endpoint has a free slot and is not loaded much more than the others.
fn is_within_bound(row: &EndpointRow, mean_load_per_slot: f64, now: Instant) -> bool {
    let load = row.load(now);
    let mean_load = mean_load_per_slot * f64::from(row.endpoint.slots);
    let bound = (mean_load * LOAD_BOUND_FACTOR).max(mean_load + LOAD_BOUND_MIN_CALLS);
    load < row.endpoint.slots && f64::from(load) <= bound
}
