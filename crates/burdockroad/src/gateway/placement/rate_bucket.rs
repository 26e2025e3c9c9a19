//! Token bucket of an endpoint that limits its rate, shared by the hosts that send to it.
//!
//! Load pattern: an endpoint in need takes far fewer calls than it got before, and the demand is uneven, because
//! the host whose programs' prompts the endpoint has cached sends most of its calls. Each host tracks the level
//! of the whole bucket from the reports of the others, and accrues a share of the rate in proportion to its
//! demand. A call needs a token of both: the shares keep hosts from spending the same token, and the level
//! repays what was sent before it was reported.
//!
//! An equal part of the rate for each host was refused, because one host has most of the demand.
//!
//! A cold endpoint crashes when it gets too many calls within one second. Therefore it has fewer senders, and these
//! have equal shares until each knows the demand of the others. Otherwise each would use the whole rate until the first
//! reports arrive.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{fleet::Fleet, rate_statement::EndpointUsage};
use crate::{ids::HostId, ownership::rendezvous_order};

/// Time for which an unused rate accrues.
const BURST_PERIOD: Duration = Duration::from_millis(250);

/// Calls per second to an endpoint that states a lower rate. Only its responses tell that it takes more again.
const PROBE_RATE_PER_S: f64 = 0.25;

/// Hosts that send to an endpoint that takes less than one call per second.
const SENDERS_MIN: usize = 2;

/// Calls that accrue at a sender of a cold endpoint while it has none to send. With one call, a sender whose calls
/// arrive at random loses a third of its share.
const COLD_OWN_BURST_CALLS: f64 = 1.5;

/// Fraction of an equal share that each sender may use, whatever its demand. It serves callers that have just
/// connected to the host.
const SHARE_MIN_FRACTION: f64 = 0.1;

/// Demand below which all senders have equal shares, in calls per second.
const DEMAND_MIN_PER_S: f64 = 0.1;

/// Calls per second of a cold endpoint for each additional sender.
const COLD_CALLS_PER_SENDER: f64 = 4.0;

/// Longest time for which a refused caller should wait.
const WAIT_MAX: Duration = Duration::from_secs(5);

/// Limit of a bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RateLimit {
    /// Calls per second from all hosts together.
    pub(super) calls_per_s: f64,
    /// Whether the endpoint is cold, so that the limit binds within each second.
    pub(super) is_cold: bool,
}

#[derive(Debug)]
pub(super) struct RateBucket {
    limit: RateLimit,
    /// Calls that all hosts together may still send.
    level: f64,
    /// Calls that this host may send from its share of the rate.
    own_level: f64,
    refilled_at: Option<Instant>,
    senders: Senders,
    peers: HashMap<HostId, PeerUsage>,
    rates: RefillRates,
}

/// Hosts that may send to the endpoint.
#[derive(Debug, Default)]
struct Senders {
    others: Vec<HostId>,
    includes_this_host: bool,
    /// Limit and hosts from which they were selected.
    selected_from: Option<(RateLimit, u64)>,
}

/// Calls of one other host, from its last report.
#[derive(Clone, Copy, Debug)]
struct PeerUsage {
    sent: u64,
    demand_per_s: f64,
    reported_at: Instant,
}

/// Tokens per second of the last refill.
#[derive(Clone, Copy, Debug, Default)]
struct RefillRates {
    /// Tokens of all hosts.
    all_per_s: f64,
    /// Tokens of this host; 0 if it is not a sender.
    own_per_s: f64,
}

impl RateBucket {
    /// Creates an empty bucket.
    pub(super) fn new(limit: RateLimit) -> Self {
        Self {
            limit,
            level: 0.0,
            own_level: 0.0,
            refilled_at: None,
            senders: Senders::default(),
            peers: HashMap::new(),
            rates: RefillRates::default(),
        }
    }

    /// Changes the limit. The bucket of an endpoint that becomes cold is empty.
    pub(super) fn set_limit(&mut self, limit: RateLimit) {
        if limit.is_cold && !self.limit.is_cold {
            self.level = self.level.min(0.0);
            self.own_level = self.own_level.min(0.0);
        }
        self.limit = limit;
    }

    /// Returns whether this host may send to the endpoint, as of the last refill.
    pub(super) fn is_sender(&self) -> bool {
        self.senders.includes_this_host
    }

    /// Selects the hosts that may send to the endpoint. Each may hold a token, and all of these may be spent at the
    /// same moment, so a low rate admits few hosts.
    fn select_senders(&mut self, endpoint: &str, fleet: &Fleet) {
        let selected_from = Some((self.limit, fleet.generation()));
        if self.senders.selected_from == selected_from {
            return;
        }
        let mut selected = rendezvous_order(endpoint, fleet.hosts());
        selected.truncate(senders_max(self.limit));
        let selected_hosts = selected.len();
        selected.retain(|host| host != fleet.host());
        self.senders = Senders {
            includes_this_host: selected.len() < selected_hosts,
            others: selected,
            selected_from,
        };
    }

    /// Adds the tokens accrued since the last refill. Each unresponsive sender is assumed to use an equal share.
    pub(super) fn refill(&mut self, endpoint: &str, own_demand_per_s: f64, fleet: &Fleet, now: Instant) {
        let since = self.refilled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(since).as_secs_f64();
        self.select_senders(endpoint, fleet);
        self.rates = self.refill_rates(own_demand_per_s, fleet, now);
        let RefillRates { all_per_s, own_per_s } = self.rates;
        self.level = (self.level + elapsed_s * all_per_s).min(burst(all_per_s));
        self.own_level = (self.own_level + elapsed_s * own_per_s).min(self.own_burst(own_per_s));
    }

