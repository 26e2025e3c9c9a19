//! Choice of the hosts that watch the store, and of the recipients of a report.

use std::{collections::BTreeSet, time::Duration};

use burdockroad::gateway::{HostLocation, report_targets, should_watch, watchers};

fn locations(domains: usize, per_domain: usize) -> Vec<HostLocation> {
    let hosts = (0..domains * per_domain).map(|index| HostLocation {
        host: format!("host-{index}"),
        failure_domain: format!("domain-{}", index % domains),
    });
    hosts.collect()
}

#[test]
fn watchers_are_in_different_domains() {
    let hosts = locations(4, 17);
    let selected = watchers(&hosts);
    let domains: BTreeSet<&str> = selected
        .iter()
        .filter_map(|host| hosts.iter().find(|location| location.host == *host))
        .map(|location| location.failure_domain.as_str())
        .collect();
    assert_eq!(selected.len(), 3);
    assert_eq!(domains.len(), 3);
}

#[test]
fn watchers_after_loss_keep_the_others() {
    let hosts = locations(3, 3);
    let before = watchers(&hosts);
    let remaining: Vec<HostLocation> = hosts
        .into_iter()
        .filter(|location| location.host != before[0])
        .collect();
    let after = watchers(&remaining);
    assert_eq!(after.len(), 3);
    assert!(after.contains(&before[1]) && after.contains(&before[2]));
}

#[test]
fn watchers_without_peers_contain_only_own_host() {
    let alone = locations(1, 1);
    assert_eq!(watchers(&alone), ["host-0"]);
}

/// Guards against a host without store updates: a host that is partitioned from the watchers, but receives
/// reports from hosts that rely on the watchers, must watch the range itself.
#[test]
fn should_watch_without_recent_announcement() {
    let live = locations(3, 3);
    let selected = watchers(&live);
    let other = live.iter().find(|location| !selected.contains(&location.host));
    let other = &other.expect("a host that is not a watcher").host;
    assert!(!should_watch(other, &live, Some(Duration::from_millis(150))));
    assert!(should_watch(other, &live, Some(Duration::from_secs(1))));
    assert!(should_watch(other, &live, None));
    assert!(should_watch(&selected[0], &live, Some(Duration::ZERO)));
}

#[test]
fn report_targets_has_one_host_per_remote_domain() {
    let others = locations(4, 17);
    let targets = report_targets("domain-0", &others, 5);
    assert_eq!(targets.len(), 17 + 3);
    let next = report_targets("domain-0", &others, 6);
    assert_ne!(targets[17..], next[17..]);
}
