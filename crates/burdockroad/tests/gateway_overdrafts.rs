//! Model of claims of one overdraft: in every order of messages, lost responses and lost disks, at most one
//! process is granted it.

use std::{
    collections::{BTreeSet, HashSet},
    time::Instant,
};

use burdockroad::{
    Incarnation,
    gateway::{
        ClaimOutcome, ClaimReply, HostLocation, IndexedTurn, OverdraftDecision, Overdrafts, RegionMap, Turn,
        claim_account, claim_record, decide_claim, missing_replicas,
    },
};

const PROGRAM: &str = "program";

/// Number of processes that claim the overdraft. A process that was restarted counts as another one.
const PROCESSES: usize = 2;

/// Host with a disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DiskHost {
    /// Processes whose claims are on the disk.
    claims: BTreeSet<usize>,
    complete: bool,
    /// Processes that were claiming when the disk was lost.
    claiming_at_loss: BTreeSet<usize>,
}

/// Claim of one process at one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Sent,
    Stored { claims: BTreeSet<usize>, complete: bool },
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    hosts: Vec<DiskHost>,
    /// Claims by process and host.
    messages: Vec<Vec<Message>>,
}

struct Model {
    locations: Vec<HostLocation>,
    tolerated_losses: usize,
    /// Whether hosts list the claims before they store another one, which is wrong.
    lists_first: bool,
}

fn incarnation(process: usize) -> Incarnation {
    process as Incarnation + 100
}

fn record(process: usize) -> Turn {
    claim_record(PROGRAM, incarnation(process), 0)
}

fn indexed(process: usize) -> IndexedTurn {
    let turn = record(process);
    IndexedTurn {
        key: turn.key,
        root: turn.root,
        home_domain: turn.home_domain,
        allowed_regions: turn.allowed_regions,
    }
}

impl Model {
    fn new(hosts: usize, tolerated_losses: usize) -> Self {
        let locations = (0..hosts).map(|number| HostLocation {
            host: format!("h{number}"),
            failure_domain: format!("d{number}"),
        });
        Self {
            locations: locations.collect(),
            tolerated_losses,
            lists_first: false,
        }
    }

    fn start(&self) -> World {
        let host = DiskHost {
            claims: BTreeSet::new(),
            complete: true,
            claiming_at_loss: BTreeSet::new(),
        };
        World {
            hosts: vec![host; self.locations.len()],
            messages: vec![vec![Message::Sent; self.locations.len()]; PROCESSES],
        }
    }

    fn is_claiming(world: &World, process: usize) -> bool {
        world.messages[process].contains(&Message::Sent)
    }

    fn is_granted(&self, world: &World, process: usize) -> bool {
        let replies: Option<Vec<ClaimReply>> = world.messages[process].iter().map(reply).collect();
        replies.is_some_and(|replies| {
            let outcome = decide_claim(incarnation(process), &replies, self.tolerated_losses);
            outcome == ClaimOutcome::Granted
        })
    }

    /// Returns all states that one step leads to.
    fn steps(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for host in 0..self.locations.len() {
            for process in 0..PROCESSES {
                if world.messages[process][host] == Message::Sent {
                    next.push(self.store(world, process, host));
                    next.extend(self.lose_message(world, process, host));
                }
            }
            next.extend(self.lose_disk(world, host));
            next.extend(self.copy(world, host));
        }
        next
    }

    fn store(&self, world: &World, process: usize, host: usize) -> World {
        let mut world = world.clone();
        let before = world.hosts[host].claims.clone();
        world.hosts[host].claims.insert(process);
        let mut listed = world.hosts[host].claims.clone();
        if self.lists_first {
            listed = before;
            listed.insert(process);
        }
        world.messages[process][host] = Message::Stored {
            claims: listed,
            complete: world.hosts[host].complete,
        };
        world
    }

    /// Loses the claim, or the response to it.
    fn lose_message(&self, world: &World, process: usize, host: usize) -> [World; 2] {
        let mut lost = world.clone();
        lost.messages[process][host] = Message::Failed;
        let mut response_lost = self.store(world, process, host);
        response_lost.messages[process][host] = Message::Failed;
        [lost, response_lost]
    }

    /// Loses the disk of a host, if another loss is tolerated.
    fn lose_disk(&self, world: &World, host: usize) -> Option<World> {
        let lost_hosts = world.hosts.iter().filter(|host| !host.complete).count();
        if !world.hosts[host].complete || lost_hosts >= self.tolerated_losses {
            return None;
        }
        let mut world = world.clone();
        let claiming = (0..PROCESSES).filter(|process| Self::is_claiming(&world, *process));
        world.hosts[host] = DiskHost {
            claiming_at_loss: claiming.collect(),
            claims: BTreeSet::new(),
            complete: false,
        };
        Some(world)
    }

    /// Copies the claims that a host should store. This takes longer than the claims that were under way when
    /// its disk was lost.
    fn copy(&self, world: &World, host: usize) -> Option<World> {
        let lost = &world.hosts[host];
        let is_early = lost
            .claiming_at_loss
            .iter()
            .any(|process| Self::is_claiming(world, *process));
        if lost.complete || is_early {
            return None;
        }
        let mut world = world.clone();
        for process in 0..PROCESSES {
            let is_listed = world.hosts.iter().any(|other| other.claims.contains(&process));
            if is_listed && self.should_store(process, host) {
                world.hosts[host].claims.insert(process);
            }
        }
        world.hosts[host].complete = true;
        world.hosts[host].claiming_at_loss.clear();
        Some(world)
    }

