//! Persists reservations of programs' budgets in the store.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    Incarnation, ProgramId,
    gateway::{BudgetWrite, HostReservation, StoreResponse, StoredBudget, VersionedBudget},
};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{
    ConditionalWrite, LeaseId, SharedStore, WriteOutcome, shared::Shared, unreadable_keys::brief_reason,
};

/// Prefix of the keys that store programs' budgets.
const BUDGETS_PREFIX: &str = "burdockroad/budgets/";

/// Maximum number of programs in one write.
const BATCH_MAX_PROGRAMS: usize = 16;

/// Minimum interval between two writes, so that concurrent reservations share one write.
const WRITE_INTERVAL: Duration = Duration::from_millis(8);

/// Backoff after the first failed write; it doubles with each further failure up to [`BACKOFF_MAX`].
const BACKOFF_INITIAL: Duration = Duration::from_millis(20);

/// Longest backoff after a failed write.
const BACKOFF_MAX: Duration = Duration::from_millis(250);

/// Time for which new keys are attached to the same lease.
const LEASE_REUSE_TIME: Duration = Duration::from_mins(1);

/// Shortest lifetime of a lease.
const LEASE_LIFETIME_MIN: Duration = Duration::from_mins(3);

/// Longest lifetime that the store grants to a lease.
const LEASE_LIFETIME_MAX: Duration = Duration::from_mins(10);

/// Interval between two evictions of idle programs from the ledger.
const EVICTION_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between two writes that only return unused tokens to the budgets.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// A program's budget as stored.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireBudget {
    spent_tokens: u64,
    #[serde(rename = "holders")]
    reservations: Vec<WireReservation>,
}

/// A host's reservation as stored.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireReservation {
    incarnation: Incarnation,
    #[serde(rename = "held_tokens")]
    reserved_tokens: u64,
    #[serde(rename = "write_mark")]
    write_id: u64,
}

/// Reads a budget from the store again, because other hosts may have released tokens there.
pub(crate) async fn refresh_budget(shared: &Shared, program: &ProgramId) {
    let key = budget_key(program);
    let Ok(snapshot) = shared.store.read_range(&key).await else {
        return;
    };
    let entry = snapshot.entries.iter().find(|entry| entry.key == key);
    let budget = entry.map(|entry| decode_budget(shared, entry));
    shared
        .tables()
        .ledger
        .complete(program, StoreResponse::Found(budget));
}

/// Writes reservations until the host stops.
pub(crate) async fn write_reservations(shared: Arc<Shared>) {
    let mut writer = Writer {
        shared,
        lease: None,
        backoff: BACKOFF_INITIAL,
        last_eviction_at: Instant::now(),
    };
    loop {
        // Wakes when a call waits for a reservation, or when released tokens are due to be written.
        let requested = writer.shared.reservation_requested.notified();
        let _waited = timeout(SETTLE_INTERVAL, requested).await;
        writer.shared.tables().ledger.settle_due(Instant::now());
        writer.write_all().await;
    }
}

/// State of the task that writes reservations.
struct Writer {
    shared: Arc<Shared>,
    lease: Option<OpenLease>,
    backoff: Duration,
    last_eviction_at: Instant,
}

/// A lease that new keys are attached to.
#[derive(Clone, Copy)]
struct OpenLease {
    id: LeaseId,
    opened_at: Instant,
}

impl Writer {
    /// Writes batches until no budget has a pending write.
    async fn write_all(&mut self) {
        loop {
            self.evict_idle();
            let writes = self.shared.tables().ledger.next_writes(BATCH_MAX_PROGRAMS);
            if writes.is_empty() {
                return;
            }
            let sent_at = Instant::now();
            self.record_write_start(sent_at);
            let result = self.write(&writes).await;
            let succeeded = result.is_ok();
            self.record_write_result(succeeded);
            self.complete(&writes, &result);
            self.shared.reservations_changed.notify_waiters();
            if succeeded {
                self.backoff = BACKOFF_INITIAL;
                sleep(WRITE_INTERVAL.saturating_sub(sent_at.elapsed())).await;
            } else {
                sleep(self.backoff).await;
                self.backoff = (self.backoff * 2).min(BACKOFF_MAX);
            }
        }
    }

    /// Records the start of a write, in the current series of writes without success.
    fn record_write_start(&self, sent_at: Instant) {
        let mut tables = self.shared.tables();
        tables.writes_unanswered_since.get_or_insert(sent_at);
    }

    /// Updates the start of the current series of failed writes.
    fn record_write_result(&self, succeeded: bool) {
        let mut tables = self.shared.tables();
        if succeeded {
            tables.writes_failing_since = None;
            tables.writes_unanswered_since = None;
        } else if tables.writes_failing_since.is_none() {
            tables.writes_failing_since = Some(Instant::now());
        }
    }

    fn evict_idle(&mut self) {
        let now = Instant::now();
        if now < self.last_eviction_at + EVICTION_INTERVAL {
            return;
        }
        self.last_eviction_at = now;
        self.shared.tables().ledger.evict_idle(now);
    }

    async fn write(&mut self, budgets: &[BudgetWrite]) -> Result<WriteOutcome, StoreError> {
        let lease = self.lease().await?;
        let writes: Vec<ConditionalWrite> = budgets
            .iter()
            .map(|budget| conditional_write(budget, lease))
            .collect();
        metrics::counter!("burdockroad_store_writes_total").increment(1);
        let outcome = self.shared.store.write_all(&writes).await?;
        match outcome {
            WriteOutcome::Refused(reason) => Err(StoreError::Ambiguous { reason }),
            WriteOutcome::LeaseEnded => {
                self.lease = None;
                Ok(WriteOutcome::LeaseEnded)
            }
            outcome => Ok(outcome),
        }
    }

