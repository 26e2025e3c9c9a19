//! One account's bucket, as one host follows it.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use super::{Admission, AccountUsage, PeerRow, UsageReport};
use crate::ids::{AccountId, HostId};

/// Time over which demand is averaged, in seconds.
const DEMAND_WINDOW_S: f64 = 1.0;

/// Time over which what all hosts admit stays unknown to each other.
const REPORT_LAG_S: f64 = 0.2;

/// Part of its share that a host uses while the account's bucket is overdrawn.
const OVERDRAWN_PART: f64 = 0.8;

/// Calls by which an account's bucket may be overdrawn for a moment; it is paid back.
const OVERDRAFT_CALLS: f64 = 6.0;

/// Part of rate and burst by which it may be overdrawn besides.
const OVERDRAFT_PART: f64 = 0.03;

/// Part of what is left that a host may use before it has heard of all others again.
const ROUND_PART: f64 = 0.37;

/// Calls that all hosts together may use so at least.
const ROUND_CALLS: f64 = 98.0;

/// Part of the burst that is kept for programs that have begun.
const RUNNING_PART: f64 = 0.25;

/// Calls a second that a program makes while it runs.
const PROGRAM_CALLS_PER_S: f64 = 6.0;

/// Part of the rate that programs under way may need before others are kept from beginning.
const BEGIN_PART: f64 = 0.9;

/// Time over which what programs under way need beyond the rate may be taken from the bucket, in seconds.
const BEGIN_HORIZON_S: f64 = 0.7;

/// Shortest time that a refused caller is told to wait.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(100);

/// Longest time that a refused caller is told to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(5);

/// One account's calls at a peer, as last told.
#[derive(Debug)]
struct PeerUse {
    incarnation: u64,
    admitted: u64,
    demand_per_s: f64,
    /// Calls a second that programs under way are expected to make.
    needed_per_s: f64,
}

#[derive(Debug)]
pub(super) struct Row {
    rate_per_s: f64,
    burst: f64,
    /// Calls that may still be admitted by all hosts together.
    level: f64,
    /// Calls that this host may admit of its part of the rate.
    own_level: f64,
    refilled_at: Instant,
    round: u64,
    /// Calls that may still be admitted freely before all other hosts were heard of again.
    round_left: f64,
    admitted: u64,
    demand_per_s: f64,
    running_per_s: f64,
    started_per_s: f64,
    peers: HashMap<HostId, PeerUse>,
}

