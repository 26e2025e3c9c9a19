//! The owner's side: one account's bucket.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use crate::quota::{Ask, GRANT_LIFE, Grant, Limits};

/// Name of one run of a holding host.
pub type HolderId = String;

/// Longest time that a holder is told to wait.
const RETRY_AFTER_MAX: Duration = Duration::from_mins(1);

/// One account's tokens, at the account's owner.
#[derive(Clone, Debug)]
pub struct Bucket {
    limits: Limits,
    /// Tokens that can be granted.
    level: f64,
    /// Until when `level` has been refilled; in the future while a predecessor's grants may live.
    refilled_at: Instant,
    holders: BTreeMap<HolderId, HolderRow>,
}

/// What the owner knows of one holder.
#[derive(Clone, Debug)]
struct HolderRow {
    sequence: u64,
    spent_total: u64,
    /// Grants that the holder may still spend, the first to expire in front.
    outstanding: VecDeque<Outstanding>,
    /// Calls that wait there, as far as known.
    unmet: u64,
    heard_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Outstanding {
    expires_at: Instant,
    tokens: u64,
}

impl Bucket {
    /// Makes an empty bucket that begins to fill at `ready_at`.
    ///
    /// A new owner passes the time at which it became the owner plus [`GRANT_LIFE`], when all grants
    /// of an earlier owner have expired.
    pub fn new(limits: Limits, ready_at: Instant) -> Self {
        Self {
            limits,
            level: 0.0,
            refilled_at: ready_at,
            holders: BTreeMap::new(),
        }
    }

    /// Changes the limits; what is already granted stays granted and counts against the new burst.
    pub fn set_limits(&mut self, limits: Limits, now: Instant) {
        self.refill(now);
        self.limits = limits;
        self.cap();
    }

    /// Grants tokens to a holder, as far as the bucket has them.
    ///
    /// A request that arrives twice, or after a later one, gets nothing.
    pub fn grant(&mut self, holder_id: &HolderId, ask: &Ask, now: Instant) -> Grant {
        self.refill(now);
        if !self.note_report(holder_id, ask, now) {
            return Grant {
                granted: 0,
                expires_after: GRANT_LIFE,
                retry_after: Duration::ZERO,
            };
        }
        let needed = ask.wanted.min(self.share(holder_id, ask.wanted));
        let ahead = ask.ahead.min(self.whole_tokens().saturating_sub(needed) / 2);
        let granted = needed + ahead;
        self.take(holder_id, ask.wanted - needed, granted, now);
        Grant {
            granted,
            expires_after: GRANT_LIFE,
            retry_after: self.retry_after(ask.wanted - needed, now),
        }
    }

    /// Tokens granted that may still be spent.
    pub fn outstanding(&self) -> u64 {
        self.holders.values().map(HolderRow::outstanding_tokens).sum()
    }

    /// Adds what the rate gave since the last call, and drops what has expired.
    ///
    /// Each grant counts until its end: dropping it first, and filling its room for the time before its
    /// end, would let a holder spend it late and have it again at once.
    fn refill(&mut self, now: Instant) {
        while let Some(end) = self.first_end().filter(|end| *end <= now) {
            self.fill(end);
            self.drop_expired(end);
        }
        self.fill(now);
        self.holders
            .retain(|_, holder| !holder.outstanding.is_empty() || holder.heard_at + 2 * GRANT_LIFE > now);
    }

    /// When the first outstanding grant expires.
    fn first_end(&self) -> Option<Instant> {
        let oldest = self
            .holders
            .values()
            .filter_map(|holder| holder.outstanding.front());
        oldest.map(|grant| grant.expires_at).min()
    }

    fn fill(&mut self, until: Instant) {
        let elapsed = until.saturating_duration_since(self.refilled_at);
        self.level += elapsed.as_secs_f64() * self.limits.rate_per_s;
        self.refilled_at = self.refilled_at.max(until);
        self.cap();
    }

    /// Counts outstanding tokens as still in the bucket, so that they cannot be had twice at once.
    fn cap(&mut self) {
        let room = f64::from(self.limits.burst) - as_tokens(self.outstanding());
        self.level = self.level.min(room).max(0.0);
    }

    fn drop_expired(&mut self, now: Instant) {
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

    /// Takes note of what a holder spent; false for a request that came late or twice.
    fn note_report(&mut self, holder_id: &HolderId, ask: &Ask, now: Instant) -> bool {
        let Some(holder) = self.holders.get_mut(holder_id) else {
            self.holders.insert(holder_id.clone(), HolderRow::new(ask, now));
            return true;
        };
        if ask.sequence <= holder.sequence {
            return false;
        }
        let unused = holder.settle(ask);
        holder.heard_at = now;
        // Tokens that were never spent go back at once. Expired ones do not: the bucket has been
        // refilled in their place, and giving them back would let them be had twice.
        self.level += as_tokens(unused);
        self.cap();
        true
    }

    /// Tokens that a holder may get while others wait too, in proportion to what each wants.
    fn share(&self, holder_id: &HolderId, wanted: u64) -> u64 {
        let others: u64 = self
            .holders
            .iter()
            .filter(|(id, _)| *id != holder_id)
            .map(|(_, holder)| holder.unmet)
            .sum();
        let available = self.whole_tokens();
        let part = available * wanted / (wanted + others).max(1);
        part.max(available.min(1))
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

    /// Time until all calls that wait at any holder could be served.
    fn retry_after(&self, unmet: u64, now: Instant) -> Duration {
        if unmet == 0 {
            return Duration::ZERO;
        }
        let backlog: u64 = self
            .holders
            .values()
            .filter(|holder| holder.heard_at + GRANT_LIFE > now)
            .map(|holder| holder.unmet)
            .sum();
        let missing = (as_tokens(backlog) - self.level).max(0.0);
        let wait = Duration::try_from_secs_f64(missing / self.limits.rate_per_s).unwrap_or(RETRY_AFTER_MAX);
        let not_ready = self.refilled_at.saturating_duration_since(now);
        (not_ready + wait).min(RETRY_AFTER_MAX)
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a level is within 0 and a burst of 32 bits"
    )]
    fn whole_tokens(&self) -> u64 {
        self.level.floor() as u64
    }
}

impl HolderRow {
    fn new(ask: &Ask, now: Instant) -> Self {
        Self {
            sequence: ask.sequence,
            spent_total: ask.spent_total,
            outstanding: VecDeque::new(),
            unmet: 0,
            heard_at: now,
        }
    }

    fn outstanding_tokens(&self) -> u64 {
        self.outstanding.iter().map(|grant| grant.tokens).sum()
    }

    /// Leaves only what the holder still may spend, and returns the tokens that it never will.
    fn settle(&mut self, ask: &Ask) -> u64 {
        // All spending is put down to grants that have not expired: this gives back too little
        // rather than too much.
        let spent = ask.spent_total.saturating_sub(self.spent_total);
        let before = self.outstanding_tokens();
        self.sequence = ask.sequence;
        self.spent_total = ask.spent_total;
        self.keep_newest(ask.unspent);
        before
            .saturating_sub(spent)
            .saturating_sub(self.outstanding_tokens())
    }

    /// Holders spend what expires first, so what is left is of the newest grants.
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
