//! Which hosts watch the store, and which a report is sent to.

use std::{collections::BTreeSet, time::Duration};

use burdockroad::gateway::{HostLocation, should_watch, report_targets, watchers};

fn places(domains: usize, each: usize) -> Vec<HostLocation> {
    let hosts = (0..domains * each).map(|index| HostLocation {
        host: format!("host-{index}"),
        failure_domain: format!("domain-{}", index % domains),
    });
    hosts.collect()
}

#[test]
fn watchers_are_few_and_in_different_domains() {
    let hosts = places(4, 17);
    let chosen = watchers(&hosts);
    let domains: BTreeSet<&str> = chosen
        .iter()
        .filter_map(|host| hosts.iter().find(|place| place.host == *host))
        .map(|place| place.failure_domain.as_str())
        .collect();
    assert_eq!(chosen.len(), 3);
    assert_eq!(domains.len(), 3);
}

#[test]
fn watchers_without_one_that_is_lost_keep_the_others() {
    let hosts = places(3, 3);
    let before = watchers(&hosts);
    let left: Vec<HostLocation> = hosts
        .into_iter()
        .filter(|place| place.host != before[0])
        .collect();
    let after = watchers(&left);
    assert_eq!(after.len(), 3);
    assert!(after.contains(&before[1]) && after.contains(&before[2]));
}

#[test]
fn watchers_of_a_host_that_hears_nobody_are_itself() {
    let alone = places(1, 1);
    assert_eq!(watchers(&alone), ["host-0"]);
}

/// A host that is cut from those that watch, but hears others which leave watching to them.
#[test]
fn has_to_watch_when_no_host_tells_that_it_watches() {
    let heard = places(3, 3);
    let chosen = watchers(&heard);
    let other = heard.iter().find(|place| !chosen.contains(&place.host));
    let other = &other.expect("some hosts do not watch").host;
    assert!(!should_watch(other, &heard, Some(Duration::from_millis(150))));
    assert!(should_watch(other, &heard, Some(Duration::from_secs(1))));
    assert!(should_watch(other, &heard, None));
    assert!(should_watch(&chosen[0], &heard, Some(Duration::ZERO)));
}

#[test]
fn report_targets_reach_each_other_domain_through_one_host() {
    let others = places(4, 17);
    let targets = report_targets("domain-0", &others, 5);
    assert_eq!(targets.len(), 17 + 3);
    let next = report_targets("domain-0", &others, 6);
    assert_ne!(targets[17..], next[17..]);
}
