//! Shortest time in which turns were served recently.
//!
//! Load pattern: callers that come back after an outage with little of their time left. A turn that cannot end within
//! that time would be cut after an endpoint has worked on it, so it is refused before.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

/// Time after which earlier turns no longer tell how fast turns are served. Turns count for up to twice that time.
const PERIOD: Duration = Duration::from_secs(10);

/// Minimum number of turns that tell how fast turns are served.
const TURNS_MIN: u32 = 8;

/// Times in which turns were served, by route: from the send to an endpoint until the turn was stored.
#[derive(Clone, Debug, Default)]
pub struct TurnTimes {
    routes: HashMap<String, RouteTimes>,
}

/// Times of one route's turns.
#[derive(Clone, Copy, Debug)]
struct RouteTimes {
    period_began_at: Instant,
    current: PeriodTimes,
    previous: PeriodTimes,
}

/// Times of the turns of one period.
#[derive(Clone, Copy, Debug)]
struct PeriodTimes {
    turns: u32,
    shortest: Duration,
}

impl TurnTimes {
    /// Records the time in which a turn was served.
    pub fn record(&mut self, route: &str, time: Duration, now: Instant) {
        if !self.routes.contains_key(route) {
            self.routes.retain(|_, times| !times.is_outdated(now));
        }
        let times = self.routes.entry(route.to_owned());
        times.or_insert_with(|| RouteTimes::new(now)).record(time, now);
    }

    /// Returns whether a turn could be served in a time: `false` if it is shorter than that of each recent
    /// turn of the route.
    pub fn may_be_served_in(&self, route: &str, time: Duration, now: Instant) -> bool {
        let times = self.routes.get(route).filter(|times| !times.is_outdated(now));
        times
            .and_then(RouteTimes::shortest)
            .is_none_or(|shortest| time >= shortest)
    }
}

impl RouteTimes {
    fn new(now: Instant) -> Self {
        Self {
            period_began_at: now,
            current: PeriodTimes::NONE,
            previous: PeriodTimes::NONE,
        }
    }

    fn is_outdated(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.period_began_at) >= 2 * PERIOD
    }

    fn record(&mut self, time: Duration, now: Instant) {
        if self.is_outdated(now) {
            *self = Self::new(now);
        } else if now.saturating_duration_since(self.period_began_at) >= PERIOD {
            self.previous = std::mem::replace(&mut self.current, PeriodTimes::NONE);
            self.period_began_at = now;
        }
        self.current.turns = self.current.turns.saturating_add(1);
        self.current.shortest = self.current.shortest.min(time);
    }

    /// Returns the shortest time; `None` after too few turns.
    fn shortest(&self) -> Option<Duration> {
        let turns = self.current.turns.saturating_add(self.previous.turns);
        (turns >= TURNS_MIN).then(|| self.current.shortest.min(self.previous.shortest))
    }
}

impl PeriodTimes {
    const NONE: Self = Self {
        turns: 0,
        shortest: Duration::MAX,
    };
}
