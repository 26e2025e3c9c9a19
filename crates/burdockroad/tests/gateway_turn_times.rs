//! Tests of the decision whether a turn could be served in the time that its caller has left.

use std::time::{Duration, Instant};

use burdockroad::gateway::TurnTimes;

const SHORTEST: Duration = Duration::from_millis(300);

/// Records as many turns of a route as tell how fast turns are served.
fn record_turns(times: &mut TurnTimes, route: &str, now: Instant) {
    for number in 0..8 {
        times.record(route, SHORTEST + Duration::from_millis(number), now);
    }
}

#[test]
fn may_be_served_in_less_than_the_shortest_recent_time_is_false() {
    let now = Instant::now();
    let mut times = TurnTimes::default();
    record_turns(&mut times, "route", now);
    assert!(times.may_be_served_in("route", SHORTEST, now));
    assert!(!times.may_be_served_in("route", SHORTEST / 2, now));
    assert!(times.may_be_served_in("other", SHORTEST / 2, now));
    // One faster turn tells that more may follow.
    times.record("route", SHORTEST / 2, now);
    assert!(times.may_be_served_in("route", SHORTEST / 2, now));
}

#[test]
fn may_be_served_in_any_time_after_too_few_turns() {
    let now = Instant::now();
    let mut times = TurnTimes::default();
    times.record("route", SHORTEST, now);
    assert!(times.may_be_served_in("route", Duration::ZERO, now));
}

#[test]
fn may_be_served_in_any_time_when_the_last_turns_are_long_ago() {
    let start = Instant::now();
    let mut times = TurnTimes::default();
    record_turns(&mut times, "route", start);
    assert!(!times.may_be_served_in("route", Duration::ZERO, start + Duration::from_secs(19)));
    assert!(times.may_be_served_in("route", Duration::ZERO, start + Duration::from_secs(20)));
    // The times of a period before are forgotten while turns go on.
    for second in [11, 22] {
        times.record("route", 2 * SHORTEST, start + Duration::from_secs(second));
    }
    record_turns(&mut times, "route", start + Duration::from_secs(33));
    assert!(!times.may_be_served_in("route", SHORTEST / 2, start + Duration::from_secs(33)));
}
