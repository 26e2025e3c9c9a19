//! How what one host knows reaches all of them.
//!
//! Load pattern: many hosts in some failure domains that need the same few ranges of the store and each
//! other's reports, where every call to the store and every byte between failure domains is paid for. A few
//! hosts watch the store, and a report crosses to another failure domain once.

use std::{collections::BTreeSet, time::Duration};

use crate::{ids::HostId, ownership::rendezvous_order};

/// Hosts that watch the store; the others take what changes from them.
const WATCHERS: usize = 3;

/// Age of the last word of a host that watches from which a host watches for itself.
const TOLD_AGE_MAX: Duration = Duration::from_millis(450);

/// Name by which hosts are ranked for watching.
const WATCH_NAME: &str = "watch";

/// A host and where it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostLocation {
    /// The host.
    pub host: HostId,
    /// Its failure domain.
    pub failure_domain: String,
}

/// The hosts that watch the store for all, out of those that are heard of.
///
/// They stand in different failure domains as far as there are enough of these.
pub fn watchers(heard: &[HostLocation]) -> Vec<HostId> {
    let ranked = rendezvous_order(WATCH_NAME, heard.iter().map(|place| place.host.clone()));
    let mut domains = BTreeSet::new();
    let (mut first, rest): (Vec<HostId>, Vec<HostId>) = ranked.into_iter().partition(|host| {
        let place = heard.iter().find(|place| place.host == *host);
        place.is_some_and(|place| domains.insert(&place.failure_domain))
    });
    first.extend(rest);
    first.truncate(WATCHERS);
    first
}

/// Whether a host has to watch a range: it is one of those that watch for all, or none of them has told it of
/// late that it watches, as when it hears only hosts that leave watching to others.
///
/// `heard` are the hosts that are heard of, this one included; `told_age` is the time since a host told that
/// it watches, none when none did.
pub fn should_watch(host: &HostId, heard: &[HostLocation], told_age: Option<Duration>) -> bool {
    let is_told = told_age.is_some_and(|age| age < TOLD_AGE_MAX);
    !is_told || watchers(heard).contains(host)
}

/// The hosts that a report is sent to: all of the sender's failure domain, and one of each other, which
/// passes it on there. Turn after turn it is another one, so that a dead one costs few reports.
pub fn report_targets(failure_domain: &str, others: &[HostLocation], turn: usize) -> Vec<HostId> {
    let (near, far): (Vec<&HostLocation>, Vec<&HostLocation>) = others
        .iter()
        .partition(|place| place.failure_domain == failure_domain);
    let mut targets: Vec<HostId> = near.into_iter().map(|place| place.host.clone()).collect();
    let domains: BTreeSet<&str> = far.iter().map(|place| place.failure_domain.as_str()).collect();
    for domain in domains {
        let within: Vec<&&HostLocation> = far
            .iter()
            .filter(|place| place.failure_domain == domain)
            .collect();
        if let Some(place) = within.get(turn % within.len().max(1)) {
            targets.push(place.host.clone());
        }
    }
    targets
}
