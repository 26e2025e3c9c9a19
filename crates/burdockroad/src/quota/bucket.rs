//! Owner side: token bucket of one account.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::quota::{GRANT_LIFE, Grant, Limits, TokenRequest};

/// Id of one run of a host that holds tokens.
pub type HolderId = String;

/// Maximum retry delay returned to a holder.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);

/// Token bucket of one account, at the account's owner.
#[derive(Clone, Debug)]
pub struct Bucket {
    limits: Limits,
    /// Tokens available for grants.
    level: f64,
    /// Time up to which `level` has been refilled. It is in the future while grants of a previous owner may
    /// be valid.
    refilled_at: Instant,
    holders: BTreeMap<HolderId, HolderRow>,
}

/// Owner's state for one holder.
#[derive(Clone, Debug)]
struct HolderRow {
    sequence: u64,
    spent_total: u64,
    /// Grants that the holder may still spend, in order of expiry.
    outstanding: VecDeque<Outstanding>,
    /// Calls still waiting at the holder after its last grant.
    unmet: u64,
    last_request_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    expires_at: Instant,
    tokens: u64,
}

impl Bucket {
    /// Creates an empty bucket that starts to fill at `ready_at`.
    ///
    /// A new owner passes the time at which it became the owner plus [`GRANT_LIFE`], when all grants of an
    /// earlier owner have expired.
    pub fn new(limits: Limits, ready_at: Instant) -> Self {
        Self {
            limits,
            level: 0.0,
            refilled_at: ready_at,
            holders: BTreeMap::new(),
        }
    }

    /// Changes the limits. Outstanding grants remain valid and count against the new burst.
    pub fn set_limits(&mut self, limits: Limits, now: Instant) {
        self.refill(now);
        self.limits = limits;
        self.cap();
    }

    /// Grants tokens to a holder, as far as the bucket has them.
    ///
    /// A duplicate or reordered request gets no tokens.
    pub fn grant(&mut self, holder_id: &HolderId, token_request: &TokenRequest, now: Instant) -> Grant {
        self.refill(now);
        if !self.record_request(holder_id, token_request, now) {
            return Grant {
                granted: 0,
                expires_after: GRANT_LIFE,
                retry_after: Duration::ZERO,
            };
        }
        let needed = token_request
            .wanted
            .min(self.share(holder_id, token_request.wanted));
        let ahead = token_request
            .ahead
            .min(self.whole_tokens().saturating_sub(needed) / 2);
        let granted = needed + ahead;
        self.take(holder_id, token_request.wanted - needed, granted, now);
        Grant {
            granted,
            expires_after: GRANT_LIFE,
            retry_after: self.retry_after(token_request.wanted - needed, now),
        }
    }

    /// Returns the granted tokens that may still be spent.
    pub fn outstanding(&self) -> u64 {
        self.holders.values().map(HolderRow::outstanding_tokens).sum()
    }

    /// Adds the tokens accrued since the last call, and removes expired grants.
    ///
    /// An outstanding grant limits the level until it expires, so the bucket is refilled up to each expiry
    /// before the grant is removed. If the grant were removed first, the bucket would be refilled in its place
    /// for the time before its expiry. A holder could then spend the grant late and get the same tokens again
    /// at once.
    fn refill(&mut self, now: Instant) {
        while let Some(expiry) = self.first_expiry().filter(|expiry| *expiry <= now) {
            self.accrue(expiry);
            self.remove_expired(expiry);
        }
        self.accrue(now);
        self.holders.retain(|_, holder| {
            !holder.outstanding.is_empty() || holder.last_request_at + 2 * GRANT_LIFE > now
        });
    }

    /// Returns the time at which the first outstanding grant expires.
    fn first_expiry(&self) -> Option<Instant> {
        let oldest = self
            .holders
            .values()
            .filter_map(|holder| holder.outstanding.front());
        oldest.map(|grant| grant.expires_at).min()
    }

