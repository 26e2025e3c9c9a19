//! Stand-in for a model engine: continuous batching, a prefix cache, resumable streams and orders.
//!
//! It serves `POST /v1/chat/completions` in the published format, with text derived from a hash of the
//! prompt. Its output, cache contents and refusals are determined by its options and the requests, so
//! tests can predict them. The control address is separate, so that no request forwarded to the engine
//! can reach it.
//!
//! | request | effect |
//! |---|---|
//! | `POST /v1/chat/completions` | generates; headers `X-Program-Id`, `X-Priority` (lower first), `X-Request-Id` |
//! | `GET /v1/models` | lists the loaded models |
//! | `POST /streams/{id}/cancel` | cancels a stream permanently |
//! | `GET /streams/{id}?from=N` | sends a stream from token N and detaches its previous reader |
//! | `GET /cache`, `DELETE /cache/{program}` | lists the cached prefixes, frees a program's prefix |
//! | `GET /cache/{program}/export`, `PUT /cache/{program}` | exports and imports a prefix |
//! | `GET /cache/events?since=N` | returns cache events, delayed and with gaps |
//! | `GET /load` | returns the load, delayed |
//! | `POST /orders`, `GET /orders` | submits and lists orders |
//!
//! A caller that closes its connection suspends its stream: the slot is freed, and a later
//! `GET /streams/{id}` resumes generation where it stopped. If a program's prefix is freed while one of
//! its streams runs, the stream stores the prefix again when it ends, as in real engines.

pub use crate::{
    engine::{
        cache::{CacheEvent, CacheEventKind, CachedPrefix},
        orders::{AcceptedOrder, Fencing, Order, OrderRequest, OrderState, OrdersReport},
        stats::{EngineStats, Load},
    },
    request_faults::RequestFaults as EngineFaults,
};

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use async_trait::async_trait;
use http::StatusCode;
use tokio::{
    sync::{Notify, mpsc, watch},
    task::JoinHandle,
    time::Instant,
};

use crate::{
    controlled_server::{ControlledServer, ListenAddresses},
    engine::{
        api::ApiHandler,
        batch::{Batch, BatchLimits, Phase},
        cache::{Cache, EventLog},
        orders::OrderExecutor,
        stats::LaggedLoad,
    },
    error::Result,
    http_client::HttpClient,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    record::{RecordedRequest, Recorder},
    request_faults::{RequestFault, RequestFaultInjector},
};

mod api;
mod batch;
mod cache;
mod chat;
mod orders;
mod reader;
mod stats;
mod text;

/// Options of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Loopback address of the engine; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Loopback address for control requests; port 0 selects a free port.
    pub control_listen: SocketAddr,
    /// Models loaded at start; if empty, any model is served.
    pub models: Vec<String>,
    /// Maximum number of sequences in the batch.
    pub slots: usize,
    /// Time per generated token with one sequence in the batch.
    pub token_time: Duration,
    /// Fraction of `token_time` that each additional sequence adds to it.
    pub batch_slowdown: f64,
    /// Prefill time per prompt token that is not in the cache.
    pub prefill_per_token: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Time to export or import one token of a prefix.
    pub transfer_per_token: Duration,
    /// Length of each completion in tokens; if `None`, it is derived from the prompt.
    pub output_tokens: Option<u64>,
    /// Delay before a cache event is published.
    pub event_lag: Duration,
    /// Probability that a cache event is never published.
    pub event_gap_probability: f64,
    /// Age of the load that `GET /load` returns.
    pub load_lag: Duration,
    /// Whether orders with a stale fencing number are refused.
    pub fencing: Fencing,
    /// Time to load a model, an adapter or a version after its weights have been fetched.
    pub load_time: Duration,
    /// Address of the weight store; if `None`, orders load without fetching weights.
    pub weight_store: Option<SocketAddr>,
    /// Maximum number of recorded requests.
    pub record_limit: usize,
    /// Seed of the random number generator for the probabilities.
    pub seed: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control_listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: Vec::new(),
            slots: 8,
            token_time: Duration::from_millis(1),
            batch_slowdown: 0.02,
            prefill_per_token: Duration::from_micros(20),
            cache_tokens: 100_000,
            transfer_per_token: Duration::ZERO,
            output_tokens: None,
            event_lag: Duration::ZERO,
            event_gap_probability: 0.0,
            load_lag: Duration::ZERO,
            fencing: Fencing::Enforced,
            load_time: Duration::from_millis(50),
            weight_store: None,
            record_limit: 100_000,
            seed: 0,
        }
    }
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineStandin {
    shared: Arc<Shared>,
    server: ControlledServer,
    tasks: [JoinHandle<()>; 2],
}

