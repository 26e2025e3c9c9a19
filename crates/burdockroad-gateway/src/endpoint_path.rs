//! Connections to endpoints, on this host's own link or through another host.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    EndpointId, HostId, RegionId,
    gateway::{Endpoint, Failure, RelayCandidate},
};
use serde::Serialize;
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    clock::as_ms,
    pool::{CONNECT_TIMEOUT, Connection, connect_stream, handshake},
    shared::Shared,
    tunnel::{self, TunnelError},
};

/// Time after which a connection is also requested through another host. Links that work connect within less.
const OWN_LINK_HEAD_START: Duration = Duration::from_millis(60);

/// Interval between two probes of this host's own link to endpoints while it is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Host that opens connections in place of this one.
struct Relay {
    host: HostId,
    address: SocketAddr,
}

/// Connects to an endpoint. A host that does not get an answer on its own link requests the connection through
/// another host, too, and the first one that is open is used. The other host must be in allowed regions.
pub(crate) async fn connect_to_endpoint(
    shared: &Shared,
    endpoint: &Endpoint,
    allowed_regions: Option<&[RegionId]>,
    time_left: Duration,
) -> Result<Connection, Failure> {
    let time_limit = CONNECT_TIMEOUT.min(time_left);
    if shared.tables().reach.is_cut_off() {
        match connect_through_host(shared, endpoint, allowed_regions, time_limit).await {
            Err(TunnelError::NoRelay) => {}
            result => return result.map_err(Failure::from),
        }
    }
    let mut own_link = std::pin::pin!(connect_on_own_link(shared, endpoint, time_limit));
    let head_start = timeout(OWN_LINK_HEAD_START, own_link.as_mut()).await;
    let mut through_host = std::pin::pin!(connect_through_host(
        shared,
        endpoint,
        allowed_regions,
        time_limit
    ));
    match head_start {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(failure)) => through_host.await.map_err(|error| error.or(failure)),
        Err(_elapsed) => tokio::select! {
            result = own_link.as_mut() => match result {
                Ok(connection) => Ok(connection),
                Err(failure) => through_host.await.map_err(|error| error.or(failure)),
            },
            result = through_host.as_mut() => match result {
                Ok(connection) => {
                    record_unreached(shared, endpoint);
                    Ok(connection)
                }
                Err(error) => own_link.await.map_err(|failure| error.or(failure)),
            },
        },
    }
}

async fn connect_on_own_link(
    shared: &Shared,
    endpoint: &Endpoint,
    time_limit: Duration,
) -> Result<Connection, Failure> {
    let stream = open_own_link(shared, endpoint, time_limit).await?;
    let http = handshake(stream).await.map_err(|_failed| Failure::Unreachable)?;
    Ok(Connection {
        http,
        address: endpoint.address,
        through_host: None,
    })
}

/// Opens a TCP connection to an endpoint on this host's own link, and records whether that succeeds.
pub(crate) async fn open_own_link(
    shared: &Shared,
    endpoint: &Endpoint,
    time_limit: Duration,
) -> Result<TcpStream, Failure> {
    match connect_stream(endpoint.address, time_limit).await {
        Ok(stream) => {
            record_reached(shared);
            Ok(stream)
        }
        Err(error) => {
            record_unreached(shared, endpoint);
            Err(match error.kind() {
                io::ErrorKind::ConnectionRefused => Failure::NotListening,
                _ => Failure::Unreachable,
            })
        }
    }
}

async fn connect_through_host(
    shared: &Shared,
    endpoint: &Endpoint,
    allowed_regions: Option<&[RegionId]>,
    time_limit: Duration,
) -> Result<Connection, TunnelError> {
    let relay = choose_relay(shared, allowed_regions).ok_or(TunnelError::NoRelay)?;
    let http = tunnel::open(relay.address, &endpoint.id, time_limit).await?;
    metrics::counter!("burdockroad_tunnels_opened_total").increment(1);
    Ok(Connection {
        http,
        address: endpoint.address,
        through_host: Some(relay.host),
    })
}

