//! Assembly, startup and shutdown of a daemon.

mod components;
mod error;
mod journals;
mod observed_hosts;
mod operators;
mod servers;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use burdockroad::PARTITIONS;
use tokio::task::JoinHandle;

pub use self::error::DaemonError;
use self::{
    components::Components,
    observed_hosts::ObservedHostList,
    servers::{AdminServer, PeerServer, listen, local_address},
};
use crate::{
    config_watch::ConfigWatch,
    coordinator::{Coordinator, JournalHandle, Views},
    endpoint::HttpEndpoints,
    http::{CallerServer, CallerServerParts},
    journal::{TailStore, Trees},
    peer::PeerClients,
    platform,
    prefix_cache::PrefixCacheAudit,
    programs::ProgramsHandle,
    settings::Settings,
    telemetry::Telemetry,
};

/// Interval between two ticks of the program table, which end programs at their time limit and remove trees
/// whose retention period has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

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
            components.engine_prefix_cache(),
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
        // A running operator request may still hold a reference to the coordinator. The partitions are then
        // not handed off, and other hosts take them over.
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

async fn tick(programs: ProgramsHandle) {
    let mut interval = tokio::time::interval(TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        programs.tick();
    }
}
