//! What all tasks of a host share.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use burdockroad::{
    EndpointId, HostId, Incarnation,
    gateway::{RateLimiter, ProgramStartGate, Directory, EndpointTable, Ledger, LedgerOptions, RunningPrograms},
};
use tokio::sync::{Notify, watch};

use crate::{
    DecisionLog, Dialect, RangeLog, budgets::RemoteHold, feed::MissingEndpoints, follow::ToldRange,
    hosts::Peers, peer::PeerClient, pool::ConnectionPool, relay::RelayedStore,
};

/// Tables and borders of one host.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    /// When the process started.
    pub(crate) started_at: Instant,
    pub(crate) failure_domain: String,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) store: Arc<RelayedStore>,
    pub(crate) log: DecisionLog,
    pub(crate) pool: ConnectionPool,
    /// Addresses of the other hosts.
    pub(crate) peers: watch::Sender<Peers>,
    pub(crate) peer_client: Arc<PeerClient>,
    /// The process has begun to stop.
    pub(crate) stop_begun: Notify,
    /// A reservation is wanted.
    pub(crate) reservation_wanted: Notify,
    /// A write of reservations has ended.
    pub(crate) reservations_changed: Notify,
    /// What this host knows has changed, and the others are to hear of it at once.
    pub(crate) report_now: Notify,
    /// A host that watches has told of a change.
    pub(crate) range_told: Notify,
    /// Whether the process is being stopped.
    pub(crate) stopping: AtomicBool,
    tables: Mutex<Tables>,
}

/// What a host decides by.
#[derive(Debug)]
pub(crate) struct Tables {
    /// Configuration in force; none before the first was read.
    pub(crate) directory: Option<Arc<Directory>>,
    pub(crate) directory_at: Option<Instant>,
    pub(crate) endpoints: EndpointTable,
    pub(crate) rate_limiter: RateLimiter,
    pub(crate) ledger: Ledger,
    /// Hosts that serve, this one included; 0 before they were read.
    pub(crate) hosts: usize,
    /// Since when the store has not answered; none while it does.
    pub(crate) store_lost_at: Option<Instant>,
    /// Since when writes of budgets have failed; none after one that did not.
    pub(crate) writes_lost_at: Option<Instant>,
    /// When the store answered again after it had not.
    pub(crate) store_back_at: Option<Instant>,
    /// Tokens held for calls of other hosts, by call.
    pub(crate) remote_holds: HashMap<String, RemoteHold>,
    /// What this host knows of the ranges it follows, by prefix.
    pub(crate) ranges: HashMap<String, RangeLog>,
    /// When the store last answered of a range, by prefix.
    pub(crate) range_answered_at: HashMap<String, Instant>,
    /// How far hosts that watch know them, by prefix.
    pub(crate) told_ranges: HashMap<String, ToldRange>,
    /// Which programs may begin while a service is full.
    pub(crate) gate: ProgramStartGate,
    /// Programs whose calls were admitted lately.
    pub(crate) programs: RunningPrograms,
    /// Endpoints whose entries may have lapsed with the store away.
    pub(crate) missing_endpoints: MissingEndpoints,
}

impl Shared {
    pub(crate) fn new(
        host: HostId,
        incarnation: Incarnation,
        failure_domain: String,
        dialect: Arc<dyn Dialect>,
        store: Arc<RelayedStore>,
        peer_client: Arc<PeerClient>,
        log: DecisionLog,
    ) -> Self {
        let now = Instant::now();
        Self {
            host,
            incarnation,
            started_at: now,
            failure_domain,
            dialect,
            store,
            log,
            pool: ConnectionPool::default(),
            peers: watch::Sender::new(Peers::new()),
            peer_client,
            stop_begun: Notify::new(),
            reservation_wanted: Notify::new(),
            reservations_changed: Notify::new(),
            report_now: Notify::new(),
            range_told: Notify::new(),
            stopping: AtomicBool::new(false),
            tables: Mutex::new(Tables {
                directory: None,
                directory_at: None,
                endpoints: EndpointTable::new(),
                rate_limiter: RateLimiter::new(now),
                ledger: Ledger::new(LedgerOptions::default(), incarnation),
                hosts: 0,
                store_lost_at: None,
                writes_lost_at: None,
                store_back_at: None,
                remote_holds: HashMap::new(),
                ranges: HashMap::new(),
                range_answered_at: HashMap::new(),
                told_ranges: HashMap::new(),
                gate: ProgramStartGate::default(),
                programs: RunningPrograms::default(),
                missing_endpoints: MissingEndpoints::new(),
            }),
        }
    }

    /// The tables; they are held for the time of a decision, never over a wait.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Whether calls can be served.
    pub(crate) fn is_ready(&self) -> bool {
        let tables = self.tables();
        !self.is_stopping() && tables.directory.is_some() && tables.hosts > 0
    }
}

impl Tables {
    /// Takes out the endpoints that had their time to register again and did not.
    pub(crate) fn take_gone(&mut self, now: Instant) -> Vec<EndpointId> {
        if self.store_lost_at.is_some() {
            return Vec::new();
        }
        let gone = self
            .missing_endpoints
            .iter()
            .filter(|(_, gone_at)| **gone_at <= now);
        let gone: Vec<EndpointId> = gone.map(|(id, _)| id.clone()).collect();
        self.missing_endpoints.retain(|_, gone_at| *gone_at > now);
        gone
    }
}