impl EngineStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not a loopback address or listening on it fails.
    pub async fn start(options: EngineOptions) -> Result<Self> {
        let (order_queue, orders) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(&options, order_queue));
        let api = ApiHandler {
            shared: Arc::clone(&shared),
        };
        let control = ControlHandler {
            shared: Arc::clone(&shared),
        };
        let listen = ListenAddresses {
            server: options.listen,
            control: options.control_listen,
        };
        let server = ControlledServer::serve(listen, Arc::new(api), Arc::new(control)).await?;
        let order_executor = OrderExecutor {
            shared: Arc::clone(&shared),
            load_time: options.load_time,
            weight_store: options.weight_store,
            client: HttpClient::new(),
        };
        let tasks = [
            tokio::spawn(run_batch(Arc::clone(&shared))),
            tokio::spawn(order_executor.run(orders)),
        ];
        Ok(Self {
            shared,
            server,
            tasks,
        })
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that serves `POST /faults`, `GET /recorded` and `GET /stats`.
    pub fn control_address(&self) -> SocketAddr {
        self.server.control_address()
    }

    /// Replaces the active set of faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.state().fault_injector = RequestFaultInjector::new(faults);
    }

    /// Returns the recorded requests, oldest first.
    pub fn recorded(&self) -> Vec<RecordedRequest> {
        self.shared.recorder.recorded()
    }

    /// Returns the token counts and the peak batch size since the start.
    pub fn stats(&self) -> EngineStats {
        self.shared.state().stats
    }

    /// Returns the cached prefixes.
    pub fn cached_prefixes(&self) -> Vec<CachedPrefix> {
        self.shared.state().cache.cached_prefixes()
    }

    /// Returns the current load, without the lag of `GET /load`.
    pub fn load(&self) -> Load {
        self.shared.state().current_load()
    }

    /// Stops the stand-in, ends all its connections and drops its cache.
    pub async fn close(self) {
        self.server.close().await;
        for task in self.tasks {
            task.abort();
        }
    }
}

/// State shared by the request handlers, the batch task and the order executor.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    recorder: Recorder,
    /// Wakes the batch task when a sequence is queued or a stream ends.
    batch_wakeup: Notify,
    /// Counter; a change makes the stream readers check for new tokens and for the end of their stream.
    progress: watch::Sender<u64>,
    order_queue: mpsc::UnboundedSender<usize>,
    /// Number of generated stream ids.
    streams: AtomicU64,
    output_tokens: Option<u64>,
    fencing: Fencing,
    transfer_per_token: Duration,
}

#[derive(Debug)]
pub(crate) struct State {
    batch: Batch,
    cache: Cache,
    stats: EngineStats,
    load: LaggedLoad,
    orders: OrdersReport,
    fault_injector: RequestFaultInjector,
}

