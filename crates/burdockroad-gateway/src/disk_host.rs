//! Host with a disk, which stores the turns of conversations that the system keeps.
//!
//! Other persistent state is in the shared store. A host that is being removed copies its turns to other hosts
//! before it reports that its removal is complete.

use std::{collections::HashMap, io, net::SocketAddr, path::PathBuf, sync::Arc, time::Duration};

use burdockroad::{
    HostId, Incarnation, RegionId,
    gateway::{MachineLimits, RegionMap},
};
use burdockroad_daemon::platform::{Entry, StoreError};
use bytes::Bytes;
use serde::Serialize;
use tokio::{sync::mpsc, time::sleep};

use crate::{
    Change, Changes, ConditionalWrite, DecisionLog, Dialect, HostError, SharedStore, Signals, WriteOutcome,
    listener::listen,
    turn_store::{
        log::TurnLog,
        state::{TurnHostOptions, TurnHostState},
    },
};

/// Longest time of one watch request.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval before a failed call is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Folder of the turns in the host's data folder.
const TURNS_FOLDER: &str = "turns";

/// Timeout for writing the last log lines.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Options of a host with a disk.
#[derive(Clone, Debug)]
pub struct DiskHostOptions {
    /// Id of the host.
    pub host: HostId,
    /// Random number that identifies this run of the process.
    pub incarnation: Incarnation,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which other hosts call.
    pub peer_address: SocketAddr,
    /// Folder for the host's data; `None` if it stores none.
    pub data_folder: Option<PathBuf>,
    /// Number of hosts with a disk that may be lost at the same time without losing turns.
    pub tolerated_losses: usize,
    /// Region of each failure domain.
    pub regions: HashMap<String, RegionId>,
    /// Limits of the process.
    pub machine: MachineLimits,
}

/// Runs a host with a disk until it receives the stop signal.
///
/// # Errors
///
/// Fails when the host cannot listen on its address.
pub async fn run_disk_host(
    options: DiskHostOptions,
    dialect: Arc<dyn Dialect>,
    store: Arc<dyn SharedStore>,
    log: DecisionLog,
    mut signals: Signals,
) -> Result<(), HostError> {
    let host = options.host.clone();
    log.line("started", &HostLine { host: &host });
    let turns = start_turn_host(options, &dialect, &store, &log).await?;
    let orders = RemovalOrders {
        key: dialect.removal_order_key(&host),
        status_key: dialect.removal_status_key(&host),
        completed_status: Bytes::from(dialect.removal_completed_status()),
        dialect,
        store,
        turns,
        log: log.clone(),
    };
    tokio::select! {
        () = orders.respond_to_all() => {}
        () = wait_for_stop(&mut signals.stop) => {}
    }
    log.line("stopped", &HostLine { host: &host });
    log.close(LOG_FLUSH_TIMEOUT);
    Ok(())
}

/// Starts to store turns. Returns `None` when the host has no data folder or its folder cannot be opened.
async fn start_turn_host(
    options: DiskHostOptions,
    dialect: &Arc<dyn Dialect>,
    store: &Arc<dyn SharedStore>,
    log: &DecisionLog,
) -> Result<Option<Arc<TurnHostState>>, HostError> {
    let Some(folder) = options.data_folder else {
        return Ok(None);
    };
    let (turn_log, recovered) = match TurnLog::open(&folder.join(TURNS_FOLDER)) {
        Ok(opened) => opened,
        Err(error) => {
            log_unusable_disk(log, &error);
            return Ok(None);
        }
    };
    for segment in &recovered {
        log.line("segment_recovered", segment);
    }
    let address = options.peer_address;
    let not_listening = |cause| HostError::new(address, cause);
    let listener = listen(address).await.map_err(not_listening)?;
    let options = TurnHostOptions {
        host: options.host,
        incarnation: options.incarnation,
        failure_domain: options.failure_domain,
        address: options.peer_address,
        tolerated_losses: options.tolerated_losses,
        regions: RegionMap::new(options.regions),
        machine: options.machine,
    };
    let state = Arc::new(TurnHostState::new(
        options,
        turn_log,
        Arc::clone(store),
        log.clone(),
    ));
    state
        .start(listener, Arc::clone(dialect), store)
        .await
        .map_err(not_listening)?;
    Ok(Some(state))
}

fn log_unusable_disk(log: &DecisionLog, error: &io::Error) {
    let reason = error.to_string();
    log.line("disk_unusable", &ErrorLine { reason });
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
    /// Key under which the host reports its progress.
    status_key: String,
    /// Value that reports a completed removal.
    completed_status: Bytes,
    dialect: Arc<dyn Dialect>,
    store: Arc<dyn SharedStore>,
    /// Turns of the host; `None` if it stores none.
    turns: Option<Arc<TurnHostState>>,
    log: DecisionLog,
}

impl RemovalOrders {
    /// Responds to orders, and starts again after a failed call.
    async fn respond_to_all(&self) {
        loop {
            if let Err(error) = self.follow().await {
                let reason = error.to_string();
                self.log.line("store_lost", &ErrorLine { reason });
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

    /// Responds to an order: copies the host's turns to other hosts and reports that the removal is complete.
    async fn respond(&self, order: &Entry) -> Result<(), StoreError> {
        if order.key != self.key {
            return Ok(());
        }
        if let Some(turns) = &self.turns {
            let time_limit = self.dialect.read_removal_time(&order.value);
            turns.leave(time_limit.unwrap_or_default()).await;
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
struct ErrorLine {
    reason: String,
}

#[derive(Serialize)]
struct RemovalLine {
    order_revision: i64,
    written: bool,
}
