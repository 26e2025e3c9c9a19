//! Where a host that is behind asks for an update of a range.
//!
//! Load pattern: when the host that all others ask is gone, or its link is full, all of them give it up at the same
//! moment. Each then asks another host that announced the change. Those that find none read the whole range from the
//! store, which is a large transfer to each of them, and therefore do so at times that are spread.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Longest time after which an update is given up, also one that is being received.
const UPDATE_TIME_MAX: Duration = Duration::from_secs(2);

/// Longest time after which a host no longer asks for an update that no host has sent.
const ASKING_TIME_MAX: Duration = Duration::from_millis(1500);

/// Longest time after which a host asks another host that announced the change, if it knows one.
const FIRST_ANNOUNCER_TIME_MAX: Duration = Duration::from_secs(1);

/// Fraction by which these times of hosts vary.
const TIME_JITTER: f64 = 0.2;

/// Time in which the hosts that found no update begin to read the store.
const READ_SPREAD_TIME: Duration = Duration::from_millis(400);

/// Number of hosts that announced the change and are asked for the update.
const ANNOUNCERS_ASKED_MAX: usize = 2;

/// Time after which a host asks again when the host that it was sent on to lacks the update.
const RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time after which a host asks again.
const ASK_AGAIN_MAX: Duration = Duration::from_millis(500);

/// What a host that is behind does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// It asks a host after a wait.
    Ask {
        /// Address of the host.
        address: SocketAddr,
        /// Time left until it asks.
        wait: Duration,
    },
    /// It reads the whole range from the store after a wait.
    ReadStore {
        /// Time left until it reads.
        wait: Duration,
    },
}

/// Search of a host for an update of a range.
#[derive(Clone, Debug)]
pub struct UpdateSearch {
    /// Hosts that announced the change and were asked, the current one last.
    announcers: Vec<SocketAddr>,
    /// Host that is asked now: an announcer, or one that it named.
    asked: SocketAddr,
    /// Hosts that did not respond.
    silent: Vec<SocketAddr>,
    begun_at: Instant,
    /// From 0 to 1.
    jitter: f64,
}

impl UpdateSearch {
    /// Begins a search at `announcer`, a host that announced the change. `jitter` is a random number from 0 to 1 that
    /// spreads what hosts do that fail at the same time.
    pub fn new(announcer: SocketAddr, jitter: f64, now: Instant) -> Self {
        Self {
            announcers: vec![announcer],
            asked: announcer,
            silent: Vec::new(),
            begun_at: now,
            jitter: jitter.clamp(0.0, 1.0),
        }
    }

    /// Returns the host that is asked now.
    pub fn asked(&self) -> SocketAddr {
        self.asked
    }

    /// Returns whether the host that is asked now announced the change.
    pub fn is_at_announcer(&self) -> bool {
        self.announcers.contains(&self.asked)
    }

    /// Returns the time at which the search ends, whatever is under way.
    pub fn ends_at(&self) -> Instant {
        self.after(UPDATE_TIME_MAX)
    }

    /// Records that the asked host sends the update later, or sends this host on to `holder`. `announcers` are the hosts
    /// that are known by now to have announced the change.
    pub fn record_later(
        &mut self,
        wait: Duration,
        holder: Option<SocketAddr>,
        announcers: &[SocketAddr],
        now: Instant,
    ) -> SearchStep {
        if self.is_late(announcers, now) {
            return self.ask_other_announcer(announcers, now);
        }
        if holder.is_some_and(|holder| self.silent.contains(&holder)) {
            return self.ask(self.asked, RETRY_INTERVAL);
        }
        self.ask(holder.unwrap_or(self.asked), wait.min(ASK_AGAIN_MAX))
    }

    /// Records that the asked host lacks the update.
    pub fn record_missing(&mut self, announcers: &[SocketAddr], now: Instant) -> SearchStep {
        let announcer = self.announcer();
        if self.asked == announcer || self.is_late(announcers, now) {
            return self.ask_other_announcer(announcers, now);
        }
        self.ask(announcer, RETRY_INTERVAL)
    }

    /// Records that the asked host did not respond, or not completely.
    pub fn record_silent(&mut self, announcers: &[SocketAddr], now: Instant) -> SearchStep {
        self.silent.push(self.asked);
        self.record_missing(announcers, now)
    }

    /// Asks a host that announced the change and was not asked yet, or reads the store if there is none.
    fn ask_other_announcer(&mut self, announcers: &[SocketAddr], now: Instant) -> SearchStep {
        let is_over = now >= self.after(ASKING_TIME_MAX);
        match self.other_announcer(announcers).filter(|_| !is_over) {
            Some(other) => {
                self.announcers.push(other);
                self.ask(other, Duration::ZERO)
            }
            None => self.read_store(now),
        }
    }

    fn other_announcer(&self, announcers: &[SocketAddr]) -> Option<SocketAddr> {
        if self.announcers.len() >= ANNOUNCERS_ASKED_MAX {
            return None;
        }
        let mut announcers = announcers.iter().copied();
        announcers.find(|host| !self.announcers.contains(host) && !self.silent.contains(host))
    }

    fn ask(&mut self, address: SocketAddr, wait: Duration) -> SearchStep {
        self.asked = address;
        SearchStep::Ask { address, wait }
    }

    fn read_store(&self, now: Instant) -> SearchStep {
        let time_left = self.after(ASKING_TIME_MAX).saturating_duration_since(now);
        let wait = READ_SPREAD_TIME.mul_f64(self.jitter).min(time_left);
        SearchStep::ReadStore { wait }
    }

    /// Returns the announcer that sends the update, or names the hosts that do.
    fn announcer(&self) -> SocketAddr {
        self.announcers.last().copied().unwrap_or(self.asked)
    }

    /// Returns whether the time of the current announcer is over.
    fn is_late(&self, announcers: &[SocketAddr], now: Instant) -> bool {
        let time_max = match self.other_announcer(announcers) {
            Some(_) => FIRST_ANNOUNCER_TIME_MAX,
            None => ASKING_TIME_MAX,
        };
        now >= self.after(time_max)
    }

    /// Returns the time at which a time of at most `time_max` ends, which varies between hosts.
    fn after(&self, time_max: Duration) -> Instant {
        self.begun_at + time_max.mul_f64(1.0 - TIME_JITTER * (1.0 - self.jitter))
    }
}
