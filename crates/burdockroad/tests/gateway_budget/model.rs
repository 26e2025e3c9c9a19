//! Model of hosts that reserve one budget in a store, with lost responses, delayed writes and killed hosts.

use std::time::{Duration, Instant};

use burdockroad::{
    Incarnation,
    gateway::{
        BudgetWrite, ClaimOutcome, Ledger, LedgerOptions, OverdraftDecision, Overdrafts, Readiness,
        StoreResponse, VersionedBudget,
    },
};

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
    BeginBeyondBudget { host: usize, max_tokens: u64 },
    EndBeyondBudget { host: usize, used_tokens: u64 },
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
    incarnation: Incarnation,
    overdrafts: Overdrafts,
    /// Maximum of the running call that is not in the ledger.
    beyond_budget: Option<u64>,
}

pub(crate) struct Cluster {
    pub(crate) hosts: Vec<Host>,
    pub(crate) store: Store,
    incarnation: u64,
    pub(crate) generated_tokens: u64,
    /// Whether a call has used the overdraft of the program.
    has_overdrawn: bool,
    /// Process that has claimed the turn beyond the budget.
    claimed_by: Option<Incarnation>,
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
            claimed_by: None,
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
            incarnation: self.incarnation,
            overdrafts: Overdrafts::default(),
            beyond_budget: None,
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
            Step::BeginBeyondBudget { host, max_tokens } => self.begin_beyond_budget(host, max_tokens),
            Step::EndBeyondBudget { host, used_tokens } => {
                let host = &mut self.hosts[host];
                if let Some(max_tokens) = host.beyond_budget.take() {
                    let used_tokens = used_tokens.min(max_tokens);
                    self.generated_tokens += used_tokens;
                    host.overdrafts.end_call(&program, used_tokens);
                }
            }
            Step::Kill { host } => {
                // The callers may have received all tokens that the host's running calls could generate.
                self.generated_tokens += self.hosts[host].committed_tokens();
                self.hosts[host] = self.start();
            }
        }
    }

    fn begin_beyond_budget(&mut self, host: usize, max_tokens: u64) {
        let program = PROGRAM.to_owned();
        let host = &mut self.hosts[host];
        let mut decision = host
            .overdrafts
            .begin_beyond_budget(&program, max_tokens, self.now);
        if decision == OverdraftDecision::Claim {
            let is_granted = *self.claimed_by.get_or_insert(host.incarnation) == host.incarnation;
            let outcome = if is_granted {
                decision = OverdraftDecision::Granted;
                ClaimOutcome::Granted
            } else {
                ClaimOutcome::Taken
            };
            host.overdrafts.end_claim(&program, outcome);
        }
        if decision == OverdraftDecision::Granted {
            host.beyond_budget = Some(max_tokens);
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
        let running = self.hosts.iter().map(Host::committed_tokens);
        self.generated_tokens + running.sum::<u64>()
    }
}

impl Host {
    /// Returns the tokens that running calls may still generate.
    fn committed_tokens(&self) -> u64 {
        self.running as u64 * MAX_TOKENS + self.beyond_budget.unwrap_or(0)
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
