//! An account's rate, shared among hosts that tell each other what they admitted.
//!
//! Load pattern: one account sends several times its rate for seconds, unevenly over the hosts, while
//! hosts are cut off and restarted. Every host follows the account's whole bucket from the reports of the
//! others. While the bucket is well filled a call is admitted at once; near its bottom, where reports come
//! too late to keep hosts from spending the same tokens twice, each host keeps to its part of the rate.

mod row;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use self::row::Row;
use crate::ids::{AccountId, HostId};

/// Age of the last report from which a host counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// Time after its start in which a host takes over what hosts that run for longer know.
const JOIN_TIME: Duration = Duration::from_secs(1);

/// Whether a call is within its account's rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is.
    Admitted,
    /// It is not.
    Refused {
        /// When a call could be admitted.
        retry_after: Duration,
    },
}

/// What one host admitted so far; reports are cumulative, so that a lost one does no harm.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UsageReport {
    /// Which host.
    pub host: HostId,
    /// Start of the host's process, so that counts which began anew are told apart.
    pub incarnation: u64,
    /// Time since that start.
    pub running_for: Duration,
    /// Its accounts.
    pub accounts: Vec<AccountUsage>,
}

/// One account's calls at one host.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AccountUsage {
    /// Which account.
    pub account: AccountId,
    /// Calls admitted since the host's start.
    pub admitted: u64,
    /// Calls asked for a second, admitted or not.
    pub demand_per_s: f64,
    /// Part of them that belongs to programs under way.
    pub running_per_s: f64,
    /// Programs begun a second.
    pub started_per_s: f64,
    /// Calls that the host believes may still be admitted by all hosts together.
    pub level: f64,
}

/// The rates of all accounts, as one host keeps them.
#[derive(Debug)]
pub struct RateLimiter {
    peers: HashMap<HostId, PeerRow>,
    rows: HashMap<AccountId, Row>,
    started_at: Instant,
    /// Number of times that all other hosts were heard of.
    round: u64,
    round_began_at: Instant,
}

#[derive(Debug, Default)]
struct PeerRow {
    /// Start of the peer's process; none before it was heard of.
    incarnation: Option<u64>,
    /// Whether the process began after this one, so that all that it admitted is to be counted.
    began_later: bool,
    heard_at: Option<Instant>,
}

impl RateLimiter {
    /// Makes empty buckets: what was admitted before a restart is not known, so nothing is given at once.
    pub fn new(now: Instant) -> Self {
        Self {
            peers: HashMap::new(),
            rows: HashMap::new(),
            started_at: now,
            round: 0,
            round_began_at: now,
        }
    }

    /// Sets which other hosts admit calls.
    pub fn set_peers(&mut self, hosts: impl IntoIterator<Item = HostId>) {
        let mut before = std::mem::take(&mut self.peers);
        for host in hosts {
            let row = before.remove(&host).unwrap_or_default();
            self.peers.insert(host, row);
        }
        for row in self.rows.values_mut() {
            row.forget_demand_of_others(&self.peers);
        }
    }

    /// Sets the accounts that have a rate, so that what other hosts admit is followed from the start.
    pub fn set_accounts<'a>(&mut self, accounts: impl IntoIterator<Item = (&'a AccountId, f64, f64)>) {
        let mut before = std::mem::take(&mut self.rows);
        for (account, rate_per_s, burst) in accounts {
            if rate_per_s <= 0.0 {
                continue;
            }
            let mut row = before
                .remove(account)
                .unwrap_or_else(|| Row::new(self.started_at));
            row.set_rate(rate_per_s, burst);
            self.rows.insert(account.clone(), row);
        }
    }

    /// Decides on one call, and counts it if it is admitted.
    ///
    /// An account that has no rate is admitted always.
    /// A call of a program that has begun goes before one that begins a program: a program is of use only
    /// when all of its calls are admitted, so the last part of the bucket is kept for those.
    pub fn admit(&mut self, account: &AccountId, begins: bool, now: Instant) -> Admission {
        let hosts = self.peers.len() + 1;
        let silent = self.silent(now);
        let Some(row) = self.rows.get_mut(account) else {
            return Admission::Admitted;
        };
        row.refill(hosts, silent, now);
        row.note_demand(begins);
        row.begin_round(self.round, hosts);
        row.decide(hosts, silent, begins)
    }

    /// Whether the account's rate lets another program begin; nothing is counted.
    pub fn may_start_program(&mut self, account: &AccountId, now: Instant) -> Admission {
        let hosts = self.peers.len() + 1;
        let silent = self.silent(now);
        let Some(row) = self.rows.get_mut(account) else {
            return Admission::Admitted;
        };
        row.refill(hosts, silent, now);
        row.begin_round(self.round, hosts);
        let near_bottom = row.near_bottom_of(hosts, silent);
        row.room_to_begin(near_bottom)
    }

    /// Counts in what another host admitted.
    pub fn note_report(&mut self, report: &UsageReport, now: Instant) {
        let Some(peer) = self.peers.get_mut(&report.host) else {
            return;
        };
        let running_for = now.saturating_duration_since(self.started_at);
        let is_older = report.running_for > running_for;
        if peer.incarnation != Some(report.incarnation) {
            peer.began_later = peer.incarnation.is_some() || !is_older;
            peer.incarnation = Some(report.incarnation);
        }
        peer.heard_at = Some(now);
        let began_later = peer.began_later;
        let began_at = self.round_began_at;
        if self
            .peers
            .values()
            .all(|peer| peer.heard_at.is_some_and(|at| at > began_at))
        {
            self.round += 1;
            self.round_began_at = now;
        }
        for used in &report.accounts {
            let Some(row) = self.rows.get_mut(&used.account) else {
                continue;
            };
            row.note_peer(report, used, began_later);
            if is_older && running_for < JOIN_TIME {
                row.join(used.level);
            }
        }
    }

    /// What this host admitted so far.
    pub fn report(&mut self, host: &HostId, incarnation: u64, now: Instant) -> UsageReport {
        let hosts = self.peers.len() + 1;
        let silent = self.silent(now);
        let mut accounts = Vec::with_capacity(self.rows.len());
        for (account, row) in &mut self.rows {
            row.refill(hosts, silent, now);
            accounts.push(row.report(account));
        }
        UsageReport {
            host: host.clone(),
            incarnation,
            running_for: now.saturating_duration_since(self.started_at),
            accounts,
        }
    }

    /// Whether a host was heard of lately.
    pub fn is_live(&self, host: &str, now: Instant) -> bool {
        let peer = self.peers.get(host);
        peer.is_some_and(|peer| peer.is_live(now))
    }

    /// Hosts that may admit calls without this one hearing of it.
    fn silent(&self, now: Instant) -> usize {
        self.peers.values().filter(|peer| !peer.is_live(now)).count()
    }
}

impl PeerRow {
    fn is_live(&self, now: Instant) -> bool {
        self.heard_at.is_some_and(|at| now < at + SILENT_AFTER)
    }
}
