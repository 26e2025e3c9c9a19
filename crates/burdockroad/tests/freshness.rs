//! Freshness decisions in small fleets with network partitions and delayed responses.

use std::time::{Duration, Instant};

use burdockroad::{
    DocumentVersion, HostId,
    config::{Freshness, FreshnessLimits, FreshnessTracker},
};
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(250);

/// Time after which all decisions reflect a change of the network.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// A response in transit.
struct Response {
    arrives_at: Instant,
    host: usize,
    requested_at: Instant,
    version: DocumentVersion,
    from: Sender,
}

enum Sender {
    Store,
    Peer {
        host: usize,
        attestation_age: Option<Duration>,
    },
}

/// Simulated hosts and store.
struct Fleet {
    now: Instant,
    hosts: Vec<FreshnessTracker>,
    /// Times at which the store got a new version.
    writes: Vec<Instant>,
    responses: Vec<Response>,
}

impl Fleet {
    fn new(size: usize) -> Self {
        let names = (0..size).map(name);
        let mut hosts: Vec<_> = names
            .clone()
            .map(|name| FreshnessTracker::new(name, FreshnessLimits::default()))
            .collect();
        for host in &mut hosts {
            host.observe_list(names.clone());
        }
        let now = Instant::now() + Duration::from_secs(1_000);
        Self {
            now,
            hosts,
            writes: vec![now],
            responses: Vec::new(),
        }
    }

    /// Returns the newest version in the store at a given time.
    fn version_at(&self, moment: Instant) -> DocumentVersion {
        self.writes.iter().filter(|&&write| write <= moment).count() as u64
    }

    fn request_from_store(&mut self, host: usize, delay: Duration) {
        self.responses.push(Response {
            arrives_at: self.now + delay,
            host,
            requested_at: self.now,
            version: self.version_at(self.now),
            from: Sender::Store,
        });
    }

    fn request_from_peer(&mut self, host: usize, peer: usize, delay: Duration) {
        self.responses.push(Response {
            arrives_at: self.now + delay,
            host,
            requested_at: self.now,
            version: self.hosts[peer].version(),
            from: Sender::Peer {
                host: peer,
                attestation_age: self.hosts[peer].attestation_age(self.now),
            },
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, waiting) = self
            .responses
            .drain(..)
            .partition(|response| response.arrives_at <= now);
        self.responses = waiting;
        let due: Vec<Response> = due;
        for response in due {
            let host = &mut self.hosts[response.host];
            match response.from {
                Sender::Store => {
                    host.put_in_force(response.version);
                    host.confirm(response.version, response.requested_at);
                }
                Sender::Peer {
                    host: peer,
                    attestation_age,
                } => {
                    host.observe_peer(
                        &name(peer),
                        response.requested_at,
                        response.version,
                        attestation_age,
                    );
                }
            }
        }
    }

    /// Lets hosts fetch documents from the peers that they can reach.
    fn fetch(&mut self, reaches: impl Fn(usize, usize) -> bool) {
        for host in 0..self.hosts.len() {
            let peer = self.hosts[host].peer_to_fetch_from(self.now).cloned();
            let peer = peer.and_then(|peer| peer.parse().ok());
            if let Some(peer) = peer.filter(|&peer| reaches(host, peer)) {
                let version = self.hosts[peer].version();
                self.hosts[host].put_in_force(version);
            }
        }
    }

    fn decisions(&self) -> Vec<Freshness> {
        self.hosts.iter().map(|host| host.decide(self.now)).collect()
    }

    /// Runs the fleet without delays: the hosts of a group reach each other, and some hosts reach the
    /// store.
    fn run(&mut self, groups: &[usize], store_reached: &[bool], duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let size = self.hosts.len();
            for host in 0..size {
                if store_reached[host] {
                    self.request_from_store(host, Duration::ZERO);
                }
                for peer in (0..size).filter(|&peer| peer != host && groups[peer] == groups[host]) {
                    self.request_from_peer(host, peer, Duration::ZERO);
                }
            }
            self.deliver();
            self.fetch(|host, peer| groups[host] == groups[peer]);
            self.now += STEP;
        }
    }
}

fn name(host: usize) -> HostId {
    host.to_string()
}

