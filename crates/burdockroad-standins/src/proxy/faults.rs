//! What the proxy is told to do wrong, and what it counts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

/// Faults of the proxy; a new set replaces the whole old one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProxyFaults {
    /// What happens from the client to the target.
    pub forward: Forward,
    /// What happens from the target to the client.
    pub backward: Backward,
    /// Bytes arrive this much later, in both directions.
    pub delay_ms: u64,
    /// Cuts all connections that are open now, once.
    pub cut_open: bool,
}

/// What happens from the client to the target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Forward {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes vanish while the connection stays open.
    Drop,
    /// New connections are closed at once; open ones pass.
    Refuse,
}

/// What happens from the target to the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Backward {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes vanish while the connection stays open.
    Drop,
}

/// What the proxy passed on and what vanished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ProxyCounts {
    /// Connections that were accepted and not refused.
    pub connections: u64,
    /// Connections that were refused.
    pub refused: u64,
    /// Bytes passed from clients to the target.
    pub forward_bytes: u64,
    /// Bytes passed from the target to clients.
    pub backward_bytes: u64,
    /// Bytes from clients that vanished.
    pub forward_dropped_bytes: u64,
    /// Bytes from the target that vanished.
    pub backward_dropped_bytes: u64,
}

/// One of the two directions of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Direction {
    Forward,
    Backward,
}

/// What the connections and the control requests share.
#[derive(Debug)]
pub(crate) struct Shared {
    faults: watch::Sender<ProxyFaults>,
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

    /// Counts a new connection, or refuses it.
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
    /// Tells whether the bytes of a direction vanish.
    pub(crate) fn drops(&self, direction: Direction) -> bool {
        match direction {
            Direction::Forward => self.forward == Forward::Drop,
            Direction::Backward => self.backward == Backward::Drop,
        }
    }
}
