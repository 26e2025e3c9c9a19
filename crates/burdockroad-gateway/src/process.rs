//! The whole process of a gateway host.

use std::{
    fmt, io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use burdockroad::{HostId, Incarnation};
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::{mpsc, watch},
    time::sleep,
};

use crate::{
    DecisionLog, Dialect, SharedStore,
    feed::{DocumentReader, EndpointReader, sweep},
    follow::follow,
    hosts::{HostReader, keep_registered},
    metrics_page,
    peer::{PeerClient, serve_peers},
    relay::RelayedStore,
    reports,
    reservations::write_reservations,
    server::{OpenConnections, listen, serve_callers, serve_metrics, serve_ready},
    shared::Shared,
};

/// Time after the order to stop in which callers learn that they are to go elsewhere.
const TURN_AWAY_TIME: Duration = Duration::from_millis(2500);

/// Part of the time for stopping that is left unused, so that the process ends by itself.
const STOP_RESERVE: Duration = Duration::from_millis(400);

/// Time between two looks at whether all callers have left.
const STOP_LOOK: Duration = Duration::from_millis(50);

/// Longest time for the last lines of the log.
const LOG_PATIENCE: Duration = Duration::from_millis(200);

/// What a host is told when it starts.
#[derive(Clone, Debug)]
pub struct HostOptions {
    /// Name of the host.
    pub host: HostId,
    /// Random number of this run.
    pub incarnation: Incarnation,
    /// Failure domain that the host stands in.
    pub failure_domain: String,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where the balancer asks whether the host takes callers.
    pub ready: SocketAddr,
    /// Where the metrics are shown.
    pub metrics: Option<SocketAddr>,
    /// Where other hosts send reports, as datagrams, and calls, over connections.
    pub reports: SocketAddr,
    /// Time from the order to stop to the end of the process.
    pub grace: Duration,
}

/// Orders from outside the process.
#[derive(Debug)]
pub struct Signals {
    /// The process is to stop.
    pub stop: mpsc::Receiver<()>,
}

/// Why a host cannot run.
#[derive(Debug)]
pub struct HostError {
    address: SocketAddr,
    cause: io::Error,
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

/// Runs a host until it is told to stop.
///
/// # Errors
///
/// Fails when an address cannot be listened on.
pub async fn run(
    options: HostOptions,
    dialect: Arc<dyn Dialect>,
    store: Arc<dyn SharedStore>,
    log: DecisionLog,
    mut signals: Signals,
) -> Result<(), HostError> {
    let started = StartLine {
        host: &options.host,
        incarnation: options.incarnation,
        callers: options.callers.to_string(),
    };
    log.line("started", &started);
    let peer_client = Arc::new(PeerClient::default());
    let shared = Arc::new(Shared::new(
        options.host.clone(),
        options.incarnation,
        options.failure_domain.clone(),
        dialect,
        Arc::new(RelayedStore::new(store, Arc::clone(&peer_client), log.clone())),
        peer_client,
        log.clone(),
    ));
    let open = Arc::new(OpenConnections::default());
    let (close_idle, closing) = watch::channel(false);
    start_listeners(&options, &shared, &open, closing).await?;
    start_followers(&options, &shared).await?;
    if signals.stop.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
    stop(&options, &shared, &open, &close_idle).await;
    log.close(LOG_PATIENCE);
    Ok(())
}

async fn start_listeners(
    options: &HostOptions,
    shared: &Arc<Shared>,
    open: &Arc<OpenConnections>,
    closing: watch::Receiver<bool>,
) -> Result<(), HostError> {
    let callers = bound(options.callers).await?;
    let ready = bound(options.ready).await?;
    if let Some(address) = options.metrics
        && let Some(handle) = metrics_page::install()
    {
        tokio::spawn(serve_metrics(handle.clone(), bound(address).await?));
        tokio::spawn(metrics_page::upkeep(Arc::clone(shared), handle));
    }
    tokio::spawn(serve_callers(
        Arc::clone(shared),
        callers,
        Arc::clone(open),
        closing,
    ));
    tokio::spawn(serve_ready(Arc::clone(shared), ready));
    Ok(())
}

async fn start_followers(options: &HostOptions, shared: &Arc<Shared>) -> Result<(), HostError> {
    let socket = reports::bind(options.reports).await.map_err(|cause| HostError {
        address: options.reports,
        cause,
    })?;
    let calls = bound(options.reports).await?;
    let share = || Arc::clone(shared);
    tokio::spawn(follow(share(), Box::new(DocumentReader::new(share()))));
    tokio::spawn(follow(share(), Box::new(EndpointReader::new(share()))));
    tokio::spawn(follow(share(), Box::new(HostReader::new(share()))));
    tokio::spawn(sweep(share()));
    tokio::spawn(write_reservations(share()));
    tokio::spawn(keep_registered(share(), options.reports));
    tokio::spawn(serve_peers(share(), calls));
    tokio::spawn(Arc::clone(&shared.store).probe());
    tokio::spawn(reports::send_reports(share(), Arc::clone(&socket)));
    tokio::spawn(reports::receive_reports(share(), socket));
    Ok(())
}

async fn bound(address: SocketAddr) -> Result<TcpListener, HostError> {
    listen(address)
        .await
        .map_err(|cause| HostError { address, cause })
}

/// Turns callers away, answers what was read, and ends in time.
async fn stop(
    options: &HostOptions,
    shared: &Shared,
    open: &OpenConnections,
    close_idle: &watch::Sender<bool>,
) {
    let ends_at = Instant::now() + options.grace.saturating_sub(STOP_RESERVE);
    shared.stopping.store(true, Ordering::Relaxed);
    shared.stop_begun.notify_one();
    shared.log.line(
        "stopping",
        &ConnectionsLine {
            connections: open.count(),
        },
    );
    sleep(TURN_AWAY_TIME).await;
    close_idle.send_replace(true);
    while open.count() > 0 && Instant::now() < ends_at {
        sleep(STOP_LOOK).await;
    }
    shared.log.line(
        "stopped",
        &ConnectionsLine {
            connections: open.count(),
        },
    );
}

#[derive(Serialize)]
struct StartLine<'a> {
    host: &'a str,
    incarnation: Incarnation,
    callers: String,
}

#[derive(Serialize)]
struct ConnectionsLine {
    connections: usize,
}
