//! Software versions of streams that callers take up.

use std::time::{Duration, Instant};

use burdockroad::gateway::{StreamOrigins, VersionHistory, stream_holders};

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
