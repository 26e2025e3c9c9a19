//! The journal of this process, which changes with its incarnation.

use std::{
    fmt,
    sync::{Arc, PoisonError, RwLock},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};

use crate::journal::{Appended, Durability, Journal, JournalError};

/// Pause before the journal of another incarnation is opened.
const REOPEN_PAUSE: Duration = Duration::from_millis(200);

/// Opens journals.
#[async_trait]
pub trait JournalFactory: fmt::Debug + Send + Sync {
    /// Opens the journal of a new process, and returns once the process can be fenced for good.
    ///
    /// # Errors
    ///
    /// Fails when the journal was sealed before it was open.
    async fn open(&self, process: Process) -> Result<Arc<dyn Journal>, JournalError>;
}

/// Passes records to the journal of the present incarnation.
///
/// # Use
///
/// After this process was fenced, its trees are cleared *before* the next incarnation's journal is put
/// in place. Whoever appends a record of a tree must therefore hold what [`Trees::clear`] has to take,
/// or hold on to the journal that was [`current`](Self::current) when the tree was adopted: a check that
/// the tree is owned, followed by an append at some later time, could add a record of a lost tree to
/// the new journal.
///
/// [`Trees::clear`]: crate::journal::Trees::clear
#[derive(Debug)]
pub struct JournalHandle {
    factory: Arc<dyn JournalFactory>,
    open: RwLock<Open>,
}

#[derive(Debug)]
struct Open {
    process: Process,
    journal: Arc<dyn Journal>,
}

impl JournalHandle {
    /// Opens the journal of a process; of another incarnation, when the first one is sealed meanwhile.
    ///
    /// Waits while the key-value service is down.
    pub async fn open(factory: Arc<dyn JournalFactory>, process: Process) -> Self {
        let open = open_journal(factory.as_ref(), process).await;
        Self {
            factory,
            open: RwLock::new(open),
        }
    }

    /// The process that the journal belongs to.
    pub fn process(&self) -> Process {
        self.read(|open| open.process.clone())
    }

    /// The journal of the present incarnation.
    pub fn current(&self) -> Arc<dyn Journal> {
        self.read(|open| Arc::clone(&open.journal))
    }

    /// Whether the journal is known to be sealed, so that this process owns nothing any more.
    pub fn is_fenced(&self) -> bool {
        self.admit(Durability::Stored) == Err(JournalError::Fenced)
    }

    /// Opens the journal of a new incarnation and puts it in place.
    pub(super) async fn reopen(&self) -> Process {
        let next = next_incarnation(&self.process());
        let opened = open_journal(self.factory.as_ref(), next).await;
        let process = opened.process.clone();
        *self.open.write().unwrap_or_else(PoisonError::into_inner) = opened;
        process
    }

    fn read<T>(&self, get: impl FnOnce(&Open) -> T) -> T {
        get(&self.open.read().unwrap_or_else(PoisonError::into_inner))
    }
}

async fn open_journal(factory: &dyn JournalFactory, first: Process) -> Open {
    let mut process = first;
    loop {
        match factory.open(process.clone()).await {
            Ok(journal) => return Open { process, journal },
            Err(cause) => log::warn!("event=journal_not_opened reason=\"{cause}\""),
        }
        tokio::time::sleep(REOPEN_PAUSE).await;
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
