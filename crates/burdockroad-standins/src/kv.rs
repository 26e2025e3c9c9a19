//! Stand-in of the platform's key-value service: the etcd v3 interface, in memory.
//!
//! It holds keys, leases and watches as etcd's published interface says, counts each call, and keeps
//! to its rates by refusing what goes over. It can be told to be slow, to be down, to break watches,
//! and to lose replies after the write took effect. Leases run out while it is down, too.

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
    error::Result,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    kv::{
        faults::FaultState,
        meter::{CallKind, Meter},
        refusal::Refusal,
        service::KvService,
        span::Span,
        store::Store,
    },
    server::Server,
};

mod faults;
mod meter;
mod refusal;
mod service;
mod span;
mod store;
mod watching;

const LEASE_TICK: Duration = Duration::from_millis(20);
const MESSAGE_MAX_BYTES: usize = 16 << 20;

/// How a key-value stand-in is started.
#[derive(Clone, Debug)]
pub struct KvOptions {
    /// Loopback address of the gRPC calls; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Loopback address of the control requests; port 0 takes a free one.
    pub control_listen: SocketAddr,
    /// Reads that are let in each second; each waiting watch takes one of them.
    pub reads_per_s: u64,
    /// Writes that are let in each second.
    pub writes_per_s: u64,
    /// How often a watch that asked for it is told how far it is.
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
    server: Server,
    control: Server,
    expiring: JoinHandle<()>,
}

impl KvStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not loopback or cannot be listened on.
    pub async fn start(options: KvOptions) -> Result<Self> {
        let shared = Arc::new(Shared::new(&options));
        let server = Server::serve(options.listen, grpc_service(&shared)).await?;
        let handler = Arc::new(Control {
            shared: Arc::clone(&shared),
        });
        let control = http_server::serve(options.control_listen, handler).await?;
        let expiring = tokio::spawn(expire_leases(Arc::clone(&shared)));
        Ok(Self {
            shared,
            server,
            control,
            expiring,
        })
    }

    /// Returns the address of the gRPC calls.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that takes `POST /faults` and `GET /counts`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Puts a set of faults in place of the one in force.
    pub fn set_faults(&self, faults: KvFaults) {
        self.shared.set_faults(faults);
    }

    /// Returns how often the stand-in was called.
    pub fn counts(&self) -> KvCounts {
        self.shared.state().meter.counts()
    }

    /// Stops the stand-in, ends all its connections and forgets its keys.
    pub async fn close(self) {
        self.expiring.abort();
        self.server.close().await;
        self.control.close().await;
    }
}

/// What the calls, the control requests and the expiry of leases share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    changes: watch::Sender<i64>,
    breaks: watch::Sender<u64>,
    progress_interval: Duration,
}

#[derive(Debug)]
struct State {
    store: Store,
    meter: Meter,
    faults: FaultState,
}

impl Shared {
    fn new(options: &KvOptions) -> Self {
        let state = State {
            store: Store::new(),
            meter: Meter::new(options.reads_per_s, options.writes_per_s, Instant::now()),
            faults: FaultState::new(KvFaults::default()),
        };
        Self {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            breaks: watch::Sender::new(0),
            progress_interval: options.progress_interval,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call and makes it wait or fail as the faults say, before it takes effect.
    async fn enter(&self, kind: CallKind) -> std::result::Result<(), Status> {
        let delay_ms = {
            let mut state = self.state();
            if state.faults.faults.down {
                return Err(Refusal::Down.into());
            }
            state.meter.admit(kind, Instant::now())?;
            state.faults.faults.delay_ms
        };
        if delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            // It may have gone down in the meantime.
            if self.state().faults.faults.down {
                return Err(Refusal::Down.into());
            }
        }
        Ok(())
    }

    /// Works on the keys and tells the watches of a change.
    fn with_store<T>(
        &self,
        work: impl FnOnce(&mut Store) -> std::result::Result<T, Refusal>,
    ) -> std::result::Result<T, Status> {
        let mut state = self.state();
        let result = work(&mut state.store);
        self.announce(state.store.revision());
        Ok(result?)
    }

    /// Sends the reply to a write that took effect, unless it is to be lost.
    async fn reply_to_write<T: Send>(&self, response: T) -> std::result::Result<Response<T>, Status> {
        let (lost, how) = {
            let mut state = self.state();
            (state.faults.loses_reply(), state.faults.faults.lost_reply)
        };
        match (lost, how) {
            (false, _) => Ok(Response::new(response)),
            (true, LostReply::Error) => Err(Refusal::ConnectionLost.into()),
            (true, LostReply::Hang) => std::future::pending().await,
        }
    }

    fn set_faults(&self, faults: KvFaults) {
        let breaks = faults.down || faults.break_watches;
        self.state().faults = FaultState::new(faults);
        if breaks {
            self.breaks.send_modify(|number| *number += 1);
        }
    }

    fn expire_leases(&self) {
        let mut state = self.state();
        state.store.expire_leases(Instant::now());
        self.announce(state.store.revision());
    }

    fn announce(&self, revision: i64) {
        self.changes.send_if_modified(|announced| {
            let changed = *announced != revision;
            *announced = revision;
            changed
        });
    }

    fn changes(&self) -> watch::Receiver<i64> {
        self.changes.subscribe()
    }

    fn breaks(&self) -> watch::Receiver<u64> {
        self.breaks.subscribe()
    }

    fn header(&self) -> ResponseHeader {
        self.state().store.header()
    }

    /// Returns the newest revision, and the lowest that a watch may start from.
    fn revisions(&self) -> (i64, i64) {
        let state = self.state();
        (state.store.revision(), state.store.compacted())
    }

    fn events_since(&self, span: &Span, revision: i64) -> (ResponseHeader, Vec<Event>) {
        let state = self.state();
        (state.store.header(), state.store.events_since(span, revision))
    }

    fn watch_opened(&self) {
        self.state().meter.watch_opened();
    }

    fn watches_closed(&self, number: usize) {
        self.state().meter.watches_closed(number);
    }
}

async fn expire_leases(shared: Arc<Shared>) {
    let mut tick = tokio::time::interval(LEASE_TICK);
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

/// Answers the control requests.
struct Control {
    shared: Arc<Shared>,
}

#[async_trait]
impl Handler for Control {
    async fn handle(&self, request: ReceivedRequest) -> HandlerResult {
        let (method, path) = request.route();
        let response = match (method, path.as_slice()) {
            ("POST", ["faults"]) => match request.json() {
                Ok(faults) => {
                    self.shared.set_faults(faults);
                    http_server::empty(StatusCode::NO_CONTENT)
                }
                Err(refused) => *refused,
            },
            ("GET", ["counts"]) => http_server::json(StatusCode::OK, &self.shared.state().meter.counts()),
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
