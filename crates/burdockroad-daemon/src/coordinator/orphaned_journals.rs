//! Removal of journals whose writers own no partitions and are not live.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use burdockroad::ownership::Process;
use tokio::time::Instant;

use crate::takeover::Takeover;

/// Time for which a journal's writer must have been unresponsive and without partitions before the
/// journal is removed.
const ORPHANED_AGE: Duration = Duration::from_secs(30);

/// Orphaned journals, whose writers own no partitions and are not live, with the time at which each was
/// first observed.
#[derive(Debug, Default)]
pub(super) struct OrphanedJournals {
    orphaned_since: BTreeMap<Process, Instant>,
}

impl OrphanedJournals {
    /// Lists the journals once and removes those that have been orphaned for `ORPHANED_AGE`.
    pub(super) async fn sweep(&mut self, takeover: &Takeover, live: &BTreeSet<Process>) {
        let writers = match takeover.recovery.writers().await {
            Ok(writers) => writers,
            Err(cause) => {
                log::warn!("event=journals_not_listed reason=\"{cause}\"");
                return;
            }
        };
        let owners = takeover.ownership.map().processes();
        let orphaned: BTreeSet<Process> = writers
            .into_iter()
            .filter(|writer| !owners.contains(writer) && !live.contains(writer))
            .collect();
        self.orphaned_since
            .retain(|process, _| orphaned.contains(process));
        let now = Instant::now();
        for process in orphaned {
            let since = *self.orphaned_since.entry(process.clone()).or_insert(now);
            if now - since >= ORPHANED_AGE {
                remove(takeover, &process).await;
            }
        }
    }
}

async fn remove(takeover: &Takeover, process: &Process) {
    match takeover.remove_orphaned(process).await {
        Ok(()) => log::info!("event=journal_removed host={}", process.host_id),
        Err(cause) => log::warn!(
            "event=journal_not_removed host={} reason=\"{cause}\"",
            process.host_id
        ),
    }
}
