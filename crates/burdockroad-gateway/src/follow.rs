//! Following ranges of the store: some hosts watch them, and the others take what changes from these.
//!
//! Reports tell which host knows a range up to which change. A host that is behind asks it, and the store
//! itself when that host does not answer. A host that hears of nobody watches for itself.

use std::{
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::{HostLocation, should_watch};
use burdockroad_daemon::platform::{Entry, Revision, StoreError};
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{
    Change, Changes, RangeNews, RangeSnapshot, SharedStore,
    feed::REGISTER_AGAIN,
    peer::{PeerCall, PeerReply},
    shared::{Shared, Tables},
};

/// Longest time for which a watch waits before it is asked anew: one whose history is dropped while it
/// waits may say so only at its end.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Part of that by which waits differ, so that hosts which watch do not all ask at the same time.
const WATCH_WAIT_SPREAD: f64 = 0.3;

/// Age of the store's last answer from which a host no longer says that it watches.
const ANSWER_AGE_MAX: Duration = Duration::from_millis(1250);

/// First pause after a call that failed; it doubles up to the longest.
const FAILED_PAUSE_FIRST: Duration = Duration::from_millis(50);

/// Longest pause after a call that failed.
const FAILED_PAUSE_MAX: Duration = Duration::from_millis(400);

/// Time after a start in which other hosts are heard of for the first time.
const FIRST_REPORTS: Duration = Duration::from_millis(350);

/// Time between two looks at whether this host has to watch.
const ROLE_LOOK: Duration = Duration::from_millis(200);

/// Time within which another host has to answer with what it knows.
const NEWS_PATIENCE: Duration = Duration::from_millis(400);

/// Takes in what a range of the store holds.
pub(crate) trait RangeReader: Send {
    /// The range's prefix.
    fn prefix(&self) -> &str;

    /// Takes all entries; whatever else was known is gone.
    fn replace(&mut self, entries: &[Entry]);

    /// Takes one change.
    fn change(&mut self, change: &Change);
}

/// How far a host that watches knows a range, by its reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ToldRange {
    /// The host.
    pub(crate) address: SocketAddr,
    /// Revision of the last change that it knows.
    pub(crate) changed_at: Revision,
    /// When a host last told that it watches the range.
    pub(crate) heard_at: Instant,
}

/// What a host that watches knows of a range, for one that does not.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) struct RangeAnswer {
    /// What is new.
    news: RangeNews,
    /// Time for which entries that are missing may come back, since they lapsed with the store away.
    lapse_time: Duration,
}

/// Follows a range as long as the host runs.
pub(crate) async fn follow(shared: Arc<Shared>, mut reader: Box<dyn RangeReader>) {
    let mut pause = FAILED_PAUSE_FIRST;
    let mut position = None;
    loop {
        if let Some(after) = position
            && !watches(&shared, reader.prefix())
        {
            position = Some(follow_others(&shared, reader.as_mut(), after).await);
            continue;
        }
        let stepped = step(&shared, reader.as_mut(), position).await;
        match stepped {
            Ok(next) => {
                note_store(&shared, None);
                note_answer(&shared, reader.prefix());
                position = next;
                pause = FAILED_PAUSE_FIRST;
            }
            Err(error) => {
                note_store(&shared, Some(&error));
                sleep(pause).await;
                pause = (pause * 2).min(FAILED_PAUSE_MAX);
            }
        }
    }
}

/// Whether this host watches a range of the store.
fn watches(shared: &Shared, prefix: &str) -> bool {
    let now = Instant::now();
    if now < shared.started_at + FIRST_REPORTS {
        return false;
    }
    let mut heard = vec![HostLocation {
        host: shared.host.clone(),
        failure_domain: shared.failure_domain.clone(),
    }];
    let peers = shared.peers.borrow();
    let tables = shared.tables();
    let others = peers
        .iter()
        .filter(|(host, _)| tables.rate_limiter.is_live(host, now));
    heard.extend(others.map(|(host, peer)| HostLocation {
        host: host.clone(),
        failure_domain: peer.failure_domain.clone(),
    }));
    let told = tables.told_ranges.get(prefix);
    let told_age = told.map(|told| now.saturating_duration_since(told.heard_at));
    drop(tables);
    should_watch(&shared.host, &heard, told_age)
}

/// How far this host knows the ranges that it watches, and of which the store has answered of late.
pub(crate) fn watched_ranges(shared: &Shared) -> Vec<(String, Revision)> {
    let now = Instant::now();
    let answered: Vec<(String, Revision)> = {
        let tables = shared.tables();
        let ranges = tables.ranges.iter().filter(|(prefix, _)| {
            let answered_at = tables.range_answered_at.get(*prefix);
            answered_at.is_some_and(|at| now < *at + ANSWER_AGE_MAX)
        });
        ranges
            .map(|(prefix, log)| (prefix.clone(), log.changed_at()))
            .collect()
    };
    let mut watched = answered;
    watched.retain(|(prefix, _)| watches(shared, prefix));
    watched
}

/// Waits until a host that watches knows more than this one, and takes it; returns how far the range is
/// known then.
async fn follow_others(shared: &Shared, reader: &mut dyn RangeReader, after: Revision) -> Revision {
    let mut told = pin!(shared.range_told.notified());
    told.as_mut().enable();
    let source = shared.tables().told_ranges.get(reader.prefix()).copied();
    let Some(source) = source.filter(|source| source.changed_at > after) else {
        // Whether this host has to watch is looked at after any wait.
        let _ended = timeout(ROLE_LOOK, told).await;
        return after;
    };
    if let Some(as_of) = take_news(shared, reader, source.address, after).await {
        return as_of;
    }
    metrics::counter!("burdockroad_range_news_failed_total").increment(1);
    match step(shared, reader, None).await {
        Ok(as_of) => as_of.unwrap_or(after),
        Err(error) => {
            let reason = error.to_string();
            let prefix = reader.prefix();
            shared
                .log
                .line("range_read_failed", &PrefixLine { prefix, reason });
            sleep(FAILED_PAUSE_MAX).await;
            after
        }
    }
}

