//! Stand-in of the platform's list of hosts: `GET /hosts`, which shows changes after a lag.
//!
//! Control requests have an address of their own: `PUT /hosts` sets the list, `POST /faults` makes the
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
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    server::Server,
};

/// One host, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListedHost {
    /// Name of the host.
    pub host_id: String,
    /// Failure domain that it stands in.
    pub failure_domain: String,
    /// Where its daemon is reached by peers; empty for a host that runs endpoints.
    #[serde(default)]
    pub peer_address: String,
    /// Whether it stays or is being taken away.
    pub state: HostState,
}

/// Whether a host stays or is being taken away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// In service.
    Live,
    /// To be taken away; it gets no new work.
    Leaving,
}

/// Faults of the host list; a new set replaces the whole old one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostListFaults {
    /// The list is answered 503.
    pub down: bool,
    /// Each answer waits this long.
    pub delay_ms: u64,
}

/// How a host list stand-in is started.
#[derive(Clone, Debug)]
pub struct HostListOptions {
    /// Loopback address of the list; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Loopback address of the control requests; port 0 takes a free one.
    pub control_listen: SocketAddr,
    /// Hosts that are shown from the start.
    pub hosts: Vec<ListedHost>,
    /// Time until a change is shown.
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
    server: Server,
    control: Server,
}

impl HostListStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not loopback or cannot be listened on.
    pub async fn start(options: HostListOptions) -> Result<Self> {
        let state = State {
            shown: options.hosts,
            changes: VecDeque::new(),
            faults: HostListFaults::default(),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            lag: options.lag,
        });
        let list = List {
            shared: Arc::clone(&shared),
        };
        let server = http_server::serve(options.listen, Arc::new(list)).await?;
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

    /// Returns the address of the list.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that takes `PUT /hosts` and `POST /faults`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets the list, which is shown after the lag.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.shared.set_hosts(hosts);
    }

    /// Puts a set of faults in place of the one in force.
    pub fn set_faults(&self, faults: HostListFaults) {
        self.shared.state().faults = faults;
    }

    /// Stops the stand-in and ends all its connections.
    pub async fn close(self) {
        self.server.close().await;
        self.control.close().await;
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    lag: Duration,
}

#[derive(Debug)]
struct State {
    shown: Vec<ListedHost>,
    /// Lists that are not shown yet, with the time from which on they are.
    changes: VecDeque<(Instant, Vec<ListedHost>)>,
    faults: HostListFaults,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set_hosts(&self, hosts: Vec<ListedHost>) {
        let shown_at = Instant::now() + self.lag;
        self.state().changes.push_back((shown_at, hosts));
    }

    fn hosts(&self) -> Vec<ListedHost> {
        let now = Instant::now();
        let mut state = self.state();
        while let Some((_, hosts)) = state.changes.pop_front_if(|(shown_at, _)| *shown_at <= now) {
            state.shown = hosts;
        }
        state.shown.clone()
    }
}

/// Answers the requests for the list.
struct List {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for List {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        let faults = self.shared.state().faults;
        tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.down {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(http_server::text(status, "the host list was told to be down"));
        }
        if request.route() != ("GET", vec!["hosts"]) {
            return Ok(http_server::text(StatusCode::NOT_FOUND, "no such request"));
        }
        Ok(http_server::json(StatusCode::OK, &self.shared.hosts()))
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
        let done = match (method, path.as_slice()) {
            ("PUT", ["hosts"]) => request.json().map(|hosts| self.shared.set_hosts(hosts)),
            ("POST", ["faults"]) => request.json().map(|faults| self.shared.state().faults = faults),
            _ => {
                return Ok(http_server::text(
                    StatusCode::NOT_FOUND,
                    "no such control request",
                ));
            }
        };
        Ok(match done {
            Ok(()) => http_server::empty(StatusCode::NO_CONTENT),
            Err(refused) => *refused,
        })
    }
}