impl Row {
    pub(super) fn new(started_at: Instant) -> Self {
        Self {
            rate_per_s: 0.0,
            burst: 0.0,
            level: 0.0,
            own_level: 0.0,
            refilled_at: started_at,
            round: u64::MAX,
            round_left: 0.0,
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

    /// Counts a call that is asked for, whether or not it will be admitted.
    pub(super) fn note_demand(&mut self, begins: bool) {
        self.demand_per_s += 1.0 / DEMAND_WINDOW_S;
        if !begins {
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

    /// Adds what the rate gave; silent hosts are taken to use an equal part of it each.
    pub(super) fn refill(&mut self, hosts: usize, silent: usize, now: Instant) {
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let heard_part = as_f64(hosts - silent) / as_f64(hosts);
        let rate_per_s = self.rate_per_s * heard_part;
        self.level = (self.level + elapsed_s * rate_per_s).min(self.burst * heard_part);
        let own_rate_per_s = rate_per_s * self.own_part(hosts - silent);
        let part = if self.level < 0.0 { OVERDRAWN_PART } else { 1.0 };
        let own_max = (own_rate_per_s * REPORT_LAG_S).max(1.5);
        self.own_level = (self.own_level + elapsed_s * own_rate_per_s * part).min(own_max);
        let fading = (-elapsed_s / DEMAND_WINDOW_S).exp();
        self.demand_per_s *= fading;
        self.running_per_s *= fading;
        self.started_per_s *= fading;
    }

    /// Notes that all other hosts were heard of, so that the level is known again.
    pub(super) fn begin_round(&mut self, round: u64, hosts: usize) {
        if self.round != round {
            self.round = round;
            self.round_left = (self.level * ROUND_PART).max(ROUND_CALLS / as_f64(hosts));
        }
    }

    /// This host's part of the demand that the heard hosts report.
    fn own_part(&self, heard_hosts: usize) -> f64 {
        let even = 1.0 / as_f64(heard_hosts.max(1));
        let others: f64 = self.peers.values().map(|used| used.demand_per_s).sum();
        // A floor keeps room for callers that have just come to this host.
        let all = self.demand_per_s + others;
        if all < 1.0 {
            return even;
        }
        (self.demand_per_s / all).max(even * 0.1)
    }

    pub(super) fn decide(&mut self, hosts: usize, silent: usize, begins: bool) -> Admission {
        let alone = hosts - silent == 1;
        let near_bottom = self.near_bottom_of(hosts, silent);
        if begins {
            return self.decide_first(near_bottom);
        }
        if self.level >= near_bottom && (alone || self.round_left >= 1.0) {
            self.round_left -= 1.0;
            return self.count();
        }
        if self.own_level >= 1.0 && !alone {
            self.own_level -= 1.0;
            return self.count();
        }
        let own_rate_per_s = self.rate_per_s * self.own_part(hosts - silent);
        let wait_s = (1.0 - self.own_level).max(0.1) / own_rate_per_s.max(0.2);
        Admission::Refused {
            retry_after: Duration::from_secs_f64(wait_s).min(RETRY_AFTER_MAX),
        }
    }

    /// Decides on a call that begins a program.
    fn decide_first(&mut self, near_bottom: f64) -> Admission {
        let room = self.room_to_begin(near_bottom);
        if room != Admission::Admitted {
            return room;
        }
        if self.round_left >= 1.0 {
            self.round_left -= 1.0;
        } else {
            self.own_level -= 1.0;
        }
        self.started_per_s += 1.0 / DEMAND_WINDOW_S;
        self.count()
    }

    /// Whether programs under way leave room for another one.
    pub(super) fn room_to_begin(&self, near_bottom: f64) -> Admission {
        let beyond_rate = self.needed_per_s() - self.rate_per_s * BEGIN_PART;
        let lent = (beyond_rate * BEGIN_HORIZON_S).max(0.0);
        let needed = near_bottom + self.burst * RUNNING_PART + lent;
        let is_free = self.round_left >= 1.0 || self.own_level >= 1.0;
        if self.level >= needed && is_free {
            return Admission::Admitted;
        }
        let wait_s = (needed - self.level).max(0.0) / self.rate_per_s;
        let wait = Duration::try_from_secs_f64(wait_s).unwrap_or(RETRY_AFTER_MAX);
        Admission::Refused {
            retry_after: wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX),
        }
    }

    pub(super) fn near_bottom_of(&self, hosts: usize, silent: usize) -> f64 {
        if hosts - silent == 1 {
            1.0
        } else {
            self.near_bottom()
        }
    }

    /// Calls a second that programs under way at all hosts are expected to make.
    ///
    /// What a program calls shows only after a while; until then it stands with what programs usually call.
    /// Both fade over the same time, so that a program counts the same at any age.
    fn needed_per_s(&self) -> f64 {
        let others: f64 = self.peers.values().map(|used| used.needed_per_s).sum();
        self.running_per_s + self.started_per_s * PROGRAM_CALLS_PER_S + others
    }

    /// Level below which reports come too late to keep the hosts from overdrawing the bucket by more than
    /// is tolerated.
    fn near_bottom(&self) -> f64 {
        let unseen = self.needed_per_s() * REPORT_LAG_S;
        let tolerated = OVERDRAFT_CALLS + OVERDRAFT_PART * (self.rate_per_s + self.burst);
        (unseen - tolerated).clamp(1.0, (self.burst / 2.0).max(1.0))
    }

    fn count(&mut self) -> Admission {
        self.level -= 1.0;
        self.admitted += 1;
        Admission::Admitted
    }

    /// Counts what a peer admitted since its report before; of a process that was there first, what it
    /// admitted before it was heard of is not this host's to count.
    pub(super) fn note_peer(&mut self, report: &UsageReport, used: &AccountUsage, began_later: bool) {
        let before = self.peers.get(&report.host);
        let known = match before {
            Some(before) if before.incarnation == report.incarnation => before.admitted,
            _ if began_later => 0,
            _ => used.admitted,
        };
        self.level -= as_f64_u64(used.admitted.saturating_sub(known));
        let told = PeerUse {
            incarnation: report.incarnation,
            admitted: used.admitted,
            demand_per_s: used.demand_per_s,
            needed_per_s: used.running_per_s + used.started_per_s * PROGRAM_CALLS_PER_S,
        };
        self.peers.insert(report.host.clone(), told);
    }

    /// Takes over the level that a host knows which runs for longer; what this host admitted may be
    /// missing in it.
    pub(super) fn join(&mut self, level: f64) {
        let known = level.min(self.burst) - as_f64_u64(self.admitted);
        self.level = self.level.max(known);
    }

    /// Forgets the demand at hosts that admit calls no more.
    pub(super) fn forget_demand_of_others(&mut self, hosts: &HashMap<HostId, PeerRow>) {
        for (host, used) in &mut self.peers {
            if !hosts.contains_key(host) {
                used.demand_per_s = 0.0;
                used.needed_per_s = 0.0;
            }
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "hosts are far fewer than 2^52")]
fn as_f64(count: usize) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_precision_loss,
    reason = "calls of one account stay far below 2^52"
)]
fn as_f64_u64(count: u64) -> f64 {
    count as f64
}
