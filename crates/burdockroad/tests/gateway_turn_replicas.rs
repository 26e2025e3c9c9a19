//! Replicas of turns: which hosts store them, replication, lookups and the health of these hosts.

#[path = "gateway_turns/turns.rs"]
mod turns;

use std::time::{Duration, Instant};

use burdockroad::gateway::{
    HostLocation, IndexedTurn, Lookup, LookupOutcome, LookupReply, RegionMap, Replication,
    ReplicationProgress, TurnHostHealth, is_replica, missing_replicas, replica_order,
};

use self::turns::{key, turn};

fn hosts(domains: &[&str]) -> Vec<HostLocation> {
    let hosts = domains.iter().enumerate().map(|(number, domain)| HostLocation {
        host: format!("h{number}"),
        failure_domain: (*domain).to_owned(),
    });
    hosts.collect()
}

#[test]
fn replica_order_starts_at_home_and_spreads_over_failure_domains() {
    let hosts = hosts(&["a", "a", "b", "b", "c", "c"]);
    for root in ["r1", "r2", "r3", "r4", "r5"] {
        let order = replica_order(root, "b", &hosts);
        let domain = |host: &str| {
            let host = hosts.iter().find(|other| other.host == host);
            host.expect("a known host").failure_domain.clone()
        };
        assert_eq!(order.len(), 6);
        assert_eq!(domain(&order[0]), "b");
        let mut first_three: Vec<String> = order[..3].iter().map(|host| domain(host)).collect();
        first_three.sort();
        assert_eq!(first_three, ["a", "b", "c"]);
    }
}

fn replicate(hosts: &[HostLocation], tolerated_losses: usize) -> Replication {
    let health = TurnHostHealth::default();
    Replication::new(&turn("1", None, b"", b""), hosts, tolerated_losses, &health)
}

#[test]
fn replication_with_a_failed_host_uses_the_next_host_first() {
    let mut replication = replicate(&hosts(&["a", "b", "c"]), 1);
    let first = replication.next_host().expect("a host");
    assert!(replication.next_host().is_some());
    assert!(replication.next_host().is_none());
    replication.record_failed(first.clone(), false);
    let third = replication.next_host().expect("a host");
    assert_ne!(third, first);
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_failed(third, true);
    assert_eq!(replication.next_host(), Some(first));
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Durable);
    assert_eq!(replication.replicas(), 2);
}

#[test]
fn replication_that_takes_too_long_uses_a_further_host() {
    let mut replication = replicate(&hosts(&["a", "b", "c"]), 1);
    while replication.next_host().is_some() {}
    assert!(replication.next_extra_host().is_some());
    assert!(replication.next_extra_host().is_none());
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Durable);
}

#[test]
fn replication_with_more_lost_hosts_than_tolerated_tries_them_again() {
    let mut replication = replicate(&hosts(&["a", "b", "c"]), 1);
    let first = replication.next_host().expect("a host");
    let second = replication.next_host().expect("a host");
    replication.record_failed(first, true);
    assert!(replication.next_host().is_some());
    replication.record_stored();
    assert!(
        replication.next_lost_host().is_none(),
        "the second may still store it"
    );
    replication.record_failed(second.clone(), true);
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    let retried = replication.next_lost_host().expect("a host");
    assert!(replication.next_lost_host().is_none());
    let other = replication.next_extra_lost_host().expect("a host");
    assert_ne!(retried, other);
    replication.record_late_failed(retried, true);
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_late_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Durable);
    assert_eq!(replicate(&[], 1).progress(), ReplicationProgress::Failed);
}

