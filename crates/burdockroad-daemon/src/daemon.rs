//! Assembly, startup and shutdown of a daemon.

mod journals;
mod observed_hosts;
mod operators;

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, Mutex, atomic::AtomicBool},
    time::Duration,
};

use burdockroad::{
    PARTITIONS, membership,
    program::ProgramsOptions,
    retry::{RetryBudgets, RetryOptions},
};
use tokio::{net::TcpListener, sync::oneshot, task::JoinHandle};

use self::{journals::Journals, observed_hosts::ObservedHostList, operators::OperatorApi};
use crate::{
    admin::{self, AdminHandlers},
    calls::{CallLimits, CallRunner},
    config_watch::{ConfigWatch, DocumentOffer, InForceReceiver},
    coordinator::{Coordinator, CoordinatorOptions, JournalHandle, StartError, Views},
    dispatch::{DispatchParts, PoolDispatcher},
    document_source::{DocumentSource, LeavingReceiver},
    edge::{Edge, EdgeLimits},
    endpoint::{Endpoints, HttpEndpoints},
    http::{CallerServer, CallerServerParts},
    journal::{StoreRecovery, TailStore, Trees},
    prefix_cache::{EnginePrefixCache, PrefixCacheAudit},
    peer::{self, PeerClients, PeerHandlers},
    platform::{self, PlatformError, SharedKeyValue},
    programs::{ProgramsHandle, ProgramsParts},
    quota::{EscrowQuota, QuotaParts},
    settings::Settings,
    telemetry::Telemetry,
};

/// Interval between two ticks of the programs.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of a response of a plain service, in bytes.
const RESPONSE_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Maximum wait for a program that is moving between hosts. This is longer than a takeover takes.
const MOVING_TIMEOUT: Duration = Duration::from_secs(8);

/// Error returned when a daemon fails to start.
#[derive(Debug)]
pub enum DaemonError {
    /// The platform's services cannot be used with the settings.
    Platform(PlatformError),
    /// The daemon cannot listen on an address.
    Listen {
        /// The address.
        address: String,
        /// Error of the operating system.
        cause: io::Error,
    },
    /// An actor could not be started.
    Actor(ractor::SpawnErr),
    /// The coordinator could not be started.
    Coordinator(StartError),
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform(cause) => cause.fmt(f),
            Self::Listen { address, cause } => write!(f, "cannot listen on {address}: {cause}"),
            Self::Actor(cause) => write!(f, "an actor could not be started: {cause}"),
            Self::Coordinator(cause) => cause.fmt(f),
        }
    }
}

impl std::error::Error for DaemonError {}

impl From<PlatformError> for DaemonError {
    fn from(cause: PlatformError) -> Self {
        Self::Platform(cause)
    }
}

impl From<ractor::SpawnErr> for DaemonError {
    fn from(cause: ractor::SpawnErr) -> Self {
        Self::Actor(cause)
    }
}

impl From<StartError> for DaemonError {
    fn from(cause: StartError) -> Self {
        Self::Coordinator(cause)
    }
}

/// Running daemon.
#[derive(Debug)]
pub struct Daemon {
    caller_address: SocketAddr,
    peer_address: SocketAddr,
    admin_address: SocketAddr,
    shutdown_timeout: Duration,
    coordinator: Arc<Coordinator>,
    admin: AdminServer,
    maintenance: JoinHandle<()>,
    callers: CallerServer,
    peers: PeerServer,
    programs: Arc<ProgramsHandle>,
    config: ConfigWatch,
    audit: PrefixCacheAudit,
    ticker: JoinHandle<()>,
}