    /// Returns the lease for new keys. The store deletes a program's key when the lease of its last write
    /// expires. This happens at the earliest [`LEASE_LIFETIME_MIN`] minus [`LEASE_REUSE_TIME`] after the
    /// write.
    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let now = Instant::now();
        if let Some(lease) = self
            .lease
            .filter(|lease| now < lease.opened_at + LEASE_REUSE_TIME)
        {
            return Ok(lease.id);
        }
        let id = self.shared.store.open_lease(self.lease_lifetime()).await?;
        self.lease = Some(OpenLease { id, opened_at: now });
        Ok(id)
    }

    /// Returns twice the longest retention of all routes plus [`LEASE_REUSE_TIME`], but at least
    /// [`LEASE_LIFETIME_MIN`] and at most [`LEASE_LIFETIME_MAX`].
    fn lease_lifetime(&self) -> Duration {
        let tables = self.shared.tables();
        let routes = tables
            .directory
            .iter()
            .flat_map(|directory| &directory.document().routes);
        let longest_retention = routes.map(|route| route.retention).max().unwrap_or_default();
        (longest_retention * 2 + LEASE_REUSE_TIME).clamp(LEASE_LIFETIME_MIN, LEASE_LIFETIME_MAX)
    }

    /// Reports the result of a batch to the ledger.
    fn complete(&self, writes: &[BudgetWrite], result: &Result<WriteOutcome, StoreError>) {
        if let Err(error) = result {
            self.shared.log.line(
                "reservations_failed",
                &WriteFailedLine {
                    programs: writes.len(),
                    reason: error.to_string(),
                },
            );
        }
        let mut states_by_key = HashMap::new();
        if let Ok(WriteOutcome::Conflict(key_states)) = result {
            states_by_key.extend(
                key_states
                    .iter()
                    .map(|state| (state.key.as_str(), state.entry.as_ref())),
            );
        }
        for write in writes {
            let response = match result {
                Ok(WriteOutcome::Done(revision)) => StoreResponse::Written(*revision),
                Ok(WriteOutcome::Conflict(_)) => self.conflict_response(write, &states_by_key),
                Ok(WriteOutcome::LeaseEnded | WriteOutcome::Refused(_)) | Err(_) => {
                    StoreResponse::Indeterminate
                }
            };
            self.shared.tables().ledger.complete(&write.program, response);
        }
    }

    /// Returns the response for one program of a batch that was refused with a conflict. The conflicting key
    /// may belong to another program of the batch.
    fn conflict_response(
        &self,
        write: &BudgetWrite,
        states_by_key: &HashMap<&str, Option<&Entry>>,
    ) -> StoreResponse {
        let key = budget_key(&write.program);
        match states_by_key.get(key.as_str()) {
            Some(entry) => StoreResponse::Found(entry.map(|entry| decode_budget(&self.shared, entry))),
            None => StoreResponse::Indeterminate,
        }
    }
}

/// Decodes a stored budget. A budget that cannot be decoded counts as exhausted.
fn decode_budget(shared: &Shared, entry: &Entry) -> VersionedBudget {
    let budget = match serde_json::from_slice::<WireBudget>(&entry.value) {
        Ok(wire) => wire.decode(),
        Err(error) => {
            let reason = brief_reason(&error);
            let key = &entry.key;
            shared
                .log
                .line("budget_unreadable", &UnreadableLine { key, reason });
            StoredBudget {
                spent_tokens: u64::from(u32::MAX),
                reservations: Vec::new(),
            }
        }
    };
    VersionedBudget {
        budget,
        revision: entry.revision,
    }
}

impl WireBudget {
    fn encode(budget: &StoredBudget) -> Self {
        let reservations = budget.reservations.iter().map(|reservation| WireReservation {
            incarnation: reservation.incarnation,
            reserved_tokens: reservation.reserved_tokens,
            write_id: reservation.write_id,
        });
        Self {
            spent_tokens: budget.spent_tokens,
            reservations: reservations.collect(),
        }
    }

    fn decode(self) -> StoredBudget {
        let reservations = self.reservations.into_iter().map(|reservation| HostReservation {
            incarnation: reservation.incarnation,
            reserved_tokens: reservation.reserved_tokens,
            write_id: reservation.write_id,
        });
        StoredBudget {
            spent_tokens: self.spent_tokens,
            reservations: reservations.collect(),
        }
    }
}

fn budget_key(program: &str) -> String {
    format!("{BUDGETS_PREFIX}{program}")
}

fn conditional_write(write: &BudgetWrite, lease: LeaseId) -> ConditionalWrite {
    let value = serde_json::to_vec(&WireBudget::encode(&write.budget)).unwrap_or_default();
    ConditionalWrite {
        key: budget_key(&write.program),
        value: Bytes::from(value),
        expected_revision: write.expected_revision,
        unconditional: false,
        lease: Some(lease),
    }
}

#[derive(Serialize)]
struct WriteFailedLine {
    programs: usize,
    reason: String,
}

#[derive(Serialize)]
struct UnreadableLine<'a> {
    key: &'a str,
    reason: String,
}
