//! Model of claims of one overdraft: in every order of messages, lost responses and lost disks, at most one
//! process is granted it.

use std::{collections::HashSet, time::Instant};

use burdockroad::{
    Incarnation,
    gateway::{
        ClaimOutcome, ClaimReply, HostLocation, IndexedTurn, OverdraftDecision, Overdrafts, RegionMap, Turn,
        TurnId, claim_account, claim_record, decide_claim, missing_replicas,
    },
};

const PROGRAM: &str = "program";

/// Number of processes that claim the overdraft. A process that was restarted counts as another one.
const PROCESSES: usize = 2;

/// Set of processes; the bit of a process is set if it is in the set.
type ProcessSet = u8;

/// Host with a disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct DiskHost {
    /// Processes whose claims are on the disk.
    claims: ProcessSet,
    complete: bool,
    /// Processes that were claiming when the disk was lost.
    claiming_at_loss: ProcessSet,
}

/// Claim of one process at one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Message {
    Unsent,
    Sent,
    Stored { claims: ProcessSet, complete: bool },
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
    /// Processes whose claims each host should store.
    should_store: Vec<ProcessSet>,
    /// Whether hosts that lost their disks copy claims before they are complete.
    copies: bool,
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
        stored_until_unix_ms: 0,
    }
}

impl Model {
    fn new(hosts: usize, tolerated_losses: usize) -> Self {
        let locations = (0..hosts).map(|number| HostLocation {
            host: format!("h{number}"),
            failure_domain: format!("d{number}"),
        });
        let locations: Vec<HostLocation> = locations.collect();
        let should_store = locations
            .iter()
            .map(|host| claims_to_store(host, &locations, tolerated_losses));
        Self {
            should_store: should_store.collect(),
            locations,
            tolerated_losses,
            copies: true,
        }
    }

    fn start(&self) -> World {
        let host = DiskHost {
            claims: 0,
            complete: true,
            claiming_at_loss: 0,
        };
        World {
            hosts: vec![host; self.locations.len()],
            messages: vec![vec![Message::Unsent; self.locations.len()]; PROCESSES],
        }
    }

    fn is_granted(&self, world: &World, process: usize) -> bool {
        if world.messages[process]
            .iter()
            .any(|message| matches!(message, Message::Unsent | Message::Sent))
        {
            return false;
        }
        let replies: Option<Vec<ClaimReply>> = world.messages[process].iter().map(reply).collect();
        replies.is_some_and(|replies| {
            let outcome = decide_claim(incarnation(process), &replies, self.tolerated_losses);
            outcome == ClaimOutcome::Granted
        })
    }

    /// Returns all states that one step leads to.
    fn steps(&self, world: &World) -> Vec<World> {
        let mut next: Vec<World> = (0..PROCESSES)
            .filter_map(|process| self.send(world, process))
            .collect();
        for host in 0..self.locations.len() {
            for process in 0..PROCESSES {
                if world.messages[process][host] == Message::Sent {
                    next.push(Self::store(world, process, host));
                    next.extend(Self::lose_message(world, process, host));
                }
            }
            next.extend(self.lose_disk(world, host));
            next.extend(self.copy(world, host));
        }
        next
    }

    /// Sends the claim of a process to all hosts.
    fn send(&self, world: &World, process: usize) -> Option<World> {
        if world.messages[process][0] != Message::Unsent {
            return None;
        }
        let mut world = world.clone();
        world.messages[process] = vec![Message::Sent; self.locations.len()];
        Some(world)
    }

    fn store(world: &World, process: usize, host: usize) -> World {
        let mut world = world.clone();
        world.hosts[host].claims |= 1 << process;
        world.messages[process][host] = Message::Stored {
            claims: world.hosts[host].claims,
            complete: world.hosts[host].complete,
        };
        world
    }

    /// Loses the claim, or the response to it.
    fn lose_message(world: &World, process: usize, host: usize) -> [World; 2] {
        let mut lost = world.clone();
        lost.messages[process][host] = Message::Failed;
        let mut response_lost = Self::store(world, process, host);
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
        world.hosts[host] = DiskHost {
            claiming_at_loss: claiming(&world),
            claims: 0,
            complete: false,
        };
        Some(world)
    }

