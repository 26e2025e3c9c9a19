//! Rate limits of accounts, enforced jointly by hosts that report their admitted calls to each other.
//!
//! Load pattern: one account sends several times its rate for seconds, unevenly over the hosts, while hosts
//! are partitioned and restarted. Every host tracks the level of the account's whole token bucket from the
//! reports of the others. While the level is above a low watermark, a call is admitted at once. Below the
//! watermark, reports arrive too late to keep hosts from spending the same tokens twice, so each host admits
//! only its share of the rate.

mod bucket;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use self::bucket::AccountBucket;
use crate::{
    gateway::{collects_reports, report_interval},
    ids::{AccountId, HostId},
};

/// Age of the last report from which a host counts as unresponsive, in a fleet whose hosts report at the
/// shortest interval.
const UNRESPONSIVE_AFTER_MIN: Duration = Duration::from_millis(500);

/// Report intervals after which a host counts as unresponsive. A datagram may be lost.
const UNRESPONSIVE_AFTER_REPORTS: u32 = 3;

/// Time that a report takes to arrive.
const REPORT_DELAY: Duration = Duration::from_millis(50);

/// Time that a report takes to arrive through collectors.
const COLLECTED_REPORT_DELAY: Duration = Duration::from_millis(200);

/// Time after its start during which a host adopts the levels reported by hosts that have run longer.
const STARTUP_SYNC_PERIOD: Duration = Duration::from_secs(1);

/// Whether a call is within its account's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The call is admitted.
    Admitted,
    /// The call exceeds the rate.
    Refused {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
}

/// Calls admitted by one host. Counts are cumulative, so a lost report does no harm.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// Reporting host.
    pub host: HostId,
    /// Incarnation of the host's process; its counts restart at zero with each incarnation.
    pub incarnation: u64,
    /// Time since the process started.
    pub uptime: Duration,
    /// Usage of each account.
    pub accounts: Vec<AccountUsage>,
}

/// Calls of one account at one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountUsage {
    /// Client account.
    pub account: AccountId,
    /// Calls admitted since the host started.
    pub admitted: u64,
    /// Calls requested per second, admitted or not.
    pub demand_per_s: f64,
    /// Part of `demand_per_s` that is requested by running programs.
    pub running_per_s: f64,
    /// Programs started per second.
    pub started_per_s: f64,
    /// Host's estimate of the calls that all hosts together may still admit.
    pub level: f64,
}

/// Rate limits of all accounts, as tracked by one host.
#[derive(Debug)]
pub struct RateLimiter {
    peers: HashMap<HostId, PeerState>,
    buckets: HashMap<AccountId, AccountBucket>,
    started_at: Instant,
    /// Number of completed report rounds. A round completes when every peer has reported since the previous
    /// one ended.
    round: u64,
    round_started_at: Instant,
}

#[derive(Debug, Default)]
struct PeerState {
    /// Incarnation of the peer's process; `None` before its first report.
    incarnation: Option<u64>,
    /// Whether the process started after this one, in which case all calls it admitted are counted.
    started_later: bool,
    last_report_at: Option<Instant>,
}

impl RateLimiter {
    /// Creates a rate limiter with empty buckets. Calls admitted before a restart are unknown, so no burst is
    /// granted at the start.
    pub fn new(now: Instant) -> Self {
        Self {
            peers: HashMap::new(),
            buckets: HashMap::new(),
            started_at: now,
            round: 0,
            round_started_at: now,
        }
    }

    /// Sets the other hosts that admit calls.
    pub fn set_peers(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        let mut previous = std::mem::take(&mut self.peers);
        for host in hosts {
            let peer = previous.remove(&host).unwrap_or_default();
            self.peers.insert(host, peer);
        }
        for bucket in self.buckets.values_mut() {
            bucket.clear_removed_peers(&self.peers);
        }
    }

