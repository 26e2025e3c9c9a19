//! Decides when endpoints have left whose entries are gone from the store.
//!
//! Failure: an outage of the store in which entries expire although their endpoints live. Such endpoints register
//! again soon after the outage. Without an outage, an entry that is gone tells that its endpoint leaves, and calls
//! must not reach it for long.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::store_contact::{StoreContact, StoreOutage};
use crate::ids::EndpointId;

/// Time after an outage of the store in which endpoints whose entries expired during the outage may register
/// again.
const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// What an entry that is gone says about its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// The endpoint leaves.
    Departed,
    /// The entry may have expired. The endpoint counts as departed if it does not register again.
    Held {
        /// Time that it has left to register again, in which the store must respond.
        time_left: Duration,
    },
}

/// Endpoints whose entries are gone.
#[derive(Debug)]
pub struct Departures {
    store: StoreContact,
    /// Endpoints that may register again, with the uptime of the store at which they count as departed.
    held: HashMap<EndpointId, Duration>,
}

impl Departures {
    /// Creates an empty table for endpoints that renew their entries at an interval.
    pub fn new(heartbeat_interval: Duration) -> Self {
        Self {
            store: StoreContact::new(heartbeat_interval),
            held: HashMap::new(),
        }
    }

    /// Records that the store responded to some host. Returns the outage that the response ends.
    pub fn record_store_response(&mut self, at: Instant) -> Option<StoreOutage> {
        self.store.record_response(at)
    }

    /// Returns whether the store responds to no host.
    pub fn is_store_outage(&self, now: Instant) -> bool {
        self.store.is_outage(now)
    }

    /// Records that an endpoint has an entry.
    pub fn record_registered(&mut self, id: &str) {
        self.held.remove(id);
    }

    /// Records that the entry of an endpoint is gone. An endpoint that is held already keeps its time.
    pub fn record_missing(&mut self, id: &str, now: Instant) -> Departure {
        let time_left = self.reregistration_time(now);
        if time_left.is_zero() {
            self.held.remove(id);
            return Departure::Departed;
        }
        let uptime = self.store.uptime();
        let departs_at = self.held.entry(id.to_owned()).or_insert(uptime + time_left);
        Departure::Held {
            time_left: departs_at.saturating_sub(uptime),
        }
    }

    /// Returns whether the entry of an endpoint is gone and the endpoint may register again.
    pub fn is_held(&self, id: &str) -> bool {
        self.held.contains_key(id)
    }

    /// Returns the number of endpoints that may register again.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Removes and returns the endpoints that have not registered again in time. Returns none during an outage.
    pub fn take_departed(&mut self, now: Instant) -> Vec<EndpointId> {
        if self.store.is_outage(now) {
            return Vec::new();
        }
        let uptime = self.store.uptime();
        let departed = self.held.extract_if(|_, departs_at| *departs_at <= uptime);
        departed.map(|(id, _)| id).collect()
    }

    /// Returns the time left in which endpoints whose entries expired may register again; zero without an outage
    /// before it.
    pub fn reregistration_time(&self, now: Instant) -> Duration {
        if self.store.is_outage(now) {
            return REREGISTRATION_TIME;
        }
        let since_outage = self.store.uptime_since_outage();
        since_outage.map_or(Duration::ZERO, |uptime| {
            REREGISTRATION_TIME.saturating_sub(uptime)
        })
    }
}
