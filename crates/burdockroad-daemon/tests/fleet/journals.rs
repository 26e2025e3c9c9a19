//! Journals of all processes, kept in memory.

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

/// What the store holds of all journals.
#[derive(Clone, Debug)]
pub struct Journals {
    table: Arc<Mutex<BTreeMap<Process, Row>>>,
    /// The processes in the order in which they opened their journals; their incarnations are random.
    opened: Arc<Mutex<Vec<Process>>>,
    delays: Arc<Mutex<Option<ChaCha8Rng>>>,
    /// Stops the writer when its process is paused or has crashed.
    gate: Gate,
}

#[derive(Debug, Default)]
struct Row {
    records: Vec<Record>,
    sealed: bool,
}

impl Journals {
    /// Journals that answer at once.
    pub fn new() -> Self {
        Self {
            table: Arc::default(),
            opened: Arc::default(),
            delays: Arc::default(),
            gate: Gate::default(),
        }
    }

    /// Journals that answer after times drawn from a seed.
    pub fn with_delays(seed: u64) -> Self {
        let delays = Some(ChaCha8Rng::seed_from_u64(seed));
        Self {
            table: Arc::default(),
            opened: Arc::default(),
            delays: Arc::new(Mutex::new(delays)),
            gate: Gate::default(),
        }
    }

    /// The same journals, as a process behind a gate reaches them.
    pub fn behind(&self, gate: &Gate) -> Self {
        Self {
            gate: gate.clone(),
            ..self.clone()
        }
    }

    /// The processes that have a journal, in an order that is the same on every run.
    pub fn processes(&self) -> Vec<Process> {
        let held = self.table.lock().unwrap().keys().cloned().collect();
        self.in_order(&held)
    }

    /// Some processes, in the order in which they opened their journals.
    pub fn in_order(&self, processes: &BTreeSet<Process>) -> Vec<Process> {
        let opened = self.opened.lock().unwrap();
        opened
            .iter()
            .filter(|process| processes.contains(*process))
            .cloned()
            .collect()
    }

    async fn delay(&self) {
        let drawn = self
            .delays
            .lock()
            .unwrap()
            .as_mut()
            .map(|rng| rng.random_range(0..20));
        if let Some(drawn) = drawn {
            tokio::time::sleep(Duration::from_millis(drawn)).await;
            self.gate.pass().await;
        }
    }

    fn add(&self, process: &Process, records: Vec<Record>) -> Result<(), JournalError> {
        let mut table = self.table.lock().unwrap();
        // A writer cannot go on after its journal was removed: each write needs the one before it.
        match table.get_mut(process) {
            Some(row) if !row.sealed => {
                row.records.extend(records);
                Ok(())
            }
            _ => Err(JournalError::Fenced),
        }
    }
}

#[async_trait]
impl JournalFactory for Journals {
    async fn open(&self, process: Process) -> Result<Arc<dyn Journal>, JournalError> {
        self.table.lock().unwrap().insert(process.clone(), Row::default());
        self.opened.lock().unwrap().push(process.clone());
        let (sender, mut received) = mpsc::unbounded_channel::<Queued>();
        let journals = self.clone();
        let writer = process.clone();
        tokio::spawn(async move {
            while let Some(queued) = received.recv().await {
                journals.delay().await;
                let outcome = journals.add(&writer, queued.records);
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
            let row = table.entry(dead.clone()).or_default();
            row.sealed = true;
            row.records.clone()
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
struct Queued {
    records: Vec<Record>,
    reply: oneshot::Sender<Result<(), JournalError>>,
}

/// Writer of one journal; one write is under way at a time.
#[derive(Debug)]
struct MemoryJournal {
    process: Process,
    journals: Journals,
    sender: mpsc::UnboundedSender<Queued>,
}

impl Journal for MemoryJournal {
    fn append(&self, records: Vec<Record>, _: Durability) -> Appended {
        let (reply, appended) = oneshot::channel();
        let _ = self.sender.send(Queued { records, reply });
        appended
    }

    fn admit(&self, _: Durability) -> Result<(), JournalError> {
        let table = self.journals.table.lock().unwrap();
        let sealed = table.get(&self.process).is_none_or(|row| row.sealed);
        if sealed { Err(JournalError::Fenced) } else { Ok(()) }
    }
}
