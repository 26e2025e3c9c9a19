//! Model of the hosts that store a turn: in every order of its steps and of tolerated losses, a turn whose end
//! the caller has seen is found again.

use std::collections::HashSet;

use burdockroad::gateway::{
    HostLocation, IndexedTurn, Lookup, LookupOutcome, LookupReply, RegionMap, Replication,
    ReplicationProgress, Turn, TurnHostHealth, TurnKey, missing_replicas,
};
use bytes::Bytes;

/// Availability of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Availability {
    Up,
    /// The host is up again, but counts as lost until it had the time to catch up.
    CatchingUp,
    Down,
}

/// Host that stores turns, with one turn of interest.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    availability: Availability,
    /// Whether the turn is on the disk.
    has_turn: bool,
    /// Whether the host has copied the turns of the others since its start.
    complete: bool,
}

impl Host {
    fn is_running(&self) -> bool {
        self.availability != Availability::Down
    }

    fn is_lost(&self) -> bool {
        self.availability != Availability::Up
    }
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    hosts: Vec<Host>,
    replication: Replication,
    /// Hosts that the turn was sent to and that have not replied.
    in_flight: Vec<usize>,
    /// Those that have not replied for so long that they count as lost.
    silent: Vec<usize>,
}

/// Model with its parameters.
struct Model {
    locations: Vec<HostLocation>,
    tolerated_losses: usize,
    turn: Turn,
    /// Whether hosts copy turns from each other.
    copies: bool,
    /// Whether a sound host may seem lost to the host that stores the turn.
    misjudges_hosts: bool,
}

