//! Log lines and gauges of evacuated failure domains.

use std::collections::{BTreeMap, BTreeSet};

use burdockroad::{EndpointId, PoolId, config::EndpointSet};

/// Endpoints of a failure domain and the calls that run there, in the pools of this host.
#[derive(Clone, Copy, Debug, Default)]
struct DomainLoad {
    endpoints: usize,
    running_calls: usize,
}

/// Evacuated failure domains as of the last report.
#[derive(Debug, Default)]
pub(super) struct EvacuationReport {
    domains: BTreeSet<String>,
}

impl EvacuationReport {
    /// Writes one log line for each domain whose evacuation started or ended since the last call, and updates
    /// the gauges.
    pub(super) fn update<'a>(
        &mut self,
        domains: &BTreeSet<String>,
        sets: impl Iterator<Item = &'a EndpointSet>,
        running_at: impl Fn(&PoolId, &EndpointId) -> usize,
    ) {
        if domains.is_empty() && self.domains.is_empty() {
            return;
        }
        let loads = domain_loads(sets, running_at);
        for domain in domains.difference(&self.domains) {
            log_change("evacuation_started", domain, &loads);
        }
        for domain in self.domains.difference(domains) {
            log_change("evacuation_ended", domain, &loads);
        }
        self.domains.clone_from(domains);
        let evacuated = domains.iter().filter_map(|domain| loads.get(domain.as_str()));
        let running_calls = evacuated.map(|load| load.running_calls).sum();
        set_gauge("burdockroad_evacuated_domains", domains.len());
        set_gauge("burdockroad_evacuated_running_calls", running_calls);
    }
}

fn domain_loads<'a>(
    sets: impl Iterator<Item = &'a EndpointSet>,
    running_at: impl Fn(&PoolId, &EndpointId) -> usize,
) -> BTreeMap<&'a str, DomainLoad> {
    let mut loads: BTreeMap<&str, DomainLoad> = BTreeMap::new();
    for set in sets {
        for endpoint in &set.endpoints {
            let load = loads.entry(&endpoint.failure_domain).or_default();
            load.endpoints += 1;
            load.running_calls += running_at(&set.id, &endpoint.id);
        }
    }
    loads
}

fn log_change(event: &str, domain: &str, loads: &BTreeMap<&str, DomainLoad>) {
    let load = loads.get(domain).copied().unwrap_or_default();
    log::info!(
        "event={event} domain={domain} endpoints={} running_calls={}",
        load.endpoints,
        load.running_calls
    );
}

#[expect(clippy::cast_precision_loss, reason = "counts stay far below 2^52")]
fn set_gauge(name: &'static str, count: usize) {
    metrics::gauge!(name).set(count as f64);
}
