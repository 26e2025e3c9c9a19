//! Budgets over several hosts, with lost replies, late writes and hosts that are killed.

use std::time::{Duration, Instant};

use burdockroad::gateway::{BudgetWrite, Ledger, LedgerOptions, Readiness, StoreResponse, VersionedBudget};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

const HOSTS: usize = 3;
const BUDGET_TOKENS: u64 = 1300;
const MOST_TOKENS: u64 = 288;
const PROGRAM: &str = "program";

/// What becomes of a write.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    ReplyLost,
    NeverArrives,
    ArrivesLate,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Enter { host: usize, owns_budget: bool },
    Take { host: usize },
    End { host: usize, used_tokens: u64 },
    Write { host: usize, fate: Fate },
    LateArrives,
    LookAgain { host: usize },
    Release { host: usize },
    Kill { host: usize },
}

/// A store with one key.
#[derive(Default)]
struct Store {
    stored: Option<VersionedBudget>,
    revision: i64,
    late: Vec<BudgetWrite>,
}

impl Store {
    fn write(&mut self, write: &BudgetWrite) -> StoreResponse {
        let found = self.stored.as_ref().map(|stored| stored.revision);
        if found != write.expected_revision {
            return StoreResponse::Found(self.stored.clone());
        }
        self.revision += 1;
        self.stored = Some(VersionedBudget {
            budget: write.budget.clone(),
            revision: self.revision,
        });
        StoreResponse::Written(self.revision)
    }
}

struct Host {
    ledger: Ledger,
    running: usize,
    waiting: usize,
}

struct World {
    hosts: Vec<Host>,
    store: Store,
    incarnation: u64,
    handed_out_tokens: u64,
    now: Instant,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            hosts: Vec::new(),
            store: Store::default(),
            incarnation: 0,
            handed_out_tokens: 0,
            now: Instant::now(),
        };
        for _ in 0..HOSTS {
            let host = world.start();
            world.hosts.push(host);
        }
        world
    }

    fn start(&mut self) -> Host {
        self.incarnation += 1;
        Host {
            ledger: Ledger::new(LedgerOptions::default(), self.incarnation),
            running: 0,
            waiting: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        let program = PROGRAM.to_owned();
        self.now += Duration::from_millis(50);
        let now = self.now;
        match step {
            Step::Enter { host, owns_budget } => {
                let host = &mut self.hosts[host];
                host.ledger
                    .add_waiter(&program, BUDGET_TOKENS, MOST_TOKENS, owns_budget, now);
                host.waiting += 1;
            }
            Step::Take { host } => {
                let host = &mut self.hosts[host];
                if host.waiting > 0 && host.ledger.take(&program, MOST_TOKENS) == Readiness::Ready {
                    host.ledger.remove_waiter(&program, MOST_TOKENS);
                    host.waiting -= 1;
                    host.running += 1;
                }
            }
            Step::End { host, used_tokens } => {
                let host = &mut self.hosts[host];
                if host.running > 0 {
                    host.running -= 1;
                    self.handed_out_tokens += used_tokens;
                    host.ledger.settle(&program, MOST_TOKENS, used_tokens, now);
                }
            }
            Step::Write { host, fate } => self.write(host, fate),
            Step::LateArrives => {
                if let Some(write) = self.store.late.pop() {
                    self.store.write(&write);
                }
            }
            Step::LookAgain { host } => {
                let found = self.store.stored.clone();
                self.hosts[host]
                    .ledger
                    .complete(&program, StoreResponse::Found(found));
            }
            Step::Release { host } => {
                let ledger = &mut self.hosts[host].ledger;
                ledger.release_idle(now);
                ledger.settle_due(now);
            }
            Step::Kill { host } => {
                // Its callers may have been handed all that its running calls could generate.
                self.handed_out_tokens += self.hosts[host].running as u64 * MOST_TOKENS;
                self.hosts[host] = self.start();
            }
        }
    }

    fn write(&mut self, host: usize, fate: Fate) {
        for write in self.hosts[host].ledger.next_writes(8) {
            let answer = match fate {
                Fate::Answered => self.store.write(&write),
                Fate::ReplyLost => {
                    self.store.write(&write);
                    StoreResponse::Indeterminate
                }
                Fate::NeverArrives => StoreResponse::Indeterminate,
                Fate::ArrivesLate => {
                    self.store.late.push(write.clone());
                    StoreResponse::Indeterminate
                }
            };
            self.hosts[host].ledger.complete(&write.program, answer);
        }
    }

    /// Tokens handed out, and those that running calls may still hand out.
    fn committed_tokens(&self) -> u64 {
        let running: usize = self.hosts.iter().map(|host| host.running).sum();
        self.handed_out_tokens + running as u64 * MOST_TOKENS
    }
}

fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        4 => Just(Fate::Answered),
        1 => Just(Fate::ReplyLost),
        1 => Just(Fate::NeverArrives),
        1 => Just(Fate::ArrivesLate),
    ]
}

fn steps() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        3 => (host.clone(), any::<bool>()).prop_map(|(host, owns_budget)| Step::Enter { host, owns_budget }),
        6 => host.clone().prop_map(|host| Step::Take { host }),
        3 => (host.clone(), 0..=MOST_TOKENS).prop_map(|(host, used_tokens)| Step::End { host, used_tokens }),
        6 => (host.clone(), fates()).prop_map(|(host, fate)| Step::Write { host, fate }),
        1 => Just(Step::LateArrives),
        1 => host.clone().prop_map(|host| Step::LookAgain { host }),
        1 => host.clone().prop_map(|host| Step::Release { host }),
        1 => host.prop_map(|host| Step::Kill { host }),
    ]
}

proptest! {
    #![proptest_config(Config { cases: 2000, rng_seed: RngSeed::Fixed(7), ..Config::default() })]

    #[test]
    fn budget_is_kept_under_faults(steps in proptest::collection::vec(steps(), 1..120)) {
        let mut world = World::new();
        for step in steps {
            world.apply(step);
            prop_assert!(world.committed_tokens() <= BUDGET_TOKENS, "after {step:?}");
        }
    }
}

fn ready(world: &mut World, host: usize) -> bool {
    world.apply(Step::Enter {
        host,
        owns_budget: true,
    });
    for _ in 0..3 {
        world.apply(Step::Take { host });
        world.apply(Step::Write {
            host,
            fate: Fate::Answered,
        });
    }
    world.hosts[host].running > 0
}

#[test]
fn keeper_serves_usual_program_with_few_writes() {
    let mut world = World::new();
    for _ in 0..6 {
        assert!(ready(&mut world, 0));
        world.apply(Step::End {
            host: 0,
            used_tokens: 72,
        });
    }
    assert!(
        world.store.revision <= 2,
        "{} writes for six calls",
        world.store.revision
    );
}

#[test]
fn lost_keeper_leaves_half_of_the_budget() {
    let mut world = World::new();
    assert!(ready(&mut world, 0));
    world.apply(Step::Kill { host: 0 });
    assert!(ready(&mut world, 1));
}

#[test]
fn spent_budget_is_refused_after_restart() {
    let mut world = World::new();
    while ready(&mut world, 0) {
        world.apply(Step::End {
            host: 0,
            used_tokens: MOST_TOKENS,
        });
    }
    for host in 0..HOSTS {
        world.apply(Step::Kill { host });
    }
    assert!(!ready(&mut world, 1));
    assert!(world.handed_out_tokens <= BUDGET_TOKENS);
}

/// A program that never ends asks for tokens again and again while its own calls take all that is left: only
/// other hosts' holds are a reason to read its budget, once for all calls that wait.
#[test]
fn wants_look_only_while_other_hosts_hold_tokens() {
    let now = Instant::now();
    let program = PROGRAM.to_owned();
    let mut store = Store::default();
    let mut keeper = Ledger::new(LedgerOptions::default(), 1);
    keeper.add_waiter(&program, 2 * MOST_TOKENS, MOST_TOKENS, true, now);
    assert_eq!(keeper.take(&program, MOST_TOKENS), Readiness::AwaitWrite);
    for write in keeper.next_writes(16) {
        let answer = store.write(&write);
        keeper.complete(&program, answer);
    }
    assert_eq!(keeper.take(&program, MOST_TOKENS), Readiness::Ready);
    assert!(!keeper.should_poll(&program, now));

    let mut other = Ledger::new(LedgerOptions::default(), 2);
    other.add_waiter(&program, 2 * MOST_TOKENS, MOST_TOKENS, false, now);
    for _ in 0..2 {
        assert_eq!(other.take(&program, MOST_TOKENS), Readiness::AwaitWrite);
        for write in other.next_writes(16) {
            let answer = store.write(&write);
            other.complete(&program, answer);
        }
    }
    keeper.complete(&program, StoreResponse::Found(store.stored.clone()));
    assert!(keeper.should_poll(&program, now));
    assert!(!keeper.should_poll(&program, now));
    assert!(keeper.should_poll(&program, now + Duration::from_millis(200)));
}

#[test]
fn release_idle_gives_back_what_no_call_uses() {
    let mut world = World::new();
    assert!(ready(&mut world, 0));
    world.apply(Step::End {
        host: 0,
        used_tokens: 10,
    });
    world.apply(Step::Release { host: 0 });
    world.apply(Step::Write {
        host: 0,
        fate: Fate::Answered,
    });
    let stored = world.store.stored.expect("the budget is stored").budget;
    assert_eq!(stored.spent_tokens, 10);
    assert_eq!(stored.held_tokens(), 0);
}
