//! Standstills of a process, and the time of what it reads after them.

use std::time::{Duration, Instant};

use burdockroad::gateway::Standstills;

/// Interval at which a running process ticks.
const TICK: Duration = Duration::from_millis(100);

const SECOND: Duration = Duration::from_secs(1);

/// Returns the standstills of a process that has run for a second, its start and the time now.
fn running() -> (Standstills, Instant) {
    let start = Instant::now() + SECOND;
    let mut standstills = Standstills::new(start, Duration::ZERO);
    for number in 1..=10 {
        let after = TICK * number;
        assert_eq!(standstills.tick(start + after, after), None);
    }
    (standstills, start + SECOND)
}

#[test]
fn earliest_arrival_without_a_standstill_is_now() {
    let (standstills, now) = running();
    assert_eq!(standstills.earliest_arrival(now), now);
}

/// Guards against what waited during a standstill being dated when the process reads it.
#[test]
fn earliest_arrival_right_after_a_standstill_is_its_begin() {
    let (mut standstills, begun_at) = running();
    let woken = begun_at + 2 * SECOND;
    let standstill = standstills.tick(woken, 3 * SECOND).expect("a standstill");
    assert_eq!(standstill.lasted, 2 * SECOND);
    assert_eq!(standstill.uncounted, Duration::ZERO);
    assert_eq!(standstills.earliest_arrival(woken), begun_at);
    // The ticks after it change nothing for what is read with them.
    assert_eq!(standstills.tick(woken + TICK, 3 * SECOND + TICK), None);
    assert_eq!(standstills.earliest_arrival(woken + TICK), begun_at);
    let later = woken + SECOND;
    assert_eq!(standstills.earliest_arrival(later), later);
}

/// Guards against a suspended machine whose steady clock did not go on.
#[test]
fn tick_after_a_suspension_tells_what_the_steady_clock_has_not_counted() {
    let (mut standstills, suspended_at) = running();
    let woken = suspended_at + TICK;
    let standstill = standstills.tick(woken, 4 * SECOND + TICK).expect("a standstill");
    assert_eq!(standstill.uncounted, 3 * SECOND);
    let arrived_at = standstills.earliest_arrival(woken);
    assert_eq!(arrived_at + 3 * SECOND, suspended_at);
}

/// The time of day may be set back, which is no standstill.
#[test]
fn tick_after_the_time_of_day_was_set_back_is_none() {
    let (mut standstills, now) = running();
    assert_eq!(standstills.tick(now + TICK, Duration::ZERO), None);
    assert_eq!(standstills.earliest_arrival(now + TICK), now + TICK);
}
