//! Tests of endpoints whose entries are gone from the store, with and without outages of the store before.

use std::time::{Duration, Instant};

use burdockroad::gateway::{Departure, Departures, StoreOutage};
use proptest::prelude::*;

const HEARTBEAT: Duration = Duration::from_millis(1200);

/// Time after an outage within which the platform lets endpoints register again.
const REREGISTRATION: Duration = Duration::from_secs(2);

/// Table of a host with the time that has passed, in which the store responds every 100 ms while it is up.
struct Host {
    departures: Departures,
    now: Instant,
}

impl Host {
    fn new() -> Self {
        let mut host = Self {
            departures: Departures::new(HEARTBEAT),
            now: Instant::now(),
        };
        host.store_responds_for(Duration::from_secs(10));
        host
    }

    /// Lets time pass in which the store responds to this host or another one. Returns the outage that ended.
    fn store_responds_for(&mut self, duration: Duration) -> Option<StoreOutage> {
        let until = self.now + duration;
        let mut ended = None;
        while self.now < until {
            ended = ended.or(self.departures.record_store_response(self.now));
            self.now += Duration::from_millis(100);
        }
        ended.or(self.departures.record_store_response(self.now))
    }

    fn store_is_silent_for(&mut self, duration: Duration) {
        self.now += duration;
    }

    fn lose_entry(&mut self, id: &str) -> Departure {
        self.departures.record_missing(id, self.now)
    }

    fn departed(&mut self) -> Vec<String> {
        self.departures.take_departed(self.now)
    }
}

#[test]
fn record_missing_without_an_outage_is_a_departure() {
    let mut host = Host::new();
    assert_eq!(host.lose_entry("e"), Departure::Departed);
    assert!(!host.departures.is_held("e"));
}

/// Guards against a failed poll or a lost response that delays departures.
#[test]
fn record_missing_after_a_short_silence_is_a_departure() {
    let mut host = Host::new();
    for _ in 0..5 {
        host.store_is_silent_for(Duration::from_millis(1200));
        assert_eq!(host.store_responds_for(Duration::from_millis(200)), None);
        assert_eq!(host.lose_entry("e"), Departure::Departed);
    }
}

/// Guards against an outage without an end for hosts that do not poll the store themselves after it.
#[test]
fn record_missing_some_time_after_an_outage_is_a_departure() {
    let mut host = Host::new();
    host.store_is_silent_for(Duration::from_secs(4));
    let ended = host.store_responds_for(Duration::from_secs(3));
    assert_eq!(ended.map(|outage| outage.lasted), Some(Duration::from_secs(4)));
    assert_eq!(host.lose_entry("e"), Departure::Departed);
}

#[test]
fn endpoint_whose_entry_expired_during_an_outage_has_time_to_register_again() {
    let mut host = Host::new();
    host.store_is_silent_for(Duration::from_secs(4));
    host.store_responds_for(Duration::from_millis(100));
    assert!(matches!(host.lose_entry("back"), Departure::Held { .. }));
    assert!(matches!(host.lose_entry("gone"), Departure::Held { .. }));
    host.store_responds_for(REREGISTRATION);
    assert!(host.departed().is_empty());
    host.departures.record_registered("back");
    host.store_responds_for(Duration::from_millis(400));
    assert_eq!(host.departed(), ["gone"]);
    assert_eq!(host.departures.held_count(), 0);
}

#[test]
fn take_departed_returns_none_during_an_outage() {
    let mut host = Host::new();
    host.store_is_silent_for(Duration::from_secs(4));
    host.lose_entry("e");
    host.store_is_silent_for(Duration::from_mins(1));
    assert!(host.departed().is_empty());
    host.store_responds_for(Duration::from_secs(3));
    assert_eq!(host.departed(), ["e"]);
}

/// Guards against outages in succession that each give a departed endpoint the whole time again.
#[test]
fn endpoint_gets_no_more_time_by_further_outages() {
    let mut host = Host::new();
    host.store_is_silent_for(Duration::from_secs(4));
    host.store_responds_for(Duration::from_millis(100));
    host.lose_entry("e");
    for _ in 0..2 {
        host.store_responds_for(Duration::from_millis(1100));
        host.store_is_silent_for(Duration::from_secs(2));
        host.lose_entry("e");
    }
    host.store_responds_for(Duration::from_millis(200));
    assert_eq!(host.departed(), ["e"]);
}

/// Reports of other hosts arrive late and out of order.
#[test]
fn record_store_response_ignores_earlier_responses() {
    let mut host = Host::new();
    let earlier = host.now.checked_sub(Duration::from_secs(8)).expect("a time");
    assert_eq!(host.departures.record_store_response(earlier), None);
    host.store_is_silent_for(Duration::from_secs(1));
    assert_eq!(host.departures.record_store_response(host.now), None);
    assert_eq!(host.lose_entry("e"), Departure::Departed);
}

proptest! {
    /// Whatever silences came before, an entry that goes when the store has responded for a while tells of a departure
    /// at once, and one that went before departs in this time.
    #[test]
    fn departures_are_not_held_while_the_store_responds(
        silences_ms in prop::collection::vec((0_u64..6_000, 0_u64..3_000), 0..12),
    ) {
        let mut host = Host::new();
        for (number, (silent_ms, up_ms)) in silences_ms.into_iter().enumerate() {
            host.store_is_silent_for(Duration::from_millis(silent_ms));
            host.lose_entry(&format!("e{number}"));
            host.store_responds_for(Duration::from_millis(up_ms));
        }
        host.store_responds_for(REREGISTRATION + Duration::from_millis(500));
        host.departed();
        prop_assert_eq!(host.departures.held_count(), 0);
        prop_assert_eq!(host.lose_entry("last"), Departure::Departed);
    }
}
