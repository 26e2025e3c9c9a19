//! Token bucket of one account, as tracked by one host.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{AccountUsage, Admission, PeerState, UsageReport, report_delay};
use crate::{
    gateway::{collects_reports, report_interval},
    ids::{AccountId, HostId},
};

/// Time constant of the demand averages, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Fraction of its share that a host may use while the account's bucket is overdrawn.
const OVERDRAWN_RATE_FACTOR: f64 = 0.8;

/// Calls by which an account's bucket may be overdrawn temporarily; the refill pays them back.
const OVERDRAFT_CALLS: f64 = 6.0;

/// Fraction of rate and burst by which the bucket may additionally be overdrawn.
const OVERDRAFT_FRACTION: f64 = 0.03;

/// Fraction of the level that a host may use per report round, before all other hosts have reported again.
const ROUND_FRACTION: f64 = 0.37;

/// Minimum number of calls that all hosts together may use per report round.
const ROUND_MIN_CALLS: f64 = 98.0;

/// Fraction of the burst that is reserved for running programs.
const RUNNING_RESERVE_FRACTION: f64 = 0.25;

/// Expected call rate of a running program, in calls per second.
const PROGRAM_CALLS_PER_S: f64 = 6.0;

/// Fraction of the rate above which the expected calls of running programs defer new programs.
const START_RATE_FRACTION: f64 = 0.9;

/// Time for which the bucket must cover the excess demand of running programs before a new program starts, in
/// seconds.
const START_HORIZON_S: f64 = 0.7;

/// Minimum retry delay of a refused caller.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Maximum retry delay of a refused caller.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// Demand, relative to the rate, from which an account floods its bucket.
const FLOOD_DEMAND: f64 = 2.0;

/// Maximum retry delay of a program start that is refused in a flood. Most of these programs can never start, and one that
/// starts later ends too late to be useful.
const FLOOD_START_RETRY_AFTER_MAX: Duration = Duration::from_millis(250);

/// Calls of one account at a peer, from its last report.
#[derive(Debug)]
struct PeerUsage {
    incarnation: u64,
    admitted: u64,
    demand_per_s: f64,
    /// Expected calls per second of running programs.
    expected_per_s: f64,
}

#[derive(Debug)]
pub(super) struct AccountBucket {
    rate_per_s: f64,
    burst: f64,
    /// Calls that all hosts together may still admit.
    level: f64,
    /// Calls that this host may admit from its share of the rate.
    own_level: f64,
    refilled_at: Instant,
    /// Time until calls admitted at one host are seen by the others, in seconds.
    report_lag_s: f64,
    round: u64,
    /// Calls that may be admitted from the common level until the current report round ends.
    round_remaining: f64,
    admitted: u64,
    demand_per_s: f64,
    /// Part of `demand_per_s` that is requested by running programs.
    running_per_s: f64,
    /// Programs started per second.
    started_per_s: f64,
    peers: HashMap<HostId, PeerUsage>,
}

impl AccountBucket {
    pub(super) fn new(started_at: Instant) -> Self {
        Self {
            rate_per_s: 0.0,
            burst: 0.0,
            level: 0.0,
            own_level: 0.0,
            refilled_at: started_at,
            report_lag_s: 0.0,
            round: u64::MAX,
            round_remaining: 0.0,
            admitted: 0,
            demand_per_s: 0.0,
            running_per_s: 0.0,
            started_per_s: 0.0,
            peers: HashMap::new(),
        }
    }

    pub(super) fn set_rate(&mut self, rate_per_s: f64, burst: f64) {
        self.rate_per_s = rate_per_s;
        self.burst = burst;
    }

    /// Records the demand of a call, whether or not it will be admitted.
    pub(super) fn record_demand(&mut self, starts_program: bool) {
        self.demand_per_s += 1.0 / DEMAND_WINDOW_S;
        if !starts_program {
            self.running_per_s += 1.0 / DEMAND_WINDOW_S;
        }
    }

    pub(super) fn report(&self, account: &AccountId) -> AccountUsage {
        AccountUsage {
            account: account.clone(),
            admitted: self.admitted,
            demand_per_s: self.demand_per_s,
            running_per_s: self.running_per_s,
            started_per_s: self.started_per_s,
            level: self.level,
        }
    }

