//! Durable records of the software versions that services have, one for each service.
//!
//! A host that starts knows from them which versions may have begun the streams that callers take up, also after all
//! hosts were killed. Their keys are within the range of the registered hosts, which each host reads before it serves
//! calls. One host writes a record when the versions change; the others do so later if it does not.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{HostId, SoftwareVersion, ownership::rendezvous_order};
use burdockroad_daemon::platform::Entry;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{ConditionalWrite, SharedStore, WriteOutcome, shared::Shared};

/// Key prefix of the records.
const RECORDS_PREFIX: &str = "burdockroad/hosts/versions/";

/// Interval between two checks of the records, besides those after a change of the endpoints.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a host leaves an outdated record to each host that ranks before it.
const RANK_DELAY: Duration = Duration::from_secs(1);

/// Record of one service.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct VersionRecord {
    versions: BTreeSet<SoftwareVersion>,
}

/// Applies an entry of the hosts' range. Returns whether it is a record.
///
/// # Errors
///
/// Fails when the record is malformed.
pub(crate) fn put_record(shared: &Shared, entry: &Entry) -> Result<bool, serde_json::Error> {
    let Some(service) = entry.key.strip_prefix(RECORDS_PREFIX) else {
        return Ok(false);
    };
    let record: VersionRecord = serde_json::from_slice(&entry.value)?;
    let mut tables = shared.tables();
    tables
        .version_history
        .set_recorded(service, record.versions, Instant::now());
    tables.record_revisions.insert(service.to_owned(), entry.revision);
    Ok(true)
}

/// Writes outdated records until the host stops.
pub(crate) async fn keep_records(shared: Arc<Shared>) {
    let mut outdated_since: BTreeMap<String, Instant> = BTreeMap::new();
    loop {
        tokio::select! {
            () = sleep(CHECK_INTERVAL) => {}
            () = shared.versions_changed.notified() => {}
        }
        let now = Instant::now();
        let updates = record_updates(&shared, now);
        outdated_since.retain(|service, _| updates.contains_key(service));
        for (service, versions) in updates {
            let since = *outdated_since.entry(service.clone()).or_insert(now);
            if now >= since + write_delay(&shared, &service) {
                write_record(&shared, service, versions).await;
            }
        }
    }
}

/// Returns the versions of the services whose records are outdated; none before the records were read. A service that the
/// configuration does not name serves no calls, and its name comes from entries that any writer may leave.
fn record_updates(shared: &Shared, now: Instant) -> BTreeMap<String, BTreeSet<SoftwareVersion>> {
    let tables = shared.tables();
    if tables.host_count == 0 {
        return BTreeMap::new();
    }
    let Some(directory) = &tables.directory else {
        return BTreeMap::new();
    };
    let services = tables.endpoints.services().into_iter();
    let named = services.filter(|service| directory.names_service(service));
    let updates = named.filter_map(|service| {
        let present = tables.endpoints.software_versions(service);
        let versions = tables.version_history.record_update(service, present, now)?;
        Some((service.to_owned(), versions))
    });
    updates.collect()
}

/// Returns the time for which this host leaves the record to the hosts that rank before it.
fn write_delay(shared: &Shared, service: &str) -> Duration {
    let peers = shared.peers.borrow();
    let hosts = peers.keys().cloned().chain([shared.host.clone()]);
    let ranked: Vec<HostId> = rendezvous_order(service, hosts);
    let rank = ranked.iter().position(|host| *host == shared.host);
    RANK_DELAY * u32::try_from(rank.unwrap_or(0)).unwrap_or(u32::MAX)
}

/// Writes a record unless another host has changed it. The host learns its own write from the range, too.
async fn write_record(shared: &Shared, service: String, versions: BTreeSet<SoftwareVersion>) {
    let record = VersionRecord { versions };
    let Ok(value) = serde_json::to_vec(&record) else {
        return;
    };
    let expected_revision = shared.tables().record_revisions.get(&service).copied();
    let write = ConditionalWrite {
        key: format!("{RECORDS_PREFIX}{service}"),
        value: Bytes::from(value),
        expected_revision,
        unconditional: false,
        lease: None,
    };
    let outcome = match shared.store.write_all(&[write]).await {
        Ok(WriteOutcome::Done(revision)) => {
            let mut tables = shared.tables();
            let versions = record.versions.clone();
            tables
                .version_history
                .set_recorded(&service, versions, Instant::now());
            tables.record_revisions.insert(service.clone(), revision);
            "written".to_owned()
        }
        Ok(WriteOutcome::Conflict(_) | WriteOutcome::LeaseEnded) => "conflict".to_owned(),
        Ok(WriteOutcome::Refused(reason)) => reason,
        // The record stays outdated, so it is written again.
        Err(error) => error.to_string(),
    };
    let line = RecordLine {
        service: &service,
        versions: &record.versions,
        outcome,
    };
    shared.log.line("versions_recorded", &line);
}

#[derive(Serialize)]
struct RecordLine<'a> {
    service: &'a str,
    versions: &'a BTreeSet<SoftwareVersion>,
    outcome: String,
}
