//! Stand-in of a plain service: it executes whatever request comes, and remembers each execution.
//!
//! A request is executed even when its caller closes the connection meanwhile, as services do: that is
//! the case in which a second try would run it twice. `GET /load` reports the load and executes nothing.
//! Control requests (`POST /faults`, `GET /recorded`) have an address of their own.

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
    engine::Load,
    error::Result,
    http_server::{self, ConnectionCut, Handler, HandlerResult, ReceivedRequest},
    record::RecordedRequest,
    request_faults::{RequestFault, RequestFaultInjector},
    server::Server,
};

const REQUEST_ID: &str = "x-request-id";

/// How a service stand-in is started.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// Loopback address of the service; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Loopback address of the control requests; port 0 takes a free one.
    pub control_listen: SocketAddr,
    /// Requests that the reported load says can be executed at once.
    pub slots: u64,
    /// Time that each execution takes.
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

/// One request that the service was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRequest {
    /// The request as it came.
    #[serde(flatten)]
    pub request: RecordedRequest,
    /// Value of its `X-Request-Id`.
    pub request_id: Option<String>,
    /// Number of its execution, from 1; none when it was not executed.
    pub execution: Option<u64>,
}

/// What the service answers to an executed request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// Number of the execution, from 1.
    pub execution: u64,
    /// Method of the request.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Value of its `X-Request-Id`.
    pub request_id: Option<String>,
    /// As many bytes as the faults say.
    pub padding: String,
}

/// A running service stand-in.
#[derive(Debug)]
pub struct ServiceStandin {
    shared: Arc<Shared>,
    server: Server,
    control: Server,
}

impl ServiceStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not loopback or cannot be listened on.
    pub async fn start(options: ServiceOptions) -> Result<Self> {
        let state = State {
            requests: Vec::new(),
            executions: 0,
            running: 0,
            faults: RequestFaultInjector::new(ServiceFaults::default()),
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            slots: options.slots,
            execution_time: options.execution_time,
        });
        let service = Service {
            shared: Arc::clone(&shared),
        };
        let server = http_server::serve(options.listen, Arc::new(service)).await?;
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

    /// Returns the address of the service.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that takes `POST /faults` and `GET /recorded`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Puts a set of faults in place of the one in force.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.shared.state().faults = RequestFaultInjector::new(faults);
    }

    /// Returns every request that the service was sent, the oldest first.
    pub fn recorded(&self) -> Vec<ServiceRequest> {
        self.shared.state().requests.clone()
    }

    /// Returns how many requests were executed.
    pub fn executions(&self) -> u64 {
        self.shared.state().executions
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
    slots: u64,
    execution_time: Duration,
}

#[derive(Debug)]
struct State {
    requests: Vec<ServiceRequest>,
    executions: u64,
    running: u64,
    faults: RequestFaultInjector,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request and decides what goes wrong with it.
    fn take_in(&self, request: &ReceivedRequest) -> (usize, RequestFault, Duration) {
        let mut state = self.state();
        state.requests.push(ServiceRequest {
            request: RecordedRequest::new(request),
            request_id: request.header(REQUEST_ID).map(str::to_owned),
            execution: None,
        });
        let delay = Duration::from_millis(state.faults.faults.delay_ms);
        (state.requests.len() - 1, state.faults.next_fault(), delay)
    }

    /// Executes a request that was taken in.
    async fn execute(&self, place: usize, delay: Duration) -> Option<ServiceAnswer> {
        self.state().running += 1;
        tokio::time::sleep(delay + self.execution_time).await;
        let mut state = self.state();
        state.running -= 1;
        state.executions += 1;
        let execution = state.executions;
        let padding = "x".repeat(state.faults.faults.answer_bytes);
        let request = state.requests.get_mut(place)?;
        request.execution = Some(execution);
        Some(ServiceAnswer {
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

/// Answers the requests of the service's own address.
struct Service {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Service {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        if request.route() == ("GET", vec!["load"]) {
            return Ok(http_server::json(StatusCode::OK, &self.shared.load()));
        }
        let (place, fault, delay) = self.shared.take_in(&request);
        if fault == RequestFault::Fail {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(http_server::text(status, "the service was told to fail"));
        }
        let shared = Arc::clone(&self.shared);
        // A task of its own goes on when the caller's connection, and with it this future, ends.
        let executing = tokio::spawn(async move { shared.execute(place, delay).await });
        let answer = executing.await.ok().flatten().ok_or(ConnectionCut)?;
        match fault {
            RequestFault::Hang => std::future::pending().await,
            RequestFault::Cut { .. } => Err(ConnectionCut),
            RequestFault::None | RequestFault::Fail => Ok(http_server::json(StatusCode::OK, &answer)),
        }
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
            ("GET", ["recorded"]) => http_server::json(StatusCode::OK, &self.shared.state().requests),
            ("POST", ["faults"]) => match request.json() {
                Ok(faults) => {
                    self.shared.state().faults = RequestFaultInjector::new(faults);
                    http_server::empty(StatusCode::NO_CONTENT)
                }
                Err(refused) => *refused,
            },
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
