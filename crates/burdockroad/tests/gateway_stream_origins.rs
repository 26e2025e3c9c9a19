//! Software versions of streams that callers take up.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use burdockroad::gateway::{StreamOrigins, UnsentOrigin, UnsentOrigins, VersionHistory, stream_holders};

const LIFETIME: Duration = Duration::from_secs(3);

/// Time for which a history remembers a version.
const MEMORY: Duration = Duration::from_mins(1);

#[test]
fn version_is_held_until_its_lifetime_ends() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record("c1".to_owned(), "v1".to_owned(), LIFETIME, now);
    origins.record("c2".to_owned(), "v2".to_owned(), LIFETIME * 2, now);
    assert_eq!(origins.version("c1", now).map(String::as_str), Some("v1"));
    assert_eq!(origins.version("c2", now).map(String::as_str), Some("v2"));
    assert_eq!(origins.version("c3", now), None);
    origins.evict_expired(now + LIFETIME);
    assert_eq!(origins.version("c1", now), None);
    assert_eq!(
        origins.version("c2", now + LIFETIME).map(String::as_str),
        Some("v2")
    );
}

#[test]
fn record_of_an_attempt_that_went_on_elsewhere_replaces_its_version() {
    let now = Instant::now();
    let mut origins = StreamOrigins::default();
    origins.record("c1".to_owned(), "v1".to_owned(), LIFETIME, now);
    origins.record("c1".to_owned(), "v2".to_owned(), LIFETIME, now);
    assert_eq!(origins.version("c1", now).map(String::as_str), Some("v2"));
}

#[test]
fn stream_holders_are_the_same_on_all_hosts_and_spread() {
    let hosts: Vec<String> = (0..6).map(|host| format!("host-{host}")).collect();
    let mut uses = vec![0; hosts.len()];
    for stream in 0..600 {
        let stream = format!("c{stream}");
        let holders = stream_holders(&stream, hosts.iter().cloned());
        let reversed = stream_holders(&stream, hosts.iter().rev().cloned());
        assert_eq!(holders, reversed);
        assert_eq!(holders.len(), 3);
        for holder in holders {
            let index = hosts.iter().position(|host| *host == holder);
            uses[index.expect("one of the hosts")] += 1;
        }
    }
    assert!(uses.iter().all(|uses| (200..400).contains(uses)), "{uses:?}");
}

#[test]
fn only_version_counts_versions_that_have_left_for_a_minute() {
    let now = Instant::now();
    let present = ["v2".to_owned(), "v2".to_owned()];
    let mut history = VersionHistory::default();
    let only = |history: &VersionHistory, now| history.only_version("engine", present.iter(), now);
    assert_eq!(only(&history, now).as_deref(), Some("v2"));
    history.record_departure("engine", "v2".to_owned(), now);
    history.record_departure("other", "v1".to_owned(), now);
    assert_eq!(only(&history, now).as_deref(), Some("v2"));
    history.record_departure("engine", "v1".to_owned(), now);
    assert_eq!(only(&history, now), None);
    assert_eq!(only(&history, now + MEMORY).as_deref(), Some("v2"));
    assert_eq!(history.only_version("engine", [].iter(), now), None);
    assert_eq!(history.only_version("unknown", [].iter(), now), None);
}

fn versions<const N: usize>(names: [&str; N]) -> BTreeSet<String> {
    names.map(str::to_owned).into()
}

/// Guards against a host that takes the version which it sees after its start for the only one.
#[test]
fn only_version_counts_recorded_versions_for_a_minute_after_they_were_read() {
    let now = Instant::now();
    let present = ["v2".to_owned()];
    let mut history = VersionHistory::default();
    history.set_recorded("engine", versions(["v1", "v2"]), now);
    let only = |history: &VersionHistory, now| history.only_version("engine", present.iter(), now);
    assert_eq!(only(&history, now), None);
    // A record that is read again does not extend the time.
    let later = now + MEMORY / 2;
    history.set_recorded("engine", versions(["v1", "v2"]), later);
    assert_eq!(only(&history, now + MEMORY).as_deref(), Some("v2"));
}

#[test]
fn record_update_adds_present_versions_and_drops_forgotten_ones() {
    let now = Instant::now();
    let present = ["v2".to_owned()];
    let mut history = VersionHistory::default();
    let update = |history: &VersionHistory, now| history.record_update("engine", present.iter(), now);
    assert_eq!(update(&history, now), Some(versions(["v2"])));
    history.set_recorded("engine", versions(["v1"]), now);
    assert_eq!(update(&history, now), Some(versions(["v1", "v2"])));
    history.set_recorded("engine", versions(["v1", "v2"]), now);
    assert_eq!(update(&history, now), None);
    assert_eq!(update(&history, now + MEMORY), Some(versions(["v2"])));
}

#[test]
fn record_update_without_endpoints_keeps_the_record() {
    let now = Instant::now();
    let mut history = VersionHistory::default();
    assert_eq!(history.record_update("engine", [].iter(), now), None);
    history.set_recorded("engine", versions(["v1"]), now);
    assert_eq!(history.record_update("engine", [].iter(), now + MEMORY), None);
}

#[test]
fn take_returns_unsent_streams_of_the_service_once_and_until_they_expire() {
    let now = Instant::now();
    let origin = |stream: &str, lifetime| UnsentOrigin {
        stream: stream.to_owned(),
        version: "v1".to_owned(),
        expires_at: now + lifetime,
    };
    let mut unsent = UnsentOrigins::default();
    unsent.record("engine", origin("c1", LIFETIME));
    unsent.record("engine", origin("c2", LIFETIME * 3));
    unsent.record("other", origin("c3", LIFETIME * 3));
    let taken = unsent.take("engine", now + LIFETIME);
    assert_eq!(taken, [origin("c2", LIFETIME * 3)]);
    assert_eq!(unsent.take("engine", now + LIFETIME), []);
    unsent.evict_expired(now + LIFETIME * 3);
    assert_eq!(unsent.take("other", now), []);
}
