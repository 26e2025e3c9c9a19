//! Tests of the rate limits, with times passed as arguments.

use std::time::Duration;

use tokio::time::Instant;

use crate::kv::meter::{CallKind, Meter};

/// Milliseconds since the start, kind, and whether the call is admitted.
type Call = (u64, CallKind, bool);

#[test]
fn admit_over_rate() {
    use CallKind::{Read, Write};
    // Number of open watches, then the calls.
    let cases: &[(u64, &[Call])] = &[
        (
            0,
            &[
                (0, Write, true),
                (0, Write, false),
                (999, Write, false),
                (1000, Write, true),
            ],
        ),
        (
            0,
            &[
                (0, Read, true),
                (0, Read, true),
                (0, Read, true),
                (0, Read, false),
                (0, Write, true),
            ],
        ),
        (
            2,
            &[
                (0, Read, true),
                (0, Read, false),
                (1500, Read, true),
                (2499, Read, false),
            ],
        ),
        (3, &[(0, Read, false), (0, Write, true)]),
    ];
    for (watches, calls) in cases {
        let start = Instant::now();
        let mut meter = Meter::new(3, 1, start);
        (0..*watches).for_each(|_| meter.watch_opened());
        for (at_ms, kind, expected) in *calls {
            let admitted = meter.admit(*kind, start + Duration::from_millis(*at_ms));
            assert_eq!(
                admitted.is_ok(),
                *expected,
                "{watches} watches, {calls:?}, at {at_ms}"
            );
        }
    }
}

#[test]
fn counts_peaks() {
    let start = Instant::now();
    let mut meter = Meter::new(10, 10, start);
    for at_ms in [0, 10, 20, 1500, 3000, 3001] {
        let admitted = meter.admit(CallKind::Write, start + Duration::from_millis(at_ms));
        assert_eq!(admitted, Ok(()));
    }
    meter.watch_opened();
    meter.watch_opened();
    meter.watches_closed(1);
    let counts = meter.counts();
    assert_eq!((counts.writes, counts.peak_writes_per_s), (6, 3));
    assert_eq!((counts.watches_waiting, counts.peak_watches_waiting), (1, 2));
}
