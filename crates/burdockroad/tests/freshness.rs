//! Whether documents may be relied on, in small fleets whose links are cut and whose answers are late.

use std::time::{Duration, Instant};

use burdockroad::{
    DocumentVersion, HostId,
    config::{Freshness, FreshnessLimits, FreshnessTracker},
};
use proptest::prelude::*;

const STEP: Duration = Duration::from_millis(250);

/// Time after which a state of the links must show in every decision.
const SETTLED: Duration = Duration::from_secs(6);

/// An answer under way.
struct Answer {
    arrives_at: Instant,
    host: usize,
    asked_at: Instant,
    version: DocumentVersion,
    from: From,
}

enum From {
    Store,
    Peer {
        host: usize,
        attestation_age: Option<Duration>,
    },
}

/// Hosts, and a store whose newest version is known at each moment.
struct Fleet {
    now: Instant,
    hosts: Vec<FreshnessTracker>,
    writes: Vec<Instant>,
    answers: Vec<Answer>,
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
            answers: Vec::new(),
        }
    }

    /// Newest version in the store at a moment.
    fn version_at(&self, moment: Instant) -> DocumentVersion {
        self.writes.iter().filter(|&&write| write <= moment).count() as u64
    }

    fn ask_store(&mut self, host: usize, delay: Duration) {
        self.answers.push(Answer {
            arrives_at: self.now + delay,
            host,
            asked_at: self.now,
            version: self.version_at(self.now),
            from: From::Store,
        });
    }

    fn ask_peer(&mut self, host: usize, peer: usize, delay: Duration) {
        self.answers.push(Answer {
            arrives_at: self.now + delay,
            host,
            asked_at: self.now,
            version: self.hosts[peer].version(),
            from: From::Peer {
                host: peer,
                attestation_age: self.hosts[peer].attestation_age(self.now),
            },
        });
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, waiting) = self
            .answers
            .drain(..)
            .partition(|answer| answer.arrives_at <= now);
        self.answers = waiting;
        let due: Vec<Answer> = due;
        for answer in due {
            let host = &mut self.hosts[answer.host];
            match answer.from {
                From::Store => {
                    host.put_in_force(answer.version);
                    host.confirm(answer.version, answer.asked_at);
                }
                From::Peer {
                    host: peer,
                    attestation_age,
                } => {
                    host.observe_peer(&name(peer), answer.asked_at, answer.version, attestation_age);
                }
            }
        }
    }

    /// Lets hosts fetch documents from peers that they reach.
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

    /// Runs with whole links: hosts of one group reach each other, and some reach the store.
    fn run(&mut self, groups: &[usize], store_reached: &[bool], duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            let size = self.hosts.len();
            for host in 0..size {
                if store_reached[host] {
                    self.ask_store(host, Duration::ZERO);
                }
                for peer in (0..size).filter(|&peer| peer != host && groups[peer] == groups[host]) {
                    self.ask_peer(host, peer, Duration::ZERO);
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

/// One state of the links, and what every host must decide once it has lasted.
struct Case {
    groups: &'static [usize],
    store_reached: &'static [bool],
    expected: &'static [Freshness],
}

#[test]
fn decide_links_cut() {
    use Freshness::{CutOff, Fresh, OutageForAll};
    let cases = [
        // A single host goes on without the store.
        Case {
            groups: &[0],
            store_reached: &[false],
            expected: &[OutageForAll],
        },
        // The store is down for all.
        Case {
            groups: &[0, 0, 0],
            store_reached: &[false, false, false],
            expected: &[OutageForAll, OutageForAll, OutageForAll],
        },
        // One host of the group still reaches the store.
        Case {
            groups: &[0, 0, 0],
            store_reached: &[false, true, false],
            expected: &[Fresh, Fresh, Fresh],
        },
        // One host is alone, without the store; the others have it.
        Case {
            groups: &[0, 0, 1],
            store_reached: &[true, true, false],
            expected: &[Fresh, Fresh, CutOff],
        },
        // One host is alone with the store; the others cannot know that it is down for them only.
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
        // Two halves, of which one reaches the store by one host.
        Case {
            groups: &[0, 0, 1, 1],
            store_reached: &[true, false, false, false],
            expected: &[Fresh, Fresh, CutOff, CutOff],
        },
        // No host hears any other.
        Case {
            groups: &[0, 1, 2],
            store_reached: &[false, true, false],
            expected: &[CutOff, Fresh, CutOff],
        },
    ];
    for case in cases {
        let size = case.groups.len();
        let mut fleet = Fleet::new(size);
        fleet.run(&vec![0; size], &vec![true; size], SETTLED);
        assert_eq!(fleet.decisions(), vec![Fresh; size]);
        fleet.run(case.groups, case.store_reached, SETTLED);
        assert_eq!(
            fleet.decisions(),
            case.expected,
            "{:?} {:?}",
            case.groups,
            case.store_reached
        );
        // When the links are whole again, all are fresh again.
        fleet.run(&vec![0; size], &vec![true; size], SETTLED);
        assert_eq!(fleet.decisions(), vec![Fresh; size]);
    }
}

#[test]
fn put_in_force_spreads_through_peers() {
    let mut fleet = Fleet::new(7);
    fleet.run(&[0; 7], &[true; 7], SETTLED);
    let store_reached = [false, false, false, true, false, false, false];
    fleet.writes.push(fleet.now);
    fleet.run(&[0; 7], &store_reached, Duration::from_secs(1));
    let versions: Vec<DocumentVersion> = fleet.hosts.iter().map(FreshnessTracker::version).collect();
    assert_eq!(versions, [2; 7]);
}

#[test]
fn put_in_force_after_restart() {
    let mut fleet = Fleet::new(3);
    fleet.run(&[0; 3], &[true; 3], SETTLED);
    fleet.run(&[0; 3], &[false; 3], SETTLED);
    let mut restarted = FreshnessTracker::new(name(2), FreshnessLimits::default());
    restarted.observe_list((0..3).map(name));
    fleet.hosts[2] = restarted;
    // No peer can confirm its version, so the host may have had a higher one: it waits.
    fleet.run(&[0; 3], &[false; 3], SETTLED);
    assert_eq!(fleet.hosts[2].version(), 0);
    assert_eq!(fleet.hosts[2].decide(fleet.now), Freshness::CutOff);
    // One peer confirms again.
    fleet.run(&[0; 3], &[true, false, false], Duration::from_secs(1));
    assert_eq!(fleet.hosts[2].version(), 1);
    assert_eq!(fleet.hosts[2].decide(fleet.now), Freshness::Fresh);
}

#[test]
fn confirm_old_answer() {
    let now = Instant::now() + Duration::from_secs(1_000);
    let mut host = FreshnessTracker::new(name(0), FreshnessLimits::default());
    host.observe_list((0..2).map(name));
    host.put_in_force(3);
    // The store's answer names a version below the one that a peer has.
    host.observe_peer(&name(1), now, 4, None);
    host.confirm(3, now);
    assert_eq!(host.decide(now), Freshness::CutOff);
    // A confirmation counts from the question, however late its answer arrives.
    host.put_in_force(4);
    host.confirm(4, now);
    assert_eq!(host.decide(now + Duration::from_secs(3)), Freshness::Fresh);
    assert_eq!(host.decide(now + Duration::from_secs(4)), Freshness::CutOff);
}

#[test]
fn observe_peer_late_answer() {
    let second = Duration::from_secs(1);
    let now = Instant::now() + 1_000 * second;
    let mut host = FreshnessTracker::new(name(0), FreshnessLimits::default());
    host.observe_list((0..3).map(name));
    host.put_in_force(3);
    host.observe_peer(&name(1), now, 3, None);
    assert_eq!(host.decide(now + second), Freshness::OutageForAll);
    // An answer to an earlier question does not hide the newer one.
    host.observe_peer(&name(1), now.checked_sub(10 * second).unwrap_or(now), 2, None);
    assert_eq!(host.decide(now + second), Freshness::OutageForAll);
    // A peer that lags confirms nothing here, but shows that the store is not down for all.
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

/// What one host does in one step, and how late the answers are, in steps.
#[derive(Clone, Debug)]
struct Move {
    host: usize,
    store_delay: Option<u32>,
    peer: Option<(usize, u32)>,
    fetches: bool,
    writes: bool,
}

fn any_move() -> impl Strategy<Value = Move> {
    let delay = prop_oneof![4 => Just(0), 1 => 1..40_u32];
    let store_delay = proptest::option::of(delay.clone());
    let peer = proptest::option::of((0..4_usize, delay));
    (0..4_usize, store_delay, peer, any::<bool>(), any::<u8>()).prop_map(
        |(host, store_delay, peer, fetches, chance)| Move {
            host,
            store_delay,
            peer,
            fetches,
            writes: chance < 16,
        },
    )
}

proptest! {
    /// A host that calls its document fresh has a version that was the newest one within the limit,
    /// whichever answers are late, old or lost; and no version ever goes down.
    #[test]
    fn decide_fresh_is_recent(moves in proptest::collection::vec(any_move(), 0..400)) {
        let mut fleet = Fleet::new(4);
        let limit = FreshnessLimits::default().confirmation_max_age;
        for one in moves {
            let before: Vec<_> = fleet.hosts.iter().map(FreshnessTracker::version).collect();
            if one.writes {
                fleet.writes.push(fleet.now);
            }
            if let Some(delay) = one.store_delay {
                fleet.ask_store(one.host, STEP * delay);
            }
            if let Some((peer, delay)) = one.peer {
                fleet.ask_peer(one.host, peer, STEP * delay);
            }
            fleet.deliver();
            if one.fetches {
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
