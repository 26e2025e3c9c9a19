//! State that all tasks of a host share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicUsize},
    time::Instant,
};

use burdockroad::{
    HostId, Incarnation,
    gateway::{
        CallerLimits, ConnectionLimits, Departures, Directory, EndpointReach, EndpointTable, Ledger,
        LedgerOptions, MemoryBudget, Overdrafts, ProgramStartGate, Quarantine, RateLimiter, RegionMap,
        RemoteReservations, RunningPrograms, StreamOrigins, UnsentOrigins, UpdatePacer, VersionHistory,
    },
};
use burdockroad_daemon::{http::CallerMemory, platform::Revision};
use tokio::{
    net::UdpSocket,
    sync::{Notify, watch},
};

use crate::{
    DecisionLog, Dialect, HostOptions, RangeLog, announced_range::AnnouncedRange, body_discard::Discards,
    collected_reports::CollectedReports, connections::ConnectionTable, crash_checks::CrashChecks,
    failed_polls::FailedPolls, memory::CallerRoom, peer_client::PeerClient, peers::Peers,
    pool::ConnectionPool, range_view::RangeView, relay::RelayedStore, shutdown::Shutdown,
    turn_store::client::TurnClient, unseen_versions::LastRead, update_message::EncodedUpdates,
};

/// State of one host.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    /// Start time of the process.
    pub(crate) started_at: Instant,
    pub(crate) failure_domain: String,
    /// Regions of the failure domains.
    pub(crate) regions: Arc<RegionMap>,
    pub(crate) dialect: Arc<dyn Dialect>,
    pub(crate) store: Arc<RelayedStore>,
    pub(crate) log: DecisionLog,
    pub(crate) pool: ConnectionPool,
    /// Open connections of callers.
    pub(crate) callers: Arc<ConnectionTable>,
    /// Open connections of other hosts.
    pub(crate) host_connections: Arc<ConnectionTable>,
    /// Open connections to the pages.
    pub(crate) page_connections: PageConnections,
    /// Memory that callers make this host hold.
    pub(crate) room: Arc<CallerRoom>,
    /// Memory for messages of other hosts.
    pub(crate) message_memory: Arc<CallerMemory>,
    pub(crate) discards: Discards,
    /// Socket for datagrams to and from other hosts.
    pub(crate) datagrams: Arc<UdpSocket>,
    /// Reports of hosts in this failure domain that this host sends to the others.
    pub(crate) collected_reports: CollectedReports,
    /// Turns of conversations that the system keeps.
    pub(crate) turns: Arc<TurnClient>,
    /// The other registered hosts.
    pub(crate) peers: watch::Sender<Peers>,
    pub(crate) peer_client: Arc<PeerClient>,
    /// Notified when the host begins to shut down.
    pub(crate) stop_started: Notify,
    /// Notified when a call waits for a reservation to be written.
    pub(crate) reservation_requested: Notify,
    /// Notified when a write of reservations has ended or tokens were released.
    pub(crate) reservations_changed: Notify,
    /// Notified when a watched range has changed, so that the next report is sent immediately.
    pub(crate) report_now: Notify,
    /// Notified when a watcher announces a newer change of a range.
    pub(crate) range_announced: Notify,
    /// Number of large updates of ranges that are being sent to other hosts.
    pub(crate) updates_under_way: AtomicUsize,
    pub(crate) update_pacer: Mutex<UpdatePacer>,
    pub(crate) encoded_updates: Mutex<EncodedUpdates>,
    /// Notified when the versions of a service may have changed.
    pub(crate) versions_changed: Notify,
    /// Versions of endpoints that the last check read from the store.
    pub(crate) last_version_read: LastRead,
    /// Notified when a check whether an endpoint crashed has ended.
    pub(crate) endpoint_checked: Notify,
    /// Whether the host is shutting down, and the times of the stop.
    pub(crate) shutdown: Shutdown,
    tables: Mutex<Tables>,
}

/// Open connections to the pages.
#[derive(Debug)]
pub(crate) struct PageConnections {
    pub(crate) readiness: Arc<ConnectionTable>,
    pub(crate) metrics: Arc<ConnectionTable>,
}