#[test]
fn replication_to_silent_hosts_only_waits_for_their_responses() {
    let mut replication = replicate(&hosts(&["a", "b", "c"]), 1);
    for _ in 0..3 {
        assert!(replication.next_extra_host().is_some());
        replication.record_silent();
    }
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_late_stored();
    replication.record_late_failed("h0".to_owned(), true);
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_late_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Durable);
    let mut none_responds = replicate(&hosts(&["a"]), 1);
    assert!(none_responds.next_host().is_some());
    none_responds.record_silent();
    none_responds.record_late_failed("h0".to_owned(), true);
    assert_eq!(none_responds.progress(), ReplicationProgress::Pending);
    assert!(none_responds.next_lost_host().is_some());
    none_responds.record_late_stored();
    assert_eq!(none_responds.progress(), ReplicationProgress::Durable);
}

#[test]
fn replication_needs_one_replica_less_for_each_silent_host_whose_disk_is_lost() {
    let mut replication = replicate(&hosts(&["a", "b"]), 1);
    while replication.next_host().is_some() {}
    replication.record_silent();
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::DurableIfDisksLost);
}

#[test]
fn replication_needs_one_replica_less_for_each_lost_host_whose_disk_is_lost() {
    let mut replication = replicate(&hosts(&["a", "b", "c"]), 2);
    let lost: Vec<_> = std::iter::from_fn(|| replication.next_host()).take(2).collect();
    assert!(replication.next_host().is_some());
    for host in lost {
        replication.record_failed(host, true);
    }
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::DurableIfDisksLost);
}

/// After hosts were removed by the operator, fewer may be left than should store a turn.
#[test]
fn replication_to_fewer_hosts_than_should_store_a_turn_uses_all_of_them() {
    let mut replication = replicate(&hosts(&["a", "b"]), 2);
    while replication.next_host().is_some() {}
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Durable);
}

#[test]
fn replication_does_not_wait_for_hosts_that_are_known_to_be_lost() {
    let now = Instant::now();
    let hosts = hosts(&["a", "b", "c"]);
    let order = replica_order("root", "a", &hosts);
    let mut health = TurnHostHealth::default();
    health.record_failure(&order[0], now);
    health.record_failure(&order[0], now + Duration::from_secs(1));
    health.record_failure(&order[1], now);
    let ended = turn("1", None, b"", b"");
    let mut replication = Replication::new(&ended, &hosts, 2, &health);
    let sent: Vec<_> = std::iter::from_fn(|| replication.next_host()).collect();
    assert_eq!(sent, [order[2].clone(), order[1].clone()]);
    replication.record_stored();
    replication.record_stored();
    assert_eq!(replication.progress(), ReplicationProgress::DurableIfDisksLost);
}

/// A turn whose hosts all seemed lost when it ended was given up without being sent to any of them.
#[test]
fn replication_that_begins_while_all_hosts_seem_lost_tries_them() {
    let now = Instant::now();
    let hosts = hosts(&["a", "b", "c"]);
    let mut health = TurnHostHealth::default();
    for host in &hosts {
        health.record_failure(&host.host, now);
        health.record_failure(&host.host, now + Duration::from_secs(1));
    }
    let ended = turn("1", None, b"", b"");
    let mut replication = Replication::new(&ended, &hosts, 1, &health);
    assert!(replication.next_host().is_none());
    let sent = std::iter::from_fn(|| replication.next_lost_host()).count();
    assert_eq!(sent, 2);
    assert_eq!(replication.progress(), ReplicationProgress::Pending);
    replication.record_late_stored();
    replication.record_late_stored();
    assert_eq!(replication.progress(), ReplicationProgress::Durable);
}

#[test]
fn failing_host_is_probed_until_it_responds_and_lost_after_half_a_second() {
    let now = Instant::now();
    let later = |after_ms: u64| now + Duration::from_millis(after_ms);
    let host = "h".to_owned();
    let mut health = TurnHostHealth::default();
    health.record_failure(&host, now);
    health.record_failure(&host, later(490));
    assert!(health.is_failing(&host) && !health.is_lost(&host));
    assert!(health.take_due_probes(later(499)).is_empty());
    assert_eq!(health.take_due_probes(later(500)), std::slice::from_ref(&host));
    assert!(health.take_due_probes(later(999)).is_empty());
    assert_eq!(health.take_due_probes(later(1000)), std::slice::from_ref(&host));
    health.record_failure(&host, later(1000));
    assert!(health.is_lost(&host));
    health.record_response(&host, later(1000));
    assert!(!health.is_failing(&host) && !health.is_lost(&host));
}

