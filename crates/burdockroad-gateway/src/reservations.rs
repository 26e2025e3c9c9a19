//! Making reservations of programs' budgets durable.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    Incarnation, ProgramId,
    gateway::{Answer, BudgetWrite, Holder, StoredBudget, Versioned},
};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::time::{sleep, timeout};

use crate::{ConditionalWrite, LeaseId, SharedStore, Written, shared::Shared};

/// Prefix of the keys that hold what is reserved of programs' budgets.
const BUDGETS_PREFIX: &str = "burdockroad/budgets/";

/// Programs in one write.
const BATCH_MAX: usize = 16;

/// Time between two writes, so that reservations that come together share one.
const WRITE_INTERVAL: Duration = Duration::from_millis(8);

/// First pause after a write that failed; it doubles up to the longest.
const FAILED_PAUSE_FIRST: Duration = Duration::from_millis(20);

/// Longest pause after a write that failed.
const FAILED_PAUSE_MAX: Duration = Duration::from_millis(250);

/// Time for which a lease takes new keys.
const LEASE_USE: Duration = Duration::from_mins(1);

/// Shortest life of a lease.
const LEASE_LIFE_MIN: Duration = Duration::from_mins(3);

/// Longest life of a lease that the store grants.
const LEASE_LIFE_MAX: Duration = Duration::from_mins(10);

/// Time between two rounds in which programs that are long idle are forgotten.
const FORGET_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two rounds of writes that only give tokens back.
const SETTLE_INTERVAL: Duration = Duration::from_millis(100);

/// What the store holds of one program.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireBudget {
    spent_tokens: u64,
    reservations: Vec<WireHolder>,
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct WireHolder {
    incarnation: Incarnation,
    reserved_tokens: u64,
    write_id: u64,
}

/// Reads what other hosts have given back.
pub(crate) async fn look_again(shared: &Shared, program: &ProgramId) {
    let key = budget_key(program);
    let Ok(snapshot) = shared.store.read_range(&key).await else {
        return;
    };
    let entry = snapshot.entries.iter().find(|entry| entry.key == key);
    let found = entry.map(|entry| versioned(shared, entry));
    shared.tables().ledger.complete(program, Answer::Found(found));
}

/// Writes reservations as long as the host runs.
pub(crate) async fn write_reservations(shared: Arc<Shared>) {
    let mut writer = Writer {
        shared,
        lease: None,
        failed_pause: FAILED_PAUSE_FIRST,
        forgot_at: Instant::now(),
    };
    loop {
        // Either a call waits, or it is time to look for what calls gave back.
        let wanted = writer.shared.reservation_wanted.notified();
        let _waited = timeout(SETTLE_INTERVAL, wanted).await;
        writer.shared.tables().ledger.settle_due(Instant::now());
        writer.write_all().await;
    }
}

struct Writer {
    shared: Arc<Shared>,
    lease: Option<OpenLease>,
    failed_pause: Duration,
    forgot_at: Instant,
}

#[derive(Clone, Copy)]
struct OpenLease {
    id: LeaseId,
    opened_at: Instant,
}

impl Writer {
    async fn write_all(&mut self) {
        loop {
            self.forget_idle();
            let writes = self.shared.tables().ledger.next_writes(BATCH_MAX);
            if writes.is_empty() {
                return;
            }
            let sent_at = Instant::now();
            let written = self.write(&writes).await;
            let succeeded = written.is_ok();
            self.note_answered(succeeded);
            self.complete(&writes, &written);
            self.shared.reservations_changed.notify_waiters();
            if succeeded {
                self.failed_pause = FAILED_PAUSE_FIRST;
                sleep(WRITE_INTERVAL.saturating_sub(sent_at.elapsed())).await;
            } else {
                sleep(self.failed_pause).await;
                self.failed_pause = (self.failed_pause * 2).min(FAILED_PAUSE_MAX);
            }
        }
    }

    fn note_answered(&self, answered: bool) {
        let mut tables = self.shared.tables();
        if answered {
            tables.writes_lost_at = None;
        } else if tables.writes_lost_at.is_none() {
            tables.writes_lost_at = Some(Instant::now());
        }
    }

