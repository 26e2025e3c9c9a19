//! The journal of this process, kept in the key-value service.

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

/// Pause between two tries to write the first segment.
const OPEN_PAUSE: Duration = Duration::from_millis(200);

/// What a journal is made of.
#[derive(Clone, Debug)]
pub struct JournalParts {
    /// Where the segments go.
    pub store: SharedKeyValue,
    /// Peers that may hold copies.
    pub peers: PeersReceiver,
    /// Connections to them.
    pub clients: Arc<PeerClients>,
    /// How the writer goes about its work.
    pub options: WriterOptions,
}

/// The journal of this process; clones are handles of the same one.
#[derive(Clone, Debug)]
pub struct StoreJournal {
    actor: ActorRef<JournalMessage>,
    admission: watch::Receiver<Admission>,
    me: Process,
}

/// Options that fit a store, for the journal of one process.
pub fn writer_options(store: &StoreSettings, me: Process, failure_domain: String) -> WriterOptions {
    let service = WriterOptions {
        me,
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
        // Nobody shares the disk, so there are no rates to keep to.
        StoreSettings::Embedded { .. } => WriterOptions {
            writes_per_s: 1_000.0,
            writes_burst: 100.0,
            ..service
        },
    }
}

impl StoreJournal {
    /// Opens the journal of a new process, and waits until its first segment is stored.
    ///
    /// Only then may the ownership map name the process: from its first segment on, a writer can be
    /// fenced for good, since each later segment is created only while the one before it exists.
    ///
    /// # Errors
    ///
    /// Fails when the journal is sealed before it was open. While the store is down, it waits.
    pub async fn open(parts: JournalParts) -> Result<Self, JournalError> {
        let me = parts.options.me.clone();
        let (admission, admission_receiver) = watch::channel(Admission::default());
        let arguments = JournalArguments { parts, admission };
        // An actor without a name fails to start only when its runtime is shutting down.
        let Ok((actor, _running)) = Actor::spawn(None, JournalActor, arguments).await else {
            return Err(unavailable());
        };
        let journal = Self {
            actor,
            admission: admission_receiver,
            me,
        };
        journal.wait_open().await?;
        Ok(journal)
    }

    /// Names the trees of which snapshots are asked when old segments are cleaned away.
    pub fn set_trees(&self, trees: Weak<dyn Trees>) {
        // A stopped actor cleans nothing any more.
        let _cast = self.actor.cast(JournalMessage::SetTrees(trees));
    }

    /// The process that the journal belongs to.
    pub fn process(&self) -> &Process {
        &self.me
    }

    /// Waits until another process has sealed the journal, or it was closed.
    pub async fn fenced(&self) {
        let mut admission = self.admission.clone();
        // An error means that the actor has ended, which counts as well.
        let _ended = admission.wait_for(|admission| admission.fenced).await;
    }

    /// Writes what is queued, and stops.
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
                        self.me.host_id
                    );
                    tokio::time::sleep(retry_after.max(OPEN_PAUSE)).await;
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
            at: Instant::now(),
        };
        // With the actor gone the reply is dropped, which the caller sees.
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
        retry_after: OPEN_PAUSE,
    }
}