/// Tables that the host's decisions are based on.
#[derive(Debug)]
pub(crate) struct Tables {
    /// Configuration in force; `None` before the first one was read.
    pub(crate) directory: Option<Arc<Directory>>,
    pub(crate) directory_applied_at: Option<Instant>,
    pub(crate) endpoints: EndpointTable,
    /// Whether the endpoints were read since the process started.
    pub(crate) has_read_endpoints: bool,
    /// Which hosts reach endpoints on their own.
    pub(crate) reach: EndpointReach,
    /// Versions of endpoints that have left.
    pub(crate) version_history: VersionHistory,
    /// Revisions of the durable records of services' versions.
    pub(crate) record_revisions: HashMap<String, Revision>,
    /// Versions of streams that callers may take up.
    pub(crate) stream_origins: StreamOrigins,
    /// Streams whose versions were not sent to their holders.
    pub(crate) unsent_origins: UnsentOrigins,
    pub(crate) rate_limiter: RateLimiter,
    /// Budgets of the programs that this host serves.
    pub(crate) ledger: Ledger,
    /// Number of registered hosts, including this one; 0 before the hosts were read.
    pub(crate) host_count: usize,
    /// Polls of the store that failed since its last response; `None` if none did.
    pub(crate) failed_polls: Option<FailedPolls>,
    /// Overdrafts of programs that this process has claimed.
    pub(crate) overdrafts: Overdrafts,
    /// Time of the first failed budget write since the last successful one; `None` if there is none.
    pub(crate) writes_failing_since: Option<Instant>,
    /// Time at which the first budget write since the last successful one was sent; `None` if there is none.
    pub(crate) writes_unanswered_since: Option<Instant>,
    /// Reservations for calls of other hosts.
    pub(crate) remote_reservations: RemoteReservations,
    /// Contents of the followed ranges, by prefix.
    pub(crate) range_logs: HashMap<String, RangeLog>,
    /// Time of the last response of the store for a range, by prefix.
    pub(crate) range_responded_at: HashMap<String, Instant>,
    /// Last updates of the followed ranges, by prefix.
    pub(crate) range_views: HashMap<String, RangeView>,
    /// Latest announcements of watchers, by prefix.
    pub(crate) announced_ranges: HashMap<String, AnnouncedRange>,
    /// Decides which programs may start while a service is overloaded.
    pub(crate) start_gate: ProgramStartGate,
    /// Programs with a call that this host admitted recently enough for them to count as running.
    pub(crate) running_programs: RunningPrograms,
    /// Requests that crash endpoints.
    pub(crate) quarantine: Quarantine,
    /// Checks whether endpoints crashed.
    pub(crate) crash_checks: CrashChecks,
    /// Endpoints whose entries are gone.
    pub(crate) departures: Departures,
}

impl Shared {
    pub(crate) fn new(
        options: &HostOptions,
        dialect: Arc<dyn Dialect>,
        store: Arc<RelayedStore>,
        peer_client: Arc<PeerClient>,
        memory: Arc<CallerMemory>,
        datagrams: Arc<UdpSocket>,
        log: DecisionLog,
    ) -> Self {
        let now = Instant::now();
        let connection_limits = ConnectionLimits::on(options.machine);
        let callers = ConnectionTable::for_callers(connection_limits.callers, &memory);
        let regions = Arc::new(RegionMap::new(options.regions.clone()));
        let mut endpoints = EndpointTable::new();
        endpoints.set_regions(Arc::clone(&regions));
        Self {
            host: options.host.clone(),
            incarnation: options.incarnation,
            started_at: now,
            failure_domain: options.failure_domain.clone(),
            dialect,
            pool: ConnectionPool::default(),
            host_connections: ConnectionTable::new("hosts", connection_limits.hosts),
            page_connections: PageConnections {
                readiness: ConnectionTable::new("readiness", connection_limits.pages),
                metrics: ConnectionTable::new("metrics", connection_limits.pages),
            },
            room: CallerRoom::new(memory, Arc::clone(&callers)),
            callers,
            message_memory: CallerMemory::new(MemoryBudget::for_messages(options.machine, false)),
            discards: Discards::default(),
            datagrams,
            collected_reports: CollectedReports::default(),
            turns: Arc::new(TurnClient::new(
                options.tolerated_losses,
                options.failure_domain.clone(),
                Arc::clone(&regions),
                Arc::clone(&peer_client),
                Arc::<RelayedStore>::clone(&store),
                log.clone(),
            )),
            store,
            regions,
            log,
            peers: watch::Sender::new(Peers::new()),
            peer_client,
            stop_started: Notify::new(),
            reservation_requested: Notify::new(),
            reservations_changed: Notify::new(),
            report_now: Notify::new(),
            range_announced: Notify::new(),
            updates_under_way: AtomicUsize::new(0),
            update_pacer: Mutex::default(),
            encoded_updates: Mutex::default(),
            versions_changed: Notify::new(),
            last_version_read: LastRead::default(),
            endpoint_checked: Notify::new(),
            shutdown: Shutdown::default(),
            tables: Mutex::new(Tables::new(options, endpoints, now)),
        }
    }

