//! Dissemination of store updates and reports among hosts.
//!
//! Load pattern: many hosts in several failure domains that need the same few ranges of the store and each
//! other's reports. Each request to the store and each byte between failure domains has a cost. Therefore
//! only a few hosts watch the store, and a report is sent only once to each other failure domain.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

use crate::{ids::HostId, ownership::rendezvous_order};

/// Number of hosts that watch the store; the others receive updates from them.
const WATCHER_COUNT: usize = 3;

/// Age of the last announcement of a range from which a host watches the range itself.
const ANNOUNCEMENT_AGE_MAX: Duration = Duration::from_millis(450);

/// Key of the rendezvous hash that ranks hosts as watchers.
const WATCH_RANK_KEY: &str = "watch";

/// Shortest interval between two reports of a host.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(150);

/// Reports that a host receives per second at most. The processor time that reports take therefore stays the
/// same when a fleet grows; the reports of each host come less often instead.
const RECEIVED_REPORTS_MAX_PER_S: u32 = 480;

/// Fleet size from which the reports of a failure domain are sent through collectors.
const COLLECTED_FLEET_MIN_HOSTS: usize = 80;

/// Number of hosts that collect the reports of a failure domain. With the loss of one of them, only every
/// second report is lost until it counts as unresponsive.
const COLLECTOR_COUNT: usize = 2;

/// Key of the rendezvous hash that ranks hosts as collectors.
const COLLECTOR_RANK_KEY: &str = "collector";

/// Host with its failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostLocation {
    /// Host id.
    pub host: HostId,
    /// Failure domain of the host.
    pub failure_domain: String,
}

/// Returns the interval between two reports of a host in a fleet of `hosts`.
pub fn report_interval(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
    let interval = Duration::from_secs(1) / RECEIVED_REPORTS_MAX_PER_S * hosts;
    interval.max(REPORT_INTERVAL_MIN)
}

/// Returns whether reports are sent through collectors in a fleet of `hosts`.
///
/// A collector sends the reports of its failure domain together, so a host receives a few datagrams in place
/// of one from every other host. A small fleet sends its reports directly, because they arrive sooner.
pub fn collects_reports(hosts: usize) -> bool {
    hosts >= COLLECTED_FLEET_MIN_HOSTS
}

/// Returns the host that collects a report in a failure domain, selected from the live hosts; `None` if none
/// of them is in the domain.
///
/// The caller increments `rotation` with each report, which alternates between the collectors.
pub fn collector(failure_domain: &str, live: &[HostLocation], rotation: usize) -> Option<HostId> {
    let in_domain = live
        .iter()
        .filter(|location| location.failure_domain == failure_domain);
    let mut ranked = rendezvous_order(
        COLLECTOR_RANK_KEY,
        in_domain.map(|location| location.host.clone()),
    );
    ranked.truncate(COLLECTOR_COUNT);
    let selected = rotation.checked_rem(ranked.len())?;
    Some(ranked.swap_remove(selected))
}

/// Returns the hosts that watch the store on behalf of all, selected from the live hosts.
///
/// They are in different failure domains if there are enough domains.
pub fn watchers(live: &[HostLocation]) -> Vec<HostId> {
    let domain_of: HashMap<&str, &str> = live
        .iter()
        .map(|location| (location.host.as_str(), location.failure_domain.as_str()))
        .collect();
    let ranked = rendezvous_order(WATCH_RANK_KEY, live.iter().map(|location| location.host.clone()));
    let mut domains = BTreeSet::new();
    let (mut first, rest): (Vec<HostId>, Vec<HostId>) = ranked.into_iter().partition(|host| {
        let domain = domain_of.get(host.as_str());
        domain.is_some_and(|domain| domains.insert(*domain))
    });
    first.extend(rest);
    first.truncate(WATCHER_COUNT);
    first
}

/// Returns whether a host should watch a range itself.
///
/// A host watches a range if it is one of the watchers, or if no host has announced within
/// `ANNOUNCEMENT_AGE_MAX` that it watches the range. A host misses the announcements if it is partitioned from
/// the watchers but receives reports from hosts that rely on the watchers.
///
/// `live` contains the live hosts, including this one. `announcement_age` is the time since any host last
/// announced that it watches the range; `None` if no host has.
pub fn should_watch(host: &HostId, live: &[HostLocation], announcement_age: Option<Duration>) -> bool {
    let is_announced = announcement_age.is_some_and(|age| age < ANNOUNCEMENT_AGE_MAX);
    !is_announced || watchers(live).contains(host)
}

/// Returns the hosts to which a report is sent: all hosts in the sender's failure domain, and one relay in each
/// other domain, which forwards the report within its domain.
///
/// The caller increments `rotation` with each report, which selects the next relay of each domain. An
/// unresponsive relay therefore loses only some of the reports.
pub fn report_targets(failure_domain: &str, others: &[HostLocation], rotation: usize) -> Vec<HostId> {
    let (local, remote): (Vec<&HostLocation>, Vec<&HostLocation>) = others
        .iter()
        .partition(|location| location.failure_domain == failure_domain);
    let mut targets: Vec<HostId> = local.into_iter().map(|location| location.host.clone()).collect();
    let domains: BTreeSet<&str> = remote
        .iter()
        .map(|location| location.failure_domain.as_str())
        .collect();
    for domain in domains {
        let domain_hosts: Vec<&&HostLocation> = remote
            .iter()
            .filter(|location| location.failure_domain == domain)
            .collect();
        if let Some(location) = domain_hosts.get(rotation % domain_hosts.len().max(1)) {
            targets.push(location.host.clone());
        }
    }
    targets
}
