//! Tests of the decision that a host which stores turns is gone for good.

use std::{collections::HashMap, time::Duration};

use burdockroad::{
    HostId, Incarnation,
    gateway::{GoneHosts, GoneTestimony, HostLocation, RegionMap, SyncRound, all_agree},
};

const LONG: Duration = Duration::from_secs(10);

fn ids(names: &[&str]) -> Vec<HostId> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn record(hosts: &mut GoneHosts, reached: &[&str], silent: &[(&str, Duration)], is_new: bool) {
    let reached: Vec<(&str, Incarnation)> = reached.iter().map(|host| (*host, 1)).collect();
    record_runs(hosts, &reached, silent, is_new);
}

/// Records a round with the runs of the hosts that were reached.
fn record_runs(
    hosts: &mut GoneHosts,
    reached: &[(&str, Incarnation)],
    silent: &[(&str, Duration)],
    is_new: bool,
) {
    let reached = reached.iter().map(|(host, run)| ((*host).to_owned(), *run));
    let reached: Vec<(HostId, Incarnation)> = reached.collect();
    let silent: Vec<(HostId, Duration)> = silent
        .iter()
        .map(|(host, time)| ((*host).to_owned(), *time))
        .collect();
    let located = reached.iter().map(|(host, _)| host);
    let located = located.chain(silent.iter().map(|(host, _)| host));
    let locations: Vec<HostLocation> = located.map(|host| location(host)).collect();
    let writable = reached.iter().map(|(host, _)| location(host));
    let writable: Vec<HostLocation> = writable.chain([location("this")]).collect();
    let round = SyncRound {
        reached: &reached,
        silent: &silent,
        writable: &writable,
        locations: &locations,
        regions: &RegionMap::new(HashMap::from([
            ("far".to_owned(), "south".to_owned()),
            ("near".to_owned(), "north".to_owned()),
        ])),
    };
    hosts.record_round(round, 1, is_new);
}

/// Returns the location of a host; the names of those in another region begin with `far`.
fn location(host: &str) -> HostLocation {
    let failure_domain = if host.starts_with("far") { "far" } else { "near" };
    HostLocation {
        host: host.to_owned(),
        failure_domain: failure_domain.to_owned(),
    }
}

#[test]
fn gone_host_is_one_that_was_met_and_is_silent_for_long_while_enough_are_left() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["b", "c", "x"], &[], false);
    record(&mut hosts, &["b", "c"], &[("x", Duration::from_secs(1))], false);
    assert!(hosts.gone().is_empty());
    record(&mut hosts, &["b", "c"], &[("x", LONG)], false);
    assert_eq!(hosts.gone(), ids(&["x"]));
    // The host responds again.
    record(&mut hosts, &["b", "c", "x"], &[], false);
    assert!(hosts.gone().is_empty());
}

#[test]
fn gone_is_empty_without_a_successor() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["b", "x"], &[], false);
    record(&mut hosts, &["b"], &[("x", LONG)], false);
    assert!(hosts.gone().is_empty());
}

/// A host may have lost its disk, and the silent host the only other replica.
#[test]
fn gone_is_empty_at_a_host_that_restarted_and_never_met_the_silent_one() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["b", "c"], &[("x", LONG)], false);
    assert!(hosts.gone().is_empty());
    // A host that has never run before has lost nothing.
    record(&mut hosts, &["b", "c"], &[("x", LONG)], true);
    assert_eq!(hosts.gone(), ids(&["x"]));
}

#[test]
fn gone_is_empty_while_more_hosts_are_silent_than_may_be_lost() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["b", "c", "d", "x"], &[], false);
    record(
        &mut hosts,
        &["b", "c"],
        &[("x", LONG), ("d", Duration::ZERO)],
        false,
    );
    assert!(hosts.gone().is_empty());
    record(&mut hosts, &["b", "c"], &[("x", LONG), ("d", LONG)], false);
    assert!(hosts.gone().is_empty());
}

/// The host that restarted may have lost a turn whose only other replica the silent host has.
#[test]
fn gone_is_empty_when_another_host_restarted_since_the_silent_one_was_met() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["b", "c", "x"], &[], false);
    record_runs(&mut hosts, &[("b", 1), ("c", 2)], &[("x", LONG)], false);
    assert!(hosts.gone().is_empty());
    // All have read each other's turns since.
    record_runs(&mut hosts, &[("b", 1), ("c", 2), ("x", 1)], &[], false);
    record_runs(
        &mut hosts,
        &[("b", 1), ("c", 2), ("new", 1)],
        &[("x", LONG)],
        false,
    );
    assert_eq!(hosts.gone(), ids(&["x"]));
}

/// A turn that is bound to a region of two hosts may be durable on one of them while the other is lost.
#[test]
fn gone_is_empty_while_too_few_hosts_are_left_in_the_region() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["b", "c", "far1", "far2"], &[], false);
    record(&mut hosts, &["b", "c", "far2"], &[("far1", LONG)], false);
    assert!(hosts.gone().is_empty());
    let far_ones = ["far2", "far3", "far4"];
    record(&mut hosts, &["b", "far1", "far2", "far3"], &[], false);
    record(&mut hosts, &far_ones, &[("far1", LONG)], false);
    assert_eq!(hosts.gone(), ids(&["far1"]));
}

/// A turn may have been durable on one of two hosts while the other was lost, before others joined.
#[test]
fn gone_is_empty_when_too_few_hosts_were_there_with_the_silent_one() {
    let mut hosts = GoneHosts::default();
    record(&mut hosts, &["x"], &[], false);
    record(&mut hosts, &["new1", "new2"], &[("x", LONG)], false);
    assert!(hosts.gone().is_empty());
}

fn testimony(host: &str, met: &[(&str, Incarnation)]) -> (HostId, GoneTestimony) {
    let met = met.iter().map(|(host, run)| ((*host).to_owned(), *run));
    let testimony = GoneTestimony {
        gone: ids(&["x"]),
        met: met.collect(),
    };
    (host.to_owned(), testimony)
}

#[test]
fn all_agree_of_hosts_that_met_the_same_run_and_a_new_one() {
    let gone = "x".to_owned();
    let b = testimony("b", &[("c", 1), ("x", 1)]);
    let c = testimony("c", &[("b", 1), ("x", 1)]);
    let new = testimony("new", &[]);
    assert!(all_agree(&gone, &[b.clone(), c.clone(), new.clone()]));
    // One did not notice that the host was back meanwhile.
    let later = testimony("c", &[("b", 1), ("x", 2)]);
    assert!(!all_agree(&gone, &[b.clone(), later, new.clone()]));
    // The new host may not have copied what the gone one had.
    let met_both = testimony("c", &[("b", 1), ("new", 1), ("x", 1)]);
    assert!(!all_agree(&gone, &[b, met_both, new]));
}

#[test]
fn all_agree_is_false_when_one_misses_turns() {
    let gone = "x".to_owned();
    let b = testimony("b", &[("c", 1), ("x", 1)]);
    let c = ("c".to_owned(), GoneTestimony::default());
    assert!(!all_agree(&gone, &[b, c]));
}

/// Otherwise nobody has read the turns of the silent host.
#[test]
fn all_agree_is_false_when_no_host_has_met_the_silent_one() {
    let gone = "x".to_owned();
    let testimonies = ["new1", "new2", "new3"].map(|host| testimony(host, &[]));
    assert!(!all_agree(&gone, &testimonies));
}
