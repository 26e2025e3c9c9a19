//! What a host that watches a range passes on to one that does not.

use burdockroad_daemon::platform::Entry;
use burdockroad_gateway::{Change, RangeLog, RangeNews, RangeSnapshot};
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
fn news_after_before_the_range_was_read_is_none() {
    assert_eq!(RangeLog::default().news_after(0), None);
}

#[test]
fn news_after_gives_what_is_behind_and_nothing_twice() {
    let mut log = log_as_of_ten();
    log.extend(&[removed("a", 12), Change::Put(entry("c", 13))], 15);
    assert_eq!(log.changed_at(), 13);
    let news = log.news_after(12).expect("the range is known");
    let expected = RangeNews::Changes {
        changes: vec![Change::Put(entry("c", 13))],
        as_of: 15,
    };
    assert_eq!(news, expected);
}

/// A host that read the range before a key was removed has to learn of it, also when the watching host read
/// the range after that.
#[test]
fn news_after_for_a_host_behind_the_log_is_the_whole_range() {
    let mut log = log_as_of_ten();
    log.extend(&[removed("a", 12)], 12);
    let Some(RangeNews::Whole(snapshot)) = log.news_after(9) else {
        panic!("a host behind the log takes all of the range");
    };
    assert_eq!(snapshot.entries, [entry("b", 7)]);
    assert_eq!(snapshot.as_of, 12);
}

#[test]
fn extend_beyond_what_is_kept_gives_the_whole_range_to_hosts_far_behind() {
    let mut log = log_as_of_ten();
    let changes: Vec<Change> = (11..400)
        .map(|revision| Change::Put(entry("a", revision)))
        .collect();
    log.extend(&changes, 400);
    assert!(matches!(log.news_after(11), Some(RangeNews::Whole(_))));
    assert!(matches!(log.news_after(390), Some(RangeNews::Changes { .. })));
}