    /// Adds the tokens accrued since the last refill. Each unresponsive host is assumed to use an equal share
    /// of the rate.
    pub(super) fn refill(&mut self, hosts: usize, unresponsive_hosts: usize, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let live_share = hosts_as_f64(hosts - unresponsive_hosts) / hosts_as_f64(hosts);
        let rate_per_s = self.rate_per_s * live_share;
        self.level = (self.level + elapsed_s * rate_per_s).min(self.burst * live_share);
        let own_rate_per_s = rate_per_s * self.own_share(hosts - unresponsive_hosts);
        let rate_factor = if self.level < 0.0 {
            OVERDRAWN_RATE_FACTOR
        } else {
            1.0
        };
        self.report_lag_s = (report_interval(hosts) + report_delay(hosts)).as_secs_f64();
        let own_max = (own_rate_per_s * self.report_lag_s).max(1.5);
        self.own_level = (self.own_level + elapsed_s * own_rate_per_s * rate_factor).min(own_max);
        let decay = (-elapsed_s / DEMAND_WINDOW_S).exp();
        self.demand_per_s *= decay;
        self.running_per_s *= decay;
        self.started_per_s *= decay;
    }

    /// Starts a new report round if one has completed: all other hosts have reported, so the level is up to
    /// date.
    ///
    /// In a large fleet, each host has so few of an account's calls that an equal part of the level would be
    /// less than one call, and every call would be refused. A host there may use the whole level: what a flood
    /// admits until it is reported is below the calls of a quota window.
    pub(super) fn start_round(&mut self, round: u64, hosts: usize) {
        if collects_reports(hosts) {
            self.round_remaining = f64::INFINITY;
        } else if self.round != round {
            self.round = round;
            self.round_remaining = (self.level * ROUND_FRACTION).max(ROUND_MIN_CALLS / hosts_as_f64(hosts));
        }
    }

    /// Returns the calls requested per second at all hosts, admitted or not.
    fn all_demand_per_s(&self) -> f64 {
        let others: f64 = self.peers.values().map(|usage| usage.demand_per_s).sum();
        self.demand_per_s + others
    }

    fn is_flooded(&self) -> bool {
        self.all_demand_per_s() >= self.rate_per_s * FLOOD_DEMAND
    }

    /// Returns this host's share of the demand reported by the live hosts.
    fn own_share(&self, live_hosts: usize) -> f64 {
        let equal_share = 1.0 / hosts_as_f64(live_hosts.max(1));
        // The lower bound leaves part of the rate for callers that have just connected to this host.
        let all = self.all_demand_per_s();
        if all < 1.0 {
            return equal_share;
        }
        (self.demand_per_s / all).max(equal_share * 0.1)
    }

    pub(super) fn admit(
        &mut self,
        hosts: usize,
        unresponsive_hosts: usize,
        starts_program: bool,
    ) -> Admission {
        let alone = hosts - unresponsive_hosts == 1;
        let low_watermark = self.low_watermark_for(hosts, unresponsive_hosts);
        if starts_program {
            return self.admit_program_start(low_watermark);
        }
        if self.level >= low_watermark && (alone || self.round_remaining >= 1.0) {
            self.round_remaining -= 1.0;
            return self.count();
        }
        if self.own_level >= 1.0 && !alone {
            self.own_level -= 1.0;
            return self.count();
        }
        let own_rate_per_s = self.rate_per_s * self.own_share(hosts - unresponsive_hosts);
        let wait_s = (1.0 - self.own_level).max(0.1) / own_rate_per_s.max(0.2);
        Admission::Refused {
            retry_after: Duration::from_secs_f64(wait_s).min(RETRY_AFTER_MAX),
        }
    }

    /// Decides on a call that starts a program.
    fn admit_program_start(&mut self, low_watermark: f64) -> Admission {
        let decision = self.check_program_start(low_watermark);
        if decision != Admission::Admitted {
            return decision;
        }
        if self.round_remaining >= 1.0 {
            self.round_remaining -= 1.0;
        } else {
            self.own_level -= 1.0;
        }
        self.started_per_s += 1.0 / DEMAND_WINDOW_S;
        self.count()
    }

