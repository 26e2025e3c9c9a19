//! The journals of this process, one for each incarnation, and those of processes that are gone.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad::{Record, ownership::Process};
use tokio::time::Instant;

use crate::{
    coordinator::JournalFactory,
    journal::{
        Journal, JournalError, JournalParts, Recovered, RecoveredTail, Recovery,
        RecoveryError as StoredError, StoreJournal, StoreRecovery, TailStore, Trees, writer_options,
    },
    ownership::PeersReceiver,
    peer::PeerClients,
    platform::SharedKeyValue,
    settings::Settings,
    takeover::{JournalRecovery, RecoveryError},
};

/// Longest wait for the peer that holds a journal's tail, before the tail counts as lost.
const TAIL_PATIENCE: Duration = Duration::from_secs(2);

/// Pause between two questions to that peer.
const TAIL_PAUSE: Duration = Duration::from_millis(300);

/// Opens this process's journals in the store.
#[derive(Debug)]
pub(super) struct Journals {
    pub(super) store: SharedKeyValue,
    pub(super) settings: Settings,
    pub(super) peers: PeersReceiver,
    pub(super) clients: Arc<PeerClients>,
    /// Copies that this process keeps for others.
    pub(super) tails: Arc<TailStore>,
    /// The trees of this process and its open journal, whichever of them comes first.
    pub(super) cleaning: Mutex<Cleaning>,
}

/// What has to meet before old segments can be cleaned away.
#[derive(Debug, Default)]
pub(super) struct Cleaning {
    trees: Option<Weak<dyn Trees>>,
    journal: Option<StoreJournal>,
}

impl Journals {
    /// Names the trees of which this and later journals ask snapshots.
    pub(super) fn set_trees(&self, trees: &Arc<dyn Trees>) {
        let mut cleaning = self.lock();
        cleaning.trees = Some(Arc::downgrade(trees));
        cleaning.connect();
    }

    fn set_journal(&self, journal: StoreJournal) {
        let mut cleaning = self.lock();
        cleaning.journal = Some(journal);
        cleaning.connect();
    }

    fn lock(&self) -> MutexGuard<'_, Cleaning> {
        self.cleaning.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Cleaning {
    fn connect(&self) {
        if let (Some(journal), Some(trees)) = (&self.journal, &self.trees) {
            journal.set_trees(Weak::clone(trees));
        }
    }
}

#[async_trait]
impl JournalFactory for Journals {
    async fn open(&self, process: Process) -> Result<Arc<dyn Journal>, JournalError> {
        if self.tails.process() != process {
            self.tails.restart(process.clone());
        }
        let failure_domain = self.settings.failure_domain.clone();
        let parts = JournalParts {
            store: Arc::clone(&self.store),
            peers: self.peers.clone(),
            clients: Arc::clone(&self.clients),
            options: writer_options(&self.settings.store, process, failure_domain),
        };
        let journal = StoreJournal::open(parts).await?;
        self.set_journal(journal.clone());
        Ok(Arc::new(journal))
    }
}

/// Recovers journals, and gives the peer that holds a tail some time to answer.
#[derive(Debug)]
pub(super) struct PatientRecovery {
    pub(super) recovery: StoreRecovery,
}

impl PatientRecovery {
    async fn seal_and_read_patiently(&self, gone: &Process) -> Result<Recovered, StoredError> {
        let latest = Instant::now() + TAIL_PATIENCE;
        loop {
            let recovered = self.recovery.seal_and_read(gone).await?;
            if recovered.tail != RecoveredTail::Unreached || Instant::now() >= latest {
                return Ok(recovered);
            }
            tokio::time::sleep(TAIL_PAUSE).await;
        }
    }
}

#[async_trait]
impl JournalRecovery for PatientRecovery {
    async fn seal_and_read(
        &self,
        gone: &Process,
        _successor: &Process,
    ) -> Result<Vec<Record>, RecoveryError> {
        let recovered = self.seal_and_read_patiently(gone).await?;
        if matches!(recovered.tail, RecoveredTail::Unreached | RecoveredTail::Lost) {
            log::error!(
                "event=tail_lost host={} incarnation={:016x}",
                gone.host_id,
                gone.incarnation
            );
        }
        Ok(recovered.records)
    }

    async fn remove(&self, gone: &Process) -> Result<(), RecoveryError> {
        Ok(self.recovery.remove(gone).await?)
    }

    async fn writers(&self) -> Result<Vec<Process>, RecoveryError> {
        Ok(self.recovery.journals().await?)
    }
}

impl From<StoredError> for RecoveryError {
    fn from(cause: StoredError) -> Self {
        match cause {
            StoredError::Store(cause) => Self::Store(cause),
            damaged @ StoredError::Damaged { .. } => {
                Self::Damaged(burdockroad::Error::new(damaged.to_string()))
            }
        }
    }
}
