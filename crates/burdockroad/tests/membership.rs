//! Decisions of the membership table.

use std::time::{Duration, Instant};

use burdockroad::{
    membership::{HeartbeatReport, ListedMember, Member, Options, Table},
    ownership::Process,
};

/// Time between two steps of a test case.
const STEP: Duration = Duration::from_millis(250);

fn process(host: usize, incarnation: u64) -> Process {
    Process {
        host_id: format!("host-{host}"),
        incarnation,
    }
}

fn member(host: usize, incarnation: u64) -> Member {
    Member {
        process: process(host, incarnation),
        address: format!("127.0.0.1:{}", 9_000 + host),
        failure_domain: format!("domain-{}", host % 3),
        leaving: false,
    }
}

fn listed(hosts: usize) -> Vec<ListedMember> {
    (0..hosts)
        .map(|host| ListedMember {
            host_id: process(host, 1).host_id,
            address: member(host, 1).address,
            failure_domain: member(host, 1).failure_domain,
            leaving: false,
        })
        .collect()
}

/// Host 0 of a fleet in which every host owns partitions.
struct Case {
    table: Table,
    now: Instant,
    hosts: usize,
}

impl Case {
    fn new(hosts: usize) -> Self {
        let now = Instant::now();
        let mut table = Table::new(member(0, 1), Options::default(), now);
        table.set_listed(listed(hosts));
        table.set_owners((0..hosts).map(|host| process(host, 1)).collect());
        Self { table, now, hosts }
    }

    /// Advances the time by `steps`. `reaches(a, b)` returns whether host `a` receives messages from
    /// host `b`.
    fn run(&mut self, steps: u32, reaches: impl Fn(usize, usize) -> bool) {
        for _ in 0..steps {
            self.now += STEP;
            self.table.tick(self.now);
            for host in (1..self.hosts).filter(|&host| reaches(0, host)) {
                let live_processes = (0..self.hosts)
                    .filter(|&other| other != host && reaches(host, other))
                    .map(|other| process(other, 1))
                    .collect();
                let member = member(host, 1);
                self.table.observe(
                    HeartbeatReport {
                        member,
                        live_processes,
                    },
                    self.now,
                );
                if reaches(host, 0) {
                    self.table.acknowledge(&process(host, 1), self.now);
                }
            }
        }
    }

    fn dead(&self) -> Vec<Process> {
        let dead = self.table.dead(self.now);
        dead.into_iter().map(|dead| dead.process).collect()
    }

    fn may_act(&self) -> bool {
        let until = self.table.lease_until();
        until.is_ok_and(|until| until.is_none_or(|until| until > self.now))
    }
}

#[test]
fn dead_partitioned_hosts() {
    type Reaches = fn(usize, usize) -> bool;
    let cases: [(&str, usize, Reaches, &[usize], bool); 8] = [
        ("no failure", 7, |_, _| true, &[], true),
        ("one host failed", 7, |a, b| a != 6 && b != 6, &[6], true),
        ("one of two hosts failed", 2, |a, b| a != 1 && b != 1, &[1], false),
        (
            "one of three hosts failed",
            3,
            |a, b| a != 2 && b != 2,
            &[2],
            true,
        ),
        (
            "no link between two hosts",
            7,
            |a, b| !(a == 0 && b == 6),
            &[],
            true,
        ),
        ("this host is isolated", 7, |a, b| a != 0 && b != 0, &[], false),
        (
            "in the minority partition",
            7,
            |a, b| (a < 3) == (b < 3),
            &[],
            false,
        ),
        (
            "in the majority partition",
            7,
            |a, b| (a < 4) == (b < 4),
            &[4, 5, 6],
            true,
        ),
    ];
    for (name, hosts, reaches, expected, may_act) in cases {
        let mut case = Case::new(hosts);
        case.run(20, |_, _| true);
        assert!(case.may_act(), "{name}: before");
        case.run(20, reaches);
        let expected: Vec<Process> = expected.iter().map(|&host| process(host, 1)).collect();
        assert_eq!(case.dead(), expected, "{name}");
        assert_eq!(case.may_act(), may_act, "{name}: lease");
    }
}