    fn accrue(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.refilled_at);
        self.level += elapsed.as_secs_f64() * self.limits.rate_per_s;
        self.refilled_at = self.refilled_at.max(until);
        self.cap();
    }

    /// Limits the level to the burst minus the outstanding tokens, so that these are not granted a second time
    /// while they are outstanding.
    fn cap(&mut self) {
        let capacity = f64::from(self.limits.burst) - as_tokens(self.outstanding());
        self.level = self.level.min(capacity).max(0.0);
    }

    fn remove_expired(&mut self, now: Instant) {
        for holder in self.holders.values_mut() {
            while holder
                .outstanding
                .front()
                .is_some_and(|grant| grant.expires_at <= now)
            {
                holder.outstanding.pop_front();
            }
        }
    }

    /// Records the spending reported in a request. Returns false for a duplicate or reordered request.
    fn record_request(&mut self, holder_id: &HolderId, token_request: &TokenRequest, now: Instant) -> bool {
        let Some(holder) = self.holders.get_mut(holder_id) else {
            self.holders
                .insert(holder_id.clone(), HolderRow::new(token_request, now));
            return true;
        };
        if token_request.sequence <= holder.sequence {
            return false;
        }
        let unused = holder.settle(token_request);
        holder.last_request_at = now;
        // Tokens that will never be spent return to the bucket at once. Expired tokens do not: the bucket has
        // been refilled in their place, so returning them would grant them twice.
        self.level += as_tokens(unused);
        self.cap();
        true
    }

    /// Returns the number of tokens that a holder may get. Holders with waiting calls share the available tokens
    /// in proportion to the tokens that they need.
    fn share(&self, holder_id: &HolderId, wanted: u64) -> u64 {
        let others: u64 = self
            .holders
            .iter()
            .filter(|(id, _)| *id != holder_id)
            .map(|(_, holder)| holder.unmet)
            .sum();
        let available = self.whole_tokens();
        let proportional = available * wanted / (wanted + others).max(1);
        proportional.max(available.min(1))
    }

    fn take(&mut self, holder_id: &HolderId, unmet: u64, granted: u64, now: Instant) {
        self.level -= as_tokens(granted);
        let Some(holder) = self.holders.get_mut(holder_id) else {
            return;
        };
        holder.unmet = unmet;
        if granted > 0 {
            holder.outstanding.push_back(Outstanding {
                expires_at: now + GRANT_LIFE,
                tokens: granted,
            });
        }
    }

    /// Returns the time until the bucket has tokens for all calls that wait at any holder.
    fn retry_after(&self, unmet: u64, now: Instant) -> Duration {
        if unmet == 0 {
            return Duration::ZERO;
        }
        let backlog: u64 = self
            .holders
            .values()
            .filter(|holder| holder.last_request_at + GRANT_LIFE > now)
            .map(|holder| holder.unmet)
            .sum();
        let missing = (as_tokens(backlog) - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.limits.rate_per_s).unwrap_or(RETRY_AFTER_MAX);
        let startup_wait = self.refilled_at.saturating_duration_since(now);
        (startup_wait + wait).min(RETRY_AFTER_MAX)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a level lies between 0 and a 32-bit burst"
    )]
    fn whole_tokens(&self) -> u64 {
        self.level.floor() as u64
    }
}

impl HolderRow {
    fn new(token_request: &TokenRequest, now: Instant) -> Self {
        Self {
            sequence: token_request.sequence,
            spent_total: token_request.spent_total,
            outstanding: VecDeque::new(),
            unmet: 0,
            last_request_at: now,
        }
    }

    fn outstanding_tokens(&self) -> u64 {
        self.outstanding.iter().map(|grant| grant.tokens).sum()
    }

    /// Reduces the outstanding tokens to those that the holder may still spend. Returns the number of removed
    /// tokens that the holder has not spent.
    fn settle(&mut self, token_request: &TokenRequest) -> u64 {
        // All spending is attributed to unexpired grants, which returns too few tokens rather than too many.
        let spent = token_request.spent_total.saturating_sub(self.spent_total);
        let before = self.outstanding_tokens();
        self.sequence = token_request.sequence;
        self.spent_total = token_request.spent_total;
        self.keep_newest(token_request.unspent);
        before
            .saturating_sub(spent)
            .saturating_sub(self.outstanding_tokens())
    }

    /// Removes the oldest grants until `tokens` are left. Holders spend grants in order of expiry, so the
    /// tokens left belong to the newest grants.
    fn keep_newest(&mut self, tokens: u64) {
        let mut excess = self.outstanding_tokens().saturating_sub(tokens);
        while excess > 0
            && let Some(oldest) = self.outstanding.front_mut()
        {
            let dropped = oldest.tokens.min(excess);
            oldest.tokens -= dropped;
            excess -= dropped;
            if oldest.tokens == 0 {
                self.outstanding.pop_front();
            }
        }
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "tokens of one account stay far below 2^52"
)]
fn as_tokens(tokens: u64) -> f64 {
    tokens as f64
}
