//! Start and shutdown of a gateway host.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{Incarnation, gateway::MemoryBudget};
use burdockroad_daemon::http::CallerMemory;
use serde::Serialize;
use tokio::{net::TcpListener, sync::mpsc, time::sleep};

use crate::{
    DecisionLog, Dialect, HostOptions, SharedStore,
    connections::{CALLER_RECEIVE_BUFFER_BYTES, report_ended},
    endpoint_path::probe_own_link,
    feed::{EndpointSubscriber, sweep},
    follow::follow,
    hosts::{HostSubscriber, keep_registered},
    listener::{listen, listen_with_receive_buffer},
    metrics_page,
    operator::OperatorSubscriber,
    peer::serve_peers,
    peer_client::PeerClient,
    relay::RelayedStore,
    reports,
    reservations::write_reservations,
    server::{close_stalled_callers, serve_callers, serve_metrics, serve_readiness},
    shared::Shared,
    version_records::keep_records,
};

/// Interval between two checks whether all caller connections are closed.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Signals from outside the process.
#[derive(Debug)]
pub struct Signals {
    /// Receives a message when the process should stop.
    pub stop: mpsc::Receiver<()>,
}

/// Error of a host that cannot listen on one of its addresses.
#[derive(Debug)]
pub struct HostError {
    address: SocketAddr,
    cause: io::Error,
}

impl HostError {
    pub(crate) fn new(address: SocketAddr, cause: io::Error) -> Self {
        Self { address, cause }
    }
}

impl fmt::Display for HostError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot listen on {}", self.address)
    }
}

impl std::error::Error for HostError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.cause)
    }
}

/// Runs a host until it receives the stop signal.
///
/// # Errors
///
/// Fails when the host cannot listen on one of its addresses.
pub async fn run(
    options: HostOptions,
    dialect: Arc<dyn Dialect>,
    store: Arc<dyn SharedStore>,
    log: DecisionLog,
    mut signals: Signals,
) -> Result<(), HostError> {
    let started = StartedLine {
        host: &options.host,
        incarnation: options.incarnation,
        callers: options.caller_address.to_string(),
    };
    log.line("started", &started);
    let memory = CallerMemory::new(MemoryBudget::on(options.machine));
    let peer_client = Arc::new(PeerClient::with_memory(Arc::clone(&memory)));
    let datagrams = reports::bind(options.peer_address)
        .await
        .map_err(|cause| HostError::new(options.peer_address, cause))?;
    let shared = Arc::new(Shared::new(
        &options,
        dialect,
        Arc::new(RelayedStore::new(store, Arc::clone(&peer_client), log.clone())),
        peer_client,
        memory,
        datagrams,
        log.clone(),
    ));
    start_listeners(&options, &shared).await?;
    start_background_tasks(&options, &shared).await?;
    if signals.stop.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
    stop(&options, &shared).await;
    log.close(LOG_FLUSH_TIMEOUT);
    Ok(())
}

async fn start_listeners(options: &HostOptions, shared: &Arc<Shared>) -> Result<(), HostError> {
    let caller_address = options.caller_address;
    let callers = listen_with_receive_buffer(caller_address, CALLER_RECEIVE_BUFFER_BYTES).await;
    let callers = callers.map_err(|cause| HostError::new(caller_address, cause))?;
    let readiness = bind_listener(options.readiness_address).await?;
    if let Some(address) = options.metrics_address
        && let Some(handle) = metrics_page::install()
    {
        let dialect = Arc::clone(&shared.dialect);
        let pages = bind_listener(address).await?;
        let table = Arc::clone(&shared.page_connections.metrics);
        tokio::spawn(serve_metrics(table, dialect, handle.clone(), pages));
        tokio::spawn(metrics_page::upkeep(Arc::clone(shared), handle));
    }
    tokio::spawn(serve_callers(Arc::clone(shared), callers));
    tokio::spawn(close_stalled_callers(Arc::clone(shared)));
    tokio::spawn(report_ended(shared.connection_tables(), shared.log.clone()));
    tokio::spawn(serve_readiness(Arc::clone(shared), readiness));
    Ok(())
}

async fn start_background_tasks(options: &HostOptions, shared: &Arc<Shared>) -> Result<(), HostError> {
    let calls = bind_listener(options.peer_address).await?;
    let clone_shared = || Arc::clone(shared);
    tokio::spawn(follow(
        clone_shared(),
        Box::new(OperatorSubscriber::new(clone_shared())),
    ));
    tokio::spawn(follow(
        clone_shared(),
        Box::new(EndpointSubscriber::new(clone_shared())),
    ));
    tokio::spawn(follow(
        clone_shared(),
        Box::new(HostSubscriber::new(clone_shared())),
    ));
    tokio::spawn(sweep(clone_shared()));
    tokio::spawn(keep_records(clone_shared()));
    tokio::spawn(write_reservations(clone_shared()));
    tokio::spawn(keep_registered(clone_shared(), options.peer_address));
    tokio::spawn(serve_peers(clone_shared(), calls));
    tokio::spawn(Arc::clone(&shared.store).probe());
    tokio::spawn(probe_own_link(clone_shared()));
    tokio::spawn(Arc::clone(&shared.turns).probe_failing_hosts());
    tokio::spawn(Arc::clone(&shared.turns).check_cut_links());
    tokio::spawn(reports::send_reports(clone_shared()));
    tokio::spawn(reports::send_collected(clone_shared()));
    tokio::spawn(reports::receive_reports(clone_shared()));
    Ok(())
}

async fn bind_listener(address: SocketAddr) -> Result<TcpListener, HostError> {
    listen(address)
        .await
        .map_err(|cause| HostError::new(address, cause))
}

/// Lets callers move to other hosts, completes the calls in progress, and returns within the grace period.
async fn stop(options: &HostOptions, shared: &Shared) {
    let open_connections = &shared.callers;
    let plan = shared.shutdown.begin(options.grace_period);
    shared.stop_started.notify_one();
    shared.log.line(
        "stopping",
        &ConnectionsLine {
            connections: open_connections.count(),
        },
    );
    shared.shutdown.wait_for_notice_end().await;
    // Lets the connections that wait for another call close.
    sleep(STOP_POLL_INTERVAL).await;
    while open_connections.count() > 0 && Instant::now() < plan.end {
        sleep(STOP_POLL_INTERVAL).await;
    }
    shared.log.line(
        "stopped",
        &ConnectionsLine {
            connections: open_connections.count(),
        },
    );
}

#[derive(Serialize)]
struct StartedLine<'a> {
    host: &'a str,
    incarnation: Incarnation,
    callers: String,
}

#[derive(Serialize)]
struct ConnectionsLine {
    connections: usize,
}