fn choose_relay(shared: &Shared, allowed_regions: Option<&[RegionId]>) -> Option<Relay> {
    let now = Instant::now();
    let peers = shared.peers.borrow();
    let tables = shared.tables();
    let live = peers
        .iter()
        .filter(|(host, _)| tables.rate_limiter.is_live(host, now))
        .filter(|(_, peer)| shared.regions.allows(&peer.failure_domain, allowed_regions));
    let candidates: Vec<RelayCandidate<'_>> = live
        .map(|(host, peer)| RelayCandidate {
            host,
            failure_domain: &peer.failure_domain,
        })
        .collect();
    let seed = usize::from(rand::random::<u16>());
    let host = tables
        .reach
        .choose_relay(&shared.failure_domain, &candidates, seed)?;
    let address = peers.get(&host)?.address;
    Some(Relay { host, address })
}

/// Records that this host reached an endpoint on its own.
fn record_reached(shared: &Shared) {
    let cut = shared.tables().reach.record_reached(Instant::now());
    if let Some(cut) = cut {
        shared.report_now.notify_one();
        let line = EndpointsReachableLine { cut_ms: as_ms(cut) };
        shared.log.line("endpoints_reachable", &line);
    }
}

/// Records that this host failed to reach an endpoint on its own.
fn record_unreached(shared: &Shared, endpoint: &Endpoint) {
    let mut tables = shared.tables();
    let endpoints = tables.endpoints.ids_outside_evacuations().count();
    let is_cut_off = tables
        .reach
        .record_unreached(&endpoint.id, endpoints, Instant::now());
    drop(tables);
    if is_cut_off {
        // Open connections may no longer carry anything.
        shared.pool.close_own_links();
        shared.report_now.notify_one();
        let line = EndpointsUnreachableLine {
            endpoint: &endpoint.id,
        };
        shared.log.line("endpoints_unreachable", &line);
    }
}

/// Probes this host's own link to endpoints while it is cut off.
pub(crate) async fn probe_own_link(shared: Arc<Shared>) {
    loop {
        sleep(PROBE_INTERVAL).await;
        let Some(address) = address_to_probe(&shared) else {
            continue;
        };
        if connect_stream(address, CONNECT_TIMEOUT).await.is_ok() {
            record_reached(&shared);
        }
    }
}

/// Returns the address of some endpoint that is not evacuated; `None` while this host is not cut off.
fn address_to_probe(shared: &Shared) -> Option<SocketAddr> {
    let tables = shared.tables();
    if !tables.reach.is_cut_off() {
        return None;
    }
    let ids: Vec<&EndpointId> = tables.endpoints.ids_outside_evacuations().collect();
    let index = usize::from(rand::random::<u16>()).checked_rem(ids.len())?;
    tables.endpoints.get(ids[index]).map(|endpoint| endpoint.address)
}

impl TunnelError {
    /// Returns the failure of an attempt whose own link failed, too. What another host saw of the endpoint counts
    /// more, as this host may be cut off.
    fn or(self, own_failure: Failure) -> Failure {
        match self {
            Self::NoRelay => own_failure,
            Self::NotListening | Self::Unreachable => self.into(),
        }
    }
}

impl From<TunnelError> for Failure {
    fn from(error: TunnelError) -> Self {
        match error {
            TunnelError::NotListening => Self::NotListening,
            TunnelError::Unreachable | TunnelError::NoRelay => Self::Unreachable,
        }
    }
}

/// Log line of a host that reaches endpoints only through other hosts from now on.
#[derive(Serialize)]
struct EndpointsUnreachableLine<'a> {
    /// The last one that was not reached.
    endpoint: &'a str,
}

/// Log line of a host that reaches endpoints on its own again.
#[derive(Serialize)]
struct EndpointsReachableLine {
    /// Duration of the cut.
    cut_ms: u64,
}