impl Shared {
    fn new(options: &EngineOptions, order_queue: mpsc::UnboundedSender<usize>) -> Self {
        let limits = BatchLimits {
            slots: options.slots,
            base_step_time: options.token_time,
            batch_slowdown: options.batch_slowdown,
            prefill_per_token: options.prefill_per_token,
        };
        let events = EventLog::new(options.event_lag, options.event_gap_probability, options.seed);
        let first_load = Load {
            slots: options.slots as u64,
            cache_tokens_max: options.cache_tokens,
            ..Load::default()
        };
        let state = State {
            batch: Batch::new(limits),
            cache: Cache::new(options.cache_tokens, events),
            stats: EngineStats::default(),
            load: LaggedLoad::new(options.load_lag, first_load, Instant::now()),
            orders: OrdersReport {
                models: options.models.clone(),
                ..OrdersReport::default()
            },
            fault_injector: RequestFaultInjector::new(EngineFaults::default()),
        };
        Self {
            state: Mutex::new(state),
            recorder: Recorder::new(options.record_limit),
            batch_wakeup: Notify::new(),
            progress: watch::Sender::new(0),
            order_queue,
            streams: AtomicU64::new(0),
            output_tokens: options.output_tokens,
            fencing: options.fencing,
            transfer_per_token: options.transfer_per_token,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_fault(&self) -> (RequestFault, Duration) {
        let mut state = self.state();
        let delay = Duration::from_millis(state.fault_injector.faults.delay_ms);
        (state.fault_injector.next_fault(), delay)
    }

    fn ends_streams_with_connection(&self) -> bool {
        self.state().fault_injector.faults.until_close
    }

    fn new_stream_id(&self) -> String {
        format!("s{}", self.streams.fetch_add(1, Ordering::Relaxed))
    }

    fn progress(&self) -> watch::Receiver<u64> {
        self.progress.subscribe()
    }

    fn wake_batch_and_readers(&self) {
        self.batch_wakeup.notify_one();
        self.progress.send_modify(|number| *number += 1);
    }

    fn enqueue_order(&self, index: usize) {
        // The executor stops only together with the stand-in, when the order no longer matters.
        self.order_queue.send(index).unwrap_or_default();
    }

    async fn transfer(&self, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        tokio::time::sleep(self.transfer_per_token.saturating_mul(tokens)).await;
    }
}

impl State {
    fn current_load(&self) -> Load {
        Load {
            running: self.batch.running() as u64,
            waiting: self.batch.waiting() as u64,
            slots: self.batch.slots() as u64,
            cache_tokens_used: self.cache.used_tokens(),
            cache_tokens_max: self.cache.max_tokens(),
            age_ms: 0,
        }
    }

    fn lagged_load(&self, now: Instant) -> Load {
        self.load.report(now)
    }

    fn sample_load(&mut self, now: Instant) {
        self.load.sample(self.current_load(), now);
    }

    fn stop(&mut self, stream_id: &str, phase: Phase, now: Instant) {
        self.batch.stop(stream_id, phase, &mut self.cache, now);
        self.sample_load(now);
    }

    fn tick(&mut self, now: Instant) -> Option<Instant> {
        let next_due = self.batch.tick(&mut self.cache, &mut self.stats, now);
        self.sample_load(now);
        next_due
    }
}

async fn run_batch(shared: Arc<Shared>) {
    loop {
        let next_due = shared.state().tick(Instant::now());
        shared.progress.send_modify(|number| *number += 1);
        match next_due {
            None => shared.batch_wakeup.notified().await,
            Some(at) => {
                tokio::select! {
                    () = shared.batch_wakeup.notified() => {}
                    () = tokio::time::sleep_until(at) => {}
                }
            }
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
            ("GET", ["recorded"]) => http_server::json(StatusCode::OK, &self.shared.recorder.recorded()),
            ("GET", ["stats"]) => http_server::json(StatusCode::OK, &self.shared.state().stats),
            ("POST", ["faults"]) => request.apply_json(|faults| {
                self.shared.state().fault_injector = RequestFaultInjector::new(faults);
            }),
            _ => http_server::text(StatusCode::NOT_FOUND, "no such control request"),
        };
        Ok(response)
    }
}
