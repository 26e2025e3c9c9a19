//! Recording of the metrics that the metrics page shows.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time::sleep;

use crate::{shared::Shared, time_error::TIME_ERROR_METRIC};

/// Upper bounds of the histograms' buckets, in seconds.
const BUCKETS_S: [f64; 10] = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 10.0];

/// Upper bounds of the buckets for the error of expected times, in percent.
const TIME_ERROR_BUCKETS_PERCENT: [f64; 8] = [5.0, 10.0, 20.0, 35.0, 50.0, 100.0, 200.0, 500.0];

/// Interval at which recorded durations are moved into the histograms and gauges are updated.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Installs the metrics recorder. Returns `None` when the process already has one.
pub(crate) fn install() -> Option<PrometheusHandle> {
    let time_error = Matcher::Full(TIME_ERROR_METRIC.to_owned());
    let builder = PrometheusBuilder::new()
        .set_buckets(&BUCKETS_S)
        .and_then(|builder| builder.set_buckets_for_metric(time_error, &TIME_ERROR_BUCKETS_PERCENT))
        .ok()?;
    builder.install_recorder().ok()
}

/// Updates the gauges and histograms every [`UPKEEP_INTERVAL`].
pub(crate) async fn upkeep(shared: Arc<Shared>, handle: PrometheusHandle) {
    loop {
        sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
        let callers = &shared.callers;
        metrics::gauge!("burdockroad_caller_connections").set(as_gauge(callers.count() as u64));
        metrics::gauge!("burdockroad_caller_connections_peak").set(as_gauge(callers.peak() as u64));
        let budget = shared.room.budget();
        metrics::gauge!("burdockroad_caller_memory_bytes").set(as_gauge(budget.used_bytes() as u64));
        metrics::gauge!("burdockroad_caller_memory_peak_bytes").set(as_gauge(budget.peak_bytes() as u64));
        metrics::gauge!("burdockroad_caller_memory_max_bytes").set(as_gauge(budget.max_bytes() as u64));
        let tables = shared.tables();
        let version = tables
            .directory
            .as_ref()
            .map_or(0, |directory| directory.version());
        metrics::gauge!("burdockroad_config_version").set(as_gauge(version));
        metrics::gauge!("burdockroad_programs").set(as_gauge(tables.ledger.len() as u64));
        let quarantined = tables.quarantine.quarantined_count(Instant::now());
        metrics::gauge!("burdockroad_requests_quarantined").set(as_gauge(quarantined as u64));
        let crashes = tables.quarantine.remembered_crashes();
        metrics::gauge!("burdockroad_endpoint_crashes_remembered").set(as_gauge(crashes as u64));
        let evacuated_domains = tables.endpoints.evacuated_domains();
        metrics::gauge!("burdockroad_evacuated_domains").set(as_gauge(evacuated_domains as u64));
        let evacuated_in_flight = tables.endpoints.evacuated_in_flight();
        metrics::gauge!("burdockroad_evacuated_calls_in_flight").set(f64::from(evacuated_in_flight));
        metrics::gauge!("burdockroad_hosts").set(as_gauge(tables.host_count as u64));
    }
}

#[expect(clippy::cast_precision_loss, reason = "gauges do not need full precision")]
fn as_gauge(value: u64) -> f64 {
    value as f64
}
