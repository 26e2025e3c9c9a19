//! Journals of this process, one for each incarnation, and recovery of the journals of dead processes.

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
        Journal, JournalError, JournalParts, RecoveredJournal, RecoveredTail, Recovery,
        RecoveryError as StoreRecoveryError, StoreJournal, StoreRecovery, TailStore, Trees, writer_options,
    },
    ownership::PeersReceiver,
    peer::PeerClients,
    platform::SharedKeyValue,
    settings::Settings,
    takeover::{JournalRecovery, RecoveryError},
};

/// Maximum wait for the peer that has a journal's tail, after which the tail counts as lost.
const TAIL_TIMEOUT: Duration = Duration::from_secs(2);

/// Backoff between two attempts to recover the tail from that peer.
const TAIL_BACKOFF: Duration = Duration::from_millis(300);

/// Factory of this process's journals in the store.
#[derive(Debug)]
pub(super) struct Journals {
    pub(super) store: SharedKeyValue,
    pub(super) settings: Settings,
    pub(super) peers: PeersReceiver,
    pub(super) clients: Arc<PeerClients>,
    /// Tail copies that this process stores for other hosts.
    pub(super) tails: Arc<TailStore>,
    /// Link between the trees of this process and its open journal, which may be set in either order.
    pub(super) cleanup: Mutex<CleanupLink>,
}

/// Trees and open journal. The journal can remove old segments only after it is connected to the trees.
#[derive(Debug, Default)]
pub(super) struct CleanupLink {
    trees: Option<Weak<dyn Trees>>,
    journal: Option<StoreJournal>,
}

impl Journals {
    /// Sets the trees from which the current and later journals request snapshots.
    pub(super) fn set_trees(&self, trees: &Arc<dyn Trees>) {
        let mut cleanup = self.lock();
        cleanup.trees = Some(Arc::downgrade(trees));
        cleanup.connect();
    }

    fn set_journal(&self, journal: StoreJournal) {
        let mut cleanup = self.lock();
        cleanup.journal = Some(journal);
        cleanup.connect();
    }

    fn lock(&self) -> MutexGuard<'_, CleanupLink> {
        self.cleanup.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CleanupLink {
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

/// Journal recovery that retries for up to `TAIL_TIMEOUT` while the peer that has the tail does not respond.
#[derive(Debug)]
pub(super) struct RetryingRecovery {
    pub(super) recovery: StoreRecovery,
}

impl RetryingRecovery {
    async fn seal_and_read_with_retries(
        &self,
        dead: &Process,
    ) -> Result<RecoveredJournal, StoreRecoveryError> {
        let deadline = Instant::now() + TAIL_TIMEOUT;
        loop {
            let recovered = self.recovery.seal_and_read(dead).await?;
            if recovered.tail != RecoveredTail::Unreached || Instant::now() >= deadline {
                return Ok(recovered);
            }
            tokio::time::sleep(TAIL_BACKOFF).await;
        }
    }
}

#[async_trait]
impl JournalRecovery for RetryingRecovery {
    async fn seal_and_read(
        &self,
        dead: &Process,
        _successor: &Process,
    ) -> Result<Vec<Record>, RecoveryError> {
        let recovered = self.seal_and_read_with_retries(dead).await?;
        if matches!(recovered.tail, RecoveredTail::Unreached | RecoveredTail::Lost) {
            log::error!(
                "event=tail_lost host={} incarnation={:016x}",
                dead.host_id,
                dead.incarnation
            );
        }
        Ok(recovered.records)
    }

    async fn remove(&self, dead: &Process) -> Result<(), RecoveryError> {
        Ok(self.recovery.remove(dead).await?)
    }

    async fn writers(&self) -> Result<Vec<Process>, RecoveryError> {
        Ok(self.recovery.journals().await?)
    }
}

impl From<StoreRecoveryError> for RecoveryError {
    fn from(cause: StoreRecoveryError) -> Self {
        match cause {
            StoreRecoveryError::Store(cause) => Self::Store(cause),
            damaged @ StoreRecoveryError::Damaged { .. } => {
                Self::Damaged(burdockroad::Error::new(damaged.to_string()))
            }
        }
    }
}
