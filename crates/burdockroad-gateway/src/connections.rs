//! Connections that others have opened to this host, and their bound.
//!
//! Without a bound, connections that send nothing would use up the descriptors of the process, and it could not open
//! one to the store or to an endpoint. At the bound, the connection that holds most for longest without progress is
//! closed in favour of a new one.

mod state;
mod stream;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use burdockroad::gateway::{MemoryUse, connection_to_close};
use burdockroad_daemon::http::{CallerMemory, MemoryShare};
use serde::Serialize;
use tokio::{net::TcpStream, task::yield_now, time::sleep};

use crate::DecisionLog;

pub(crate) use self::{
    state::{ConnectionState, RequestArrival},
    stream::TrackedStream,
};

/// Memory of a caller's connection, in bytes: its task, the buffers of a head and of parts of a body, and what it has received
/// and not read yet.
const CALLER_CONNECTION_BYTES: usize = (64 << 10) + 2 * CALLER_RECEIVE_BUFFER_BYTES;

/// Receive buffer of a caller's connection, in bytes. The system doubles it.
pub(crate) const CALLER_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Interval at which ended connections are logged.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Times for which a new connection lets others run until one of them has closed.
const CLOSE_YIELDS: usize = 8;

/// Memory of which connections take a part.
#[derive(Clone, Debug)]
struct ConnectionMemory {
    of: Arc<CallerMemory>,
    /// Memory of each connection, in bytes.
    connection_bytes: usize,
}

/// Open connections of one kind.
#[derive(Debug)]
pub(crate) struct ConnectionTable {
    /// Name in metrics and logs.
    name: &'static str,
    max: usize,
    /// Memory of which each connection takes a part; `None` for connections that take none.
    memory: Option<ConnectionMemory>,
    open: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_id: AtomicU64,
    peak: AtomicUsize,
    refused: AtomicU64,
    closed: AtomicU64,
}

impl ConnectionTable {
    /// Creates a table for up to `max` connections that take no memory of callers.
    pub(crate) fn new(name: &'static str, max: usize) -> Arc<Self> {
        Self::with_memory(name, max, None)
    }

    /// Creates a table for up to `max` connections of callers.
    pub(crate) fn for_callers(max: usize, memory: &Arc<CallerMemory>) -> Arc<Self> {
        let memory = ConnectionMemory {
            of: Arc::clone(memory),
            connection_bytes: CALLER_CONNECTION_BYTES,
        };
        Self::with_memory("callers", max, Some(memory))
    }

    fn with_memory(name: &'static str, max: usize, memory: Option<ConnectionMemory>) -> Arc<Self> {
        Arc::new(Self {
            name,
            max,
            memory,
            open: Mutex::default(),
            next_id: AtomicU64::new(0),
            peak: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            closed: AtomicU64::new(0),
        })
    }

    /// Admits a new connection, if necessary in place of another one. Returns the stream when no other one may be closed.
    pub(crate) async fn admit(self: &Arc<Self>, stream: TcpStream) -> Result<TrackedStream, TcpStream> {
        for _ in 0..CLOSE_YIELDS {
            if self.count() < self.max
                && let Ok(share) = self.connection_share()
            {
                return Ok(self.track(stream, share));
            }
            if !self.close_one_at_a_time() {
                break;
            }
            yield_now().await;
        }
        self.refused.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("burdockroad_connections_refused_total", "of" => self.name).increment(1);
        Err(stream)
    }

    /// Closes the connection that yields to others, unless another one is closing already. Returns whether one is closing.
    pub(crate) fn close_one_at_a_time(&self) -> bool {
        self.is_closing_any() || self.close_one()
    }

    /// Closes the connection that yields to others. Returns whether there is one.
    fn close_one(&self) -> bool {
        let now = Instant::now();
        let open = self.lock_open();
        let candidates = open.values().filter(|state| !state.is_closing());
        let Some(id) = connection_to_close(candidates.map(|state| state.describe(now))) else {
            return false;
        };
        if let Some(state) = open.get(&id) {
            self.close(state, "room");
        }
        true
    }

