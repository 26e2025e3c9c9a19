//! Handle of this process's journal, which is replaced with each new incarnation.

use std::{
    fmt,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};

use crate::journal::{Appended, Durability, Journal, JournalError};

/// Backoff before a journal is opened under another incarnation.
const REOPEN_BACKOFF: Duration = Duration::from_millis(200);

/// Opens one journal for each incarnation of this process.
#[async_trait]
pub trait JournalFactory: fmt::Debug + Send + Sync {
    /// Opens the journal of a new process. Returns once another process can seal the journal, which fences
    /// the new process permanently.
    ///
    /// # Errors
    ///
    /// Fails when the journal is sealed before it is fully open.
    async fn open(&self, process: Process) -> Result<Arc<dyn Journal>, JournalError>;
}

/// Handle that passes records to the journal of the current incarnation.
///
/// # Usage
///
/// After this process is fenced, its trees are cleared *before* the next incarnation's journal is
/// installed. Code that appends a record of a tree must therefore hold the lock that [`Trees::clear`]
/// takes, or keep the journal that was [`current`](Self::current) when the tree was adopted.
/// Otherwise a tree could be lost between the ownership check and the append, and its record would
/// go to the new journal.
///
/// [`Trees::clear`]: crate::journal::Trees::clear
#[derive(Debug)]
pub struct JournalHandle {
    factory: Arc<dyn JournalFactory>,
    open: RwLock<OpenJournal>,
}

#[derive(Debug)]
struct OpenJournal {
    process: Process,
    journal: Arc<dyn Journal>,
}

impl JournalHandle {
    /// Opens the journal of a process. If that journal is sealed while it is being opened, opens the
    /// journal of a new incarnation instead.
    ///
    /// Waits while the key-value service is unavailable.
    pub async fn open(factory: Arc<dyn JournalFactory>, process: Process) -> Self {
        let open = open_journal(factory.as_ref(), process).await;
        Self {
            factory,
            open: RwLock::new(open),
        }
    }

    /// Returns the process that the journal belongs to.
    pub fn process(&self) -> Process {
        self.read(|open| open.process.clone())
    }

    /// Returns the journal of the current incarnation.
    pub fn current(&self) -> Arc<dyn Journal> {
        self.read(|open| Arc::clone(&open.journal))
    }

    /// Returns whether this process has seen that its journal is sealed. It then owns no partitions.
    pub fn is_fenced(&self) -> bool {
        self.admit(Durability::Stored) == Err(JournalError::Fenced)
    }

    /// Opens the journal of a new incarnation and installs it as the current one.
    pub(super) async fn reopen(&self) -> Process {
        let next = next_incarnation(&self.process());
        let opened = open_journal(self.factory.as_ref(), next).await;
        let process = opened.process.clone();
        *self.open.write().unwrap_or_else(PoisonError::into_inner) = opened;
        process
    }

    fn read<T>(&self, get: impl FnOnce(&OpenJournal) -> T) -> T {
        get(&self.open.read().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn open_journal(factory: &dyn JournalFactory, first: Process) -> OpenJournal {
    let mut process = first;
    loop {
        match factory.open(process.clone()).await {
            Ok(journal) => return OpenJournal { process, journal },
            Err(cause) => log::warn!("event=journal_not_opened reason=\"{cause}\""),
        }
        tokio::time::sleep(REOPEN_BACKOFF).await;
        process = next_incarnation(&process);
    }
}

fn next_incarnation(process: &Process) -> Process {
    Process {
        host_id: process.host_id.clone(),
        incarnation: rand::random(),
    }
}

impl Journal for JournalHandle {
    fn append(&self, records: Vec<Record>, durability: Durability) -> Appended {
        self.current().append(records, durability)
    }

    fn admit(&self, durability: Durability) -> Result<(), JournalError> {
        self.current().admit(durability)
    }
}
