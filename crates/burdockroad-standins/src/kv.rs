//! Stand-in for the platform's key-value service: the etcd v3 API, in memory.
//!
//! It implements keys, leases and watches as published by etcd, counts each call, and refuses calls that
//! exceed its rate limits. Injected faults make it slow or unavailable, break watches, and lose the reply
//! to a write that took effect. Leases also expire while it is unavailable.

pub use crate::kv::{
    faults::{KvFaults, LoseReplies, LostReply},
    meter::KvCounts,
};

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use async_trait::async_trait;
use burdockroad_proto::{
    etcdserverpb::{
        ResponseHeader, kv_server::KvServer, lease_server::LeaseServer, watch_server::WatchServer,
    },
    mvccpb::Event,
};
use http::StatusCode;
use hyper_util::service::TowerToHyperService;
use tokio::{sync::watch, task::JoinHandle, time::Instant};
use tonic::{Response, Status, service::Routes};

use crate::{
    controlled_server::ControlledServer,
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    kv::{
        faults::FaultInjector,
        key_range::KeyRange,
        meter::{CallKind, Meter},
        refusal::Refusal,
        service::KvService,
        store::Store,
    },
    server::Server,
};

mod faults;
mod key_range;
mod meter;
mod refusal;
mod service;
mod store;
mod watch_stream;

const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);
const MESSAGE_MAX_BYTES: usize = 16 << 20;

/// Options of a key-value stand-in.
#[derive(Clone, Debug)]
pub struct KvOptions {
    /// Loopback address for gRPC calls; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Loopback address for control requests; port 0 selects a free port.
    pub control_listen: SocketAddr,
    /// Maximum reads per second; each open watch uses one of them.
    pub reads_per_s: u64,
    /// Maximum writes per second.
    pub writes_per_s: u64,
    /// Interval of progress notifications to the watches that requested them.
    pub progress_interval: Duration,
}

impl Default for KvOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            reads_per_s: 2000,
            writes_per_s: 400,
            progress_interval: Duration::from_secs(5),
        }
    }
}

/// A running key-value stand-in.
///
/// # Example
///
/// ```
/// # #[tokio::main(flavor = "current_thread")]
/// # async fn main() -> burdockroad_standins::Result<()> {
/// use burdockroad_standins::kv::{KvFaults, KvOptions, KvStandin};
///
/// let kv = KvStandin::start(KvOptions::default()).await?;
/// kv.set_faults(KvFaults { down: true, ..KvFaults::default() });
/// assert_eq!(kv.counts().writes, 0);
/// kv.close().await;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct KvStandin {
    shared: Arc<Shared>,
    server: ControlledServer,
    expiry_task: JoinHandle<()>,
}

impl KvStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub async fn start(options: KvOptions) -> Result<Self> {
        let shared = Arc::new(Shared::new(&options));
        let server = Server::serve(options.listen, grpc_service(&shared)).await?;
        let handler = Arc::new(ControlHandler {
            shared: Arc::clone(&shared),
        });
        let server = ControlledServer::add_control(server, options.control_listen, handler).await?;
        let expiry_task = tokio::spawn(expire_leases(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            expiry_task,
        })
    }

    /// Returns the address for gRPC calls.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves `POST /faults` and `GET /counts`.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Replaces the active set of faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns the call counts.
    pub fn counts(&self) -> KvCounts {
        self.shared.state().meter.counts()
    }

    /// Stops the stand-in, ends all its connections and drops its keys.
    pub async fn close(self) {
        self.expiry_task.abort();
        self.server.close().await;
    }
}

/// State shared by the calls, the control requests and the lease expiry task.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    /// Current revision; a change wakes the watch streams.
    changes: watch::Sender<i64>,
    /// Counter; a change ends all open watch streams.
    watch_breaks: watch::Sender<u64>,
    progress_interval: Duration,
}

#[derive(Debug)]
struct State {
    store: Store,
    meter: Meter,
    fault_injector: FaultInjector,
}

