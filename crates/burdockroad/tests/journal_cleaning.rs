//! Removal of segments, and requests for new snapshots.

use std::time::{Duration, Instant, SystemTime};

use burdockroad::{
    Record,
    journal::{Action, Durability, SEGMENT_MAX_BYTES, WriteReply, Writer, WriterOptions},
    ownership::Process,
    program::Event,
};

/// Number of segments above which the writer removes old ones.
const SEGMENTS_MAX: u64 = 4;

/// Name of the case, records as pairs of root and kind, and the range of segments to be removed.
type Case = (
    &'static str,
    &'static [(&'static str, &'static str)],
    Option<(u64, u64)>,
);

fn writer(now: Instant) -> Writer {
    let options = WriterOptions {
        owner: Process {
            host_id: "a".to_owned(),
            incarnation: 1,
        },
        failure_domain: "x".to_owned(),
        writer_id: 7,
        segment_max_bytes: SEGMENT_MAX_BYTES,
        writes_per_s: 1_000.0,
        writes_burst: 1_000.0,
        window_min: Duration::from_millis(1),
        window_max: Duration::from_millis(1),
        append_timeout: Duration::from_secs(1),
        queue_max_bytes: SEGMENT_MAX_BYTES,
        segments_max: SEGMENTS_MAX,
        stored_max_bytes: 100 * SEGMENT_MAX_BYTES,
    };
    Writer::new(options, now)
}

/// Creates a record of a kind: `base` starts a tree, `change` depends on earlier records, and `end`
/// removes the tree.
fn record(root_id: &str, kind: &str) -> Record {
    let event = match kind {
        "base" => Event::Created {
            program_id: root_id.to_owned(),
            account_id: "trust".to_owned(),
            parent_id: None,
            budget: None,
            created_at: SystemTime::UNIX_EPOCH,
        },
        "change" => Event::Released {
            program_id: root_id.to_owned(),
            endpoint_id: "e".to_owned(),
        },
        _ => Event::Dropped,
    };
    Record {
        root_id: root_id.to_owned(),
        sequence: 1,
        event,
    }
}

/// Stores each record in its own segment, and returns all other actions requested by the writer.
fn store(writer: &mut Writer, records: &[Record], now: Instant) -> Vec<Action> {
    let mut requested = Vec::new();
    for record in records {
        writer.append(std::slice::from_ref(record), Durability::Stored, 1, now);
        while let Some(actions) = Some(writer.poll(now)).filter(|actions| !actions.is_empty()) {
            for action in actions {
                match action {
                    Action::Write { .. } => writer.written(WriteReply::Done, now),
                    Action::Complete { result, .. } => assert_eq!(result, Ok(())),
                    other => requested.push(other),
                }
            }
        }
    }
    requested
}

#[test]
fn poll_removes_unneeded_segments() {
    let table: [Case; 5] = [
        (
            "few segments",
            &[("a", "base"), ("a", "base"), ("a", "base"), ("a", "base")],
            None,
        ),
        (
            "a newer base",
            &[
                ("a", "base"),
                ("a", "change"),
                ("a", "change"),
                ("a", "base"),
                ("a", "change"),
            ],
            Some((1, 4)),
        ),
        (
            "an older tree",
            &[
                ("a", "base"),
                ("b", "base"),
                ("a", "change"),
                ("a", "base"),
                ("b", "change"),
            ],
            Some((1, 2)),
        ),
        (
            "a dropped tree",
            &[
                ("a", "base"),
                ("b", "base"),
                ("b", "base"),
                ("a", "end"),
                ("b", "change"),
            ],
            Some((1, 3)),
        ),
        (
            "no tree left",
            &[
                ("a", "base"),
                ("a", "change"),
                ("a", "change"),
                ("a", "change"),
                ("a", "end"),
            ],
            Some((1, 5)),
        ),
    ];
    for (case, records, expected) in table {
        let now = Instant::now();
        let mut writer = writer(now);
        let records: Vec<_> = records
            .iter()
            .map(|(root_id, kind)| record(root_id, kind))
            .collect();
        let requested = store(&mut writer, &records, now);
        let expected: Vec<_> = expected
            .into_iter()
            .map(|(from, to)| Action::Remove { from, to })
            .collect();
        assert_eq!(requested, expected, "{case}");
    }
}

#[test]
fn poll_requests_snapshots() {
    let now = Instant::now();
    let mut writer = writer(now);
    let trees = ["a", "b", "c", "d", "e"].map(|root_id| record(root_id, "base"));
    let requested = store(&mut writer, &trees, now);
    let root_ids = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(requested, [Action::Snapshot { root_ids }]);
    // New snapshots of the trees are stored, and the segments that they needed are removed.
    let requested = store(&mut writer, &[record("a", "base"), record("b", "base")], now);
    assert_eq!(requested, [Action::Remove { from: 1, to: 2 }]);
    writer.removed(true);
    assert_eq!(writer.poll(now), [Action::Remove { from: 2, to: 3 }]);
    // A failed removal is retried.
    writer.removed(false);
    assert_eq!(writer.poll(now), [Action::Remove { from: 2, to: 3 }]);
}
