//! Journals that nothing needs any more.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use burdockroad::ownership::Process;
use tokio::time::Instant;

use crate::takeover::Takeover;

/// Time for which a journal's writer must have been silent and without partitions.
const LEFTOVER_AGE: Duration = Duration::from_secs(30);

/// Finds and removes the journals of processes that own nothing and are not up.
#[derive(Debug, Default)]
pub(super) struct OrphanedJournals {
    since: BTreeMap<Process, Instant>,
}

impl OrphanedJournals {
    /// Looks once, and removes what has been left over for long enough.
    pub(super) async fn sweep(&mut self, takeover: &Takeover, alive: &BTreeSet<Process>) {
        let writers = match takeover.recovery.writers().await {
            Ok(writers) => writers,
            Err(cause) => {
                log::warn!("event=journals_not_listed reason=\"{cause}\"");
                return;
            }
        };
        let owners = takeover.ownership.map().processes();
        let unused: BTreeSet<Process> = writers
            .into_iter()
            .filter(|writer| !owners.contains(writer) && !alive.contains(writer))
            .collect();
        self.since.retain(|process, _| unused.contains(process));
        let now = Instant::now();
        for process in unused {
            let since = *self.since.entry(process.clone()).or_insert(now);
            if now - since >= LEFTOVER_AGE {
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