    fn forget_idle(&mut self) {
        let now = Instant::now();
        if now < self.forgot_at + FORGET_INTERVAL {
            return;
        }
        self.forgot_at = now;
        self.shared.tables().ledger.forget_idle(now);
    }

    async fn write(&mut self, budgets: &[BudgetWrite]) -> Result<Written, StoreError> {
        let lease = self.lease().await?;
        let writes: Vec<ConditionalWrite> = budgets
            .iter()
            .map(|budget| conditional_write(budget, lease))
            .collect();
        metrics::counter!("burdockroad_store_writes_total").increment(1);
        let written = self.shared.store.write_all(&writes).await?;
        if written == Written::LeaseEnded {
            self.lease = None;
        }
        Ok(written)
    }

    /// The lease for new keys; a program's key goes some minutes after the last write to it.
    async fn lease(&mut self) -> Result<LeaseId, StoreError> {
        let now = Instant::now();
        if let Some(lease) = self.lease.filter(|lease| now < lease.opened_at + LEASE_USE) {
            return Ok(lease.id);
        }
        let id = self.shared.store.open_lease(self.lease_life()).await?;
        self.lease = Some(OpenLease { id, opened_at: now });
        Ok(id)
    }

    fn lease_life(&self) -> Duration {
        let tables = self.shared.tables();
        let routes = tables.directory.iter().flat_map(|found| &found.document().routes);
        let longest = routes.map(|route| route.retention).max().unwrap_or_default();
        (longest * 2 + LEASE_USE).clamp(LEASE_LIFE_MIN, LEASE_LIFE_MAX)
    }

    fn complete(&self, writes: &[BudgetWrite], written: &Result<Written, StoreError>) {
        if let Err(error) = written {
            self.shared.log.line(
                "reservations_failed",
                &FailedLine {
                    programs: writes.len(),
                    reason: error.to_string(),
                },
            );
        }
        let mut states = HashMap::new();
        if let Ok(Written::Conflict(found)) = written {
            states.extend(
                found
                    .iter()
                    .map(|state| (state.key.as_str(), state.entry.as_ref())),
            );
        }
        for write in writes {
            let answer = match written {
                Ok(Written::Done(revision)) => Answer::Written(*revision),
                Ok(Written::Conflict(_)) => self.found(write, &states),
                Ok(Written::LeaseEnded) | Err(_) => Answer::Unsettled,
            };
            self.shared.tables().ledger.complete(&write.program, answer);
        }
    }

    /// What a refused write means for one of its programs; another's key may have been the reason.
    fn found(&self, write: &BudgetWrite, states: &HashMap<&str, Option<&Entry>>) -> Answer {
        let key = budget_key(&write.program);
        match states.get(key.as_str()) {
            Some(entry) => Answer::Found(entry.map(|entry| versioned(&self.shared, entry))),
            None => Answer::Unsettled,
        }
    }
}

/// Reads a stored budget; one that cannot be read counts as spent.
fn versioned(shared: &Shared, entry: &Entry) -> Versioned {
    let budget = match serde_json::from_slice::<WireBudget>(&entry.value) {
        Ok(wire) => wire.decode(),
        Err(error) => {
            let reason = error.to_string();
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
    Versioned {
        budget,
        revision: entry.revision,
    }
}

impl WireBudget {
    fn encode(budget: &StoredBudget) -> Self {
        let reservations = budget.reservations.iter().map(|holder| WireHolder {
            incarnation: holder.incarnation,
            reserved_tokens: holder.reserved_tokens,
            write_id: holder.write_id,
        });
        Self {
            spent_tokens: budget.spent_tokens,
            reservations: reservations.collect(),
        }
    }

    fn decode(self) -> StoredBudget {
        let reservations = self.reservations.into_iter().map(|holder| Holder {
            incarnation: holder.incarnation,
            reserved_tokens: holder.reserved_tokens,
            write_id: holder.write_id,
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
struct FailedLine {
    programs: usize,
    reason: String,
}

#[derive(Serialize)]
struct UnreadableLine<'a> {
    key: &'a str,
    reason: String,
}