impl Shared {
    fn new(options: &KvOptions) -> Self {
        let state = State {
            store: Store::new(),
            meter: Meter::new(options.reads_per_s, options.writes_per_s, Instant::now()),
            fault_injector: FaultInjector::new(KvFaults::default()),
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            watch_breaks: watch::Sender::new(0),
            progress_interval: options.progress_interval,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the active faults and the rate limits to a call, and counts it, before it takes effect.
    async fn admit_call(&self, kind: CallKind) -> std::result::Result<(), Status> {
        let delay_ms = {
            let mut state = self.state();
            if state.fault_injector.faults.down {
                return Err(Refusal::Down.into());
            }
            state.meter.admit(kind, Instant::now())?;
            state.fault_injector.faults.delay_ms
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            // The faults may have changed during the delay.
            if self.state().fault_injector.faults.down {
                return Err(Refusal::Down.into());
            }
        }
        Ok(())
    }

    /// Runs an operation on the store, and notifies the watch streams if the revision changed.
    fn with_store<T>(
        &self,
        operation: impl FnOnce(&mut Store) -> std::result::Result<T, Refusal>,
    ) -> std::result::Result<T, Status> {
        let mut state = self.state();
        let result = operation(&mut state.store);
        self.notify_watches(state.store.revision());
        Ok(result?)
    }

    /// Returns the reply to a write that took effect, or loses the reply as the faults demand.
    async fn reply_to_write<T: Send>(&self, response: T) -> std::result::Result<Response<T>, Status> {
        let (lost, lost_reply) = {
            let mut state = self.state();
            (
                state.fault_injector.should_lose_reply(),
                state.fault_injector.faults.lost_reply,
            )
        };
        match (lost, lost_reply) {
            (false, _) => Ok(Response::new(response)),
            (true, LostReply::Error) => Err(Refusal::ConnectionLost.into()),
            (true, LostReply::Hang) => std::future::pending().await,
        }
    }

    fn set_faults(&self, faults: KvFaults) {
        let break_watches = faults.down || faults.break_watches;
        self.state().fault_injector = FaultInjector::new(faults);
        if break_watches {
            self.watch_breaks.send_modify(|number| *number += 1);
        }
    }

    fn expire_leases(&self) {
        let mut state = self.state();
        state.store.expire_leases(Instant::now());
        self.notify_watches(state.store.revision());
    }

    fn notify_watches(&self, revision: i64) {
        self.changes.send_if_modified(|last_revision| {
            let changed = *last_revision != revision;
            *last_revision = revision;
            changed
        });
    }

    fn changes(&self) -> watch::Receiver<i64> {
        self.changes.subscribe()
    }

    fn watch_breaks(&self) -> watch::Receiver<u64> {
        self.watch_breaks.subscribe()
    }

    fn header(&self) -> ResponseHeader {
        self.state().store.header()
    }

    /// Returns the current revision and the lowest revision that a watch may start from.
    fn revisions(&self) -> (i64, i64) {
        let state = self.state();
        (state.store.revision(), state.store.compacted())
    }

    fn events_since(&self, key_range: &KeyRange, revision: i64) -> (ResponseHeader, Vec<Event>) {
        let state = self.state();
        (
            state.store.header(),
            state.store.events_since(key_range, revision),
        )
    }

    fn watch_opened(&self) {
        self.state().meter.watch_opened();
    }

    fn watches_closed(&self, number: usize) {
        self.state().meter.watches_closed(number);
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(LEASE_CHECK_INTERVAL);
    loop {
        tick.tick().await;
        shared.expire_leases();
    }
}

fn grpc_service(shared: &Arc<Shared>) -> TowerToHyperService<Routes> {
    let service = KvService {
        shared: Arc::clone(shared),
    };
    let keys = KvServer::new(service.clone())
        .max_decoding_message_size(MESSAGE_MAX_BYTES)
        .max_encoding_message_size(usize::MAX);
    let routes = Routes::new(keys)
        .add_service(WatchServer::new(service.clone()))
        .add_service(LeaseServer::new(service));
    TowerToHyperService::new(routes)
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
            ("POST", ["faults"]) => request.apply_json(|faults| self.shared.set_faults(faults)),
            ("GET", ["counts"]) => http_server::json(StatusCode::OK, &self.shared.state().meter.counts()),
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
