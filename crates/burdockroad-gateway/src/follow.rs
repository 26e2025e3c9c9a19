//! Follows ranges of the store. A few hosts, the watchers, watch the store; the other hosts fetch updates
//! from them.
//!
//! A watcher's reports announce the revision of the last change that it has seen in each range. A host that
//! is behind this revision fetches the changes from the watcher, or from a host that the watcher names, or
//! from another watcher, or reads the store when none of them responds. A host that receives no announcement watches the store itself.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{HostLocation, should_watch};
use burdockroad_daemon::platform::{Revision, StoreError};
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::{
    Change, Changes, RangeSnapshot, RangeUpdate, SharedStore,
    range_view::{RangeView, UpdateSource},
    shared::Shared,
    store_outage::{record_failed_poll, record_own_response},
    update_client::fetch_update,
};

/// Longest time of one watch request. If the store truncates the history during a watch, it may report this
/// only when the watch ends, so watches are short.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Fraction of [`WATCH_TIMEOUT`] by which timeouts vary, so that watchers do not send requests in lockstep.
const WATCH_TIMEOUT_JITTER: f64 = 0.3;

/// Age of the store's last response at which a watcher stops announcing the range.
pub(crate) const RESPONSE_AGE_MAX: Duration = Duration::from_millis(1250);

/// Backoff after the first failed call; it doubles with each further failure up to [`BACKOFF_MAX`].
const BACKOFF_INITIAL: Duration = Duration::from_millis(50);

/// Longest backoff after a failed call.
const BACKOFF_MAX: Duration = Duration::from_millis(400);

/// Time after the process start in which the first reports of the other hosts arrive. Until then, the host
/// does not become a watcher.
const FIRST_REPORTS_TIME: Duration = Duration::from_millis(350);

/// Interval at which a host checks whether it should become a watcher.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Receives the entries and changes of a range of the store.
///
/// A range may hold keys of several kinds, as the operator's range does. They arrive together: the first snapshot has
/// all of them, so a subscriber can apply one kind before another one takes effect. Keys of unknown kinds are ignored.
///
/// A snapshot has the revision of its first page, and later pages may be newer. Changes that follow it may therefore
/// repeat what it contains, or state what it no longer contains. A snapshot that the store returns may also be older
/// than changes that were applied. Subscribers for which that matters compare revisions.
pub(crate) trait RangeSubscriber: Send {
    /// Returns the key prefix of the range.
    fn prefix(&self) -> &str;

    /// Replaces all previous entries of the range with those of a snapshot.
    fn replace(&mut self, snapshot: &RangeSnapshot);

    /// Applies one change. Changes arrive in the order of their revisions; keys that were written together have the
    /// same revision.
    fn apply_change(&mut self, change: &Change);
}

