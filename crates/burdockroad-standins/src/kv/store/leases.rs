//! Leases, whose expiry removes their keys.

use std::time::Duration;

use tokio::time::Instant;

use super::Store;
use crate::kv::refusal::Refusal;

const LEASE_MAX_TTL_S: i64 = 9_000_000_000;

#[derive(Debug)]
pub(super) struct Lease {
    ttl_s: i64,
    expires_at: Instant,
}

impl Store {
    /// Grants a lease and returns its id and its TTL in seconds; id 0 selects an unused one.
    pub(crate) fn lease_grant(&mut self, id: i64, ttl_s: i64, now: Instant) -> Result<(i64, i64), Refusal> {
        if ttl_s > LEASE_MAX_TTL_S {
            return Err(Refusal::LeaseTtlTooLarge);
        }
        if self.leases.contains_key(&id) {
            return Err(Refusal::LeaseExists);
        }
        let id = if id == 0 { self.unused_lease_id() } else { id };
        let ttl_s = ttl_s.max(1);
        let expires_at = now + lease_duration(ttl_s);
        self.leases.insert(id, Lease { ttl_s, expires_at });
        Ok((id, ttl_s))
    }

    /// Revokes a lease and removes its keys as one revision.
    pub(crate) fn lease_revoke(&mut self, id: i64) -> Result<(), Refusal> {
        self.leases.remove(&id).ok_or(Refusal::LeaseNotFound)?;
        let entries = self.keys.values();
        let attached_keys: Vec<_> = entries
            .filter(|entry| entry.lease == id)
            .map(|entry| entry.key.clone())
            .collect();
        if attached_keys.is_empty() {
            return Ok(());
        }
        self.revision += 1;
        for key in attached_keys {
            self.remove(&key, self.revision);
        }
        Ok(())
    }

    /// Renews a lease and returns its TTL in seconds, or 0 if the lease does not exist.
    pub(crate) fn lease_keep_alive(&mut self, id: i64, now: Instant) -> i64 {
        let Some(lease) = self.leases.get_mut(&id) else {
            return 0;
        };
        lease.expires_at = now + lease_duration(lease.ttl_s);
        lease.ttl_s
    }

    /// Revokes the expired leases.
    pub(crate) fn expire_leases(&mut self, now: Instant) {
        let leases = self.leases.iter();
        let expired: Vec<_> = leases
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            let revoked = self.lease_revoke(id);
            debug_assert_eq!(revoked, Ok(()), "the lease was just found");
        }
    }

    fn unused_lease_id(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease_id) {
            self.next_lease_id += 1;
        }
        self.next_lease_id
    }
}

fn lease_duration(ttl_s: i64) -> Duration {
    Duration::from_secs(ttl_s.unsigned_abs())
}
