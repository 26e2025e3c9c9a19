//! Checks with the store whether a service has software versions that this host does not know of yet.
//!
//! Failure: a host is cut off or suspended while endpoints of another version register, and a caller takes up a
//! stream there that the other version began.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use burdockroad::{SoftwareVersion, gateway::Endpoint};
use burdockroad_daemon::platform::{Entry, StoreError};
use tokio::time::timeout;

use crate::{Change, Changes, RangeLog, SharedStore, shared::Shared, unseen_versions::UnseenVersions};

/// Time in which the store must respond to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// What a check tells about the only version that this host knows of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionCheck {
    /// The store has no endpoint of another version.
    Confirmed,
    /// The store did not respond, and by the reports that this host receives it has responded to no host for as long
    /// as an outage takes.
    StoreOutage,
    /// The store did not respond. This host receives the reports of most hosts, and has applied every change that was
    /// announced to it.
    ReportsCurrent,
    /// The store did not respond. This host receives the reports of too few hosts, or one of them announced a change
    /// that it has not applied.
    ReportsIncomplete,
    /// Endpoints of another version have registered.
    OtherVersion,
}

impl VersionCheck {
    /// Returns the name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Confirmed => "confirmed",
            Self::StoreOutage => "store_outage",
            Self::ReportsCurrent => "reports_current",
            Self::ReportsIncomplete => "reports_incomplete",
            Self::OtherVersion => "other_version",
        }
    }

    /// Returns whether the version that this host knows is the only one. `all_holders_answered` tells whether all
    /// holders of the stream answered that they hold no version of it. Hosts that know several versions send the
    /// version of each stream to its holders.
    pub(crate) fn is_only_version(self, all_holders_answered: bool) -> bool {
        match self {
            Self::Confirmed | Self::StoreOutage => true,
            Self::ReportsCurrent => all_holders_answered,
            Self::ReportsIncomplete | Self::OtherVersion => false,
        }
    }
}

/// Checks whether `version` is the only one that the service has had up to now.
pub(crate) async fn check_only_version(
    shared: &Shared,
    service: &str,
    version: &SoftwareVersion,
) -> VersionCheck {
    let asked_at = Instant::now();
    let read = timeout(
        CHECK_TIMEOUT,
        has_other_version(shared, service, version, asked_at),
    )
    .await;
    match read {
        Ok(Ok(false)) => VersionCheck::Confirmed,
        Ok(Ok(true)) => VersionCheck::OtherVersion,
        Ok(Err(_)) | Err(_) => check_without_store(shared),
    }
}

/// Returns whether a read that began at `asked_at` or later finds entries of another version of a service. One
/// read at a time is under way, and calls share it.
async fn has_other_version(
    shared: &Shared,
    service: &str,
    version: &SoftwareVersion,
    asked_at: Instant,
) -> Result<bool, StoreError> {
    let mut last_read = shared.last_version_read.0.lock().await;
    let unseen = match last_read.take() {
        Some(unseen) if unseen.read_at >= asked_at => unseen,
        _ => read_unseen_versions(shared).await?,
    };
    let unseen = last_read.insert(unseen);
    let versions = unseen.by_service.get(service);
    Ok(versions.is_some_and(|versions| versions.iter().any(|other| other != version)))
}

/// Reads the entries that endpoints have written since the last change that this host has applied.
async fn read_unseen_versions(shared: &Shared) -> Result<UnseenVersions, StoreError> {
    let read_at = Instant::now();
    let prefix = shared.dialect.endpoints_prefix();
    let applied = shared.tables().range_logs.get(prefix).map(RangeLog::as_of);
    let changes = match applied {
        Some(after) => shared.store.changes(prefix, after, Duration::ZERO).await?,
        None => Changes::HistoryTruncated,
    };
    let entries: Vec<Entry> = match changes {
        Changes::Complete { changes, .. } => changes.into_iter().filter_map(put_entry).collect(),
        Changes::HistoryTruncated => shared.store.read_range(prefix).await?.entries,
    };
    let mut by_service: BTreeMap<String, BTreeSet<SoftwareVersion>> = BTreeMap::new();
    for endpoint in entries.iter().filter_map(|entry| read_endpoint(shared, entry)) {
        let versions = by_service.entry(endpoint.service).or_default();
        versions.insert(endpoint.software_version);
    }
    Ok(UnseenVersions { read_at, by_service })
}

fn put_entry(change: Change) -> Option<Entry> {
    match change {
        Change::Put(entry) => Some(entry),
        Change::Removed { .. } => None,
    }
}

/// Returns the endpoint of an entry; `None` if the entry cannot be read, so that it names none.
fn read_endpoint(shared: &Shared, entry: &Entry) -> Option<Endpoint> {
    let id = entry.key.strip_prefix(shared.dialect.endpoints_prefix())?;
    shared.dialect.read_endpoint(id, &entry.value).ok()
}

/// Checks by the reports of the other hosts, because the store did not respond.
fn check_without_store(shared: &Shared) -> VersionCheck {
    let now = Instant::now();
    let peers = shared.peers.borrow();
    let tables = shared.tables();
    let heard = peers.keys().filter(|host| tables.rate_limiter.is_live(host, now));
    let hears_most = 2 * (heard.count() + 1) > peers.len() + 1;
    let prefix = shared.dialect.endpoints_prefix();
    let applied = tables.range_logs.get(prefix).map_or(0, RangeLog::as_of);
    let announced = tables.announced_ranges.get(prefix);
    let has_applied_all = announced.is_none_or(|range| range.last_change <= applied);
    if !hears_most || !has_applied_all {
        VersionCheck::ReportsIncomplete
    } else if tables.departures.is_store_outage(now) {
        VersionCheck::StoreOutage
    } else {
        VersionCheck::ReportsCurrent
    }
}
