//! Model of hosts that store a turn, one of which is replaced: the turn is found again, or the answer is uncertain.

use std::{collections::HashSet, sync::LazyLock, time::Duration};

use burdockroad::{
    HostId, Incarnation,
    gateway::{
        GoneHosts, GoneTestimony, HostLocation, IndexedTurn, Lookup, LookupOutcome, LookupReply, RegionMap,
        SyncRound, TurnHostHealth, TurnKey, all_agree, missing_replicas,
    },
};

const TOLERATED_LOSSES: usize = 1;

/// Host that is replaced, and the host that replaces it.
const REPLACED: usize = 0;
const SUCCESSOR: usize = 3;
const HOSTS: usize = 4;
const FIRST_RUN: u8 = 1;

/// Number of hosts that end, one after the other or at once.
const DISRUPTIONS_MAX: u32 = 3;

/// Silence after which a host may count as gone. The model has no clock: any silence may be that long.
const SILENCE: Duration = Duration::from_mins(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Availability {
    /// The host has not been started yet.
    Absent,
    Up,
    /// The host runs, but counts as lost until it had the time to catch up.
    CatchingUp,
    Down,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Host {
    availability: Availability,
    has_turn: bool,
    complete: bool,
    run: u8,
    /// Runs of the hosts in this host's last round that reached all others; `None` for hosts that were not reached.
    met: [Option<u8>; HOSTS],
    /// Whether the host agrees that the replaced host is gone.
    agrees: bool,
}

impl Host {
    fn new(availability: Availability) -> Self {
        Self {
            availability,
            has_turn: false,
            complete: availability == Availability::Up,
            run: FIRST_RUN,
            met: [None; HOSTS],
            agrees: false,
        }
    }

    fn is_running(&self) -> bool {
        matches!(self.availability, Availability::Up | Availability::CatchingUp)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct World {
    hosts: [Host; HOSTS],
    /// Whether the entry of the replaced host was removed.
    removed: bool,
    /// Whether the successor has caught up after the host that it replaces has ended.
    replaced: bool,
    disruptions: u32,
}

/// Hosts that may lose their disks when they end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostDisks {
    All,
    OfReplacedHost,
    OfOtherHosts,
}

#[derive(Clone, Copy, Debug)]
struct Model {
    /// Number of hosts that may be down or catch up at once.
    losses_max: usize,
    lost_disks: LostDisks,
    /// Whether the model ends when the entry is removed. After that, other hosts may lose the turn with their disks.
    ends_at_removal: bool,
    /// Whether a host agrees that another is gone without having met it in this run.
    agrees_without_evidence: bool,
}

const TOLERATED: Model = Model {
    losses_max: TOLERATED_LOSSES,
    lost_disks: LostDisks::All,
    ends_at_removal: false,
    agrees_without_evidence: false,
};

fn id(number: usize) -> HostId {
    format!("h{number}")
}

fn key() -> TurnKey {
    TurnKey {
        account: "account".to_owned(),
        turn: "turn".to_owned(),
    }
}

fn location(number: usize) -> HostLocation {
    HostLocation {
        host: id(number),
        failure_domain: format!("d{number}"),
    }
}

/// Whether a host should store the turn, by its number and the set of hosts that are live.
static IS_REPLICA: LazyLock<Vec<Vec<bool>>> = LazyLock::new(|| {
    let sets = |number| (0..1 << HOSTS).map(move |live| is_missing(number, live));
    (0..HOSTS).map(|number| sets(number).collect()).collect()
});

/// Returns whether a host copies the turn that another host lists.
fn is_missing(number: usize, live: usize) -> bool {
    let live = (0..HOSTS).filter(|other| live & 1 << other != 0);
    let live: Vec<HostLocation> = live.map(location).collect();
    let listed = [IndexedTurn {
        key: key(),
        root: key().turn,
        home_domain: "d0".to_owned(),
        allowed_regions: None,
        stored_until_unix_ms: 0,
    }];
    let replicas = TOLERATED_LOSSES + 1;
    let regions = RegionMap::default();
    !missing_replicas(&id(number), &listed, replicas, &live, &regions, |_| false).is_empty()
}

/// Returns the outcome of a lookup of the turn; `None` for hosts that are not registered.
fn look_up(replies: [Option<LookupReply>; HOSTS]) -> LookupOutcome {
    let registered = (0..HOSTS).filter(|number| replies[*number].is_some());
    let locations: Vec<HostLocation> = registered.map(location).collect();
    let mut lookup = Lookup::new(&key(), "d0", &locations, &TurnHostHealth::default());
    while let Some(asked) = lookup.next_host() {
        let number = (0..HOSTS).find(|number| id(*number) == asked);
        let reply = number.and_then(|number| replies[number]);
        lookup.record(reply.expect("a registered host"));
    }
    lookup.outcome()
}

impl World {
    /// Returns the registered hosts.
    fn registered(&self) -> impl Iterator<Item = usize> {
        let hosts = (0..HOSTS).filter(|number| self.hosts[*number].availability != Availability::Absent);
        hosts.filter(|number| !(self.removed && *number == REPLACED))
    }

    /// Returns the number of hosts that count as lost. A host that was replaced counts until its successor has caught up.
    fn losses(&self) -> usize {
        let counted = (0..HOSTS).filter(|number| *number != REPLACED || !self.replaced);
        let availabilities = counted.map(|number| self.hosts[number].availability);
        let is_lost = |state: &Availability| matches!(state, Availability::CatchingUp | Availability::Down);
        availabilities.filter(is_lost).count()
    }

    /// Lets a host read what the others store.
    fn synchronize(&mut self, number: usize, agrees_without_evidence: bool) {
        let (reached, silent): (Vec<usize>, Vec<usize>) = self
            .registered()
            .filter(|other| *other != number)
            .partition(|other| self.hosts[*other].is_running());
        let is_listed = reached.iter().any(|other| self.hosts[*other].has_turn);
        let live = reached.iter().fold(1 << number, |live, other| live | 1 << other);
        let host = &mut self.hosts[number];
        host.has_turn |= is_listed && IS_REPLICA[number][live];
        host.complete |= silent.len() <= TOLERATED_LOSSES;
        let agrees = self.agrees_after(number, &reached, &silent, agrees_without_evidence);
        self.hosts[number].agrees = agrees;
        if silent.is_empty() {
            let mut met = [None; HOSTS];
            for other in reached {
                met[other] = Some(self.hosts[other].run);
            }
            self.hosts[number].met = met;
        }
    }

    /// Returns whether all hosts that are left agree that the replaced host is gone.
    fn all_agree(&self, agrees_without_evidence: bool) -> bool {
        let others: Vec<usize> = self.registered().filter(|number| *number != REPLACED).collect();
        let agrees = |number: &usize| self.hosts[*number].is_running() && self.hosts[*number].agrees;
        if !others.iter().all(agrees) {
            return false;
        }
        if agrees_without_evidence {
            return true;
        }
        let testimonies = others.into_iter().map(|number| {
            let met = self.hosts[number].met.iter().enumerate();
            let met = met.filter_map(|(other, run)| Some((id(other), Incarnation::from((*run)?))));
            let testimony = GoneTestimony {
                gone: vec![id(REPLACED)],
                met: met.collect(),
            };
            (id(number), testimony)
        });
        all_agree(&id(REPLACED), &testimonies.collect::<Vec<_>>())
    }

    /// Returns whether a host agrees that the replaced host is gone after a round.
    fn agrees_after(
        &self,
        number: usize,
        reached: &[usize],
        silent: &[usize],
        agrees_without_evidence: bool,
    ) -> bool {
        if silent != [REPLACED] {
            return false;
        }
        let host = &self.hosts[number];
        let mut gone = GoneHosts::default();
        let met = (0..HOSTS).filter_map(|other| Some((id(other), Incarnation::from(host.met[other]?))));
        record_round(&mut gone, &met.collect::<Vec<_>>(), &[], false);
        let runs = reached
            .iter()
            .map(|other| (id(*other), self.hosts[*other].run.into()));
        let runs: Vec<(HostId, Incarnation)> = runs.collect();
        let is_new = number == SUCCESSOR && host.run == FIRST_RUN;
        let is_new = is_new || agrees_without_evidence;
        record_round(&mut gone, &runs, &[(id(REPLACED), SILENCE)], is_new);
        gone.gone().contains(&id(REPLACED))
    }
}

fn record_round(
    gone: &mut GoneHosts,
    reached: &[(HostId, Incarnation)],
    silent: &[(HostId, Duration)],
    is_new: bool,
) {
    let locations = |hosts: &mut dyn Iterator<Item = &HostId>| -> Vec<HostLocation> {
        let located = hosts.map(|host| HostLocation {
            host: host.clone(),
            failure_domain: host.clone(),
        });
        located.collect()
    };
    let others = &mut reached.iter().map(|(host, _)| host);
    let mut writable = locations(others);
    let silent_ones = &mut silent.iter().map(|(host, _)| host);
    let silent_ones = locations(silent_ones);
    let all: Vec<HostLocation> = writable.iter().cloned().chain(silent_ones).collect();
    writable.push(HostLocation {
        host: "this".to_owned(),
        failure_domain: "this".to_owned(),
    });
    let round = SyncRound {
        reached,
        silent,
        writable: &writable,
        locations: &all,
        regions: &RegionMap::default(),
    };
    gone.record_round(round, TOLERATED_LOSSES, is_new);
}

impl Model {
    /// Returns the states in which the turn has just become durable on hosts that are all up.
    fn starts() -> Vec<World> {
        let durable = [[1, 0, 1], [1, 1, 0], [1, 1, 1]];
        let worlds = durable.iter().map(|stored| {
            let mut world = World {
                hosts: [Host::new(Availability::Up); HOSTS],
                removed: false,
                replaced: false,
                disruptions: 0,
            };
            world.hosts[SUCCESSOR] = Host::new(Availability::Absent);
            for number in 0..SUCCESSOR {
                world.synchronize(number, false);
            }
            for (host, has_turn) in world.hosts.iter_mut().zip(stored) {
                host.has_turn = *has_turn == 1;
            }
            world
        });
        worlds.collect()
    }

    /// Returns the availability of a host that was started. The time to catch up only tells how many hosts count as lost.
    fn started(&self) -> Availability {
        if self.losses_max == HOSTS {
            Availability::Up
        } else {
            Availability::CatchingUp
        }
    }

    fn steps(&self, world: &World) -> Vec<World> {
        let mut next = Vec::new();
        for number in 0..HOSTS {
            self.steps_of(world, number, &mut next);
        }
        if !world.removed && world.all_agree(self.agrees_without_evidence) {
            let mut removed = *world;
            removed.removed = true;
            next.push(removed);
        }
        next
    }

    fn steps_of(&self, world: &World, number: usize, next: &mut Vec<World>) {
        let host = &world.hosts[number];
        let mut push = |change: &dyn Fn(&mut World)| {
            let mut changed = *world;
            change(&mut changed);
            next.push(changed);
        };
        match host.availability {
            Availability::Absent => push(&|world| {
                world.hosts[number].availability = self.started();
            }),
            Availability::Down => push(&|world| {
                world.hosts[number].availability = self.started();
                world.hosts[number].run += 1;
                // A host registers when it starts.
                world.removed &= number != REPLACED;
                world.replaced &= number != REPLACED;
            }),
            Availability::CatchingUp => push(&|world| {
                // The time to catch up has passed: all hosts have synchronized more than once.
                for other in (0..HOSTS).chain(0..HOSTS) {
                    if world.hosts[other].is_running() {
                        world.synchronize(other, self.agrees_without_evidence);
                    }
                }
                world.hosts[number].availability = Availability::Up;
                let has_ended = world.hosts[REPLACED].availability == Availability::Down;
                world.replaced |= number == SUCCESSOR && has_ended;
            }),
            Availability::Up => {}
        }
        if host.is_running() {
            push(&|world| world.synchronize(number, self.agrees_without_evidence));
            let is_lost = host.availability == Availability::CatchingUp;
            let may_be_lost = is_lost || world.losses() < self.losses_max;
            if may_be_lost && world.disruptions < DISRUPTIONS_MAX {
                for disk_is_lost in [false, true] {
                    let may_lose_disk = match self.lost_disks {
                        LostDisks::All => true,
                        LostDisks::OfReplacedHost => number == REPLACED,
                        LostDisks::OfOtherHosts => number != REPLACED,
                    };
                    if !disk_is_lost || may_lose_disk {
                        push(&|world| {
                            let host = &world.hosts[number];
                            world.hosts[number] = Host {
                                has_turn: host.has_turn && !disk_is_lost,
                                run: host.run,
                                ..Host::new(Availability::Down)
                            };
                            world.disruptions += 1;
                        });
                    }
                }
            }
        }
    }

    fn check(world: &World) -> Result<(), String> {
        if !world.hosts.iter().any(|host| host.has_turn) {
            return Err(format!("no disk has the turn: {world:?}"));
        }
        let mut replies = [None; HOSTS];
        for number in world.registered() {
            let host = &world.hosts[number];
            let reply = match (host.is_running(), host.has_turn, host.complete) {
                (false, _, _) => LookupReply::NoReply,
                // Whatever the others reply, the turn is found.
                (true, true, _) => return Ok(()),
                (true, false, true) => LookupReply::Absent,
                (true, false, false) => LookupReply::Incomplete,
            };
            replies[number] = Some(reply);
        }
        if look_up(replies) == LookupOutcome::Nonexistent {
            return Err(format!("the turn is reported as nonexistent: {world:?}"));
        }
        Ok(())
    }

    /// Checks that the other hosts have as many replicas as they should when the entry was removed.
    fn check_removal(world: &World) -> Result<(), String> {
        let others = world.hosts.iter().skip(REPLACED + 1);
        if others.filter(|host| host.has_turn).count() <= TOLERATED_LOSSES {
            return Err(format!("the entry is removed too early: {world:?}"));
        }
        Ok(())
    }

    /// Visits all reachable states. Returns their number and whether the entry was removed in one of them, or the first
    /// violation.
    fn explore(&self) -> Result<(usize, bool), String> {
        let mut open = Self::starts();
        let mut visited: HashSet<World> = open.iter().copied().collect();
        while let Some(world) = open.pop() {
            Self::check(&world)?;
            for next in self.steps(&world) {
                if next.removed && !world.removed {
                    Self::check_removal(&next)?;
                }
                if visited.insert(next) && !(next.removed && self.ends_at_removal) {
                    open.push(next);
                }
            }
        }
        let removed = visited.iter().any(|world| world.removed);
        Ok((visited.len(), removed))
    }
}

#[test]
fn durable_turn_survives_tolerated_losses_while_a_host_is_replaced() {
    let (states, removed) = TOLERATED.explore().expect("no violation");
    assert!(states > 500 && removed, "{states} states, removed: {removed}");
}

/// More hosts may be down at once than tolerated, as long as the others keep their disks.
#[test]
fn durable_turn_is_never_nonexistent_while_a_host_is_replaced_and_others_are_down() {
    let model = Model {
        losses_max: HOSTS,
        lost_disks: LostDisks::OfReplacedHost,
        ..TOLERATED
    };
    let (states, removed) = model.explore().expect("no violation");
    assert!(states > 500 && removed, "{states} states, removed: {removed}");
}

/// A host that is silent, and seems replaced, may have the only replica of a turn when the others lost their disks.
const SILENT_HOST_HAS_THE_TURN: Model = Model {
    losses_max: HOSTS,
    lost_disks: LostDisks::OfOtherHosts,
    ends_at_removal: true,
    ..TOLERATED
};

#[test]
fn durable_turn_on_a_silent_host_is_never_nonexistent_when_others_lose_their_disks() {
    let (states, removed) = SILENT_HOST_HAS_THE_TURN.explore().expect("no violation");
    assert!(states > 500 && removed, "{states} states, removed: {removed}");
}

/// The model would not show anything if it did not find that a host must have met the silent one.
#[test]
fn durable_turn_is_nonexistent_when_hosts_agree_without_evidence() {
    let model = Model {
        agrees_without_evidence: true,
        ..SILENT_HOST_HAS_THE_TURN
    };
    let violation = model.explore().expect_err("a violation");
    assert!(
        violation.starts_with("the entry is removed too early"),
        "{violation}"
    );
}