/// A call that was only slow made a host fail, though it answered others.
#[test]
fn host_that_responded_since_a_call_was_sent_is_slow_and_not_failing() {
    let now = Instant::now();
    let later = |after_ms: u64| now + Duration::from_millis(after_ms);
    let host = "h".to_owned();
    let mut health = TurnHostHealth::default();
    health.record_silence(&host, now, later(80));
    assert!(health.is_failing(&host));
    health.record_response(&host, later(90));
    health.record_response(&host, later(590));
    health.record_silence(&host, later(500), later(600));
    assert!(!health.is_failing(&host));
    health.record_silence(&host, later(500), later(700));
    assert!(health.is_failing(&host), "silent since its last response");
    health.record_silence(&host, later(500), later(1200));
    assert!(health.is_lost(&host));
}

#[test]
fn lookup_is_nonexistent_only_after_all_hosts_said_so() {
    use LookupReply::{Absent, Found, Incomplete, NoReply};

    let hosts = hosts(&["a", "b"]);
    let outcome = |replies: &[LookupReply]| {
        let mut lookup = Lookup::new(&key("1"), "a", &hosts, &TurnHostHealth::default());
        for reply in replies {
            assert!(lookup.next_host().is_some());
            lookup.record(*reply);
        }
        assert!(lookup.next_host().is_none());
        lookup.outcome()
    };
    assert_eq!(outcome(&[Found]), LookupOutcome::Found);
    assert_eq!(outcome(&[Absent, Absent]), LookupOutcome::Nonexistent);
    assert_eq!(outcome(&[Absent, Found]), LookupOutcome::Found);
    assert_eq!(outcome(&[NoReply, Absent]), LookupOutcome::Uncertain);
    assert_eq!(outcome(&[Absent, Incomplete]), LookupOutcome::Uncertain);
    let mut health = TurnHostHealth::default();
    let unknown_hosts = Lookup::new(&key("1"), "a", &[], &health);
    assert_eq!(unknown_hosts.outcome(), LookupOutcome::Uncertain);
    let now = Instant::now();
    health.record_failure(&hosts[0].host, now);
    health.record_failure(&hosts[0].host, now + Duration::from_secs(1));
    let mut with_lost_host = Lookup::new(&key("1"), "a", &hosts, &health);
    assert_eq!(with_lost_host.next_host(), Some(hosts[1].host.clone()));
    with_lost_host.record(Absent);
    assert!(with_lost_host.next_host().is_none());
    assert_eq!(with_lost_host.outcome(), LookupOutcome::Uncertain);
}

#[test]
fn missing_replicas_are_those_that_the_host_should_store_but_does_not() {
    let hosts = hosts(&["a", "b", "c"]);
    let listed: Vec<IndexedTurn> = (0..40)
        .map(|number| IndexedTurn {
            key: key(&number.to_string()),
            root: number.to_string(),
            home_domain: "a".to_owned(),
            allowed_regions: None,
            stored_until_unix_ms: 0,
        })
        .collect();
    let host = "h1".to_owned();
    let missing = missing_replicas(&host, &listed, 2, &hosts, &RegionMap::default(), |turn| {
        turn.key.turn.ends_with('0')
    });
    for turn in &listed {
        let expected = is_replica(&host, turn, 2, &hosts) && !turn.key.turn.ends_with('0');
        assert_eq!(missing.contains(&&turn.key), expected);
    }
    assert!(!missing.is_empty() && missing.len() < 36);
}
