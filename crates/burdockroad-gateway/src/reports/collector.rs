//! Collects the reports of a failure domain and sends them together.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId,
    gateway::{HostLocation, collector, join_reports},
};
use tokio::time::sleep;

use super::{DELIVER_BATCH, FORWARD_BATCH, send};
use crate::shared::Shared;

/// Interval at which the collected reports are sent.
const COLLECTION_INTERVAL: Duration = Duration::from_millis(100);

/// Sends the collected reports to the hosts of this failure domain, and to one collector of each other domain,
/// until the host stops.
pub(crate) async fn send_collected(shared: Arc<Shared>) {
    let socket = Arc::clone(&shared.datagrams);
    let mut rotation = 0;
    loop {
        sleep(COLLECTION_INTERVAL).await;
        let reports = shared.collected_reports.take();
        if reports.is_empty() {
            continue;
        }
        rotation += 1;
        let remote = remote_collectors(&shared, rotation);
        let (batches, left_out) = join_reports(DELIVER_BATCH, &reports);
        metrics::counter!("burdockroad_reports_unsent_total").increment(left_out as u64);
        let local = shared.addresses_in_domain();
        for mut batch in batches {
            for address in &local {
                send(&socket, &batch, *address).await;
            }
            batch[0] = FORWARD_BATCH;
            for address in &remote {
                send(&socket, &batch, *address).await;
            }
        }
    }
}

/// Returns the address of the collector to which this host sends its report; `None` when it is this host.
pub(super) fn local_collector(shared: &Shared, rotation: usize) -> Option<SocketAddr> {
    let mut live = live_peers(shared);
    live.push(HostLocation {
        host: shared.host.clone(),
        failure_domain: shared.failure_domain.clone(),
    });
    let selected = collector(&shared.failure_domain, &live, rotation)?;
    address_of(shared, &selected)
}

/// Returns the address of one collector in each other failure domain.
fn remote_collectors(shared: &Shared, rotation: usize) -> Vec<SocketAddr> {
    let live = live_peers(shared);
    let mut domains: Vec<&str> = live
        .iter()
        .map(|location| location.failure_domain.as_str())
        .collect();
    domains.sort_unstable();
    domains.dedup();
    let remote = domains
        .into_iter()
        .filter(|domain| *domain != shared.failure_domain);
    let collectors = remote.filter_map(|domain| collector(domain, &live, rotation));
    collectors.filter_map(|host| address_of(shared, &host)).collect()
}

fn live_peers(shared: &Shared) -> Vec<HostLocation> {
    let now = Instant::now();
    let peers = shared.peers.borrow();
    let tables = shared.tables();
    let live = peers
        .iter()
        .filter(|(host, _)| tables.rate_limiter.is_live(host, now));
    let locations = live.map(|(host, peer)| HostLocation {
        host: host.clone(),
        failure_domain: peer.failure_domain.clone(),
    });
    locations.collect()
}

fn address_of(shared: &Shared, host: &HostId) -> Option<SocketAddr> {
    shared.peers.borrow().get(host).map(|peer| peer.address)
}
