//! Coordination of this host with the fleet: membership, the ownership map, takeovers and handoffs.
//!
//! The [`Views`] are created first, because the journal and the trees subscribe to them. The journal
//! (a [`JournalHandle`]) and the trees follow. The [`Coordinator`] is created last, because it needs
//! both.

mod journal_handle;
mod orphaned_journals;
mod rejoin;
mod views;
mod worker;

use std::{fmt, sync::Arc, time::Duration};

use burdockroad::{
    membership::{Member, Options},
    ownership::Process,
};
use tokio::{
    sync::{Notify, mpsc, oneshot},
    task::JoinHandle,
};

pub use self::{
    journal_handle::{JournalFactory, JournalHandle},
    rejoin::rejoin,
    views::Views,
};

use self::worker::{Command, Worker};
use crate::{
    config_watch::DocumentGossip,
    handoff::{Handoff, StagingAdopter, TreeSender},
    journal::Trees,
    membership::{Lease, MembershipArguments, MembershipHandle, MembershipSnapshot},
    ownership::{MapStore, OwnershipArguments, OwnershipHandle, OwnershipReceiver, PeersReceiver, Staging},
    peer::{AdoptHandler, HeartbeatHandler, PeerClients},
    platform::{HostList, SharedKeyValue},
    takeover::{JournalRecovery, Takeover},
};

/// Time that a shutdown waits for the worker beyond the timeout given to the worker.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);

/// Dependencies and settings of a [`Coordinator`].
#[derive(Debug)]
pub struct CoordinatorOptions {
    /// Views that the coordinator updates.
    pub views: Views,
    /// IP address and port on which peers reach this host.
    pub peer_address: String,
    /// Failure domain of this host.
    pub failure_domain: String,
    /// Timeouts and limits of the membership protocol.
    pub membership: Options,
    /// The platform's key-value service.
    pub store: SharedKeyValue,
    /// The platform's host list.
    pub host_list: Arc<dyn HostList>,
    /// This process's journal.
    pub journal: Arc<JournalHandle>,
    /// Journals of other processes.
    pub recovery: Arc<dyn JournalRecovery>,
    /// The program trees that this host serves.
    pub trees: Arc<dyn Trees>,
    /// Connections to peers.
    pub clients: Arc<PeerClients>,
    /// Source and receiver of the document freshness that heartbeats carry.
    pub document: Arc<dyn DocumentGossip>,
}

/// Error returned when a coordinator fails to start.
#[derive(Debug)]
pub struct StartError(ractor::SpawnErr);

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "an actor could not be started: {}", self.0)
    }
}

impl std::error::Error for StartError {}

impl From<ractor::SpawnErr> for StartError {
    fn from(cause: ractor::SpawnErr) -> Self {
        Self(cause)
    }
}

/// Participation of this host in the fleet: membership, partition ownership, takeovers and handoffs.
#[derive(Debug)]
pub struct Coordinator {
    ownership: OwnershipHandle,
    membership: MembershipHandle,
    staging: Arc<Staging>,
    journal: Arc<JournalHandle>,
    lease: Arc<Lease>,
    commands: mpsc::Sender<Command>,
    worker: JoinHandle<()>,
}

impl Coordinator {
    /// Starts sending heartbeats and taking part in partition ownership.
    ///
    /// # Errors
    ///
    /// Fails when an actor cannot be started.
    pub async fn start(options: CoordinatorOptions) -> Result<Self, StartError> {
        let me = options.journal.process();
        let fenced = Arc::new(Notify::new());
        let staging = Arc::new(Staging::new(me.clone(), options.journal.current()));
        let lease = options.views.lease();
        let ownership = start_ownership(&options, &me, &staging, &fenced).await?;
        let membership = start_membership(&options, &me, &ownership).await?;
        let (commands, command_receiver) = mpsc::channel(1);
        let takeover = Takeover {
            ownership: ownership.clone(),
            staging: Arc::clone(&staging),
            recovery: Arc::clone(&options.recovery),
        };
        let sender: Arc<dyn TreeSender> = Arc::clone(&options.clients) as Arc<dyn TreeSender>;
        let handoff = Handoff {
            ownership: ownership.clone(),
            staging: Arc::clone(&staging),
            trees: Arc::clone(&options.trees),
            sender,
        };
        let journal = Arc::clone(&options.journal);
        let worker = Worker::new(
            membership.clone(),
            takeover,
            handoff,
            Arc::clone(&journal),
            fenced,
        );
        Ok(Self {
            ownership,
            membership,
            staging,
            journal,
            lease,
            commands,
            worker: tokio::spawn(worker.run(command_receiver)),
        })
    }

