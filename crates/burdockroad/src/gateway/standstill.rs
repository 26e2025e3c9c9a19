//! Standstills of this process.
//!
//! A process may be stopped, or its machine suspended, for seconds. What arrived meanwhile waits in its sockets, and is not
//! of the time at which it is read.

use std::time::{Duration, Instant};

/// Shortest time between two ticks that counts as a standstill.
const STANDSTILL_MIN: Duration = Duration::from_millis(400);

/// Time after a standstill in which all that waited is read.
const CATCH_UP_TIME: Duration = Duration::from_millis(250);

/// Tells when this process stood still, from ticks that it makes while it runs.
///
/// Both clocks are looked at: while a machine is suspended, the steady clock may not go on.
///
/// # Example
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use burdockroad::gateway::Standstills;
///
/// let start = Instant::now();
/// let mut standstills = Standstills::new(start, Duration::ZERO);
/// let woken = start + Duration::from_secs(3);
/// standstills.tick(woken, Duration::from_secs(3));
/// assert_eq!(standstills.earliest_arrival(woken), start);
/// ```
#[derive(Clone, Debug)]
pub struct Standstills {
    ticked_at: Instant,
    /// Time of day of the last tick, since the Unix epoch.
    ticked_unix: Duration,
    last: Option<Standstill>,
}

/// A standstill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standstill {
    /// Time at which the process ran again.
    pub ended_at: Instant,
    /// Duration of the standstill.
    pub lasted: Duration,
    /// Part of it that the steady clock has not counted.
    pub uncounted: Duration,
}

impl Standstills {
    /// Creates the record of a process that runs. `unix` is the time of day since the Unix epoch.
    pub fn new(now: Instant, unix: Duration) -> Self {
        Self {
            ticked_at: now,
            ticked_unix: unix,
            last: None,
        }
    }

    /// Records that the process runs. Returns the standstill that has just ended, if there was one.
    pub fn tick(&mut self, now: Instant, unix: Duration) -> Option<Standstill> {
        let steady = now.saturating_duration_since(self.ticked_at);
        let uncounted = unix.saturating_sub(self.ticked_unix).saturating_sub(steady);
        let uncounted = if uncounted < STANDSTILL_MIN {
            Duration::ZERO
        } else {
            uncounted
        };
        self.ticked_at = now;
        self.ticked_unix = unix;
        let lasted = steady + uncounted;
        if lasted < STANDSTILL_MIN {
            return None;
        }
        self.last = Some(Standstill {
            ended_at: now,
            lasted,
            uncounted,
        });
        self.last
    }

    /// Returns the earliest time at which something may have arrived that is read now.
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let recent = self.last.filter(|last| now < last.ended_at + CATCH_UP_TIME);
        let began_at = recent.and_then(|last| last.ended_at.checked_sub(last.lasted));
        began_at.unwrap_or(now)
    }
}
