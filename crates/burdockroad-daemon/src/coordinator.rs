//! Keeps this host in the fleet: membership, the ownership map, takeovers and handoffs.
//!
//! [`Views`] are made first, since the journal and the trees watch them. Then come the journal, as a
//! [`JournalHandle`], the trees, and at last the [`Coordinator`], which needs both.

mod journal_handle;
mod leftovers;
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
    membership::{Lease, MembershipArguments, MembershipHandle, Standing},
    ownership::{MapStore, OwnershipArguments, OwnershipHandle, OwnershipReceiver, PeersReceiver, Staging},
    peer::{AdoptHandler, HeartbeatHandler, PeerClients},
    platform::{HostList, SharedKeyValue},
    takeover::{JournalRecovery, Takeover},
};

/// Time beyond its patience after which a shutdown no longer waits for the worker.
const SHUTDOWN_MARGIN: Duration = Duration::from_secs(1);

/// What a coordinator works with.
#[derive(Debug)]
pub struct CoordinatorOptions {
    /// What it publishes to.
    pub views: Views,
    /// IP number and port for peers.
    pub peer_address: String,
    /// Failure domain that this host stands in.
    pub failure_domain: String,
    /// Times and sizes of the membership.
    pub membership: Options,
    /// The platform's key-value service.
    pub store: SharedKeyValue,
    /// The platform's host list.
    pub host_list: Arc<dyn HostList>,
    /// This process's journal.
    pub journal: Arc<JournalHandle>,
    /// Journals of other processes.
    pub recovery: Arc<dyn JournalRecovery>,
    /// The trees that are served here.
    pub trees: Arc<dyn Trees>,
    /// Connections to the peers.
    pub clients: Arc<PeerClients>,
    /// The document's version and age, which go with the heartbeats.
    pub document: Arc<dyn DocumentGossip>,
}

/// Why a coordinator did not start.
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

/// Keeps this host in the fleet until it is shut down.
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
    /// Starts to send heartbeats and to take part in the ownership of partitions.
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
        let (commands, received) = mpsc::channel(1);
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
            worker: tokio::spawn(worker.run(received)),
        })
    }

    /// The ownership map as this host knows it.
    pub fn ownership(&self) -> OwnershipReceiver {
        self.ownership.view()
    }

    /// Peers that this host has heard from lately.
    pub fn peers(&self) -> PeersReceiver {
        self.membership.peers()
    }

    /// Whether this process may act as an owner.
    pub fn lease(&self) -> Arc<Lease> {
        Arc::clone(&self.lease)
    }

    /// The journal of this process, whichever incarnation it goes on as.
    pub fn journal(&self) -> Arc<JournalHandle> {
        Arc::clone(&self.journal)
    }

    /// What the membership says, after each tick.
    pub fn standing(&self) -> tokio::sync::watch::Receiver<Arc<Standing>> {
        self.membership.standing()
    }

    /// Answers heartbeats of peers.
    pub fn heartbeat_handler(&self) -> Arc<dyn HeartbeatHandler> {
        Arc::new(self.membership.clone())
    }

    /// Takes trees from peers.
    pub fn adopt_handler(&self) -> Arc<dyn AdoptHandler> {
        Arc::new(StagingAdopter {
            ownership: self.ownership.clone(),
            staging: Arc::clone(&self.staging),
        })
    }

    /// Starts to move everything to other hosts; this host stays up and forwards calls.
    pub fn drain(&self) {
        self.membership.leave();
    }

    /// Stops at once and moves nothing, as if the process had been killed.
    pub fn abort(self) {
        self.worker.abort();
        self.membership.close();
        self.ownership.close();
    }

    /// Moves everything to other hosts, as far as `patience` allows, and stops.
    ///
    /// What could not be moved stays in the journal, and another host takes it over. Returns the number
    /// of partitions that were left.
    pub async fn shutdown(self, patience: Duration) -> usize {
        self.membership.leave();
        let (reply, left) = oneshot::channel();
        let command = Command::Shutdown { patience, reply };
        let left = match self.commands.send(command).await {
            Ok(()) => tokio::time::timeout(patience + SHUTDOWN_MARGIN, left).await,
            Err(_) => Ok(Ok(0)),
        };
        // A worker that cannot answer, for instance since the store is down, leaves what there is.
        let owned = self.ownership.view().borrow().own_partitions().len();
        let left = left.ok().and_then(Result::ok).unwrap_or(owned);
        self.worker.abort();
        self.membership.close();
        self.ownership.close();
        left
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
