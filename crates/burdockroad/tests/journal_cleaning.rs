//! Which segments a writer removes, and which trees it asks to write again.

use std::time::{Duration, Instant, SystemTime};

use burdockroad::{
    Record,
    journal::{Action, Durability, SEGMENT_MAX_BYTES, WriteReply, Writer, WriterOptions},
    ownership::Process,
    program::Event,
};

/// Segments above which the writer cleans.
const SEGMENTS_MAX: u64 = 4;

/// Name of a case, the records as root and kind, and the segments that are to be removed.
type Case = (
    &'static str,
    &'static [(&'static str, &'static str)],
    Option<(u64, u64)>,
);

fn writer(now: Instant) -> Writer {
    let options = WriterOptions {
        me: Process {
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

/// A record that a tree can be read from, one that builds on it, or its end.
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

/// Stores each record in a segment of its own, and returns what the writer asks for besides.
fn store(writer: &mut Writer, records: &[Record], now: Instant) -> Vec<Action> {
    let mut asked = Vec::new();
    for record in records {
        writer.append(std::slice::from_ref(record), Durability::Stored, 1, now);
        while let Some(actions) = Some(writer.poll(now)).filter(|actions| !actions.is_empty()) {
            for action in actions {
                match action {
                    Action::Write { .. } => writer.written(WriteReply::Done, now),
                    Action::Complete { result, .. } => assert_eq!(result, Ok(())),
                    other => asked.push(other),
                }
            }
        }
    }
    asked
}

#[test]
fn poll_removes_what_nothing_needs() {
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
            "no tree at all",
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
        let asked = store(&mut writer, &records, now);
        let expected: Vec<_> = expected
            .into_iter()
            .map(|(from, to)| Action::Remove { from, to })
            .collect();
        assert_eq!(asked, expected, "{case}");
    }
}

#[test]
fn poll_asks_for_snapshots() {
    let now = Instant::now();
    let mut writer = writer(now);
    let trees = ["a", "b", "c", "d", "e"].map(|root_id| record(root_id, "base"));
    let asked = store(&mut writer, &trees, now);
    let root_ids = vec!["a".to_owned(), "b".to_owned()];
    assert_eq!(asked, [Action::Snapshot { root_ids }]);
    // The trees are written again, and what they needed is removed.
    let asked = store(&mut writer, &[record("a", "base"), record("b", "base")], now);
    assert_eq!(asked, [Action::Remove { from: 1, to: 2 }]);
    writer.removed(true);
    assert_eq!(writer.poll(now), [Action::Remove { from: 2, to: 3 }]);
    // A removal that failed is tried again.
    writer.removed(false);
    assert_eq!(writer.poll(now), [Action::Remove { from: 2, to: 3 }]);
}