/// Follows a range until the host stops.
pub(crate) async fn follow(shared: Arc<Shared>, mut subscriber: Box<dyn RangeSubscriber>) {
    let mut backoff = BACKOFF_INITIAL;
    let mut position = None;
    loop {
        if let Some(after) = position
            && !is_watcher(&shared, subscriber.prefix())
        {
            position = Some(follow_watcher(&shared, subscriber.as_mut(), after).await);
            continue;
        }
        let outcome = poll_store(&shared, subscriber.as_mut(), position).await;
        match outcome {
            Ok(next) => {
                record_range_response(&shared, subscriber.prefix());
                position = next;
                backoff = BACKOFF_INITIAL;
            }
            Err(error) => {
                record_failed_poll(&shared, &error);
                sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        }
    }
}

/// Returns whether this host is a watcher of the range.
fn is_watcher(shared: &Shared, prefix: &str) -> bool {
    let now = Instant::now();
    if now < shared.started_at + FIRST_REPORTS_TIME {
        return false;
    }
    let mut live_hosts = vec![HostLocation {
        host: shared.host.clone(),
        failure_domain: shared.failure_domain.clone(),
    }];
    let peers = shared.peers.borrow();
    let tables = shared.tables();
    let others = peers
        .iter()
        .filter(|(host, _)| tables.rate_limiter.is_live(host, now));
    live_hosts.extend(others.map(|(host, peer)| HostLocation {
        host: host.clone(),
        failure_domain: peer.failure_domain.clone(),
    }));
    let announced = tables.announced_ranges.get(prefix);
    let announcement_age = announced.map(|announced| now.saturating_duration_since(announced.announced_at));
    drop(tables);
    should_watch(&shared.host, &live_hosts, announcement_age)
}

/// Returns the ranges that this host watches and announces, each with the revision of its last change.
/// A range is announced if the last response of the store for it is younger than [`RESPONSE_AGE_MAX`].
pub(crate) fn watched_ranges(shared: &Shared) -> Vec<(String, Revision)> {
    let now = Instant::now();
    let recent_ranges: Vec<(String, Revision)> = {
        let tables = shared.tables();
        let ranges = tables.range_logs.iter().filter(|(prefix, _)| {
            let responded_at = tables.range_responded_at.get(*prefix);
            responded_at.is_some_and(|at| now < *at + RESPONSE_AGE_MAX)
        });
        ranges
            .map(|(prefix, log)| (prefix.clone(), log.last_change()))
            .collect()
    };
    let mut watched = recent_ranges;
    watched.retain(|(prefix, _)| is_watcher(shared, prefix));
    watched
}

/// Waits at most [`ROLE_CHECK_INTERVAL`] for a watcher to announce a newer change than `after`, and applies
/// its updates. Returns the revision up to which the range has then been applied.
async fn follow_watcher(shared: &Shared, subscriber: &mut dyn RangeSubscriber, after: Revision) -> Revision {
    let mut announced = pin!(shared.range_announced.notified());
    announced.as_mut().enable();
    let Some(watcher) = watcher_ahead(shared, subscriber.prefix(), after) else {
        // After each wait, the caller rechecks whether this host should watch.
        let _ended = timeout(ROLE_CHECK_INTERVAL, announced).await;
        return after;
    };
    if let Some(as_of) = fetch_updates(shared, subscriber, watcher, after).await {
        return as_of;
    }
    metrics::counter!("burdockroad_range_updates_given_up_total").increment(1);
    match poll_store(shared, subscriber, None).await {
        Ok(as_of) => as_of.unwrap_or(after),
        Err(error) => {
            let reason = error.to_string();
            let prefix = subscriber.prefix();
            shared
                .log
                .line("range_read_failed", &ReadFailedLine { prefix, reason });
            sleep(BACKOFF_MAX).await;
            after
        }
    }
}

/// Returns the first watcher that announced the last change of a range, if that is newer than `after`.
fn watcher_ahead(shared: &Shared, prefix: &str, after: Revision) -> Option<SocketAddr> {
    let tables = shared.tables();
    let announced = tables.announced_ranges.get(prefix)?;
    (announced.last_change > after).then_some(announced.watcher)
}

/// Fetches the updates of a range from a watcher, or from a host that it names, and applies them.
async fn fetch_updates(
    shared: &Shared,
    subscriber: &mut dyn RangeSubscriber,
    watcher: SocketAddr,
    after: Revision,
) -> Option<Revision> {
    let fetched = fetch_update(shared, subscriber.prefix(), watcher, after).await?;
    let source = UpdateSource::Host(fetched.sender);
    match fetched.update {
        RangeUpdate::Changes { changes, as_of } => {
            record_update(shared, subscriber.prefix(), source, as_of);
            apply_changes(shared, subscriber, &changes, as_of);
            Some(as_of)
        }
        RangeUpdate::Snapshot(snapshot) if snapshot.as_of > after => {
            record_update(shared, subscriber.prefix(), source, snapshot.as_of);
            apply_snapshot(shared, subscriber, &snapshot);
            Some(snapshot.as_of)
        }
        RangeUpdate::Snapshot(_) => None,
    }
}

fn record_range_response(shared: &Shared, prefix: &str) {
    let now = Instant::now();
    shared.tables().range_responded_at.insert(prefix.to_owned(), now);
}

/// Records an update of a range, before it is applied.
fn record_update(shared: &Shared, prefix: &str, source: UpdateSource, as_of: Revision) {
    let view = RangeView::new(source, as_of);
    shared.tables().range_views.insert(prefix.to_owned(), view);
}

fn apply_snapshot(shared: &Shared, subscriber: &mut dyn RangeSubscriber, snapshot: &RangeSnapshot) {
    subscriber.replace(snapshot);
    let mut tables = shared.tables();
    let log = tables
        .range_logs
        .entry(subscriber.prefix().to_owned())
        .or_default();
    log.replace(snapshot);
}

fn apply_changes(shared: &Shared, subscriber: &mut dyn RangeSubscriber, changes: &[Change], as_of: Revision) {
    for change in changes {
        subscriber.apply_change(change);
    }
    let mut tables = shared.tables();
    let log = tables
        .range_logs
        .entry(subscriber.prefix().to_owned())
        .or_default();
    log.extend(changes, as_of);
}

/// Waits for changes after `position`, or reads the whole range when `position` is `None`. Returns the new
/// position.
async fn poll_store(
    shared: &Shared,
    subscriber: &mut dyn RangeSubscriber,
    position: Option<Revision>,
) -> Result<Option<Revision>, StoreError> {
    let Some(after) = position else {
        let snapshot = shared.store.read_range(subscriber.prefix()).await?;
        record_own_response(shared);
        record_update(shared, subscriber.prefix(), UpdateSource::Store, snapshot.as_of);
        apply_snapshot(shared, subscriber, &snapshot);
        shared.report_now.notify_one();
        return Ok(Some(snapshot.as_of));
    };
    let wait = WATCH_TIMEOUT.mul_f64(1.0 - WATCH_TIMEOUT_JITTER * rand::random::<f64>());
    let changes = shared.store.changes(subscriber.prefix(), after, wait).await?;
    record_own_response(shared);
    match changes {
        Changes::Complete { changes, as_of } => {
            let as_of = as_of.max(after);
            record_update(shared, subscriber.prefix(), UpdateSource::Store, as_of);
            apply_changes(shared, subscriber, &changes, as_of);
            if !changes.is_empty() {
                shared.report_now.notify_one();
            }
            Ok(Some(as_of))
        }
        Changes::HistoryTruncated => {
            let prefix = subscriber.prefix();
            shared
                .log
                .line("history_gone", &HistoryTruncatedLine { prefix, after });
            Ok(None)
        }
    }
}

#[derive(Serialize)]
struct ReadFailedLine<'a> {
    prefix: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct HistoryTruncatedLine<'a> {
    prefix: &'a str,
    after: Revision,
}
