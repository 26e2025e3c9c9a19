//! What others may make a host hold, by the limits of its machine.

/// Descriptors of a process that are reserved for files.
const FILE_DESCRIPTORS: usize = 200;

/// Limits of a machine for one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLimits {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Open descriptors.
    pub descriptors: usize,
    /// Parts of them that an operator has set.
    pub parts: PartLimits,
}

/// Parts of a machine's limits that an operator has set; `None` for those that follow from the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PartLimits {
    /// Memory that callers may make the host hold, in bytes.
    pub caller_memory_bytes: Option<usize>,
    /// Memory for messages of other hosts, in bytes.
    pub message_memory_bytes: Option<usize>,
    /// Connections of callers.
    pub caller_connections: Option<usize>,
    /// Connections of other hosts.
    pub host_connections: Option<usize>,
    /// Connections to each of the pages.
    pub page_connections: Option<usize>,
}

impl Default for MachineLimits {
    /// Returns the limits of the smallest machine that gateways usually run on.
    fn default() -> Self {
        Self {
            memory_bytes: 110_000_000,
            descriptors: 4100,
            parts: PartLimits::default(),
        }
    }
}

/// Numbers of connections that others may open to a host.
///
/// A call needs a connection to its caller and one to an endpoint, so the connections of callers take less than half of
/// the descriptors. The rest is for the process's own connections to the store, endpoints and other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other hosts.
    pub hosts: usize,
    /// Connections to each of the pages: readiness and metrics.
    pub pages: usize,
}

impl ConnectionLimits {
    /// Returns the limits on a machine.
    pub fn on(machine: MachineLimits) -> Self {
        let connections = machine.descriptors.saturating_sub(FILE_DESCRIPTORS);
        let part = |sixteenths: usize| (connections * sixteenths / 16).max(1);
        let parts = machine.parts;
        Self {
            callers: parts.caller_connections.unwrap_or_else(|| part(5)),
            hosts: parts.host_connections.unwrap_or_else(|| part(4)),
            pages: parts
                .page_connections
                .unwrap_or_else(|| (connections / 64).clamp(4, 64)),
        }
    }
}

/// What a connection does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionStage {
    /// No request has arrived as a whole head.
    #[default]
    Idle,
    /// The body of a request arrives.
    Receiving,
    /// A call runs, or its response is sent.
    Running,
    /// It carries something else than requests.
    Upgraded,
}

/// A connection as one that may be closed in favour of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenConnection {
    /// Number of the connection.
    pub id: u64,
    /// What it does.
    pub stage: ConnectionStage,
    /// Bytes that the host holds for it.
    pub held_bytes: usize,
    /// Time since bytes last arrived or were sent, in milliseconds.
    pub stalled_ms: u64,
    /// Whether its other end does not take what is sent to it.
    pub is_unread: bool,
}

/// Time without progress after which a connection may be closed in favour of others, in milliseconds.
const STALLED_MIN_MS: u64 = 250;

/// Returns the connection to close in favour of others: the one that holds most for longest without progress. A call
/// that runs is never ended for others, unless its caller does not read what it gets. Nor is a connection that carries something
/// else than requests, since those at its ends notice by themselves when it breaks off.
pub fn connection_to_close(open: impl Iterator<Item = OpenConnection>) -> Option<u64> {
    open.filter(|connection| connection.stalled_ms >= STALLED_MIN_MS)
        .filter(|connection| match connection.stage {
            ConnectionStage::Idle | ConnectionStage::Receiving => true,
            ConnectionStage::Running => connection.is_unread,
            ConnectionStage::Upgraded => false,
        })
        .max_by_key(|connection| (connection.held_bytes as u64 + 1).saturating_mul(connection.stalled_ms))
        .map(|connection| connection.id)
}