    /// Returns the tokens that accrue at this host while they are not used.
    fn own_burst(&self, own_per_s: f64) -> f64 {
        if self.limit.is_cold {
            burst(own_per_s).max(COLD_OWN_BURST_CALLS)
        } else {
            burst(own_per_s)
        }
    }

    fn refill_rates(&self, own_demand_per_s: f64, fleet: &Fleet, now: Instant) -> RefillRates {
        let is_sender = self.senders.includes_this_host;
        let others = self.senders.others.iter();
        let live_others: Vec<&HostId> = others.filter(|host| fleet.is_live(host, now)).collect();
        let live = live_others.len() + usize::from(is_sender);
        let senders = self.senders.others.len() + usize::from(is_sender);
        let live_share = hosts_as_f64(live) / hosts_as_f64(senders.max(1));
        let all_per_s = self.limit.calls_per_s.max(PROBE_RATE_PER_S) * live_share;
        if !is_sender {
            return RefillRates {
                all_per_s,
                own_per_s: 0.0,
            };
        }
        let others_demand_per_s: f64 = live_others
            .iter()
            .filter_map(|host| self.peers.get(*host))
            .map(|usage| usage.demand_per_s)
            .sum();
        let equal_share = 1.0 / hosts_as_f64(live);
        let demand_per_s = own_demand_per_s + others_demand_per_s;
        let own_share = if demand_per_s < DEMAND_MIN_PER_S || !self.knows_demand(&live_others, fleet, now) {
            equal_share
        } else {
            (own_demand_per_s / demand_per_s).max(equal_share * SHARE_MIN_FRACTION)
        };
        RefillRates {
            all_per_s,
            own_per_s: all_per_s * own_share,
        }
    }

    /// Returns whether the rate may be divided by the demand: for a cold endpoint, if that of all senders is known.
    fn knows_demand(&self, live_others: &[&HostId], fleet: &Fleet, now: Instant) -> bool {
        let is_known = |host: &&HostId| {
            let usage = self.peers.get(*host);
            usage.is_some_and(|usage| fleet.is_recent(usage.reported_at, now))
        };
        !self.limit.is_cold || live_others.iter().all(is_known)
    }

    /// Takes a token. A call that must go to the endpoint takes one although none is left.
    pub(super) fn take(&mut self) {
        self.level -= 1.0;
        self.own_level -= 1.0;
    }

    /// Returns the time after which this host has a token, as of the last refill; `None` if it is not a sender.
    pub(super) fn wait(&self) -> Option<Duration> {
        if self.rates.own_per_s <= 0.0 {
            return None;
        }
        let wait_s = |level: f64, per_s: f64| (1.0 - level).max(0.0) / per_s;
        let all_s = wait_s(self.level, self.rates.all_per_s);
        let own_s = wait_s(self.own_level, self.rates.own_per_s);
        let wait = Duration::try_from_secs_f64(all_s.max(own_s)).unwrap_or(WAIT_MAX);
        Some(wait.min(WAIT_MAX))
    }

    /// Returns whether the hosts would send at least as many calls as the endpoint takes, or it is cold and this host
    /// may not send to it. Senders of a cold endpoint are few, and do not know the demand of the other hosts.
    pub(super) fn is_exhausted(&self, own_demand_per_s: f64) -> bool {
        let is_selected = self.senders.selected_from.is_some();
        if self.limit.is_cold && is_selected && !self.senders.includes_this_host {
            return true;
        }
        let others: f64 = self.peers.values().map(|usage| usage.demand_per_s).sum();
        own_demand_per_s + others >= self.limit.calls_per_s
    }

    /// Subtracts the calls that another host sent since its previous report. After a time without reports, the
    /// calls since then are already covered by the share that unresponsive senders are assumed to use.
    pub(super) fn record_peer(&mut self, host: &HostId, usage: &EndpointUsage, fleet: &Fleet, now: Instant) {
        let current = PeerUsage {
            sent: usage.sent,
            demand_per_s: usage.demand_per_s,
            reported_at: now,
        };
        let Some(previous) = self.peers.insert(host.clone(), current) else {
            return;
        };
        if fleet.is_recent(previous.reported_at, now) {
            self.level -= calls_as_f64(usage.sent.saturating_sub(previous.sent));
        }
    }
}

/// Returns the number of hosts that may send to an endpoint with this limit.
fn senders_max(limit: RateLimit) -> usize {
    let calls_per_sender = if limit.is_cold { COLD_CALLS_PER_SENDER } else { 1.0 };
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the limit is not negative, and the cast saturates"
    )]
    let more_senders = (limit.calls_per_s / calls_per_sender) as usize;
    SENDERS_MIN.saturating_add(more_senders)
}

/// Returns the tokens that accrue while they are not used, but at least one call.
fn burst(per_s: f64) -> f64 {
    (per_s * BURST_PERIOD.as_secs_f64()).max(1.0)
}

#[expect(clippy::cast_precision_loss, reason = "hosts are far fewer than 2^52")]
fn hosts_as_f64(count: usize) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "calls to one endpoint stay far below 2^52"
)]
fn calls_as_f64(count: u64) -> f64 {
    count as f64
}
