//! Stand-in for the platform's list of hosts, `GET /hosts`; changes become visible after a lag.
//!
//! Control requests use a separate address: `PUT /hosts` sets the list, and `POST /faults` makes the
//! stand-in slow or unavailable.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    controlled_server::{ControlledServer, ListenAddresses},
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
};

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Host id.
    pub host_id: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which peers reach its daemon; empty for a host that runs endpoints.
    #[serde(default)]
    pub peer_address: String,
    /// Lifecycle state of the host.
    pub state: HostState,
}

/// Lifecycle state of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// Scheduled for removal; receives no new work.
    Leaving,
}

/// Faults of the host list; a new set replaces the previous one entirely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// Requests for the list fail with status 503.
    pub down: bool,
    /// Delay before each response.
    pub delay_ms: u64,
}

/// Options of a host list stand-in.
#[derive(Clone, Debug)]
pub struct HostListOptions {
    /// Loopback address of the list; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Loopback address for control requests; port 0 selects a free port.
    pub control_listen: SocketAddr,
    /// Initial list of hosts.
    pub hosts: Vec<ListedHost>,
    /// Delay before a change becomes visible.
    pub lag: Duration,
}

impl Default for HostListOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            hosts: Vec::new(),
            lag: Duration::ZERO,
        }
    }
}

/// A running host list stand-in.
#[derive(Debug)]
pub struct HostListStandin {
    shared: Arc<Shared>,
    server: ControlledServer,
}

impl HostListStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub async fn start(options: HostListOptions) -> Result<Self> {
        let state = State {
            visible: options.hosts,
            pending_lists: VecDeque::new(),
            faults: HostListFaults::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            lag: options.lag,
        });
        let list = ListHandler {
            shared: Arc::clone(&shared),
        };
        let control = ControlHandler {
            shared: Arc::clone(&shared),
        };
        let listen = ListenAddresses {
            server: options.listen,
            control: options.control_listen,
        };
        let server = ControlledServer::serve(listen, Arc::new(list), Arc::new(control)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves `PUT /hosts` and `POST /faults`.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Sets the list, which becomes visible after the lag.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.shared.set_hosts(hosts);
    }

    /// Replaces the active set of faults.
    pub fn set_faults(&self, faults: HostListFaults) {
        self.shared.state().faults = faults;
    }

    /// Stops the stand-in and ends all its connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    lag: Duration,
}

#[derive(Debug)]
struct State {
    /// The list that `GET /hosts` returns.
    visible: Vec<ListedHost>,
    /// Lists that are not visible yet, with the time at which they become visible.
    pending_lists: VecDeque<(Instant, Vec<ListedHost>)>,
    faults: HostListFaults,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_hosts(&self, hosts: Vec<ListedHost>) {
        let visible_at = Instant::now() + self.lag;
        self.state().pending_lists.push_back((visible_at, hosts));
    }

    fn hosts(&self) -> Vec<ListedHost> {
        let now = Instant::now();
        let mut state = self.state();
        while let Some((_, hosts)) = state
            .pending_lists
            .pop_front_if(|(visible_at, _)| *visible_at <= now)
        {
            state.visible = hosts;
        }
        state.visible.clone()
    }
}

/// Handler of the requests for the list.
struct ListHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for ListHandler {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        let faults = self.shared.state().faults;
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(http_server::text(status, "injected fault: the host list is down"));
        }
        if request.route() != ("GET", vec!["hosts"]) {
            return Ok(http_server::text(StatusCode::NOT_FOUND, "no such request"));
        }
        Ok(http_server::json(StatusCode::OK, &self.shared.hosts()))
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
            ("PUT", ["hosts"]) => request.apply_json(|hosts| self.shared.set_hosts(hosts)),
            ("POST", ["faults"]) => request.apply_json(|faults| self.shared.state().faults = faults),
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
