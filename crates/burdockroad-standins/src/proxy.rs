//! A proxy between two processes that passes TCP on, and can be told to fail as networks do.
//!
//! Each direction fails by itself. While a direction drops, its bytes vanish and the connections stay
//! open, and an end of the stream vanishes as well. A connection that lost bytes is cut as soon as its
//! direction passes again, since no network ever delivers a stream with a hole. Control requests
//! (`POST /faults`, `GET /counts`) have an address of their own.

pub use crate::proxy::faults::{Backward, Forward, ProxyCounts, ProxyFaults};

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

use async_trait::async_trait;
use http::StatusCode;

use crate::{
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    proxy::faults::Shared,
    server::Server,
};

mod connection;
mod faults;

/// How a proxy is started.
#[derive(Clone, Debug)]
pub struct ProxyOptions {
    /// Loopback address that is listened on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Loopback address of the control requests; port 0 takes a free one.
    pub control_listen: SocketAddr,
    /// Where connections are passed on to.
    pub target: SocketAddr,
}

impl ProxyOptions {
    /// Makes options for a target, with free ports for the proxy itself.
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
    server: Server,
    control: Server,
}

impl ProxyStandin {
    /// Starts the proxy.
    ///
    /// # Errors
    ///
    /// Fails when an address is not loopback or cannot be listened on.
    pub async fn start(options: ProxyOptions) -> Result<Self> {
        let shared = Arc::new(Shared::new());
        let target = options.target;
        let passing = Arc::clone(&shared);
        let server = Server::accept(options.listen, move |client| {
            let shared = Arc::clone(&passing);
            connection::run(shared, client, target)
        })
        .await?;
        let control = Control {
            shared: Arc::clone(&shared),
        };
        let control = http_server::serve(options.control_listen, Arc::new(control)).await?;
        Ok(Self {
            shared,
            server,
            control,
        })
    }

    /// Returns the address that clients connect to.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that takes `POST /faults` and `GET /counts`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Puts a set of faults in place of the one in force.
    pub fn set_faults(&self, faults: ProxyFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns what was passed on and what vanished.
    pub fn counts(&self) -> ProxyCounts {
        self.shared.counts()
    }

    /// Stops the proxy and ends all its connections.
    pub async fn close(self) {
        self.server.close().await;
        self.control.close().await;
    }
}

/// Answers the control requests.
struct Control {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Control {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        let (method, path) = request.route();
        let response = match (method, path.as_slice()) {
            ("GET", ["counts"]) => http_server::json(StatusCode::OK, &self.shared.counts()),
            ("POST", ["faults"]) => match request.json() {
                Ok(faults) => {
                    self.shared.set_faults(faults);
                    http_server::empty(StatusCode::NO_CONTENT)
                }
                Err(refused) => *refused,
            },
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
