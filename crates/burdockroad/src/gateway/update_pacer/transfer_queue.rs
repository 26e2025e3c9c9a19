//! Transfers that begin one after the other, at a pace.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

/// Rate at which a host sends updates, 10 Mbit/s.
const PACE_BYTES_PER_S: f64 = 1.25e6;

/// Shortest time after which a transfer asks again whether it is its turn.
const RETRY_TIME_MIN: Duration = Duration::from_millis(1);

/// Id of a transfer that waits for its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TransferId {
    /// Whether the transfer waits among the small ones.
    pub(super) is_small: bool,
    pub(super) number: u64,
}

/// Whether it is the turn of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Turn {
    /// The transfer has begun.
    Now {
        /// Time that it takes at the pace.
        lasts: Duration,
    },
    /// The transfer asks again after a wait.
    Later {
        /// Time left until its turn.
        wait: Duration,
    },
}

/// Transfers that wait, and the time that those which have begun take at the pace.
#[derive(Clone, Debug)]
pub(super) struct TransferQueue {
    /// Time by which a transfer may begin before its turn.
    lead: Duration,
    /// Time at which the last transfer that has begun ends at the pace; `None` before the first one.
    free_at: Option<Instant>,
    /// First turn first.
    waiting: VecDeque<WaitingTransfer>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingTransfer {
    id: TransferId,
    /// Time that the transfer takes at the pace.
    lasts: Duration,
}

impl TransferQueue {
    /// Returns an empty queue whose transfers may begin by `lead` before their turns.
    pub(super) fn new(lead: Duration) -> Self {
        Self {
            lead,
            free_at: None,
            waiting: VecDeque::new(),
        }
    }

    /// Returns the time until a transfer begins that is added now, if all that wait before it begin in time.
    pub(super) fn wait(&self, now: Instant) -> Duration {
        self.wait_behind(self.waiting.len(), now)
    }

    /// Adds a transfer of `bytes` behind all others.
    pub(super) fn add(&mut self, id: TransferId, bytes: usize) {
        let lasts = transfer_time(bytes);
        self.waiting.push_back(WaitingTransfer { id, lasts });
    }

    /// Begins a transfer if it is its turn; `None` if it does not wait here.
    pub(super) fn begin(&mut self, id: TransferId, now: Instant) -> Option<Turn> {
        let position = self.position(id)?;
        let wait = self.wait_behind(position, now);
        if position > 0 || !wait.is_zero() {
            let wait = wait.max(RETRY_TIME_MIN);
            return Some(Turn::Later { wait });
        }
        let WaitingTransfer { lasts, .. } = self.waiting.pop_front()?;
        self.occupy(lasts, now);
        Some(Turn::Now { lasts })
    }

    /// Removes a transfer that does not begin.
    pub(super) fn cancel(&mut self, id: TransferId) {
        self.waiting.retain(|transfer| transfer.id != id);
    }

    /// Records that the link is in use for `time`, after what is being sent.
    pub(super) fn occupy(&mut self, time: Duration, now: Instant) {
        let free_at = self.free_at.map_or(now, |free_at| free_at.max(now));
        self.free_at = Some(free_at + time);
    }

    /// Returns the time until the turn of a transfer with `ahead` waiting transfers before it.
    fn wait_behind(&self, ahead: usize, now: Instant) -> Duration {
        let begun = self
            .free_at
            .map_or(Duration::ZERO, |free_at| free_at.saturating_duration_since(now));
        let waiting = self.waiting.iter().take(ahead);
        let waiting: Duration = waiting.map(|transfer| transfer.lasts).sum();
        (begun + waiting).saturating_sub(self.lead)
    }

    fn position(&self, id: TransferId) -> Option<usize> {
        self.waiting.iter().position(|transfer| transfer.id == id)
    }
}

fn transfer_time(bytes: usize) -> Duration {
    let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
    Duration::from_secs_f64(f64::from(bytes) / PACE_BYTES_PER_S)
}
