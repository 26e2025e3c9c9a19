//! Detection of hosts that are cut from endpoints, and choice of the hosts that connect in their place.

use std::time::{Duration, Instant};

use burdockroad::gateway::{EndpointReach, RelayCandidate};

fn candidates<'a>(hosts: &'a [(String, &'static str)]) -> Vec<RelayCandidate<'a>> {
    let candidates = hosts
        .iter()
        .map(|(host, failure_domain)| RelayCandidate { host, failure_domain });
    candidates.collect()
}

fn hosts() -> Vec<(String, &'static str)> {
    [("h1", "a"), ("h2", "a"), ("h3", "b"), ("h4", "c")]
        .into_iter()
        .map(|(host, domain)| (host.to_owned(), domain))
        .collect()
}

#[test]
fn record_unreached_needs_three_endpoints() {
    let now = Instant::now();
    let mut reach = EndpointReach::default();
    for endpoint in ["e1", "e1", "e1", "e2"] {
        assert!(!reach.record_unreached(&endpoint.to_owned(), 9, now));
    }
    assert!(!reach.is_cut_off());
    assert!(reach.record_unreached(&"e3".to_owned(), 9, now));
    assert!(reach.is_cut_off());
    assert!(!reach.record_unreached(&"e4".to_owned(), 9, now));
}

#[test]
fn record_unreached_needs_all_of_few_endpoints() {
    let now = Instant::now();
    let mut reach = EndpointReach::default();
    assert!(!reach.record_unreached(&"e1".to_owned(), 2, now));
    assert!(reach.record_unreached(&"e2".to_owned(), 2, now));
}

#[test]
fn record_reached_forgets_earlier_failures() {
    let now = Instant::now();
    let mut reach = EndpointReach::default();
    reach.record_unreached(&"e1".to_owned(), 9, now);
    reach.record_unreached(&"e2".to_owned(), 9, now);
    assert_eq!(reach.record_reached(now), None);
    assert!(!reach.record_unreached(&"e3".to_owned(), 9, now));
    reach.record_unreached(&"e1".to_owned(), 9, now);
    assert!(reach.record_unreached(&"e2".to_owned(), 9, now));
    let later = now + Duration::from_secs(3);
    assert_eq!(reach.record_reached(later), Some(Duration::from_secs(3)));
    assert!(!reach.is_cut_off());
}

#[test]
fn choose_relay_prefers_own_failure_domain() {
    let reach = EndpointReach::default();
    let hosts = hosts();
    for seed in 0..20 {
        let relay = reach.choose_relay("a", &candidates(&hosts), seed);
        assert!(matches!(relay.as_deref(), Some("h1" | "h2")), "{relay:?}");
    }
}

#[test]
fn choose_relay_skips_hosts_that_are_cut_off() {
    let mut reach = EndpointReach::default();
    let hosts = hosts();
    for host in ["h1", "h2", "h4"] {
        reach.record_peer(&host.to_owned(), true);
    }
    for seed in 0..20 {
        let relay = reach.choose_relay("a", &candidates(&hosts), seed);
        assert_eq!(relay.as_deref(), Some("h3"));
    }
    reach.record_peer(&"h3".to_owned(), true);
    assert_eq!(reach.choose_relay("a", &candidates(&hosts), 0), None);
    reach.record_peer(&"h2".to_owned(), false);
    assert_eq!(
        reach.choose_relay("a", &candidates(&hosts), 0).as_deref(),
        Some("h2")
    );
}
