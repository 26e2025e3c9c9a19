//! Pace at which a host hands updates on to other hosts.
//!
//! Load pattern: all hosts that are behind ask for the same update at the same time, on a link that carries calls
//! which must not wait. A host therefore sends updates one after the other, at a rate far below that of its link.
//! It sends a requester that would wait too long on to a host that was sent the update before, which does the same. The
//! number of hosts that have the update multiplies with each such step, so the time until all have it grows with the
//! logarithm of their number.
//!
//! Small updates, as of one endpoint's entry, go before larger ones, which make room for them. They wait for each other
//! only when they are many.

mod transfer_queue;

pub use self::transfer_queue::TransferId;

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use self::transfer_queue::{TransferQueue, Turn};
use crate::ids::Revision;

/// Size of a message from which an update does not go before others.
const SMALL_BYTES: usize = 1 << 10;

/// Time by which a small update may begin before its turn: most changes reach all hosts of a fleet without a wait.
const SMALL_LEAD_TIME: Duration = Duration::from_millis(50);

/// Time by which any other update may begin before its turn. It makes up for timers that fire late.
const LEAD_TIME: Duration = Duration::from_millis(10);

/// Longest time for which a request waits for its turn. Requesters wait longer for the head of a response.
const QUEUE_TIME_MAX: Duration = Duration::from_millis(150);

/// Time from the beginning of a transfer after which its receiver can usually hand the update on.
const HANDOVER_TIME: Duration = Duration::from_millis(60);

/// Number of receivers of an update that are remembered.
const HOLDERS_MAX: usize = 32;

/// When a host hands an update on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateReply {
    /// The update is sent when it is its turn.
    Send {
        /// Transfer that waits for its turn.
        transfer: TransferId,
        /// Time until its turn, if all transfers before it begin in time.
        wait: Duration,
    },
    /// The requester asks again after a wait.
    Later {
        /// Time after which the requester asks again.
        wait: Duration,
        /// Host that was sent the update, which the requester asks then; `None` if it asks the same host.
        holder: Option<SocketAddr>,
    },
}

/// Paces the updates that a host hands on.
#[derive(Clone, Debug)]
pub struct UpdatePacer {
    small: TransferQueue,
    /// Updates that are not small. Small ones that begin take their time, too.
    others: TransferQueue,
    /// Number of transfers that were added.
    added: u64,
    /// Receivers of the latest update of each range, by prefix.
    receivers: HashMap<String, Receivers>,
}

#[derive(Clone, Debug, Default)]
struct Receivers {
    /// Revision of the last change in the update.
    revision: Revision,
    /// Addresses, each with the time at which it can hand the update on.
    addresses: Vec<(SocketAddr, Instant)>,
    next: usize,
}

impl Default for UpdatePacer {
    fn default() -> Self {
        Self {
            small: TransferQueue::new(SMALL_LEAD_TIME),
            others: TransferQueue::new(LEAD_TIME),
            added: 0,
            receivers: HashMap::new(),
        }
    }
}

impl UpdatePacer {
    /// Decides when an update that ends with the change of `revision` is sent, in a message of `bytes`. `requester` is
    /// the address of the requesting host, at which others can ask for the update later; `None` if it is not known.
    ///
    /// A transfer that waits blocks those behind it until it has begun ([`begin`](Self::begin)) or is cancelled
    /// ([`cancel`](Self::cancel)).
    pub fn decide(
        &mut self,
        prefix: &str,
        revision: Revision,
        bytes: usize,
        requester: Option<SocketAddr>,
        now: Instant,
    ) -> UpdateReply {
        let is_small = bytes < SMALL_BYTES;
        let queue = if is_small {
            &mut self.small
        } else {
            &mut self.others
        };
        let wait = queue.wait(now);
        let receivers = self.receivers.entry(prefix.to_owned()).or_default();
        if receivers.revision != revision {
            *receivers = Receivers {
                revision,
                ..Receivers::default()
            };
        }
        if wait <= QUEUE_TIME_MAX {
            if let Some(requester) = requester {
                receivers.add(requester, now + wait + HANDOVER_TIME);
            }
            self.added += 1;
            let transfer = TransferId {
                is_small,
                number: self.added,
            };
            queue.add(transfer, bytes);
            return UpdateReply::Send { transfer, wait };
        }
        match receivers.next_holder(requester) {
            Some((holder, ready_at)) => UpdateReply::Later {
                wait: ready_at.saturating_duration_since(now),
                holder: Some(holder),
            },
            // The requester comes back before the link is free, so that it is in use all the time.
            None => UpdateReply::Later {
                wait: wait.saturating_sub(QUEUE_TIME_MAX / 2),
                holder: None,
            },
        }
    }

    /// Begins a transfer if it is its turn. Returns the time after which it asks again; `None` if it has begun.
    ///
    /// A turn that has passed is not made up for: the transfers behind it begin later by as much.
    pub fn begin(&mut self, transfer: TransferId, now: Instant) -> Option<Duration> {
        match self.queue(transfer).begin(transfer, now)? {
            Turn::Later { wait } => Some(wait),
            Turn::Now { lasts } => {
                if transfer.is_small {
                    self.others.occupy(lasts, now);
                }
                None
            }
        }
    }

    /// Gives up the turn of a transfer. One that has begun is not affected.
    pub fn cancel(&mut self, transfer: TransferId) {
        self.queue(transfer).cancel(transfer);
    }

    fn queue(&mut self, transfer: TransferId) -> &mut TransferQueue {
        if transfer.is_small {
            &mut self.small
        } else {
            &mut self.others
        }
    }
}

impl Receivers {
    fn add(&mut self, address: SocketAddr, ready_at: Instant) {
        if self.addresses.len() < HOLDERS_MAX && !self.addresses.iter().any(|(known, _)| *known == address) {
            self.addresses.push((address, ready_at));
        }
    }

    /// Returns the hosts that were sent the update in turn.
    fn next_holder(&mut self, requester: Option<SocketAddr>) -> Option<(SocketAddr, Instant)> {
        let others = self
            .addresses
            .iter()
            .filter(|(address, _)| Some(*address) != requester);
        let others: Vec<(SocketAddr, Instant)> = others.copied().collect();
        let index = self.next.checked_rem(others.len())?;
        self.next = self.next.wrapping_add(1);
        others.get(index).copied()
    }
}