/// A state of the network, and the decisions that hosts must reach after [`SETTLE_TIME`].
struct Case {
    groups: &'static [usize],
    store_reached: &'static [bool],
    expected: &'static [Freshness],
}

#[test]
fn decide_network_partitions() {
    use Freshness::{CutOff, Fresh, OutageForAll};
    let cases = [
        // A single host continues without the store.
        Case {
            groups: &[0],
            store_reached: &[false],
            expected: &[OutageForAll],
        },
        // The store is down for all hosts.
        Case {
            groups: &[0, 0, 0],
            store_reached: &[false, false, false],
            expected: &[OutageForAll, OutageForAll, OutageForAll],
        },
        // One host of the group reaches the store.
        Case {
            groups: &[0, 0, 0],
            store_reached: &[false, true, false],
            expected: &[Fresh, Fresh, Fresh],
        },
        // One host is partitioned from the others and from the store.
        Case {
            groups: &[0, 0, 1],
            store_reached: &[true, true, false],
            expected: &[Fresh, Fresh, CutOff],
        },
        // One host is partitioned from the others but reaches the store. The others cannot detect that
        // the store is down only for them.
        Case {
            groups: &[0, 0, 1],
            store_reached: &[false, false, true],
            expected: &[OutageForAll, OutageForAll, Fresh],
        },
        // Two halves without the store.
        Case {
            groups: &[0, 0, 1, 1],
            store_reached: &[false, false, false, false],
            expected: &[CutOff, CutOff, CutOff, CutOff],
        },
        // Two halves, one of which reaches the store through one host.
        Case {
            groups: &[0, 0, 1, 1],
            store_reached: &[true, false, false, false],
            expected: &[Fresh, Fresh, CutOff, CutOff],
        },
        // No host reaches any other.
        Case {
            groups: &[0, 1, 2],
            store_reached: &[false, true, false],
            expected: &[CutOff, Fresh, CutOff],
        },
    ];
    for case in cases {
        let size = case.groups.len();
        let mut fleet = Fleet::new(size);
        fleet.run(&vec![0; size], &vec![true; size], SETTLE_TIME);
        assert_eq!(fleet.decisions(), vec![Fresh; size]);
        fleet.run(case.groups, case.store_reached, SETTLE_TIME);
        assert_eq!(
            fleet.decisions(),
            case.expected,
            "{:?} {:?}",
            case.groups,
            case.store_reached
        );
        // After the network recovers, all hosts are fresh again.
        fleet.run(&vec![0; size], &vec![true; size], SETTLE_TIME);
        assert_eq!(fleet.decisions(), vec![Fresh; size]);
    }
}

#[test]
fn put_in_force_spreads_through_peers() {
    let mut fleet = Fleet::new(7);
    fleet.run(&[0; 7], &[true; 7], SETTLE_TIME);
    let store_reached = [false, false, false, true, false, false, false];
    fleet.writes.push(fleet.now);
    fleet.run(&[0; 7], &store_reached, Duration::from_secs(1));
    let versions: Vec<DocumentVersion> = fleet.hosts.iter().map(FreshnessTracker::version).collect();
    assert_eq!(versions, [2; 7]);
}

#[test]
fn put_in_force_after_restart() {
    let mut fleet = Fleet::new(3);
    fleet.run(&[0; 3], &[true; 3], SETTLE_TIME);
    fleet.run(&[0; 3], &[false; 3], SETTLE_TIME);
    let mut restarted = FreshnessTracker::new(name(2), FreshnessLimits::default());
    restarted.observe_list((0..3).map(name));
    fleet.hosts[2] = restarted;
    // No peer can confirm its version, and the host may have had a higher one before the restart, so it
    // does not fetch the document.
    fleet.run(&[0; 3], &[false; 3], SETTLE_TIME);
    assert_eq!(fleet.hosts[2].version(), 0);
    assert_eq!(fleet.hosts[2].decide(fleet.now), Freshness::CutOff);
    // One peer can confirm the version again.
    fleet.run(&[0; 3], &[true, false, false], Duration::from_secs(1));
    assert_eq!(fleet.hosts[2].version(), 1);
    assert_eq!(fleet.hosts[2].decide(fleet.now), Freshness::Fresh);
}

