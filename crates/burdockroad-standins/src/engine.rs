//! Stand-in of a model engine: continuous batching, a prefix cache, streams and orders.
//!
//! It answers `POST /v1/chat/completions` in the published form, with text made from a hash of the
//! prompt. What it generates, holds and refuses follows from its options alone, so tests can say
//! beforehand what comes. Its control address is apart, so that no request that is passed on to the
//! engine can reach it.
//!
//! | request | what it does |
//! |---|---|
//! | `POST /v1/chat/completions` | answers; headers `X-Program-Id`, `X-Priority` (lower first), `X-Request-Id` |
//! | `GET /v1/models` | lists the loaded models |
//! | `POST /streams/{id}/cancel` | ends a stream for good |
//! | `GET /streams/{id}?from=N` | sends a stream from token N, and takes it from its earlier reader |
//! | `GET /cache`, `DELETE /cache/{program}` | lists held programs, frees one |
//! | `GET /cache/{program}/export`, `PUT /cache/{program}` | exports and imports a prefix |
//! | `GET /cache/events?since=N` | events, late and with gaps |
//! | `GET /load` | the load, with a lag |
//! | `POST /orders`, `GET /orders` | gives and lists orders |
//!
//! A caller that closes its connection suspends its stream: the slot is freed, and a later
//! `GET /streams/{id}` goes on where it stopped. A stream that runs while its program is freed leaves
//! its prefix in the cache again at its end, as real engines do.

pub use crate::{
    engine::{
        cache::{CacheEvent, CacheEventKind, HeldProgram},
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
    engine::{
        api::Api,
        batch::{Batch, BatchLimits, Phase},
        cache::{Cache, EventLog},
        orders::Loader,
        stats::LaggedLoad,
    },
    error::Result,
    http_client::HttpClient,
    http_server::{self, Handler, HandlerResult, ReceivedRequest},
    record::{RecordedRequest, Recorder},
    request_faults::{RequestFault, RequestFaultInjector},
    server::Server,
};

mod answer;
mod api;
mod batch;
mod cache;
mod chat;
mod orders;
mod stats;
mod text;

/// How an engine stand-in is started.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Loopback address of the engine; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Loopback address of the control requests; port 0 takes a free one.
    pub control_listen: SocketAddr,
    /// Models that are loaded at the start; with none named, any model is served.
    pub models: Vec<String>,
    /// Sequences that are computed at once.
    pub slots: usize,
    /// Time that a token takes when a sequence runs alone.
    pub token_time: Duration,
    /// Share of `token_time` that each further sequence adds to it.
    pub batch_slowdown: f64,
    /// Time that each token of a prompt takes that is not in the cache.
    pub prefill_per_token: Duration,
    /// Tokens that the prefix cache can hold.
    pub cache_tokens: u64,
    /// Time that each token takes to export or import.
    pub transfer_per_token: Duration,
    /// Tokens of each answer; none derives it from the prompt.
    pub answer_tokens: Option<u64>,
    /// Time until an event of the cache is published.
    pub event_lag: Duration,
    /// Probability that an event of the cache is never published.
    pub event_gap_probability: f64,
    /// Age of the load that is reported.
    pub load_lag: Duration,
    /// Whether orders with an old fencing number are refused.
    pub fencing: Fencing,
    /// Time that loading takes once the weights are there.
    pub load_time: Duration,
    /// Where weights come from; none needs no weights.
    pub weight_store: Option<SocketAddr>,
    /// Requests that are kept in the record.
    pub record_limit: usize,
    /// Seed of the choices that go by probability.
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
            answer_tokens: None,
            event_lag: Duration::ZERO,
            event_gap_probability: 0.0,
            load_lag: Duration::ZERO,
            fencing: Fencing::Refused,
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
    server: Server,
    control: Server,
    tasks: [JoinHandle<()>; 2],
}

impl EngineStandin {
    /// Starts the stand-in.
    ///
    /// # Errors
    ///
    /// Fails when an address is not loopback or cannot be listened on.
    pub async fn start(options: EngineOptions) -> Result<Self> {
        let (accepted, orders) = mpsc::unbounded_channel();
        let shared = Arc::new(Shared::new(&options, accepted));
        let api = Api {
            shared: Arc::clone(&shared),
        };
        let server = http_server::serve(options.listen, Arc::new(api)).await?;
        let control = Control {
            shared: Arc::clone(&shared),
        };
        let control = http_server::serve(options.control_listen, Arc::new(control)).await?;
        let loader = Loader {
            shared: Arc::clone(&shared),
            load_time: options.load_time,
            weight_store: options.weight_store,
            client: HttpClient::new(),
        };
        let tasks = [
            tokio::spawn(run_batch(Arc::clone(&shared))),
            tokio::spawn(loader.run(orders)),
        ];
        Ok(Self {
            shared,
            server,
            control,
            tasks,
        })
    }

