//! The journal of this process, which changes with its incarnation.

use std::{
    fmt,
    sync::{Arc, PoisonError, RwLock},
};

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};

use crate::journal::{Appended, Durability, Journal, JournalError};

/// Opens journals.
#[async_trait]
pub trait JournalFactory: fmt::Debug + Send + Sync {
    /// Opens an empty journal for a new process; nothing is written yet.
    async fn open(&self, process: Process) -> Arc<dyn Journal>;
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
    /// Opens the journal of a process.
    pub async fn open(factory: Arc<dyn JournalFactory>, process: Process) -> Self {
        let journal = factory.open(process.clone()).await;
        Self {
            factory,
            open: RwLock::new(Open { process, journal }),
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

    /// Opens the journal of a new incarnation and puts it in place.
    pub(super) async fn reopen(&self) -> Process {
        let process = Process {
            host_id: self.process().host_id,
            incarnation: rand::random(),
        };
        let journal = self.factory.open(process.clone()).await;
        let opened = Open {
            process: process.clone(),
            journal,
        };
        *self.open.write().unwrap_or_else(PoisonError::into_inner) = opened;
        process
    }

    fn read<T>(&self, get: impl FnOnce(&Open) -> T) -> T {
        get(&self.open.read().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Journal for JournalHandle {
    fn append(&self, records: Vec<Record>, durability: Durability) -> Appended {
        self.current().append(records, durability)
    }

    fn is_fenced(&self) -> bool {
        self.current().is_fenced()
    }

    fn admit(&self, durability: Durability) -> Result<(), JournalError> {
        self.current().admit(durability)
    }
}