    /// Sets the accounts that have a rate, each with its rate in calls per second and its burst. From then on,
    /// the calls that other hosts admit for them are tracked.
    pub fn set_accounts<'a>(&mut self, accounts: impl IntoIterator<Item = (&'a AccountId, f64, f64)>) {
        let mut previous = std::mem::take(&mut self.buckets);
        for (account, rate_per_s, burst) in accounts {
            if rate_per_s <= 0.0 {
                continue;
            }
            let mut bucket = previous
                .remove(account)
                .unwrap_or_else(|| AccountBucket::new(self.started_at));
            bucket.set_rate(rate_per_s, burst);
            self.buckets.insert(account.clone(), bucket);
        }
    }

    /// Decides whether to admit a call, and counts it if it is admitted.
    ///
    /// Calls of an account without a rate are always admitted. Calls of running programs take precedence over
    /// calls that start a program: a program is useful only if all of its calls are admitted, so the last
    /// part of the bucket is reserved for running programs.
    pub fn admit(&mut self, account: &AccountId, starts_program: bool, now: Instant) -> Admission {
        let hosts = self.peers.len() + 1;
        let unresponsive_hosts = self.unresponsive_hosts(now);
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Admission::Admitted;
        };
        bucket.refill(hosts, unresponsive_hosts, now);
        bucket.record_demand(starts_program);
        bucket.start_round(self.round, hosts);
        bucket.admit(hosts, unresponsive_hosts, starts_program)
    }

    /// Returns whether the account's rate allows another program to start, without counting a call.
    pub fn may_start_program(&mut self, account: &AccountId, now: Instant) -> Admission {
        let hosts = self.peers.len() + 1;
        let unresponsive_hosts = self.unresponsive_hosts(now);
        let Some(bucket) = self.buckets.get_mut(account) else {
            return Admission::Admitted;
        };
        bucket.refill(hosts, unresponsive_hosts, now);
        bucket.start_round(self.round, hosts);
        let low_watermark = bucket.low_watermark_for(hosts, unresponsive_hosts);
        bucket.check_program_start(low_watermark)
    }

    /// Records the usage reported by another host.
    pub fn record_report(&mut self, report: &UsageReport, now: Instant) {
        let Some(peer) = self.peers.get_mut(&report.host) else {
            return;
        };
        let uptime = now.saturating_duration_since(self.started_at);
        let peer_is_older = report.uptime > uptime;
        if peer.incarnation != Some(report.incarnation) {
            peer.started_later = peer.incarnation.is_some() || !peer_is_older;
            peer.incarnation = Some(report.incarnation);
        }
        peer.last_report_at = Some(now);
        let started_later = peer.started_later;
        let round_started_at = self.round_started_at;
        if self
            .peers
            .values()
            .all(|peer| peer.last_report_at.is_some_and(|at| at > round_started_at))
        {
            self.round += 1;
            self.round_started_at = now;
        }
        for usage in &report.accounts {
            let Some(bucket) = self.buckets.get_mut(&usage.account) else {
                continue;
            };
            bucket.record_peer_usage(report, usage, started_later);
            if peer_is_older && uptime < STARTUP_SYNC_PERIOD {
                bucket.adopt_level(usage.level);
            }
        }
    }

    /// Returns this host's usage report.
    pub fn report(&mut self, host: &HostId, incarnation: u64, now: Instant) -> UsageReport {
        let hosts = self.peers.len() + 1;
        let unresponsive_hosts = self.unresponsive_hosts(now);
        let mut accounts = Vec::with_capacity(self.buckets.len());
        for (account, bucket) in &mut self.buckets {
            bucket.refill(hosts, unresponsive_hosts, now);
            accounts.push(bucket.report(account));
        }
        UsageReport {
            host: host.clone(),
            incarnation,
            uptime: now.saturating_duration_since(self.started_at),
            accounts,
        }
    }

    /// Returns whether a host is live: its last report is recent.
    pub fn is_live(&self, host: &str, now: Instant) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| peer.is_live(self.unresponsive_after(), now))
    }

    /// Returns the number of unresponsive hosts, which may admit calls unseen by this host.
    fn unresponsive_hosts(&self, now: Instant) -> usize {
        let unresponsive_after = self.unresponsive_after();
        let unresponsive = self
            .peers
            .values()
            .filter(|peer| !peer.is_live(unresponsive_after, now));
        unresponsive.count()
    }

    fn unresponsive_after(&self) -> Duration {
        unresponsive_after(self.peers.len() + 1)
    }
}

/// Returns the age of the last report from which a host counts as unresponsive in a fleet of `hosts`.
pub(super) fn unresponsive_after(hosts: usize) -> Duration {
    let reports = report_interval(hosts) * UNRESPONSIVE_AFTER_REPORTS;
    (reports + report_delay(hosts)).max(UNRESPONSIVE_AFTER_MIN)
}

/// Returns the time that a report takes to arrive in a fleet of `hosts`.
fn report_delay(hosts: usize) -> Duration {
    if collects_reports(hosts) {
        COLLECTED_REPORT_DELAY
    } else {
        REPORT_DELAY
    }
}

impl PeerState {
    fn is_live(&self, unresponsive_after: Duration, now: Instant) -> bool {
        self.last_report_at
            .is_some_and(|at| now < at + unresponsive_after)
    }
}
