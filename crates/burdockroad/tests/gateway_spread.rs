//! Choice of the hosts that watch the store, of the recipients of a report, and of the hosts that collect
//! reports.

use std::{collections::BTreeSet, time::Duration};

use burdockroad::gateway::{
    HostLocation, collector, collects_reports, join_reports, report_interval, report_targets, should_watch,
    split_reports, watchers,
};

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

#[test]
fn report_interval_bounds_the_reports_that_a_host_receives() {
    for hosts in [8_u32, 70, 171, 300, 2571] {
        let interval = report_interval(usize::try_from(hosts).expect("a small number"));
        let received_per_s = f64::from(hosts) / interval.as_secs_f64();
        assert!(
            received_per_s <= 481.0,
            "{received_per_s} reports at {hosts} hosts"
        );
    }
    assert_eq!(report_interval(70), Duration::from_millis(150));
}

#[test]
fn collector_alternates_between_two_live_hosts_of_the_domain() {
    let hosts = locations(5, 35);
    let first = collector("domain-2", &hosts, 1).expect("a collector");
    let second = collector("domain-2", &hosts, 2).expect("a collector");
    assert_ne!(first, second);
    assert_eq!(collector("domain-2", &hosts, 3).as_ref(), Some(&first));
    for host in [&first, &second] {
        let location = hosts.iter().find(|location| location.host == *host);
        assert_eq!(location.expect("a known host").failure_domain, "domain-2");
    }
    let without_first: Vec<HostLocation> = hosts
        .into_iter()
        .filter(|location| location.host != first)
        .collect();
    for rotation in 0..4 {
        assert_ne!(
            collector("domain-2", &without_first, rotation),
            Some(first.clone())
        );
    }
    assert_eq!(collector("domain-9", &without_first, 0), None);
}

/// Counts the datagrams that each host receives in one round of reports, in which every host sends one report.
fn datagrams_per_host(hosts: &[HostLocation], report_bytes: usize) -> usize {
    if !collects_reports(hosts.len()) {
        let received_per_report = hosts.len() - 1;
        return received_per_report;
    }
    let domains: BTreeSet<&str> = hosts
        .iter()
        .map(|location| location.failure_domain.as_str())
        .collect();
    let batches = domains.into_iter().map(|domain| {
        let in_domain = hosts.iter().filter(|location| location.failure_domain == domain);
        let reports: Vec<Vec<u8>> = in_domain.map(|_| vec![0; report_bytes]).collect();
        // Each of the two collectors sends its half of the reports.
        let (half, _) = join_reports(0, &reports[..reports.len().div_ceil(2)]);
        half.len() * 2
    });
    batches.sum()
}

#[test]
fn datagrams_of_a_round_of_reports_are_few_in_a_large_fleet() {
    assert_eq!(datagrams_per_host(&locations(3, 3), 250), 8);
    assert!(datagrams_per_host(&locations(5, 35), 250) <= 20);
    assert!(datagrams_per_host(&locations(5, 60), 250) <= 20);
}

#[test]
fn split_reports_returns_what_join_reports_joined() {
    let reports: Vec<Vec<u8>> = (0_u8..40).map(|number| vec![number; 300]).collect();
    let (batches, left_out) = join_reports(7, &reports);
    assert_eq!(left_out, 0);
    assert!(batches.len() > 1);
    let mut restored = Vec::new();
    for batch in &batches {
        assert_eq!(batch[0], 7);
        assert!(batch.len() <= 4000);
        restored.extend(split_reports(&batch[1..]).into_iter().map(<[u8]>::to_vec));
    }
    assert_eq!(restored, reports);
    let (none, left_out) = join_reports(7, &[vec![0; 5000]]);
    assert!(none.is_empty() && left_out == 1);
    // The rest of a damaged batch is ignored.
    assert_eq!(split_reports(&[1, 0, 9, 200, 0, 1]), [&[9][..]]);
}