    fn should_store(&self, process: usize, host: usize) -> bool {
        let listed = [indexed(process)];
        let missing = missing_replicas(
            &self.locations[host].host,
            &listed,
            self.tolerated_losses + 1,
            &self.locations,
            &RegionMap::default(),
            |_| false,
        );
        !missing.is_empty()
    }

    /// Visits all states. Returns the number of processes that are granted the overdraft at most, and the
    /// number of states.
    fn explore(&self) -> (usize, usize) {
        let start = self.start();
        let mut seen = HashSet::from([start.clone()]);
        let mut open = vec![start];
        let mut granted_max = 0;
        while let Some(world) = open.pop() {
            let granted = (0..PROCESSES).filter(|process| self.is_granted(&world, *process));
            granted_max = granted_max.max(granted.count());
            for next in self.steps(&world) {
                if seen.insert(next.clone()) {
                    open.push(next);
                }
            }
        }
        (granted_max, seen.len())
    }
}

/// Returns the reply to a claim; `None` while there is none.
fn reply(message: &Message) -> Option<ClaimReply> {
    match message {
        Message::Sent => None,
        Message::Stored { claims, complete } => Some(ClaimReply::Stored {
            claims: claims.iter().map(|process| record(*process).key.turn).collect(),
            complete: *complete,
        }),
        Message::Failed => Some(ClaimReply::Failed),
    }
}

#[test]
fn decide_claim_in_all_orders_grants_one_process() {
    for (hosts, tolerated_losses) in [(1, 0), (2, 0), (2, 1), (3, 1)] {
        let (granted_max, states) = Model::new(hosts, tolerated_losses).explore();
        assert_eq!(
            granted_max, 1,
            "{hosts} hosts, {tolerated_losses} losses, {states} states"
        );
    }
}

/// The model finds that both processes are granted the overdraft when hosts list claims too early.
#[test]
fn decide_claim_with_early_listing_grants_two_processes() {
    let mut model = Model::new(3, 1);
    model.lists_first = true;
    // The first claim at each host lists none, so only claims that overlap at all hosts are not told apart.
    let mut world = model.start();
    for host in 0..3 {
        let first = model.store(&world, 0, host);
        let second = model.store(&world, 1, host);
        world = first.clone();
        world.hosts[host].claims.insert(1);
        world.messages[1][host] = second.messages[1][host].clone();
    }
    assert!(model.is_granted(&world, 0) && model.is_granted(&world, 1));
}

#[test]
fn decide_claim_without_certainty_is_not_granted() {
    let stored = |claims: &[usize], complete| ClaimReply::Stored {
        claims: claims.iter().map(|process| record(*process).key.turn).collect(),
        complete,
    };
    let decide = |replies: &[ClaimReply], losses| decide_claim(incarnation(0), replies, losses);
    assert_eq!(decide(&[], 0), ClaimOutcome::Uncertain);
    assert_eq!(decide(&[stored(&[0], true)], 0), ClaimOutcome::Granted);
    assert_eq!(decide(&[stored(&[0], true)], 1), ClaimOutcome::Uncertain);
    assert_eq!(decide(&[stored(&[0], false)], 0), ClaimOutcome::Uncertain);
    assert_eq!(decide(&[stored(&[], true)], 0), ClaimOutcome::Uncertain);
    let one_failed = [stored(&[0], true), ClaimReply::Failed, stored(&[0], true)];
    assert_eq!(decide(&one_failed, 1), ClaimOutcome::Uncertain);
    let taken = [ClaimReply::Failed, stored(&[0, 1], false)];
    assert_eq!(decide(&taken, 1), ClaimOutcome::Taken);
}

#[test]
fn claim_records_of_two_processes_have_one_account_and_two_names() {
    assert_eq!(record(0).key.account, claim_account(PROGRAM));
    assert_eq!(record(0).key.account, record(1).key.account);
    assert_ne!(record(0).key, record(1).key);
    assert_ne!(claim_account("other"), claim_account(PROGRAM));
}

#[test]
fn begin_grants_no_more_tokens_than_the_largest_call() {
    let now = Instant::now();
    let program = PROGRAM.to_owned();
    let mut overdrafts = Overdrafts::default();
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Claim);
    // Another call of the program arrives while the claim has no outcome, and while a call uses the overdraft.
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Refused);
    overdrafts.end_claim(&program, ClaimOutcome::Granted);
    assert_eq!(overdrafts.begin(&program, 1, now), OverdraftDecision::Refused);
    overdrafts.end_call(&program, 60);
    assert_eq!(overdrafts.begin(&program, 41, now), OverdraftDecision::Refused);
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Refused);
    assert_eq!(overdrafts.begin(&program, 40, now), OverdraftDecision::Granted);
    overdrafts.end_call(&program, 0);
    assert_eq!(overdrafts.begin(&program, 40, now), OverdraftDecision::Granted);
}

#[test]
fn begin_after_a_claim_without_outcome_claims_again() {
    let now = Instant::now();
    let program = PROGRAM.to_owned();
    let mut overdrafts = Overdrafts::default();
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Claim);
    overdrafts.end_claim(&program, ClaimOutcome::Uncertain);
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Claim);
    overdrafts.end_claim(&program, ClaimOutcome::Taken);
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Refused);
}