/// Server for requests from peers.
#[derive(Debug)]
struct PeerServer {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

/// State shared by all components of the daemon.
struct Components {
    settings: Settings,
    store: SharedKeyValue,
    clients: Arc<PeerClients>,
    views: Views,
    tails: Arc<TailStore>,
    endpoints: Arc<dyn Endpoints>,
    in_force: InForceReceiver,
    telemetry: Telemetry,
}

impl Daemon {
    /// Starts a daemon with the given settings. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// Fails when an address is in use, or when the settings specify a platform service that cannot be used.
    pub async fn start(settings: Settings, telemetry: Telemetry) -> Result<Self, DaemonError> {
        let admin_listener = listen(&settings.admin_address).await?;
        let admin_address = local_address(&admin_listener, &settings.admin_address)?;
        let caller_listener = listen(&settings.caller_address).await?;
        let peer_listener = listen(&settings.peer_address).await?;
        let caller_address = local_address(&caller_listener, &settings.caller_address)?;
        let peer_address = local_address(&peer_listener, &settings.peer_address)?;
        let shutdown_timeout = Duration::from_secs(settings.limits.shutdown_timeout_s);

        let store = platform::connect(&settings.store)?;
        let hosts = platform::connect_host_list(&settings.host_list)?;
        let (hosts, leaving) = ObservedHostList::new(hosts);
        let clients = Arc::new(PeerClients::new());
        let config = ConfigWatch::start(settings.host_id.clone(), Arc::clone(&store), Arc::clone(&clients));
        let views = Views::new(settings.host_id.clone());
        let components = Components {
            tails: Arc::new(TailStore::new(views.me())),
            endpoints: Arc::new(HttpEndpoints::new()),
            in_force: config.in_force(),
            settings,
            store,
            clients,
            views,
            telemetry,
        };
        let journals = Arc::new(components.journals());
        let journal = Arc::new(JournalHandle::open(Arc::clone(&journals) as _, components.views.me()).await);
        let programs = Arc::new(components.start_programs(&journal).await?);
        let trees: Arc<dyn Trees> = Arc::clone(&programs) as Arc<dyn Trees>;
        journals.set_trees(&trees);

        let options = components.coordinator_options(&config, hosts, journal, trees, peer_address);
        let coordinator = Arc::new(Coordinator::start(options).await?);
        let services = components
            .start_serving(&coordinator, &config, &programs, leaving)
            .await?;
        let peers = PeerServer::start(peer_listener, services.handlers);
        let parts = CallerServerParts {
            edge: services.edge,
            in_force: components.in_force.clone(),
            limits: components.settings.limits.clone(),
        };
        let callers = CallerServer::start(caller_listener, parts);
        let audit = PrefixCacheAudit::start(
            components.engine_memory(),
            components.views.ownership(),
            ProgramsHandle::clone(&programs),
        );
        let ticker = tokio::spawn(tick(ProgramsHandle::clone(&programs)));
        let operators = Arc::new(components.operators(&coordinator, &programs));
        let admin = AdminServer::start(admin_listener, &operators, config.offer());
        let maintenance = tokio::spawn(components.telemetry.clone().maintain());
        log::info!(
            "event=started host={} callers={caller_address} peers={peer_address}",
            components.settings.host_id
        );
        Ok(Self {
            caller_address,
            peer_address,
            admin_address,
            shutdown_timeout,
            coordinator,
            admin,
            maintenance,
            callers,
            peers,
            programs,
            config,
            audit,
            ticker,
        })
    }