fn is_durable(progress: ReplicationProgress) -> bool {
    matches!(
        progress,
        ReplicationProgress::Durable | ReplicationProgress::DurableIfDisksLost
    )
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
            turn: Turn {
                key: TurnKey {
                    account: "account".to_owned(),
                    turn: "turn".to_owned(),
                },
                previous: None,
                root: "turn".to_owned(),
                home_domain: "d0".to_owned(),
                expires_unix_ms: 1,
                stored_until_unix_ms: 1,
                allowed_regions: None,
                input: Bytes::new(),
                output: Bytes::new(),
            },
            copies: true,
            misjudges_hosts: false,
        }
    }

    /// Returns whether a host may seem lost to the host that stores the turn, for each way that it may seem.
    fn views_of(&self, host: &Host) -> Vec<bool> {
        let is_lost = host.is_lost();
        if self.misjudges_hosts && !is_lost {
            vec![false, true]
        } else {
            vec![is_lost]
        }
    }

    fn start(&self) -> World {
        let host = Host {
            availability: Availability::Up,
            has_turn: false,
            complete: true,
        };
        let mut world = World {
            hosts: vec![host; self.locations.len()],
            replication: Replication::new(
                &self.turn,
                &self.locations,
                self.tolerated_losses,
                &TurnHostHealth::default(),
            ),
            in_flight: Vec::new(),
            silent: Vec::new(),
        };
        self.send(&mut world);
        world
    }

    /// Sends the turn to the hosts that should receive it now.
    fn send(&self, world: &mut World) {
        while let Some(host) = world.replication.next_host() {
            let number = self.locations.iter().position(|location| location.host == host);
            world.in_flight.push(number.expect("a known host"));
        }
        while let Some(host) = world.replication.next_lost_host() {
            let number = self.locations.iter().position(|location| location.host == host);
            world.silent.push(number.expect("a known host"));
        }
    }

    /// Returns all states that one step leads to.
    fn steps(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for number in 0..world.hosts.len() {
            self.replication_steps(world, number, &mut next);
            self.late_steps(world, number, &mut next);
            self.loss_steps(world, number, &mut next);
            if world.hosts[number].is_running() && self.copies {
                let mut copied = world.clone();
                self.copy_to(&mut copied, number);
                next.push(copied);
            }
        }
        next
    }

    fn replication_steps(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let Some(position) = world.in_flight.iter().position(|host| *host == number) else {
            return;
        };
        next.extend(Self::sync_step(world, number));
        let host = &world.hosts[number];
        if host.is_running() && host.has_turn {
            let mut replied = world.clone();
            replied.in_flight.remove(position);
            replied.replication.record_stored();
            self.send(&mut replied);
            next.push(replied);
        }
        for seems_lost in self.views_of(host) {
            let mut failed = world.clone();
            failed.in_flight.remove(position);
            let id = self.locations[number].host.clone();
            failed.replication.record_failed(id, seems_lost);
            self.send(&mut failed);
            next.push(failed);
        }
        if self.views_of(host).contains(&true) {
            let mut silent = world.clone();
            silent.in_flight.remove(position);
            silent.silent.push(number);
            silent.replication.record_silent();
            self.send(&mut silent);
            next.push(silent);
        }
    }

    /// Step of a host that writes the turn which is in flight to it to its disk.
    fn sync_step(world: &World, number: usize) -> Option<World> {
        let host = &world.hosts[number];
        (host.is_running() && !host.has_turn).then(|| {
            let mut synced = world.clone();
            synced.hosts[number].has_turn = true;
            synced
        })
    }

    /// Steps of a host that counts as lost while the turn is in flight to it.
    fn late_steps(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let Some(position) = world.silent.iter().position(|host| *host == number) else {
            return;
        };
        next.extend(Self::sync_step(world, number));
        let host = &world.hosts[number];
        if host.is_running() && host.has_turn {
            let mut replied = world.clone();
            replied.silent.remove(position);
            replied.replication.record_late_stored();
            self.send(&mut replied);
            next.push(replied);
        }
        for seems_lost in self.views_of(host) {
            let mut failed = world.clone();
            failed.silent.remove(position);
            let id = self.locations[number].host.clone();
            failed.replication.record_late_failed(id, seems_lost);
            self.send(&mut failed);
            next.push(failed);
        }
    }

    fn loss_steps(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let lost = world.hosts.iter().filter(|host| host.is_lost()).count();
        let host = &world.hosts[number];
        if host.is_running() && (host.is_lost() || lost < self.tolerated_losses) {
            for disk_is_lost in [false, true] {
                let mut down = world.clone();
                down.hosts[number] = Host {
                    availability: Availability::Down,
                    has_turn: host.has_turn && !disk_is_lost,
                    complete: false,
                };
                next.push(down);
            }
        }
        if !host.is_running() {
            let mut up = world.clone();
            up.hosts[number].availability = Availability::CatchingUp;
            next.push(up);
        }
        // A turn is replicated within three seconds, and a host needs longer to restart and catch up. So no host that was lost
        // meanwhile has caught up before the replication has ended.
        if host.availability == Availability::CatchingUp
            && world.replication.progress() != ReplicationProgress::Pending
        {
            // The time to catch up has passed: all hosts that are up have copied what they should store.
            let mut caught_up = world.clone();
            for other in 0..caught_up.hosts.len() {
                if caught_up.hosts[other].is_running() && self.copies {
                    self.copy_to(&mut caught_up, other);
                }
            }
            caught_up.hosts[number].availability = Availability::Up;
            next.push(caught_up);
        }
    }

    /// Copies the turn to a host from the other hosts that are up.
    fn copy_to(&self, world: &mut World, number: usize) {
        let live: Vec<HostLocation> = self
            .locations
            .iter()
            .zip(&world.hosts)
            .filter(|(_, host)| host.is_running())
            .map(|(location, _)| location.clone())
            .collect();
        let listed = [IndexedTurn {
            key: self.turn.key.clone(),
            root: self.turn.root.clone(),
            home_domain: self.turn.home_domain.clone(),
            allowed_regions: None,
            stored_until_unix_ms: 0,
        }];
        let is_listed = (0..world.hosts.len())
            .any(|other| other != number && world.hosts[other].is_running() && world.hosts[other].has_turn);
        let has_turn = world.hosts[number].has_turn;
        let replicas = self.tolerated_losses + 1;
        let host = &self.locations[number].host;
        let missing = missing_replicas(host, &listed, replicas, &live, &RegionMap::default(), |_| {
            has_turn
        });
        if is_listed && !missing.is_empty() {
            world.hosts[number].has_turn = true;
        }
        if world.hosts.len() - live.len() <= self.tolerated_losses {
            world.hosts[number].complete = true;
        }
    }

    /// Checks that a durable turn is on a disk and is never reported as nonexistent.
    fn check(&self, world: &World) -> Result<(), String> {
        // The model loses no more hosts than it tolerates, so those that count as lost are its lost disks.
        if !is_durable(world.replication.progress()) {
            return Ok(());
        }
        if !world.hosts.iter().any(|host| host.has_turn) {
            return Err(format!("no disk has the turn: {world:?}"));
        }
        let mut lookup = Lookup::new(&self.turn.key, "d0", &self.locations, &TurnHostHealth::default());
        while let Some(asked) = lookup.next_host() {
            let number = self.locations.iter().position(|location| location.host == asked);
            let host = &world.hosts[number.expect("a known host")];
            lookup.record(match (host.is_running(), host.has_turn, host.complete) {
                (false, _, _) => LookupReply::NoReply,
                (true, true, _) => LookupReply::Found,
                (true, false, true) => LookupReply::Absent,
                (true, false, false) => LookupReply::Incomplete,
            });
        }
        if lookup.outcome() == LookupOutcome::Nonexistent {
            return Err(format!("the turn is reported as nonexistent: {world:?}"));
        }
        Ok(())
    }

    /// Visits all reachable states. Returns their number, or the first violation.
    fn explore(&self) -> Result<usize, String> {
        let start = self.start();
        let mut visited = HashSet::from([start.clone()]);
        let mut open = vec![start];
        while let Some(world) = open.pop() {
            self.check(&world)?;
            for next in self.steps(&world) {
                if visited.insert(next.clone()) {
                    open.push(next);
                }
            }
        }
        Ok(visited.len())
    }
}