/// Asks another host for what is new in a range, and takes it.
async fn take_news(
    shared: &Shared,
    reader: &mut dyn RangeReader,
    address: SocketAddr,
    after: Revision,
) -> Option<Revision> {
    let call = PeerCall::RangeNews {
        prefix: reader.prefix().to_owned(),
        after,
    };
    let replied = shared.peer_client.call(address, &call, NEWS_PATIENCE).await;
    let Ok(PeerReply::RangeNews(Some(answer))) = replied else {
        return None;
    };
    shared.tables().allow_lapse(answer.lapse_time, Instant::now());
    match answer.news {
        RangeNews::Changes { changes, as_of } => {
            take_changes(shared, reader, &changes, as_of);
            Some(as_of)
        }
        RangeNews::Whole(snapshot) if snapshot.as_of > after => {
            take_whole(shared, reader, &snapshot);
            Some(snapshot.as_of)
        }
        RangeNews::Whole(_) => None,
    }
}

/// Tells another host what is new in a range; none when this one has not read it.
pub(crate) fn answer_news(shared: &Shared, prefix: &str, after: Revision) -> Option<RangeAnswer> {
    let tables = shared.tables();
    let news = tables.ranges.get(prefix)?.news_after(after)?;
    Some(RangeAnswer {
        news,
        lapse_time: tables.lapse_time(Instant::now()),
    })
}

fn note_answer(shared: &Shared, prefix: &str) {
    let now = Instant::now();
    shared.tables().range_answered_at.insert(prefix.to_owned(), now);
}

fn take_whole(shared: &Shared, reader: &mut dyn RangeReader, snapshot: &RangeSnapshot) {
    reader.replace(&snapshot.entries);
    let mut tables = shared.tables();
    let log = tables.ranges.entry(reader.prefix().to_owned()).or_default();
    log.replace(snapshot);
}

fn take_changes(shared: &Shared, reader: &mut dyn RangeReader, changes: &[Change], as_of: Revision) {
    for change in changes {
        reader.change(change);
    }
    let mut tables = shared.tables();
    let log = tables.ranges.entry(reader.prefix().to_owned()).or_default();
    log.extend(changes, as_of);
}

/// Reads the range, or waits for what changes behind `position`.
async fn step(
    shared: &Shared,
    reader: &mut dyn RangeReader,
    position: Option<Revision>,
) -> Result<Option<Revision>, StoreError> {
    let Some(after) = position else {
        let snapshot = shared.store.read_range(reader.prefix()).await?;
        take_whole(shared, reader, &snapshot);
        shared.report_now.notify_one();
        return Ok(Some(snapshot.as_of));
    };
    let wait = WATCH_WAIT.mul_f64(1.0 - WATCH_WAIT_SPREAD * rand::random::<f64>());
    match shared.store.changes(reader.prefix(), after, wait).await? {
        Changes::Known { changes, as_of } => {
            let as_of = as_of.max(after);
            take_changes(shared, reader, &changes, as_of);
            if !changes.is_empty() {
                shared.report_now.notify_one();
            }
            Ok(Some(as_of))
        }
        Changes::HistoryGone => {
            let prefix = reader.prefix();
            shared.log.line("history_gone", &HistoryLine { prefix, after });
            Ok(None)
        }
    }
}

/// Notes whether the store answers.
pub(crate) fn note_store(shared: &Shared, error: Option<&StoreError>) {
    let now = Instant::now();
    let mut tables = shared.tables();
    match (error, tables.store_lost_at) {
        (Some(error), None) => {
            tables.store_lost_at = Some(now);
            drop(tables);
            shared.log.line(
                "store_lost",
                &ReasonLine {
                    reason: error.to_string(),
                },
            );
        }
        (None, Some(lost_at)) => {
            tables.store_lost_at = None;
            tables.store_back_at = Some(now);
            drop(tables);
            let lost_for = now.saturating_duration_since(lost_at);
            shared.log.line(
                "store_back",
                &BackLine {
                    lost_ms: lost_for.as_millis(),
                },
            );
        }
        _ => {}
    }
}

impl Tables {
    /// Time for which entries that are missing may come back.
    fn lapse_time(&self, now: Instant) -> Duration {
        if self.store_lost_at.is_some() {
            return REGISTER_AGAIN;
        }
        let back_at = self.store_back_at;
        back_at.map_or(Duration::ZERO, |at| {
            (at + REGISTER_AGAIN).saturating_duration_since(now)
        })
    }

    /// Takes over from a host that watches for how long missing entries may come back.
    fn allow_lapse(&mut self, lapse_time: Duration, now: Instant) {
        if lapse_time > self.lapse_time(now) {
            self.store_back_at = now.checked_sub(REGISTER_AGAIN.saturating_sub(lapse_time));
        }
    }
}

#[derive(Serialize)]
struct ReasonLine {
    reason: String,
}

#[derive(Serialize)]
struct PrefixLine<'a> {
    prefix: &'a str,
    reason: String,
}

#[derive(Serialize)]
struct BackLine {
    lost_ms: u128,
}

#[derive(Serialize)]
struct HistoryLine<'a> {
    prefix: &'a str,
    after: Revision,
}
