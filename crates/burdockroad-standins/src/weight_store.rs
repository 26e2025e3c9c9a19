//! Stand-in for the store that engines load weights from: `GET /weights/{model}`, with a rate limit.
//!
//! A request over the limit gets status 429 with `Retry-After`. `GET /counts` on the control address
//! returns the numbers of served and refused requests.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{StatusCode, header};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    controlled_server::{ControlledServer, ListenAddresses},
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    window::FixedWindowCounter,
};

/// Value of `Retry-After` in seconds: the length of a counting window.
const RETRY_AFTER_S: &str = "1";

/// Options of a weight store stand-in.
#[derive(Clone, Debug)]
pub struct WeightStoreOptions {
    /// Loopback address of the store; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Loopback address for control requests; port 0 selects a free port.
    pub control_listen: SocketAddr,
    /// Maximum requests served per second.
    pub rate_per_s: u64,
    /// Size of the weights of each model.
    pub weights_bytes: usize,
}

impl Default for WeightStoreOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            rate_per_s: 2,
            weights_bytes: 64 << 10,
        }
    }
}

/// Request counts of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightStoreCounts {
    /// Requests that were served.
    pub served: u64,
    /// Requests that were over the rate limit.
    pub refused: u64,
}

/// A running weight store stand-in.
#[derive(Debug)]
pub struct WeightStoreStandin {
    shared: Arc<Shared>,
    server: ControlledServer,
}

impl WeightStoreStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub async fn start(options: WeightStoreOptions) -> Result<Self> {
        let state = State {
            window: FixedWindowCounter::new(Instant::now()),
            counts: WeightStoreCounts::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            rate_per_s: options.rate_per_s,
            weights: Bytes::from(vec![0; options.weights_bytes]),
        });
        let store = StoreHandler {
            shared: Arc::clone(&shared),
        };
        let control = ControlHandler {
            shared: Arc::clone(&shared),
        };
        let listen = ListenAddresses {
            server: options.listen,
            control: options.control_listen,
        };
        let server = ControlledServer::serve(listen, Arc::new(store), Arc::new(control)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves `GET /counts`.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Returns the request counts.
    pub fn counts(&self) -> WeightStoreCounts {
        self.shared.state().counts
    }

    /// Stops the stand-in and ends all its connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    rate_per_s: u64,
    weights: Bytes,
}

#[derive(Debug)]
struct State {
    window: FixedWindowCounter,
    counts: WeightStoreCounts,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a request and returns whether it is within the rate limit.
    fn admit(&self) -> bool {
        let mut state = self.state();
        if state.window.count(Instant::now()) >= self.rate_per_s {
            state.counts.refused += 1;
            return false;
        }
        state.window.increment();
        state.counts.served += 1;
        true
    }
}

/// Handler of the requests for weights.
struct StoreHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for StoreHandler {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        let (method, path) = request.route();
        let ("GET", ["weights", _model]) = (method, path.as_slice()) else {
            return Ok(http_server::text(StatusCode::NOT_FOUND, "no such request"));
        };
        if self.shared.admit() {
            let weights = self.shared.weights.clone();
            return Ok(http_server::with_media_type(
                StatusCode::OK,
                "application/octet-stream",
                weights,
            ));
        }
        let mut response = http_server::text(StatusCode::TOO_MANY_REQUESTS, "rate limit exceeded");
        let retry_after = header::HeaderValue::from_static(RETRY_AFTER_S);
        response.headers_mut().insert(header::RETRY_AFTER, retry_after);
        Ok(response)
    }
}

/// Handler of the control requests.
struct ControlHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        Ok(match request.route() {
            ("GET", path) if path == ["counts"] => {
                http_server::json(StatusCode::OK, &self.shared.state().counts)
            }
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        })
    }
}