    /// Returns a receiver of this host's copy of the ownership map.
    pub fn ownership(&self) -> OwnershipReceiver {
        self.ownership.view()
    }

    /// Returns a receiver of the peers that this host tracks.
    pub fn peers(&self) -> PeersReceiver {
        self.membership.peers()
    }

    /// Returns the lease under which this process may act as an owner.
    pub fn lease(&self) -> Arc<Lease> {
        Arc::clone(&self.lease)
    }

    /// Returns the handle of this process's journal. The handle stays valid across incarnations.
    pub fn journal(&self) -> Arc<JournalHandle> {
        Arc::clone(&self.journal)
    }

    /// Returns a receiver of the membership snapshot, which is updated on each tick.
    pub fn snapshot(&self) -> tokio::sync::watch::Receiver<Arc<MembershipSnapshot>> {
        self.membership.snapshot()
    }

    /// Returns the handler of heartbeats from peers.
    pub fn heartbeat_handler(&self) -> Arc<dyn HeartbeatHandler> {
        Arc::new(self.membership.clone())
    }

    /// Returns the handler of program trees that peers hand off to this host.
    pub fn adopt_handler(&self) -> Arc<dyn AdoptHandler> {
        Arc::new(StagingAdopter {
            ownership: self.ownership.clone(),
            staging: Arc::clone(&self.staging),
        })
    }

    /// Starts handing all partitions off to other hosts. This host stays up and forwards calls.
    pub fn drain(&self) {
        self.membership.leave();
    }

    /// Stops immediately without handing off partitions, as if the process had been killed.
    pub fn abort(self) {
        self.worker.abort();
        self.membership.close();
        self.ownership.close();
    }

    /// Hands off partitions to other hosts for at most `timeout`, then stops.
    ///
    /// Partitions that could not be handed off stay in the journal, and another host takes them over.
    /// Returns the number of these partitions.
    pub async fn shutdown(self, timeout: Duration) -> usize {
        self.membership.leave();
        let (reply, remaining) = oneshot::channel();
        let command = Command::Shutdown { timeout, reply };
        let remaining = match self.commands.send(command).await {
            Ok(()) => tokio::time::timeout(timeout + SHUTDOWN_MARGIN, remaining).await,
            Err(_) => Ok(Ok(0)),
        };
        // If the worker does not respond (for example because the store is unavailable), all owned
        // partitions count as remaining.
        let owned = self.ownership.view().borrow().own_partitions().len();
        let remaining = remaining.ok().and_then(Result::ok).unwrap_or(owned);
        self.worker.abort();
        self.membership.close();
        self.ownership.close();
        remaining
    }
}

async fn start_ownership(
    options: &CoordinatorOptions,
    me: &Process,
    staging: &Arc<Staging>,
    fenced: &Arc<Notify>,
) -> Result<OwnershipHandle, StartError> {
    let arguments = OwnershipArguments {
        me: me.clone(),
        store: MapStore::new(Arc::clone(&options.store)),
        staging: Arc::clone(staging),
        trees: Arc::clone(&options.trees),
        fenced: Arc::clone(fenced),
    };
    Ok(OwnershipHandle::start(arguments, options.views.ownership_sender()).await?)
}

async fn start_membership(
    options: &CoordinatorOptions,
    me: &Process,
    ownership: &OwnershipHandle,
) -> Result<MembershipHandle, StartError> {
    let arguments = MembershipArguments {
        me: Member {
            process: me.clone(),
            address: options.peer_address.clone(),
            failure_domain: options.failure_domain.clone(),
            leaving: false,
        },
        options: options.membership.clone(),
        host_list: Arc::clone(&options.host_list),
        clients: Arc::clone(&options.clients),
        ownership: ownership.view(),
        document: Arc::clone(&options.document),
    };
    let peers = options.views.peers_sender();
    Ok(MembershipHandle::start(arguments, peers, options.views.lease()).await?)
}