    /// Closes the connections whose request head takes longer than `head_timeout`, and those whose other end has not read
    /// for `unread_timeout`.
    pub(crate) fn close_stalled(&self, head_timeout: Duration, unread_timeout: Duration) {
        let now = Instant::now();
        for state in self.lock_open().values().filter(|state| !state.is_closing()) {
            if state.head_time(now).is_some_and(|time| time > head_timeout) {
                self.close(state, "head_timeout");
            } else if state.unread_time(now).is_some_and(|time| time > unread_timeout) {
                self.close(state, "unread");
            }
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.lock_open().len()
    }

    /// Returns the largest number of connections that were open at the same time.
    pub(crate) fn peak(&self) -> usize {
        self.peak.load(Ordering::Relaxed)
    }

    /// Returns how many connections were refused and closed since the last call.
    fn take_ended(&self) -> EndedConnections {
        EndedConnections {
            refused: self.refused.swap(0, Ordering::Relaxed),
            closed: self.closed.swap(0, Ordering::Relaxed),
        }
    }

    /// Takes the memory of a new connection.
    fn connection_share(&self) -> Result<Option<MemoryShare>, NoRoom> {
        let Some(memory) = &self.memory else {
            return Ok(None);
        };
        let mut share = memory.of.share(MemoryUse::Connection);
        if !share.resize(memory.connection_bytes) {
            return Err(NoRoom);
        }
        Ok(Some(share))
    }

    fn track(self: &Arc<Self>, stream: TcpStream, share: Option<MemoryShare>) -> TrackedStream {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ConnectionState::new(id, Instant::now()));
        let connection_bytes = self.memory.as_ref().map(|memory| memory.connection_bytes);
        state.add_held_bytes(connection_bytes.unwrap_or_default());
        let mut open = self.lock_open();
        open.insert(id, Arc::clone(&state));
        self.peak.fetch_max(open.len(), Ordering::Relaxed);
        drop(open);
        TrackedStream::new(stream, state, Arc::clone(self), share)
    }

    fn close(&self, state: &ConnectionState, cause: &'static str) {
        state.close();
        self.closed.fetch_add(1, Ordering::Relaxed);
        metrics::counter!("burdockroad_connections_closed_total", "of" => self.name, "cause" => cause)
            .increment(1);
    }

    fn is_closing_any(&self) -> bool {
        self.lock_open().values().any(|state| state.is_closing())
    }

    fn remove(&self, id: u64) {
        self.lock_open().remove(&id);
    }

    fn lock_open(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Logs for each of the tables how many connections were ended, at most once in each [`REPORT_INTERVAL`].
pub(crate) async fn report_ended(tables: Vec<Arc<ConnectionTable>>, log: DecisionLog) {
    loop {
        sleep(REPORT_INTERVAL).await;
        for table in &tables {
            let ended = table.take_ended();
            if ended.refused + ended.closed > 0 {
                let line = EndedConnectionsLine {
                    of: table.name,
                    refused: ended.refused,
                    closed: ended.closed,
                    open: table.count(),
                    max: table.max,
                };
                log.line("connections_ended", &line);
            }
        }
    }
}

/// Log line of the connections that were ended in one interval.
#[derive(Serialize)]
struct EndedConnectionsLine {
    of: &'static str,
    /// Connections that were refused because none could be closed in their favour.
    refused: u64,
    /// Connections that were closed in favour of others or because they stalled.
    closed: u64,
    /// Connections that are open now.
    open: usize,
    /// Connections that may be open.
    max: usize,
}

/// There is no memory for another connection.
struct NoRoom;

/// Connections that this host ended in favour of others or because they stalled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct EndedConnections {
    refused: u64,
    closed: u64,
}
