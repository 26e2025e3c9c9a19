//! Journals of all processes, kept in memory.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};
use burdockroad_daemon::{
    coordinator::JournalFactory,
    journal::{Appended, Durability, Journal, JournalError},
    takeover::{JournalRecovery, RecoveryError},
};
use tokio::sync::{mpsc, oneshot};

/// What the store holds of all journals.
#[derive(Clone, Debug)]
pub struct Journals {
    table: Arc<Mutex<BTreeMap<Process, Row>>>,
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
        }
    }

    /// The processes that have a journal.
    pub fn processes(&self) -> Vec<Process> {
        self.table.lock().unwrap().keys().cloned().collect()
    }

    fn add(&self, process: &Process, records: Vec<Record>) -> Result<(), JournalError> {
        let mut table = self.table.lock().unwrap();
        let row = table.entry(process.clone()).or_default();
        if row.sealed {
            return Err(JournalError::Fenced);
        }
        row.records.extend(records);
        Ok(())
    }
}

#[async_trait]
impl JournalFactory for Journals {
    async fn open(&self, process: Process) -> Result<Arc<dyn Journal>, JournalError> {
        let (sender, mut received) = mpsc::unbounded_channel::<Queued>();
        let journals = self.clone();
        let writer = process.clone();
        tokio::spawn(async move {
            while let Some(queued) = received.recv().await {
                let outcome = journals.add(&writer, queued.records);
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
    async fn seal_and_read(&self, gone: &Process, _: &Process) -> Result<Vec<Record>, RecoveryError> {
        let records = {
            let mut table = self.table.lock().unwrap();
            let row = table.entry(gone.clone()).or_default();
            row.sealed = true;
            row.records.clone()
        };
        Ok(records)
    }

    async fn remove(&self, gone: &Process) -> Result<(), RecoveryError> {
        self.table.lock().unwrap().remove(gone);
        Ok(())
    }

    async fn writers(&self) -> Result<Vec<Process>, RecoveryError> {
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
        let sealed = table.get(&self.process).is_some_and(|row| row.sealed);
        if sealed { Err(JournalError::Fenced) } else { Ok(()) }
    }
}