#[test]
fn confirm_late_response() {
    let now = Instant::now() + Duration::from_secs(1_000);
    let mut host = FreshnessTracker::new(name(0), FreshnessLimits::default());
    host.observe_list((0..2).map(name));
    host.put_in_force(3);
    // The store returns a version lower than the one in force at a peer.
    host.observe_peer(&name(1), now, 4, None);
    host.confirm(3, now);
    assert_eq!(host.decide(now), Freshness::CutOff);
    // A confirmation counts from the time of the request, no matter how late the response arrives.
    host.put_in_force(4);
    host.confirm(4, now);
    assert_eq!(host.decide(now + Duration::from_secs(3)), Freshness::Fresh);
    assert_eq!(host.decide(now + Duration::from_secs(4)), Freshness::CutOff);
}

#[test]
fn observe_peer_late_response() {
    let second = Duration::from_secs(1);
    let now = Instant::now() + 1_000 * second;
    let mut host = FreshnessTracker::new(name(0), FreshnessLimits::default());
    host.observe_list((0..3).map(name));
    host.put_in_force(3);
    host.observe_peer(&name(1), now, 3, None);
    assert_eq!(host.decide(now + second), Freshness::OutageForAll);
    // A response to an earlier request does not replace the newer one.
    host.observe_peer(&name(1), now.checked_sub(10 * second).unwrap_or(now), 2, None);
    assert_eq!(host.decide(now + second), Freshness::OutageForAll);
    // A peer with a lower version does not confirm this host's version, but shows that the store is not
    // down for all hosts.
    host.observe_peer(&name(2), now, 2, Some(second));
    assert_eq!(host.decide(now + second), Freshness::CutOff);
}

#[test]
fn observe_list_without_host() {
    let now = Instant::now() + Duration::from_secs(1_000);
    let mut host = FreshnessTracker::new(name(0), FreshnessLimits::default());
    host.put_in_force(1);
    assert_eq!(host.decide(now), Freshness::CutOff);
    host.observe_list([]);
    assert_eq!(host.decide(now), Freshness::CutOff);
    host.observe_list([name(1)]);
    host.observe_peer(&name(1), now, 1, None);
    assert_eq!(host.decide(now), Freshness::CutOff);
    host.observe_list([name(0), name(1)]);
    assert_eq!(host.decide(now), Freshness::OutageForAll);
}

/// Actions of one host in one step, with the delays of responses in steps.
#[derive(Clone, Debug)]
struct Step {
    host: usize,
    store_delay: Option<u32>,
    peer: Option<(usize, u32)>,
    fetches: bool,
    writes: bool,
}

fn any_step() -> impl Strategy<Value = Step> {
    let delay = prop_oneof![4 => Just(0), 1 => 1..40_u32];
    let store_delay = proptest::option::of(delay.clone());
    let peer = proptest::option::of((0..4_usize, delay));
    (0..4_usize, store_delay, peer, any::<bool>(), any::<u8>()).prop_map(
        |(host, store_delay, peer, fetches, chance)| Step {
            host,
            store_delay,
            peer,
            fetches,
            writes: chance < 16,
        },
    )
}

proptest! {
    /// A host that decides that its document is fresh has a version that was the newest one within the
    /// limit, no matter which responses are delayed or lost. Versions never decrease.
    #[test]
    fn decide_fresh_is_recent(steps in proptest::collection::vec(any_step(), 0..400)) {
        let mut fleet = Fleet::new(4);
        let limit = FreshnessLimits::default().confirmation_max_age;
        for step in steps {
            let before: Vec<_> = fleet.hosts.iter().map(FreshnessTracker::version).collect();
            if step.writes {
                fleet.writes.push(fleet.now);
            }
            if let Some(delay) = step.store_delay {
                fleet.request_from_store(step.host, STEP * delay);
            }
            if let Some((peer, delay)) = step.peer {
                fleet.request_from_peer(step.host, peer, STEP * delay);
            }
            fleet.deliver();
            if step.fetches {
                fleet.fetch(|_, _| true);
            }
            for (host, before) in fleet.hosts.iter().zip(before) {
                prop_assert!(host.version() >= before);
                let newest_then = fleet.now.checked_sub(limit).map_or(0, |then| fleet.version_at(then));
                let fresh = host.decide(fleet.now) == Freshness::Fresh;
                prop_assert!(!fresh || host.version() >= newest_then);
            }
            fleet.now += STEP / 2;
        }
    }
}
