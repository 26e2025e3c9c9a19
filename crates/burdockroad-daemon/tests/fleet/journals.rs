//! In-memory journals of all processes.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};
use burdockroad_daemon::{
    coordinator::JournalFactory,
    journal::{Appended, Durability, Journal, JournalError},
    takeover::{JournalRecovery, RecoveryError},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{mpsc, oneshot};

use crate::model_store::Gate;

/// The stored journals of all processes.
#[derive(Clone, Debug)]
pub struct Journals {
    table: Arc<Mutex<BTreeMap<Process, StoredJournal>>>,
    /// The processes in the order in which they opened their journals. The order of the processes
    /// themselves would differ between runs, because incarnations are random.
    opened: Arc<Mutex<Vec<Process>>>,
    delay_rng: Arc<Mutex<Option<ChaCha8Rng>>>,
    /// Blocks the writer while its process is paused, and after it has crashed.
    gate: Gate,
}

#[derive(Debug, Default)]
struct StoredJournal {
    records: Vec<Record>,
    sealed: bool,
}

impl Journals {
    /// Creates journals that respond without delay.
    pub fn new() -> Self {
        Self {
            table: Arc::default(),
            opened: Arc::default(),
            delay_rng: Arc::default(),
            gate: Gate::default(),
        }
    }

    /// Creates journals that respond after random delays from a generator with the given seed.
    pub fn with_delays(seed: u64) -> Self {
        let delay_rng = Some(ChaCha8Rng::seed_from_u64(seed));
        Self {
            table: Arc::default(),
            opened: Arc::default(),
            delay_rng: Arc::new(Mutex::new(delay_rng)),
            gate: Gate::default(),
        }
    }

    /// Returns the same journals as seen by a process behind `gate`.
    pub fn behind(&self, gate: &Gate) -> Self {
        Self {
            gate: gate.clone(),
            ..self.clone()
        }
    }

    /// Returns the processes that have a journal, in an order that is the same in every run.
    pub fn processes(&self) -> Vec<Process> {
        let processes = self.table.lock().unwrap().keys().cloned().collect();
        self.in_order(&processes)
    }

    /// Returns the given processes in the order in which they opened their journals.
    pub fn in_order(&self, processes: &BTreeSet<Process>) -> Vec<Process> {
        let opened = self.opened.lock().unwrap();
        opened
            .iter()
            .filter(|process| processes.contains(*process))
            .cloned()
            .collect()
    }

    async fn delay(&self) {
        let delay_ms = self
            .delay_rng
            .lock()
            .unwrap()
            .as_mut()
            .map(|rng| rng.random_range(0..20));
        if let Some(delay_ms) = delay_ms {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            self.gate.pass().await;
        }
    }

    fn append_records(&self, process: &Process, records: Vec<Record>) -> Result<(), JournalError> {
        let mut table = self.table.lock().unwrap();
        // A writer cannot continue after its journal was removed, because each write requires its predecessor.
        match table.get_mut(process) {
            Some(journal) if !journal.sealed => {
                journal.records.extend(records);
                Ok(())
            }
            _ => Err(JournalError::Fenced),
        }
    }
}

#[async_trait]
impl JournalFactory for Journals {
    async fn open(&self, process: Process) -> Result<Arc<dyn Journal>, JournalError> {
        self.table
            .lock()
            .unwrap()
            .insert(process.clone(), StoredJournal::default());
        self.opened.lock().unwrap().push(process.clone());
        let (sender, mut receiver) = mpsc::unbounded_channel::<QueuedAppend>();
        let journals = self.clone();
        let writer = process.clone();
        tokio::spawn(async move {
            while let Some(queued) = receiver.recv().await {
                journals.delay().await;
                let outcome = journals.append_records(&writer, queued.records);
                journals.delay().await;
                let _ = queued.reply.send(outcome);
            }
        });
        Ok(Arc::new(MemoryJournal {
            process,
            journals: self.clone(),
            sender,
        }))
    }
}

#[async_trait]
impl JournalRecovery for Journals {
    async fn seal_and_read(&self, dead: &Process, _: &Process) -> Result<Vec<Record>, RecoveryError> {
        self.delay().await;
        let records = {
            let mut table = self.table.lock().unwrap();
            let journal = table.entry(dead.clone()).or_default();
            journal.sealed = true;
            journal.records.clone()
        };
        self.delay().await;
        Ok(records)
    }

    async fn remove(&self, dead: &Process) -> Result<(), RecoveryError> {
        self.delay().await;
        self.table.lock().unwrap().remove(dead);
        Ok(())
    }

    async fn writers(&self) -> Result<Vec<Process>, RecoveryError> {
        self.delay().await;
        Ok(self.processes())
    }
}

#[derive(Debug)]
struct QueuedAppend {
    records: Vec<Record>,
    reply: oneshot::Sender<Result<(), JournalError>>,
}

/// Writer of one journal, with one write in flight at a time.
#[derive(Debug)]
struct MemoryJournal {
    process: Process,
    journals: Journals,
    sender: mpsc::UnboundedSender<QueuedAppend>,
}

impl Journal for MemoryJournal {
    fn append(&self, records: Vec<Record>, _: Durability) -> Appended {
        let (reply, appended) = oneshot::channel();
        let _ = self.sender.send(QueuedAppend { records, reply });
        appended
    }

    fn admit(&self, _: Durability) -> Result<(), JournalError> {
        let table = self.journals.table.lock().unwrap();
        let sealed = table.get(&self.process).is_none_or(|journal| journal.sealed);
        if sealed { Err(JournalError::Fenced) } else { Ok(()) }
    }
}