    /// Decides whether running programs leave enough tokens for another program, without counting a call.
    pub(super) fn check_program_start(&self, low_watermark: f64) -> Admission {
        let excess_per_s = self.expected_per_s() - self.rate_per_s * START_RATE_FRACTION;
        let expected_shortfall = (excess_per_s * START_HORIZON_S).max(0.0);
        let required_level = low_watermark + self.burst * RUNNING_RESERVE_FRACTION + expected_shortfall;
        let has_credit = self.round_remaining >= 1.0 || self.own_level >= 1.0;
        if self.level >= required_level && has_credit {
            return Admission::Admitted;
        }
        let wait_s = (required_level - self.level).max(0.0) / self.rate_per_s;
        let wait = Duration::try_from_secs_f64(wait_s).unwrap_or(RETRY_AFTER_MAX);
        let wait_max = if self.is_flooded() {
            FLOOD_START_RETRY_AFTER_MAX
        } else {
            RETRY_AFTER_MAX
        };
        Admission::Refused {
            retry_after: wait.clamp(RETRY_AFTER_MIN, wait_max),
        }
    }

    /// Returns the low watermark. For a host without live peers, it is the level that one call needs, because
    /// no other live host spends the same tokens.
    pub(super) fn low_watermark_for(&self, hosts: usize, unresponsive_hosts: usize) -> f64 {
        if hosts - unresponsive_hosts == 1 {
            1.0
        } else {
            self.low_watermark()
        }
    }

    /// Returns the expected calls per second of running programs at all hosts.
    ///
    /// The calls of a new program appear in the average demand only after a delay. Until then, the program is
    /// counted with [`PROGRAM_CALLS_PER_S`]. The averages of demand and of started programs decay with the
    /// same time constant, so a program has the same weight at any age.
    fn expected_per_s(&self) -> f64 {
        let others: f64 = self.peers.values().map(|usage| usage.expected_per_s).sum();
        self.running_per_s + self.started_per_s * PROGRAM_CALLS_PER_S + others
    }

    /// Returns the level below which reports arrive too late to keep the overdraft within its tolerance.
    fn low_watermark(&self) -> f64 {
        let unseen = self.expected_per_s() * self.report_lag_s;
        let tolerated = OVERDRAFT_CALLS + OVERDRAFT_FRACTION * (self.rate_per_s + self.burst);
        (unseen - tolerated).clamp(1.0, (self.burst / 2.0).max(1.0))
    }

    fn count(&mut self) -> Admission {
        self.level -= 1.0;
        self.admitted += 1;
        Admission::Admitted
    }

    /// Subtracts the calls that a peer admitted since its previous report from the level. If the peer started
    /// before this host, the calls of its first report are not subtracted.
    pub(super) fn record_peer_usage(
        &mut self,
        report: &UsageReport,
        reported: &AccountUsage,
        started_later: bool,
    ) {
        let previous = self.peers.get(&report.host);
        let counted = match previous {
            Some(previous) if previous.incarnation == report.incarnation => previous.admitted,
            _ if started_later => 0,
            _ => reported.admitted,
        };
        self.level -= calls_as_f64(reported.admitted.saturating_sub(counted));
        let usage = PeerUsage {
            incarnation: report.incarnation,
            admitted: reported.admitted,
            demand_per_s: reported.demand_per_s,
            expected_per_s: reported.running_per_s + reported.started_per_s * PROGRAM_CALLS_PER_S,
        };
        self.peers.insert(report.host.clone(), usage);
    }

    /// Adopts the level reported by a host that has run longer. That level may not include the calls that
    /// this host admitted, so they are subtracted.
    pub(super) fn adopt_level(&mut self, level: f64) {
        let remaining = level.min(self.burst) - calls_as_f64(self.admitted);
        self.level = self.level.max(remaining);
    }

    /// Clears the demand of hosts that no longer admit calls.
    pub(super) fn clear_removed_peers(&mut self, hosts: &HashMap<HostId, PeerState>) {
        for (host, usage) in &mut self.peers {
            if !hosts.contains_key(host) {
                usage.demand_per_s = 0.0;
                usage.expected_per_s = 0.0;
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "hosts are far fewer than 2^52")]
fn hosts_as_f64(count: usize) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "calls of one account stay far below 2^52"
)]
fn calls_as_f64(count: u64) -> f64 {
    count as f64
}
