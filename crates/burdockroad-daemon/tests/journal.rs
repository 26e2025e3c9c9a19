//! Contract of the journal and its recovery under faults. All hosts run in one process, are connected over
//! loopback and share one store.

#[path = "journal/host.rs"]
mod host;

use std::{collections::BTreeMap, fs, path::Path, time::Duration};

use burdockroad::{
    Record,
    journal::{Durability, JournalError},
    program::Event,
};
use burdockroad_daemon::{
    journal::{Journal, RecoveredTail, Recovery},
    platform::{Fault, MemoryKeyValue},
};
use serde::Deserialize;
use tokio::{runtime::Runtime, time::timeout};

use self::host::Host;

/// Timeout of each step. Some steps wait for a condition and would otherwise never end.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Starts a host, or restarts it as a new process that has no copies.
    Start {
        host: String,
        domain: String,
        /// Whether the new process is missing from every host's view of its peers. The views are not updated.
        #[serde(default)]
        hidden: bool,
    },
    /// Opens the journal of a host.
    Open { host: String },
    /// Appends records and checks the outcome.
    Append {
        host: String,
        numbers: Vec<u64>,
        #[serde(default)]
        size_bytes: usize,
        durability: DurabilityLevel,
        then: Outcome,
    },
    /// Appends one record repeatedly until an append has the given outcome. Other outcomes are ignored.
    Until {
        host: String,
        number: u64,
        durability: DurabilityLevel,
        then: Outcome,
    },
    /// Waits until the journal admits appends of that durability.
    Admitted {
        host: String,
        durability: DurabilityLevel,
    },
    /// Sets which other hosts a host sees as live.
    Alive { host: String, others: Vec<String> },
    /// Suspends or resumes a host's responses to its peers. The host keeps its state.
    Mute { host: String, muted: bool },
    /// Sets the faults of a host's next writes to the store, one for each write.
    Script { host: String, writes: Vec<StoreFault> },
    /// Sets the fault of all requests of a host to the store.
    Store { host: String, fault: StoreFault },
    /// Seals and reads the journal of a host's current process, and checks the records and the tail.
    Recover {
        by: String,
        of: String,
        numbers: Vec<u64>,
        tail: ExpectedTail,
    },
    /// Removes the journal of a host's current process.
    Remove { by: String, of: String },
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum DurabilityLevel {
    Queued,
    Replicated,
    Stored,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Outcome {
    Durable,
    Unavailable,
    Fenced,
    TooLarge,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum StoreFault {
    None,
    Refused,
    RequestLost,
    ReplyLost,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum ExpectedTail {
    NotKept,
    Sealed,
    Unreached,
    Lost,
}

/// Runner of the steps of one case.
struct CaseRunner {
    store: MemoryKeyValue,
    hosts: BTreeMap<String, Host>,
}

impl CaseRunner {
    async fn step(&mut self, step: &Step) {
        match step {
            Step::Start { host, domain, hidden } => self.start(host, domain, *hidden).await,
            Step::Open { host } => self.host_mut(host).open().await,
            Step::Append {
                host,
                numbers,
                size_bytes,
                durability,
                then,
            } => {
                let outcome = self.append(host, numbers, *size_bytes, *durability).await;
                assert_eq!(outcome, *then);
            }
            Step::Until {
                host,
                number,
                durability,
                then,
            } => {
                while self.append(host, &[*number], 0, *durability).await != *then {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
            Step::Admitted { host, durability } => {
                while self.host(host).journal().admit((*durability).into()).is_err() {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
            Step::Alive { host, others } => {
                let view = host::peers_view(&self.hosts, host, others);
                self.host(host).set_peers(view);
            }
            Step::Mute { host, muted } => self.host(host).set_muted(*muted),
            Step::Script { host, writes } => {
                self.host(host)
                    .store
                    .script(writes.iter().map(|&fault| fault.into()));
            }
            Step::Store { host, fault } => self.host(host).store.set_fault((*fault).into()),
            Step::Recover {
                by,
                of,
                numbers,
                tail,
            } => {
                let failed = self.host(of).process.clone();
                let recovered = self.host(by).recovery().seal_and_read(&failed).await.unwrap();
                let sequences: Vec<_> = recovered.records.iter().map(|record| record.sequence).collect();
                assert_eq!(sequences, *numbers);
                assert_eq!(recovered.tail, (*tail).into());
            }
            Step::Remove { by, of } => {
                let failed = self.host(of).process.clone();
                self.host(by).recovery().remove(&failed).await.unwrap();
            }
        }
    }

    async fn start(&mut self, host_id: &str, domain: &str, hidden: bool) {
        let host = Host::start(host_id, domain, &self.store).await;
        self.hosts.insert(host_id.to_owned(), host);
        if hidden {
            return;
        }
        for host_id in self.hosts.keys() {
            let others: Vec<_> = self.hosts.keys().cloned().collect();
            let view = host::peers_view(&self.hosts, host_id, &others);
            self.hosts[host_id].set_peers(view);
        }
    }

    async fn append(
        &self,
        host: &str,
        numbers: &[u64],
        size_bytes: usize,
        level: DurabilityLevel,
    ) -> Outcome {
        let records = numbers.iter().map(|&number| record(number, size_bytes)).collect();
        let appended = self.host(host).journal().append(records, level.into());
        let outcome = appended.await.expect("the journal runs");
        match outcome {
            Ok(()) => Outcome::Durable,
            Err(JournalError::Fenced) => Outcome::Fenced,
            Err(JournalError::Unavailable { .. }) => Outcome::Unavailable,
            Err(JournalError::TooLarge) => Outcome::TooLarge,
        }
    }

    fn host(&self, host_id: &str) -> &Host {
        &self.hosts[host_id]
    }

    fn host_mut(&mut self, host_id: &str) -> &mut Host {
        self.hosts.get_mut(host_id).unwrap()
    }
}

impl From<DurabilityLevel> for Durability {
    fn from(level: DurabilityLevel) -> Self {
        match level {
            DurabilityLevel::Queued => Self::Queued,
            DurabilityLevel::Replicated => Self::Replicated,
            DurabilityLevel::Stored => Self::Stored,
        }
    }
}

impl From<StoreFault> for Fault {
    fn from(fault: StoreFault) -> Self {
        match fault {
            StoreFault::None => Self::None,
            StoreFault::Refused => Self::Refused,
            StoreFault::RequestLost => Self::RequestLost,
            StoreFault::ReplyLost => Self::ReplyLost,
        }
    }
}

impl From<ExpectedTail> for RecoveredTail {
    fn from(tail: ExpectedTail) -> Self {
        match tail {
            ExpectedTail::NotKept => Self::NotKept,
            ExpectedTail::Sealed => Self::Sealed,
            ExpectedTail::Unreached => Self::Unreached,
            ExpectedTail::Lost => Self::Lost,
        }
    }
}

fn record(number: u64, size_bytes: usize) -> Record {
    Record {
        root_id: "p-0001-a".to_owned(),
        sequence: number,
        event: Event::Released {
            program_id: "p-0001-a".to_owned(),
            endpoint_id: "e".repeat(size_bytes),
        },
    }
}

fn journal(path: &Path) -> datatest_stable::Result<()> {
    let steps: Vec<Step> = serde_json::from_str(&fs::read_to_string(path)?)?;
    let runtime = Runtime::new()?;
    runtime.block_on(async {
        let mut runner = CaseRunner {
            store: MemoryKeyValue::new(),
            hosts: BTreeMap::new(),
        };
        for (number, step) in steps.iter().enumerate() {
            println!("step {number}: {step:?}");
            timeout(STEP_TIMEOUT, runner.step(step))
                .await
                .expect("the step ends before the timeout");
        }
    });
    Ok(())
}

datatest_stable::harness! {
    { test = journal, root = "tests/journal", pattern = r"\.json$" },
}
