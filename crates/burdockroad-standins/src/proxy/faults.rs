//! Injected faults and counts of the proxy.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Faults of the proxy; a new set replaces the previous one entirely.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// Fault in the direction from the client to the target.
    pub forward: Forward,
    /// Fault in the direction from the target to the client.
    pub backward: Backward,
    /// Delay of all bytes, in both directions.
    pub delay_ms: u64,
    /// Cuts all currently open connections, once.
    pub cut_open: bool,
}

/// Behavior in the direction from the client to the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forward {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes are dropped while the connection stays open.
    Drop,
    /// New connections are closed immediately; open ones are forwarded.
    Refuse,
}

/// Behavior in the direction from the target to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Backward {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Bytes are dropped while the connection stays open.
    Drop,
}

/// Counts of connections and bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxyCounts {
    /// Connections that were accepted and not refused.
    pub connections: u64,
    /// Connections that were refused.
    pub refused: u64,
    /// Bytes forwarded from clients to the target.
    pub forward_bytes: u64,
    /// Bytes forwarded from the target to clients.
    pub backward_bytes: u64,
    /// Bytes from clients that were dropped.
    pub forward_dropped_bytes: u64,
    /// Bytes from the target that were dropped.
    pub backward_dropped_bytes: u64,
}

/// One of the two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Forward,
    Backward,
}

/// State shared by the connections and the control requests.
#[derive(Debug)]
pub(crate) struct Shared {
    faults: watch::Sender<ProxyFaults>,
    /// Counter; a change cuts all open connections.
    cuts: watch::Sender<u64>,
    counts: Mutex<ProxyCounts>,
}

impl Shared {
    pub(crate) fn new() -> Self {
        Self {
            faults: watch::Sender::new(ProxyFaults::default()),
            cuts: watch::Sender::new(0),
            counts: Mutex::new(ProxyCounts::default()),
        }
    }

    pub(crate) fn set_faults(&self, faults: ProxyFaults) {
        self.faults.send_replace(faults);
        if faults.cut_open {
            self.cuts.send_modify(|number| *number += 1);
        }
    }

    pub(crate) fn faults(&self) -> watch::Receiver<ProxyFaults> {
        self.faults.subscribe()
    }

    pub(crate) fn cuts(&self) -> watch::Receiver<u64> {
        self.cuts.subscribe()
    }

    pub(crate) fn counts(&self) -> ProxyCounts {
        *self.counts_mut()
    }

    /// Counts a new connection as admitted or refused, and returns whether it was admitted.
    pub(crate) fn admit(&self) -> bool {
        let refuses = self.faults.borrow().forward == Forward::Refuse;
        let mut counts = self.counts_mut();
        if refuses {
            counts.refused += 1;
        } else {
            counts.connections += 1;
        }
        !refuses
    }

    pub(crate) fn count(&self, direction: Direction, bytes: usize, dropped: bool) {
        let mut counts = self.counts_mut();
        let count = match (direction, dropped) {
            (Direction::Forward, false) => &mut counts.forward_bytes,
            (Direction::Forward, true) => &mut counts.forward_dropped_bytes,
            (Direction::Backward, false) => &mut counts.backward_bytes,
            (Direction::Backward, true) => &mut counts.backward_dropped_bytes,
        };
        *count += bytes as u64;
    }

    fn counts_mut(&self) -> MutexGuard<'_, ProxyCounts> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ProxyFaults {
    /// Returns whether the bytes of a direction are dropped.
    pub(crate) fn drops(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.forward == Forward::Drop,
            Direction::Backward => self.backward == Backward::Drop,
        }
    }
}