#[test]
fn dead_replaced_incarnation() {
    let mut case = Case::new(3);
    case.run(20, |_, _| true);
    let report = |incarnation| HeartbeatReport {
        member: member(2, incarnation),
        live_processes: Vec::new(),
    };
    assert!(case.table.observe(report(2), case.now));
    assert_eq!(case.dead(), [process(2, 1)]);
    // A late heartbeat of the replaced process does not make it live again.
    assert!(!case.table.observe(report(1), case.now));
    assert_eq!(case.dead(), [process(2, 1)]);
}

#[test]
fn dead_own_replaced_incarnation() {
    let mut case = Case::new(3);
    case.table.rejoin(process(0, 2));
    assert_eq!(case.dead(), [process(0, 1)]);
}

#[test]
fn dead_new_process_does_not_vote() {
    let mut case = Case::new(3);
    case.run(20, |_, _| true);
    case.run(7, |a, b| a != 2 && b != 2 && !(a == 0 && b == 1));
    let report = HeartbeatReport {
        member: member(1, 2),
        live_processes: Vec::new(),
    };
    case.table.observe(report, case.now);
    assert!(!case.dead().contains(&process(2, 1)));
}

#[test]
fn tick_after_pause() {
    let mut case = Case::new(7);
    case.run(20, |_, _| true);
    case.now += Duration::from_mins(1);
    assert!(!case.may_act());
    assert!(case.table.tick(case.now));
    assert_eq!(case.dead(), []);
    assert_eq!(case.table.live_processes(case.now).len(), 6);
    case.run(8, |_, _| false);
    assert_eq!(case.table.live_processes(case.now), []);
}

#[test]
fn observe_unlisted_host() {
    let mut case = Case::new(2);
    let report = HeartbeatReport {
        member: member(5, 1),
        live_processes: Vec::new(),
    };
    case.table.observe(report, case.now);
    let targets = case.table.targets(case.now);
    assert!(targets.iter().any(|target| target.host_id == "host-5"));
}

#[test]
fn targets_bounded_in_large_fleet() {
    let hosts = 60;
    let options = Options::default();
    let mut receivers = vec![0; hosts];
    for me in 0..hosts {
        let mut table = Table::new(member(me, 1), options.clone(), Instant::now());
        table.set_listed(listed(hosts));
        for target in table.targets(Instant::now()) {
            let host: usize = target.host_id["host-".len()..].parse().unwrap();
            receivers[host] += 1;
        }
    }
    let max_count = receivers.iter().max().unwrap();
    let min_count = receivers.iter().min().unwrap();
    assert!(*min_count >= options.monitors_per_host, "{min_count}");
    assert!(*max_count <= 4 * options.monitors_per_host, "{max_count}");
}

/// The lease of a process that is partitioned from all other hosts ends before another host may take
/// over from it.
#[test]
fn lease_until_before_takeover() {
    let hosts = 7;
    // Host 0 is the partitioned owner. `owner` is the table of host 0, `other` that of host 1.
    let mut owner = Case::new(hosts);
    let mut other = Case::new(hosts);
    other.table = Table::new(member(1, 1), Options::default(), other.now);
    other.table.set_listed(listed(hosts));
    other
        .table
        .set_owners((0..hosts).map(|host| process(host, 1)).collect());
    let partitioned_at = 20;
    for step in 0..60 {
        let partitioned = step >= partitioned_at;
        owner.run(1, |a, b| !partitioned || (a != 0 && b != 0));
        other.now = owner.now;
        other.table.tick(other.now);
        for host in (0..hosts).filter(|&host| host != 1 && !(partitioned && host == 0)) {
            // The other hosts report the owner as live until the suspicion time after its last
            // heartbeat.
            let reports_owner = step < partitioned_at + 6;
            let live_processes = (0..hosts)
                .filter(|&other| other != host && (other != 0 || reports_owner))
                .map(|other| process(other, 1))
                .collect();
            let member = member(host, 1);
            other.table.observe(
                HeartbeatReport {
                    member,
                    live_processes,
                },
                other.now,
            );
        }
        let taken_over = other
            .table
            .dead(other.now)
            .iter()
            .any(|dead| dead.process == process(0, 1));
        assert!(!(taken_over && owner.may_act()), "step {step}");
        assert!(
            taken_over || step < partitioned_at + 8,
            "step {step}: never taken over"
        );
    }
}