    /// Returns the address on which the daemon serves callers.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Returns the address on which the daemon serves peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the address on which the daemon serves operators and the load balancer.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Waits for running calls, hands off all partitions, and stops.
    pub async fn close(self) {
        log::info!("event=stopping");
        // Close the caller server first, because its running calls may belong to programs of this host.
        self.admin.operators.set_draining();
        self.coordinator.drain();
        self.callers.close(self.shutdown_timeout).await;
        // A running operator request may still hold a reference to the coordinator. Other hosts then take
        // over the partitions.
        let remaining = match Arc::into_inner(self.coordinator) {
            Some(coordinator) => coordinator.shutdown(self.shutdown_timeout).await,
            None => usize::from(PARTITIONS),
        };
        self.admin.close().await;
        self.maintenance.abort();
        self.peers.close().await;
        self.ticker.abort();
        self.audit.close();
        ProgramsHandle::clone(&self.programs).close();
        self.config.close().await;
        log::info!("event=stopped partitions_left={remaining}");
    }
}

/// Services for callers and peers.
struct Services {
    edge: Edge,
    handlers: PeerHandlers,
}

impl Components {
    fn journals(&self) -> Journals {
        Journals {
            store: Arc::clone(&self.store),
            settings: self.settings.clone(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            tails: Arc::clone(&self.tails),
            cleanup: Mutex::default(),
        }
    }

    async fn start_programs(&self, journal: &Arc<JournalHandle>) -> Result<ProgramsHandle, DaemonError> {
        let parts = ProgramsParts {
            journal: Arc::clone(journal) as _,
            releaser: Arc::new(self.engine_memory()),
            ownership: self.views.ownership(),
            options: ProgramsOptions::default(),
        };
        Ok(ProgramsHandle::start(parts).await?)
    }

    fn engine_memory(&self) -> EnginePrefixCache {
        EnginePrefixCache {
            endpoints: Arc::clone(&self.endpoints),
            in_force: self.in_force.clone(),
        }
    }

    fn coordinator_options(
        &self,
        config: &ConfigWatch,
        hosts: ObservedHostList,
        journal: Arc<JournalHandle>,
        trees: Arc<dyn Trees>,
        peer_address: SocketAddr,
    ) -> CoordinatorOptions {
        let recovery = StoreRecovery::new(
            Arc::clone(&self.store),
            self.views.peers(),
            Arc::clone(&self.clients),
            Arc::clone(&self.tails),
        );
        CoordinatorOptions {
            views: self.views.clone(),
            peer_address: peer_address.to_string(),
            failure_domain: self.settings.failure_domain.clone(),
            membership: membership::Options::default(),
            store: Arc::clone(&self.store),
            host_list: Arc::new(hosts),
            journal,
            recovery: Arc::new(journals::RetryingRecovery { recovery }),
            trees,
            clients: Arc::clone(&self.clients),
            document: config.gossip(),
        }
    }

    async fn start_serving(
        &self,
        coordinator: &Coordinator,
        config: &ConfigWatch,
        programs: &Arc<ProgramsHandle>,
        leaving: LeavingReceiver,
    ) -> Result<Services, DaemonError> {
        let source = Arc::new(DocumentSource::new(self.in_force.clone(), leaving));
        let quota = Arc::new(self.start_quota(coordinator, &source).await?);
        let dispatcher = Arc::new(self.start_dispatcher(&source).await?);
        let runner = CallRunner {
            programs: ProgramsHandle::clone(programs),
            quota: Arc::clone(&quota) as _,
            dispatcher: Arc::clone(&dispatcher) as _,
            endpoints: Arc::clone(&self.endpoints),
            in_force: self.in_force.clone(),
            retries: Arc::new(Mutex::new(RetryBudgets::new(RetryOptions::default()))),
            telemetry: self.telemetry.clone(),
            limits: self.call_limits(),
        };
        let edge = Edge {
            runner,
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            in_force: self.in_force.clone(),
            limits: EdgeLimits {
                moving_timeout: MOVING_TIMEOUT,
            },
        };
        let handlers = PeerHandlers {
            heartbeat: coordinator.heartbeat_handler(),
            forward: Arc::new(edge.clone()),
            tail: Arc::clone(&self.tails) as _,
            adopt: coordinator.adopt_handler(),
            document: config.handler(),
            grant: quota,
            slot: dispatcher,
        };
        Ok(Services { edge, handlers })
    }

    async fn start_quota(
        &self,
        coordinator: &Coordinator,
        source: &Arc<DocumentSource>,
    ) -> Result<EscrowQuota, DaemonError> {
        let parts = QuotaParts {
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            lease: coordinator.lease(),
            limits: Arc::clone(source) as _,
        };
        Ok(EscrowQuota::start(parts).await?)
    }

    async fn start_dispatcher(&self, source: &Arc<DocumentSource>) -> Result<PoolDispatcher, DaemonError> {
        let parts = DispatchParts {
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            clients: Arc::clone(&self.clients),
            source: Arc::clone(source) as _,
            limits: Arc::clone(source) as _,
        };
        Ok(PoolDispatcher::start(parts).await?)
    }

    fn operators(&self, coordinator: &Arc<Coordinator>, programs: &Arc<ProgramsHandle>) -> OperatorApi {
        OperatorApi {
            failure_domain: self.settings.failure_domain.clone(),
            in_force: self.in_force.clone(),
            ownership: self.views.ownership(),
            peers: self.views.peers(),
            programs: ProgramsHandle::clone(programs),
            coordinator: Arc::downgrade(coordinator),
            telemetry: self.telemetry.clone(),
            draining: AtomicBool::new(false),
        }
    }

    fn call_limits(&self) -> CallLimits {
        CallLimits {
            queue_timeout: Duration::from_secs(self.settings.limits.queue_timeout_s),
            response_max_bytes: RESPONSE_MAX_BYTES,
        }
    }
}

impl PeerServer {
    fn start(listener: TcpListener, handlers: PeerHandlers) -> Self {
        let (stop, stopped) = oneshot::channel();
        let task = tokio::spawn(async move {
            let stopped = async {
                // Dropping the sender also stops the server.
                let _stopped = stopped.await;
            };
            if let Err(error) = peer::serve(listener, handlers, stopped).await {
                log::error!("event=peer_server_failed reason=\"{error}\"");
            }
        });
        Self { stop, task }
    }

    async fn close(self) {
        // The server may already have stopped by itself.
        let _sent = self.stop.send(());
        let mut task = self.task;
        if tokio::time::timeout(Duration::from_secs(1), &mut task)
            .await
            .is_err()
        {
            task.abort();
        }
    }
}

/// Server for requests from operators and the load balancer.
#[derive(Debug)]
struct AdminServer {
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
    operators: Arc<OperatorApi>,
}

impl AdminServer {
    fn start(listener: TcpListener, operators: &Arc<OperatorApi>, document: Arc<dyn DocumentOffer>) -> Self {
        let (stop, stopped) = oneshot::channel();
        let handlers = AdminHandlers {
            document,
            status: Arc::clone(operators) as _,
            actions: Arc::clone(operators) as _,
        };
        let task = tokio::spawn(admin::serve(listener, handlers, async {
            // Dropping the sender also stops the server.
            let _stopped = stopped.await;
        }));
        Self {
            stop,
            task,
            operators: Arc::clone(operators),
        }
    }

    async fn close(self) {
        // The server may already have stopped by itself.
        let _sent = self.stop.send(());
        if let Err(error) = self.task.await {
            log::warn!("event=admin_server_failed reason=\"{error}\"");
        }
    }
}

async fn tick(programs: ProgramsHandle) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        programs.tick();
    }
}

async fn listen(address: &str) -> Result<TcpListener, DaemonError> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|cause| DaemonError::Listen {
        address: address.to_owned(),
        cause,
    })
}

fn local_address(listener: &TcpListener, address: &str) -> Result<SocketAddr, DaemonError> {
    let local = listener.local_addr();
    local.map_err(|cause| DaemonError::Listen {
        address: address.to_owned(),
        cause,
    })
}