    /// Copies the claims that a host should store. This takes longer than the claims that were under way when
    /// its disk was lost.
    fn copy(&self, world: &World, host: usize) -> Option<World> {
        let lost = &world.hosts[host];
        let is_early = lost.claiming_at_loss & claiming(world) != 0;
        if lost.complete || is_early {
            return None;
        }
        let mut world = world.clone();
        if self.copies {
            let listed = world.hosts.iter().fold(0, |claims, other| claims | other.claims);
            world.hosts[host].claims |= listed & self.should_store[host];
        }
        world.hosts[host].complete = true;
        world.hosts[host].claiming_at_loss = 0;
        Some(world)
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

/// Returns the processes whose claims a host should store.
fn claims_to_store(host: &HostLocation, locations: &[HostLocation], tolerated_losses: usize) -> ProcessSet {
    let replicas = tolerated_losses + 1;
    let stores = |process: &usize| {
        let listed = [indexed(*process)];
        let regions = RegionMap::default();
        !missing_replicas(&host.host, &listed, replicas, locations, &regions, |_| false).is_empty()
    };
    (0..PROCESSES)
        .filter(stores)
        .fold(0, |claims, process| claims | 1 << process)
}

/// Returns the processes whose claims are under way.
fn claiming(world: &World) -> ProcessSet {
    let is_claiming = |process: &usize| world.messages[*process].contains(&Message::Sent);
    (0..PROCESSES)
        .filter(is_claiming)
        .fold(0, |claiming, process| claiming | 1 << process)
}

/// Returns the ids of the claims of processes.
fn claim_ids(claims: ProcessSet) -> Vec<TurnId> {
    let processes = (0..PROCESSES).filter(|process| claims & (1 << process) != 0);
    processes.map(|process| record(process).key.turn).collect()
}

/// Returns the reply to a claim; `None` while there is none.
fn reply(message: &Message) -> Option<ClaimReply> {
    match message {
        Message::Unsent | Message::Sent => None,
        Message::Stored { claims, complete } => Some(ClaimReply::Stored {
            claims: claim_ids(*claims),
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

/// The model finds that two processes are granted the overdraft when hosts do not copy claims.
#[test]
fn decide_claim_without_copies_grants_two_processes() {
    let mut model = Model::new(3, 1);
    model.copies = false;
    assert_eq!(model.explore().0, 2);
}

#[test]
fn decide_claim_without_certainty_is_not_granted() {
    let stored = |claims, complete| ClaimReply::Stored {
        claims: claim_ids(claims),
        complete,
    };
    let decide = |replies: &[ClaimReply], losses| decide_claim(incarnation(0), replies, losses);
    assert_eq!(decide(&[], 0), ClaimOutcome::Uncertain);
    assert_eq!(decide(&[stored(0b01, true)], 0), ClaimOutcome::Granted);
    assert_eq!(decide(&[stored(0b01, true)], 1), ClaimOutcome::Uncertain);
    assert_eq!(decide(&[stored(0b01, false)], 0), ClaimOutcome::Uncertain);
    assert_eq!(decide(&[stored(0, true)], 0), ClaimOutcome::Uncertain);
    let one_failed = [stored(0b01, true), ClaimReply::Failed, stored(0b01, true)];
    assert_eq!(decide(&one_failed, 1), ClaimOutcome::Uncertain);
    let taken = [ClaimReply::Failed, stored(0b11, false)];
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

/// Guards against tokens that are used twice: by a call that takes what the ledger has reserved for an overdraft, and by
/// another call beyond the budget.
#[test]
fn begin_uses_an_overdraft_in_one_account_only() {
    let now = Instant::now();
    let program = PROGRAM.to_owned();
    let mut overdrafts = Overdrafts::default();
    assert_eq!(overdrafts.begin(&program, 100, now), OverdraftDecision::Claim);
    assert!(overdrafts.is_busy(&program));
    overdrafts.end_claim(&program, ClaimOutcome::Granted);
    assert!(overdrafts.is_busy(&program));
    overdrafts.end_call(&program, 0);
    assert!(!overdrafts.is_busy(&program));
    let refused = OverdraftDecision::Refused;
    assert_eq!(overdrafts.begin_beyond_budget(&program, 40, now), refused);
    assert_eq!(overdrafts.begin(&program, 40, now), OverdraftDecision::Granted);

    let mut overdrafts = Overdrafts::default();
    let decision = overdrafts.begin_beyond_budget(&program, 100, now);
    assert_eq!(decision, OverdraftDecision::Claim);
    overdrafts.end_claim(&program, ClaimOutcome::Granted);
    overdrafts.end_call(&program, 60);
    assert_eq!(overdrafts.begin(&program, 40, now), refused);
    assert_eq!(overdrafts.begin_beyond_budget(&program, 41, now), refused);
    let decision = overdrafts.begin_beyond_budget(&program, 40, now);
    assert_eq!(decision, OverdraftDecision::Granted);
}
