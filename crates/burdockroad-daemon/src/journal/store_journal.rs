//! Journal of this process in the key-value service.

use std::{
    sync::{Arc, Weak},
    time::{Duration, Instant},
};

use burdockroad::{
    Record,
    journal::{Durability, JournalError, SEGMENT_MAX_BYTES, WriterOptions},
};
use ractor::{Actor, ActorRef};
use tokio::sync::{oneshot, watch};

use crate::{
    journal::{
        Appended, Journal, Trees,
        actor::{Admission, JournalActor, JournalArguments, JournalMessage},
    },
    ownership::{PeersReceiver, Process},
    peer::PeerClients,
    platform::SharedKeyValue,
    settings::StoreSettings,
};

/// Minimum backoff between two attempts to write the first segment.
const OPEN_BACKOFF: Duration = Duration::from_millis(200);

/// Dependencies and options of a journal.
#[derive(Clone, Debug)]
pub struct JournalParts {
    /// Store of the segments.
    pub store: SharedKeyValue,
    /// Peers that records may be replicated to.
    pub peers: PeersReceiver,
    /// Connections to these peers.
    pub clients: Arc<PeerClients>,
    /// Options of the writer.
    pub options: WriterOptions,
}

/// Journal of this process. Clones are handles of the same journal.
#[derive(Clone, Debug)]
pub struct StoreJournal {
    actor: ActorRef<JournalMessage>,
    admission: watch::Receiver<Admission>,
    owner: Process,
}

/// Returns the writer options for the journal of a process in a store.
pub fn writer_options(store: &StoreSettings, owner: Process, failure_domain: String) -> WriterOptions {
    let service = WriterOptions {
        owner,
        failure_domain,
        writer_id: rand::random(),
        segment_max_bytes: SEGMENT_MAX_BYTES,
        writes_per_s: 18.0,
        writes_burst: 6.0,
        window_min: Duration::from_millis(200),
        window_max: Duration::from_secs(2),
        append_timeout: Duration::from_secs(1),
        queue_max_bytes: 32 * 1024 * 1024,
        segments_max: 256,
        stored_max_bytes: 32 * 1024 * 1024,
    };
    match store {
        StoreSettings::Service { .. } => service,
        // The disk is not shared with other hosts, so the low write rate of the shared service does
        // not apply.
        StoreSettings::Embedded { .. } => WriterOptions {
            writes_per_s: 1_000.0,
            writes_burst: 100.0,
            ..service
        },
    }
}

impl StoreJournal {
    /// Opens the journal of a new process and waits until its first segment is stored.
    ///
    /// Only then may the ownership map name the process. Once its first segment is stored, a writer can be
    /// fenced permanently, because each later segment is created only while the one before it exists.
    ///
    /// # Errors
    ///
    /// Fails when the journal is sealed before it is fully open. Waits while the store is unavailable.
    pub async fn open(parts: JournalParts) -> Result<Self, JournalError> {
        let owner = parts.options.owner.clone();
        let (admission, admission_receiver) = watch::channel(Admission::default());
        let arguments = JournalArguments { parts, admission };
        // An unnamed actor fails to start only when its runtime is shutting down.
        let Ok((actor, _running)) = Actor::spawn(None, JournalActor, arguments).await else {
            return Err(unavailable());
        };
        let journal = Self {
            actor,
            admission: admission_receiver,
            owner,
        };
        journal.wait_open().await?;
        Ok(journal)
    }

    /// Sets the trees from which the journal requests snapshots. Old segments can be removed only after the
    /// snapshots of their trees are written.
    pub fn set_trees(&self, trees: Weak<dyn Trees>) {
        // A stopped actor removes no segments.
        let _cast = self.actor.cast(JournalMessage::SetTrees(trees));
    }

    /// Returns the process that the journal belongs to.
    pub fn process(&self) -> &Process {
        &self.owner
    }

    /// Waits until another process has sealed the journal or the journal has been closed.
    pub async fn fenced(&self) {
        let mut admission = self.admission.clone();
        // An error means that the actor has stopped, which is treated the same way.
        let _stopped = admission.wait_for(|admission| admission.fenced).await;
    }

    /// Writes the queued records and stops.
    ///
    /// # Errors
    ///
    /// Fails when the queue could not be written in time.
    pub async fn close(self) -> Result<(), JournalError> {
        let written = self.append(Vec::new(), Durability::Stored).await;
        self.actor.stop(None);
        written.unwrap_or_else(|_| Err(unavailable()))
    }

    async fn wait_open(&self) -> Result<(), JournalError> {
        loop {
            let opened = self.append(Vec::new(), Durability::Stored).await;
            match opened {
                Ok(Err(JournalError::Unavailable { retry_after })) => {
                    log::warn!(
                        "event=journal_not_open host={} reason=store_down",
                        self.owner.host_id
                    );
                    tokio::time::sleep(retry_after.max(OPEN_BACKOFF)).await;
                }
                Ok(result) => return result,
                Err(_) => return Err(unavailable()),
            }
        }
    }
}

impl Journal for StoreJournal {
    fn append(&self, records: Vec<Record>, durability: Durability) -> Appended {
        let (reply, appended) = oneshot::channel();
        let message = JournalMessage::Append {
            records,
            durability,
            reply,
            appended_at: Instant::now(),
        };
        // If the actor has stopped, the reply sender is dropped, and the caller's receiver reports it.
        let _cast = self.actor.cast(message);
        appended
    }

    fn admit(&self, durability: Durability) -> Result<(), JournalError> {
        let admission = self.admission.borrow();
        match durability {
            Durability::Queued => admission.queued.clone(),
            Durability::Replicated => admission.replicated.clone(),
            Durability::Stored => admission.stored.clone(),
        }
    }
}

fn unavailable() -> JournalError {
    JournalError::Unavailable {
        retry_after: OPEN_BACKOFF,
    }
}
