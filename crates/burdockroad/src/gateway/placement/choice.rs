//! Choice among the endpoints that take a call, by their expected times.

use std::time::Instant;

use super::{
    affinity::Affinity,
    query::{Placement, PlacementQuery},
    row::EndpointRow,
    table::EndpointTable,
};

/// A candidate for a call.
#[derive(Debug)]
struct RankedEndpoint<'a> {
    row: &'a EndpointRow,
    is_ejected: bool,
    is_avoided: bool,
    expected_ms: f64,
}

impl EndpointTable {
    /// Chooses the endpoint with the shortest expected time among those that take another call; `None` if no
    /// endpoint is left to try.
    ///
    /// `jitter_seed` varies the choice among endpoints with similar expected times. Ejected endpoints are
    /// chosen only if no other endpoint is left, and avoided ones before them.
    pub fn choose(&mut self, query: PlacementQuery<'_>, jitter_seed: u64, now: Instant) -> Option<Placement> {
        self.refill(query.service, now);
        let candidates = self.candidates(&query);
        let affinity = query
            .affinity_key
            .map(|key| Affinity::new(key, &candidates, |row| query.avoids(row), now));
        let ranked = self.rank(&query, &candidates, affinity.as_ref(), jitter_seed, now);
        let preferred = ranked.first()?.row;
        let chosen = ranked.iter().find(|ranked| ranked.row.has_room());
        let placement = chosen.map(|RankedEndpoint { row, expected_ms, .. }| Placement {
            endpoint: row.endpoint.clone(),
            expected_ms: *expected_ms,
            pace_percent: self.expected_pace_percent(row, now),
            load: row.load(now),
            affinity_position: affinity.map(|affinity| affinity.position(row, &candidates)),
        });
        let is_elsewhere = chosen.is_some_and(|chosen| !std::ptr::eq(chosen.row, preferred));
        let is_diverted = is_elsewhere && preferred.rate.cold.status(now).is_some();
        let preferred = query.is_first.then(|| preferred.endpoint.id.clone());
        if is_diverted {
            self.cold_starts.diverted_calls += 1;
        }
        if let Some(preferred) = preferred {
            self.record_demand(&preferred);
        }
        placement
    }

    /// Returns the endpoints that the call may be sent to, whether or not their rates let this host send one now.
    fn candidates(&self, query: &PlacementQuery<'_>) -> Vec<&EndpointRow> {
        let rows = self.rows.values();
        rows.filter(|row| row.endpoint.service == query.service)
            .filter(|row| row.has_version(query.software_version))
            .filter(|row| self.allows(row, query.allowed_regions))
            .filter(|row| row.takes_calls() && !query.tried.contains(&row.endpoint.id))
            .filter(|row| row.in_flight < query.in_flight_max)
            .collect()
    }

    /// Puts the candidates in the order in which the call prefers them.
    fn rank<'a>(
        &self,
        query: &PlacementQuery<'_>,
        candidates: &[&'a EndpointRow],
        affinity: Option<&Affinity<'_>>,
        jitter_seed: u64,
        now: Instant,
    ) -> Vec<RankedEndpoint<'a>> {
        let service = self.service_times(query.service, now);
        let paces = self.expected_paces(query.service, candidates, now);
        let spread = paces
            .as_deref()
            .and_then(|paces| self.spread(service, candidates, paces, jitter_seed, now));
        let pace_of = |index: usize| {
            let pace = paces.as_ref().and_then(|paces| paces.get(index));
            pace.copied().unwrap_or(1.0)
        };
        let ranked = candidates.iter().enumerate().map(|(index, row)| {
            let pace = pace_of(index);
            let saving_ms = affinity
                .filter(|affinity| affinity.prefers(row))
                .map(|_preferring| Affinity::saving_ms(row.decayed_mean_ms(service, now) * pace));
            let addition_ms = match (&spread, saving_ms) {
                (Some(spread), _) => spread.addition_ms(index) - saving_ms.unwrap_or(0.0),
                (None, Some(saving_ms)) => -saving_ms,
                (None, None) => row.jitter_ms(jitter_seed),
            };
            RankedEndpoint {
                row,
                is_ejected: row.is_ejected(now),
                is_avoided: query.avoids(row),
                expected_ms: row.estimate_ms(query, service, pace, now) + addition_ms
                    - row.warm_up_preference_ms(service.mean_ms, now),
            }
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_by(|a, b| {
            (a.is_ejected, a.is_avoided)
                .cmp(&(b.is_ejected, b.is_avoided))
                .then(a.expected_ms.total_cmp(&b.expected_ms))
        });
        ranked
    }
}

impl PlacementQuery<'_> {
    fn avoids(&self, row: &EndpointRow) -> bool {
        self.avoided.contains(&row.endpoint.id)
    }
}
