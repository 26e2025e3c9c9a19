//! Outages of the store: what this host and the reports of other hosts tell of its responses.

use std::time::{Duration, Instant};

use burdockroad_daemon::platform::StoreError;
use serde::Serialize;

use crate::{clock::as_ms, failed_polls::FailedPolls, shared::Shared};

/// Records a poll of the store that failed, also through other hosts.
pub(crate) fn record_failed_poll(shared: &Shared, error: &StoreError) {
    let mut tables = shared.tables();
    let failed = tables.failed_polls;
    tables.failed_polls = Some(FailedPolls::extend(failed, Instant::now()));
    drop(tables);
    if failed.is_none() {
        let reason = error.to_string();
        shared.log.line("store_lost", &StoreLostLine { reason });
    }
}

/// Records that the store responded to this host, if it did.
pub(crate) fn record_own_response(shared: &Shared) {
    if let Some(at) = shared.store.last_response_at() {
        record_store_response(shared, at);
    }
}

/// Records that the store responded to this host or to another one.
pub(crate) fn record_store_response(shared: &Shared, at: Instant) {
    let mut tables = shared.tables();
    let outage = tables.departures.record_store_response(at);
    let failed_polls = tables.failed_polls.take_if(|polls| polls.are_before(at));
    drop(tables);
    if let Some(outage) = outage {
        metrics::counter!("burdockroad_store_outages_total").increment(1);
        let lasted_ms = as_ms(outage.lasted);
        shared.log.line("store_outage_ended", &OutageLine { lasted_ms });
    }
    if let Some(polls) = failed_polls {
        let lost_ms = as_ms(polls.lasted(at));
        shared.log.line("store_back", &StoreBackLine { lost_ms });
    }
}

/// Returns the time since the store last responded to this host; `None` if that is longer ago than `age_max`.
pub(crate) fn response_age(shared: &Shared, age_max: Duration) -> Option<Duration> {
    let age = shared.store.last_response_at()?.elapsed();
    (age <= age_max).then_some(age)
}

#[derive(Serialize)]
struct StoreLostLine {
    reason: String,
}

#[derive(Serialize)]
struct StoreBackLine {
    lost_ms: u64,
}

/// Log line of an outage of the store in which no host got a response.
#[derive(Serialize)]
struct OutageLine {
    lasted_ms: u64,
}
