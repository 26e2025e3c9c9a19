//! Host with a disk, which the platform requires but the gateway does not use.
//!
//! All persistent state is in the shared store, so such a host stores no data. It only responds to removal
//! orders, and reports immediately that its removal is complete.

use std::{sync::Arc, time::Duration};

use burdockroad::HostId;
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::Serialize;
use tokio::{sync::mpsc, time::sleep};

use crate::{Change, Changes, ConditionalWrite, DecisionLog, Dialect, SharedStore, Signals, WriteOutcome};

/// Longest time of one watch request.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Runs a host that stores no data, until it receives the stop signal.
pub async fn run_disk_host(
    host: HostId,
    dialect: Arc<dyn Dialect>,
    store: Arc<dyn SharedStore>,
    log: DecisionLog,
    mut signals: Signals,
) {
    log.line("started", &HostLine { host: &host });
    let orders = RemovalOrders {
        key: dialect.removal_order_key(&host),
        status_key: dialect.removal_status_key(&host),
        completed_status: Bytes::from(dialect.removal_completed_status()),
        store,
        log: log.clone(),
    };
    tokio::select! {
        () = orders.respond_to_all() => {}
        () = wait_for_stop(&mut signals.stop) => {}
    }
    log.line("stopped", &HostLine { host: &host });
    log.close(LOG_FLUSH_TIMEOUT);
}

async fn wait_for_stop(stop: &mut mpsc::Receiver<()>) {
    if stop.recv().await.is_none() {
        std::future::pending::<()>().await;
    }
}

/// Follows and responds to the removal orders of one host.
struct RemovalOrders {
    /// Key of the orders.
    key: String,
    /// Key of the progress that the host reports.
    status_key: String,
    /// Progress value of a completed removal.
    completed_status: Bytes,
    store: Arc<dyn SharedStore>,
    log: DecisionLog,
}

impl RemovalOrders {
    /// Responds to orders, and starts again after a failed call.
    async fn respond_to_all(&self) {
        loop {
            if let Err(error) = self.follow().await {
                let reason = error.to_string();
                self.log.line("store_lost", &StoreErrorLine { reason });
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    /// Follows the orders until a call fails or the store has truncated the history.
    async fn follow(&self) -> Result<(), StoreError> {
        let snapshot = self.store.read_range(&self.key).await?;
        for entry in &snapshot.entries {
            self.respond(entry).await?;
        }
        let mut after = snapshot.as_of;
        loop {
            match self.store.changes(&self.key, after, WATCH_TIMEOUT).await? {
                Changes::Complete { changes, as_of } => {
                    for change in &changes {
                        if let Change::Put(entry) = change {
                            self.respond(entry).await?;
                        }
                    }
                    after = as_of.max(after);
                }
                Changes::HistoryTruncated => return Ok(()),
            }
        }
    }

    /// Reports the completed removal.
    async fn respond(&self, order: &Entry) -> Result<(), StoreError> {
        if order.key != self.key {
            return Ok(());
        }
        let write = ConditionalWrite {
            key: self.status_key.clone(),
            value: self.completed_status.clone(),
            expected_revision: None,
            unconditional: true,
            lease: None,
        };
        let outcome = self.store.write_all(&[write]).await?;
        self.log.line(
            "removal_answered",
            &RemovalLine {
                order_revision: order.revision,
                written: matches!(outcome, WriteOutcome::Done(_)),
            },
        );
        Ok(())
    }
}

#[derive(Serialize)]
struct HostLine<'a> {
    host: &'a str,
}

#[derive(Serialize)]
struct StoreErrorLine {
    reason: String,
}

#[derive(Serialize)]
struct RemovalLine {
    order_revision: i64,
    written: bool,
}
