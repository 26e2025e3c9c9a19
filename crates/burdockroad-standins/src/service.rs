//! Stand-in for a plain service, which executes every request and records each execution.
//!
//! Like a real service, it completes a request even if the caller closes the connection during the
//! execution. A caller that then retries executes the request twice. `GET /load` reports the load and
//! executes nothing. Control requests (`POST /faults`, `GET /recorded`) use a separate address.

pub use crate::request_faults::RequestFaults as ServiceFaults;

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::{
    controlled_server::{ControlledServer, ListenAddresses},
    engine::Load,
    error::Result,
    http_server::{self, ConnectionCut, Handler, HandlerResult, ReceivedRequest},
    record::RecordedRequest,
    request_faults::{RequestFault, RequestFaultInjector},
};

const REQUEST_ID: &str = "x-request-id";

/// Options of a service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Loopback address of the service; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Loopback address for control requests; port 0 selects a free port.
    pub control_listen: SocketAddr,
    /// Number of concurrent executions that `GET /load` reports as the capacity; not enforced.
    pub slots: u64,
    /// Duration of each execution.
    pub execution_time: Duration,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 64,
            execution_time: Duration::ZERO,
        }
    }
}

/// A request that the service received.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The request as received.
    #[serde(flatten)]
    pub request: RecordedRequest,
    /// Value of the `X-Request-Id` header.
    pub request_id: Option<String>,
    /// Number of its execution, starting at 1; `None` if it was not executed.
    pub execution: Option<u64>,
}

/// Response to an executed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceResponse {
    /// Number of the execution, starting at 1.
    pub execution: u64,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Value of the `X-Request-Id` header.
    pub request_id: Option<String>,
    /// Padding; its length is set by [`ServiceFaults::answer_bytes`].
    pub padding: String,
}

/// A running service stand-in.
#[derive(Debug)]
pub struct ServiceStandin {
    shared: Arc<Shared>,
    server: ControlledServer,
}

impl ServiceStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub async fn start(options: ServiceOptions) -> Result<Self> {
        let state = State {
            requests: Vec::new(),
            executions: 0,
            running: 0,
            fault_injector: RequestFaultInjector::new(ServiceFaults::default()),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            slots: options.slots,
            execution_time: options.execution_time,
        });
        let service = ServiceHandler {
            shared: Arc::clone(&shared),
        };
        let control = ControlHandler {
            shared: Arc::clone(&shared),
        };
        let listen = ListenAddresses {
            server: options.listen,
            control: options.control_listen,
        };
        let server = ControlledServer::serve(listen, Arc::new(service), Arc::new(control)).await?;
        Ok(Self { shared, server })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves `POST /faults` and `GET /recorded`.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Replaces the active set of faults.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.state().fault_injector = RequestFaultInjector::new(faults);
    }

    /// Returns all received requests, oldest first.
    pub fn recorded(&self) -> Vec<ServiceRequest> {
        self.shared.state().requests.clone()
    }

    /// Returns the number of executed requests.
    pub fn executions(&self) -> u64 {
        self.shared.state().executions
    }

    /// Stops the stand-in and ends all its connections.
    pub async fn close(self) {
        self.server.close().await;
    }
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    slots: u64,
    execution_time: Duration,
}

#[derive(Debug)]
struct State {
    requests: Vec<ServiceRequest>,
    executions: u64,
    running: u64,
    fault_injector: RequestFaultInjector,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request and chooses the fault to inject into it.
    fn record_request(&self, request: &ReceivedRequest) -> (usize, RequestFault, Duration) {
        let mut state = self.state();
        state.requests.push(ServiceRequest {
            request: RecordedRequest::new(request),
            request_id: request.header(REQUEST_ID).map(str::to_owned),
            execution: None,
        });
        let delay = Duration::from_millis(state.fault_injector.faults.delay_ms);
        (state.requests.len() - 1, state.fault_injector.next_fault(), delay)
    }

    /// Executes the recorded request at `index` and returns the response to it.
    async fn execute(&self, index: usize, delay: Duration) -> Option<ServiceResponse> {
        self.state().running += 1;
        tokio::time::sleep(delay + self.execution_time).await;
        let mut state = self.state();
        state.running -= 1;
        state.executions += 1;
        let execution = state.executions;
        let padding = "x".repeat(state.fault_injector.faults.answer_bytes);
        let request = state.requests.get_mut(index)?;
        request.execution = Some(execution);
        Some(ServiceResponse {
            execution,
            method: request.request.method.clone(),
            target: request.request.target.clone(),
            request_id: request.request_id.clone(),
            padding,
        })
    }

    fn load(&self) -> Load {
        let running = self.state().running;
        Load {
            running: running.min(self.slots),
            waiting: running.saturating_sub(self.slots),
            slots: self.slots,
            ..Load::default()
        }
    }
}

/// Handler of the requests on the service's own address.
struct ServiceHandler {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for ServiceHandler {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        if request.route() == ("GET", vec!["load"]) {
            return Ok(http_server::json(StatusCode::OK, &self.shared.load()));
        }
        let (index, fault, delay) = self.shared.record_request(&request);
        if fault == RequestFault::Fail {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(http_server::text(status, "injected fault: request failed"));
        }
        let shared = Arc::clone(&self.shared);
        // This future is dropped when the caller disconnects; a separate task completes the execution.
        let execution_task = tokio::spawn(async move { shared.execute(index, delay).await });
        let response = execution_task.await.ok().flatten().ok_or(ConnectionCut)?;
        match fault {
            RequestFault::Hang => std::future::pending().await,
            RequestFault::Cut { .. } => Err(ConnectionCut),
            RequestFault::None | RequestFault::Fail => Ok(http_server::json(StatusCode::OK, &response)),
        }
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
            ("GET", ["recorded"]) => http_server::json(StatusCode::OK, &self.shared.state().requests),
            ("POST", ["faults"]) => request.apply_json(|faults| {
                self.shared.state().fault_injector = RequestFaultInjector::new(faults);
            }),
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