#[test]
fn durable_turn_survives_one_lost_host_of_three() {
    let states = Model::new(3, 1).explore().expect("no violation");
    assert!(states > 500, "{states} states");
}

#[test]
fn durable_turn_survives_two_lost_hosts_of_three() {
    let states = Model::new(3, 2).explore().expect("no violation");
    assert!(states > 500, "{states} states");
}

#[test]
fn durable_turn_survives_two_lost_hosts_of_four() {
    let states = Model::new(4, 2).explore().expect("no violation");
    assert!(states > 2000, "{states} states");
}

/// The host that stores the turn may count running hosts as lost. With more than twice as many
/// hosts as may be lost, no replica is spared for these.
#[test]
fn durable_turn_survives_one_lost_host_of_three_when_sound_hosts_seem_lost() {
    let model = Model {
        misjudges_hosts: true,
        ..Model::new(3, 1)
    };
    let states = model.explore().expect("no violation");
    assert!(states > 500, "{states} states");
}

/// However hosts seem, the replication of a turn goes on while there are hosts that may store it.
#[test]
fn replication_is_not_given_up_because_hosts_seem_lost() {
    for (hosts, tolerated_losses) in [(1, 1), (2, 1), (2, 2), (3, 1), (3, 2)] {
        let model = Model {
            misjudges_hosts: true,
            ..Model::new(hosts, tolerated_losses)
        };
        let start = model.start();
        let mut visited = HashSet::from([start.clone()]);
        let mut open = vec![start];
        while let Some(world) = open.pop() {
            let progress = world.replication.progress();
            assert_ne!(progress, ReplicationProgress::Failed, "{world:?}");
            let has_calls = !(world.in_flight.is_empty() && world.silent.is_empty());
            assert!(has_calls || is_durable(progress), "{world:?}");
            for next in model.steps(&world) {
                if visited.insert(next.clone()) {
                    open.push(next);
                }
            }
        }
    }
}

/// Without copies between hosts, disks that are lost one after the other take the turn with them. The model
/// would not show anything if it did not find this.
#[test]
fn durable_turn_is_lost_when_hosts_do_not_copy_from_each_other() {
    let model = Model {
        copies: false,
        ..Model::new(3, 1)
    };
    let violation = model.explore().expect_err("a violation");
    assert!(violation.starts_with("no disk has the turn"), "{violation}");
}
