//! TCP proxy between two processes that injects network faults.
//!
//! The two directions fail independently. While a direction is set to `Drop`, its bytes are discarded, its
//! end of stream is withheld, and the connections stay open. A connection that lost bytes is cut as soon
//! as its direction forwards again, because TCP never delivers a stream with a gap. Control requests
//! (`POST /faults`, `GET /counts`) use a separate address.

pub use crate::proxy::faults::{Backward, Forward, ProxyCounts, ProxyFaults};

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use async_trait::async_trait;
use http::StatusCode;

use crate::{
    controlled_server::ControlledServer,
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    proxy::faults::Shared,
    server::Server,
};

mod connection;
mod faults;

/// Options of a proxy.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Loopback address that clients connect to; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Loopback address for control requests; port 0 selects a free port.
    pub control_listen: SocketAddr,
    /// Address that connections are forwarded to.
    pub target: SocketAddr,
}

impl ProxyOptions {
    /// Creates options for a target, with free ports for the proxy itself.
    pub fn new(target: SocketAddr) -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            target,
        }
    }
}

/// A running proxy.
#[derive(Debug)]
pub struct ProxyStandin {
    shared: Arc<Shared>,
    server: ControlledServer,
}

impl ProxyStandin {
    /// Starts the proxy.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub async fn start(options: ProxyOptions) -> Result<Self> {
        let shared = Arc::new(Shared::new());
        let target = options.target;
        let connection_shared = Arc::clone(&shared);
        let server = Server::accept(options.listen, move |client| {
            let shared = Arc::clone(&connection_shared);
            connection::run(shared, client, target)
        })
        .await?;
        let control = ControlHandler {
            shared: Arc::clone(&shared),
        };
        let control = Arc::new(control);
        let server = ControlledServer::add_control(server, options.control_listen, control).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves `POST /faults` and `GET /counts`.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Replaces the active set of faults.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the counts of connections and of forwarded and dropped bytes.
    pub fn counts(&self) -> ProxyCounts {
        self.shared.counts()
    }

    /// Stops the proxy and ends all its connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

/// Handler of the control requests.
struct ControlHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        let (method, path) = request.route();
        let response = match (method, path.as_slice()) {
            ("GET", ["counts"]) => http_server::json(StatusCode::OK, &self.shared.counts()),
            ("POST", ["faults"]) => request.apply_json(|faults| self.shared.set_faults(faults)),
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
