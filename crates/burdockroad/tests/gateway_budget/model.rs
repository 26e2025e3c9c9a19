//! Model of hosts that reserve one budget in a store, with lost responses, delayed writes and killed hosts.

use std::time::{Duration, Instant};

use burdockroad::gateway::{BudgetWrite, Ledger, LedgerOptions, Readiness, StoreResponse, VersionedBudget};

pub(crate) const HOSTS: usize = 3;
pub(crate) const BUDGET_TOKENS: u64 = 1300;
pub(crate) const MAX_TOKENS: u64 = 288;
pub(crate) const PROGRAM: &str = "program";

/// Simulated outcome of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteOutcome {
    Responded,
    ResponseLost,
    NeverArrives,
    Delayed,
}

#[derive(Clone, Copy, Debug)]
pub(crate) enum Step {
    AddWaiter { host: usize, owns_budget: bool },
    Take { host: usize },
    Settle { host: usize, used_tokens: u64 },
    Write { host: usize, outcome: WriteOutcome },
    DelayedArrives,
    Poll { host: usize },
    Release { host: usize },
    Stop { host: usize },
    Overdraw { host: usize },
    Kill { host: usize },
}

/// A store with one key.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) stored: Option<VersionedBudget>,
    pub(crate) revision: i64,
    delayed: Vec<BudgetWrite>,
}

impl Store {
    pub(crate) fn write(&mut self, write: &BudgetWrite) -> StoreResponse {
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

pub(crate) struct Host {
    pub(crate) ledger: Ledger,
    pub(crate) running: usize,
    waiting: usize,
}

pub(crate) struct Cluster {
    pub(crate) hosts: Vec<Host>,
    pub(crate) store: Store,
    incarnation: u64,
    pub(crate) generated_tokens: u64,
    /// Whether a call has used the overdraft of the program.
    has_overdrawn: bool,
    pub(crate) now: Instant,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        let mut cluster = Self {
            hosts: Vec::new(),
            store: Store::default(),
            incarnation: 0,
            generated_tokens: 0,
            has_overdrawn: false,
            now: Instant::now(),
        };
        for _ in 0..HOSTS {
            let host = cluster.start();
            cluster.hosts.push(host);
        }
        cluster
    }

    fn start(&mut self) -> Host {
        self.incarnation += 1;
        Host {
            ledger: Ledger::new(LedgerOptions::default(), self.incarnation),
            running: 0,
            waiting: 0,
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        let program = PROGRAM.to_owned();
        self.now += Duration::from_millis(50);
        let now = self.now;
        match step {
            Step::AddWaiter { host, owns_budget } => {
                let host = &mut self.hosts[host];
                host.ledger
                    .add_waiter(&program, BUDGET_TOKENS, MAX_TOKENS, owns_budget, now);
                host.waiting += 1;
            }
            Step::Take { host } => {
                let host = &mut self.hosts[host];
                if host.waiting > 0 && host.ledger.take(&program, MAX_TOKENS) == Readiness::Ready {
                    host.ledger.remove_waiter(&program, MAX_TOKENS);
                    host.waiting -= 1;
                    host.running += 1;
                }
            }
            Step::Settle { host, used_tokens } => {
                let host = &mut self.hosts[host];
                if host.running > 0 {
                    host.running -= 1;
                    self.generated_tokens += used_tokens;
                    host.ledger.settle(&program, MAX_TOKENS, used_tokens, now);
                }
            }
            Step::Write { host, outcome } => self.write(host, outcome),
            Step::DelayedArrives => {
                if let Some(write) = self.store.delayed.pop() {
                    self.store.write(&write);
                }
            }
            Step::Poll { host } => {
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
            Step::Stop { host } => {
                let ledger = &mut self.hosts[host].ledger;
                ledger.stop();
                ledger.settle_due(now);
            }
            Step::Overdraw { host } => {
                let host = &mut self.hosts[host];
                if !self.has_overdrawn && host.ledger.may_overdraw(&program, BUDGET_TOKENS, MAX_TOKENS) {
                    self.has_overdrawn = true;
                    host.ledger.overdraw(&program, BUDGET_TOKENS, MAX_TOKENS, now);
                    host.running += 1;
                }
            }
            Step::Kill { host } => {
                // The callers may have received all tokens that the host's running calls could generate.
                self.generated_tokens += self.hosts[host].running as u64 * MAX_TOKENS;
                self.hosts[host] = self.start();
            }
        }
    }

    pub(crate) fn write(&mut self, host: usize, outcome: WriteOutcome) {
        for write in self.hosts[host].ledger.next_writes(8) {
            let response = match outcome {
                WriteOutcome::Responded => self.store.write(&write),
                WriteOutcome::ResponseLost => {
                    self.store.write(&write);
                    StoreResponse::Indeterminate
                }
                WriteOutcome::NeverArrives => StoreResponse::Indeterminate,
                WriteOutcome::Delayed => {
                    self.store.delayed.push(write.clone());
                    StoreResponse::Indeterminate
                }
            };
            self.hosts[host].ledger.complete(&write.program, response);
        }
    }

    /// Returns the incarnations of the processes that have reserved tokens.
    pub(crate) fn reserving_incarnations(&self) -> Vec<u64> {
        let stored = self.store.stored.as_ref().expect("the budget is stored");
        let reservations = stored.budget.reservations.iter();
        reservations.map(|reservation| reservation.incarnation).collect()
    }

    /// Returns the generated tokens plus those that running calls may still generate.
    pub(crate) fn committed_tokens(&self) -> u64 {
        let running: usize = self.hosts.iter().map(|host| host.running).sum();
        self.generated_tokens + running as u64 * MAX_TOKENS
    }
}

pub(crate) fn start_call(cluster: &mut Cluster, host: usize) -> bool {
    cluster.apply(Step::AddWaiter {
        host,
        owns_budget: true,
    });
    for _ in 0..3 {
        cluster.apply(Step::Take { host });
        cluster.apply(Step::Write {
            host,
            outcome: WriteOutcome::Responded,
        });
    }
    cluster.hosts[host].running > 0
}
