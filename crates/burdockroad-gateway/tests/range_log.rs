//! Updates of a range that a watcher sends to other hosts.

use burdockroad_daemon::platform::Entry;
use burdockroad_gateway::{Change, RangeLog, RangeSnapshot, RangeUpdate};
use bytes::Bytes;

fn entry(key: &str, revision: i64) -> Entry {
    Entry {
        key: key.to_owned(),
        value: Bytes::from_static(b"value"),
        revision,
    }
}

fn removed(key: &str, revision: i64) -> Change {
    Change::Removed {
        key: key.to_owned(),
        revision,
    }
}

fn log_as_of_ten() -> RangeLog {
    let mut log = RangeLog::default();
    log.replace(&RangeSnapshot {
        entries: vec![entry("a", 3), entry("b", 7)],
        as_of: 10,
    });
    log
}

#[test]
fn changes_since_before_the_range_was_read_returns_none() {
    assert_eq!(RangeLog::default().changes_since(0), None);
}

#[test]
fn changes_since_returns_only_unseen_changes() {
    let mut log = log_as_of_ten();
    log.extend(&[removed("a", 12), Change::Put(entry("c", 13))], 15);
    assert_eq!(log.last_change(), 13);
    let update = log.changes_since(12).expect("the range was read");
    let expected = RangeUpdate::Changes {
        changes: vec![Change::Put(entry("c", 13))],
        as_of: 15,
    };
    assert_eq!(update, expected);
}

/// Guards against a link that is full of values which no host applies any more.
#[test]
fn changes_since_contains_only_the_newest_change_of_each_key() {
    let mut log = log_as_of_ten();
    let changes = [
        Change::Put(entry("large", 11)),
        removed("a", 12),
        Change::Put(entry("c", 13)),
        Change::Put(entry("large", 14)),
        Change::Put(entry("a", 15)),
        removed("c", 16),
    ];
    log.extend(&changes, 16);
    let expected = RangeUpdate::Changes {
        changes: changes[3..].to_vec(),
        as_of: 16,
    };
    assert_eq!(log.changes_since(10), Some(expected));
}

/// Guards against a host that keeps a removed key. A log contains only the changes after the watcher's own
/// read of the range, so a host that read the range earlier may have missed a removal that the log lacks.
#[test]
fn changes_since_before_the_start_of_the_log_returns_a_snapshot() {
    let mut log = log_as_of_ten();
    log.extend(&[removed("a", 12)], 12);
    let Some(RangeUpdate::Snapshot(snapshot)) = log.changes_since(9) else {
        panic!("expected a snapshot for a host that is behind the log");
    };
    assert_eq!(snapshot.entries, [entry("b", 7)]);
    assert_eq!(snapshot.as_of, 12);
}

#[test]
fn changes_since_before_the_retained_changes_returns_a_snapshot() {
    let mut log = log_as_of_ten();
    let changes: Vec<Change> = (11..400)
        .map(|revision| Change::Put(entry("a", revision)))
        .collect();
    log.extend(&changes, 400);
    assert!(matches!(log.changes_since(11), Some(RangeUpdate::Snapshot(_))));
    assert!(matches!(
        log.changes_since(390),
        Some(RangeUpdate::Changes { .. })
    ));
}

/// Guards against memory that grows with large values that a writer rewrites all the time.
#[test]
fn extend_keeps_recent_changes_up_to_a_size() {
    let mut log = log_as_of_ten();
    for revision in 11..=60 {
        let large = Entry {
            value: Bytes::from(vec![b'x'; 1 << 20]),
            ..entry("large", revision)
        };
        log.extend(&[Change::Put(large)], revision);
    }
    let is_kept = |after| matches!(log.changes_since(after), Some(RangeUpdate::Changes { .. }));
    assert!(is_kept(58), "the last changes are kept");
    assert!(!is_kept(50), "ten large changes are not kept");
    let Some(RangeUpdate::Snapshot(snapshot)) = log.changes_since(50) else {
        panic!("expected a snapshot for a host that is behind the log");
    };
    assert_eq!(snapshot.entries.len(), 3);
    assert_eq!(snapshot.as_of, 60);
}