    /// Locks the tables. The lock is held for the duration of a decision, never across an `await`.
    pub(crate) fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the limits of callers in the configuration in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        let tables = self.tables();
        let directory = tables.directory.as_ref();
        directory
            .map(|directory| directory.document().limits)
            .unwrap_or_default()
    }

    /// Returns the tables of the connections that others have opened.
    pub(crate) fn connection_tables(&self) -> Vec<Arc<ConnectionTable>> {
        let pages = &self.page_connections;
        let tables = [
            &self.callers,
            &self.host_connections,
            &pages.readiness,
            &pages.metrics,
        ];
        tables.map(Arc::clone).to_vec()
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.is_begun()
    }

    /// Returns whether the host can serve new programs.
    pub(crate) fn is_ready(&self) -> bool {
        let can_route = self.tables().routing_directory().is_some();
        can_route && !self.is_stopping() && !self.is_isolated()
    }

    /// Returns the addresses of the other hosts in this failure domain.
    pub(crate) fn addresses_in_domain(&self) -> Vec<SocketAddr> {
        let peers = self.peers.borrow();
        let local = peers
            .values()
            .filter(|peer| peer.failure_domain == self.failure_domain);
        local.map(|peer| peer.address).collect()
    }

    /// Returns whether this host reaches neither the store nor another host. Other hosts can then serve its
    /// callers better.
    pub(crate) fn is_isolated(&self) -> bool {
        if self.store.is_served_directly() {
            return false;
        }
        let now = Instant::now();
        let peers = self.peers.borrow();
        let tables = self.tables();
        !peers.is_empty() && !peers.keys().any(|host| tables.rate_limiter.is_live(host, now))
    }
}

impl Tables {
    /// Returns the tables of a host that has read nothing yet.
    fn new(options: &HostOptions, endpoints: EndpointTable, now: Instant) -> Self {
        Self {
            directory: None,
            directory_applied_at: None,
            endpoints,
            has_read_endpoints: false,
            reach: EndpointReach::default(),
            version_history: VersionHistory::default(),
            record_revisions: HashMap::new(),
            stream_origins: StreamOrigins::default(),
            unsent_origins: UnsentOrigins::default(),
            rate_limiter: RateLimiter::new(now),
            ledger: Ledger::new(LedgerOptions::default(), options.incarnation),
            overdrafts: Overdrafts::default(),
            host_count: 0,
            failed_polls: None,
            writes_failing_since: None,
            writes_unanswered_since: None,
            remote_reservations: RemoteReservations::default(),
            range_logs: HashMap::new(),
            range_responded_at: HashMap::new(),
            range_views: HashMap::new(),
            announced_ranges: HashMap::new(),
            start_gate: ProgramStartGate::default(),
            running_programs: RunningPrograms::default(),
            quarantine: Quarantine::default(),
            crash_checks: CrashChecks::default(),
            departures: Departures::new(options.heartbeat_interval),
        }
    }

    /// Returns the configuration in force once the host can route calls: it has also read the registered hosts and
    /// the endpoints. Without the endpoints, it would refuse calls as if there were none.
    pub(crate) fn routing_directory(&self) -> Option<&Arc<Directory>> {
        let has_read_ranges = self.host_count > 0 && self.has_read_endpoints;
        self.directory.as_ref().filter(|_| has_read_ranges)
    }
}