    /// Returns the address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the address that takes `POST /faults`, `GET /recorded` and `GET /stats`.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Puts a set of faults in place of the one in force.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.state().faults = RequestFaultInjector::new(faults);
    }

    /// Returns every request that the engine was sent, the oldest first.
    pub fn recorded(&self) -> Vec<RecordedRequest> {
        self.shared.recorder.recorded()
    }

    /// Returns what the engine computed since it was started.
    pub fn stats(&self) -> EngineStats {
        self.shared.state().stats
    }

    /// Returns the programs that the engine holds a prefix of.
    pub fn held_programs(&self) -> Vec<HeldProgram> {
        self.shared.state().cache.held()
    }

    /// Returns the load as it is now, without the lag that callers see.
    pub fn load(&self) -> Load {
        self.shared.state().load_now()
    }

    /// Stops the stand-in, ends all its connections and forgets what it held.
    pub async fn close(self) {
        self.server.close().await;
        self.control.close().await;
        for task in self.tasks {
            task.abort();
        }
    }
}

/// What the requests, the batch and the loader share.
#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    recorder: Recorder,
    /// Tells the batch of work or of a stream that ended.
    woken: Notify,
    /// Tells the readers of generated tokens.
    steps: watch::Sender<u64>,
    accepted: mpsc::UnboundedSender<usize>,
    streams: AtomicU64,
    answer_tokens: Option<u64>,
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
    faults: RequestFaultInjector,
}

impl Shared {
    fn new(options: &EngineOptions, accepted: mpsc::UnboundedSender<usize>) -> Self {
        let limits = BatchLimits {
            slots: options.slots,
            step: options.token_time,
            slowdown: options.batch_slowdown,
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
            faults: RequestFaultInjector::new(EngineFaults::default()),
        };
        Self {
            state: Mutex::new(state),
            recorder: Recorder::new(options.record_limit),
            woken: Notify::new(),
            steps: watch::Sender::new(0),
            accepted,
            streams: AtomicU64::new(0),
            answer_tokens: options.answer_tokens,
            fencing: options.fencing,
            transfer_per_token: options.transfer_per_token,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn next_fault(&self) -> (RequestFault, Duration) {
        let mut state = self.state();
        let delay = Duration::from_millis(state.faults.faults.delay_ms);
        (state.faults.next_fault(), delay)
    }

    fn new_stream_id(&self) -> String {
        format!("s{}", self.streams.fetch_add(1, Ordering::Relaxed))
    }

    fn steps(&self) -> watch::Receiver<u64> {
        self.steps.subscribe()
    }

    fn wake(&self) {
        self.woken.notify_one();
        self.steps.send_modify(|number| *number += 1);
    }

    fn carry_out(&self, place: usize) {
        // The loader ends only with the stand-in, and then nobody waits for the order.
        self.accepted.send(place).unwrap_or_default();
    }

    async fn transfer(&self, tokens: u64) {
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        tokio::time::sleep(self.transfer_per_token.saturating_mul(tokens)).await;
    }
}

impl State {
    fn load_now(&self) -> Load {
        Load {
            running: self.batch.running() as u64,
            waiting: self.batch.waiting() as u64,
            slots: self.batch.slots() as u64,
            cache_tokens_used: self.cache.used_tokens(),
            cache_tokens_max: self.cache.max_tokens(),
            age_ms: 0,
        }
    }

    fn load(&self, now: Instant) -> Load {
        self.load.report(now)
    }

    fn sample_load(&mut self, now: Instant) {
        self.load.sample(self.load_now(), now);
    }

    fn stop(&mut self, stream_id: &str, phase: Phase, now: Instant) {
        self.batch.stop(stream_id, phase, &mut self.cache, now);
        self.sample_load(now);
    }

    fn tick(&mut self, now: Instant) -> Option<Instant> {
        let due = self.batch.tick(&mut self.cache, &mut self.stats, now);
        self.sample_load(now);
        due
    }
}

async fn run_batch(shared: Arc<Shared>) {
    loop {
        let due = shared.state().tick(Instant::now());
        shared.steps.send_modify(|number| *number += 1);
        match due {
            None => shared.woken.notified().await,
            Some(at) => {
                tokio::select! {
                    () = shared.woken.notified() => {}
                    () = tokio::time::sleep_until(at) => {}
                }
            }
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
            ("GET", ["recorded"]) => http_server::json(StatusCode::OK, &self.shared.recorder.recorded()),
            ("GET", ["stats"]) => http_server::json(StatusCode::OK, &self.shared.state().stats),
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
