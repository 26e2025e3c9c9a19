//! Restart as a new incarnation after another process has sealed this process's journal.

use burdockroad::ownership::Process;

use crate::{
    coordinator::journal_handle::JournalHandle,
    handoff::Handoff,
    ownership::{ChangeError, PARTITIONS},
};

/// Drops all state that this process owned, and resumes as a new incarnation that owns no partitions.
///
/// The order matters: adoption of trees stops first, then the trees are cleared, and only then does
/// the new journal accept records. The caller must have cancelled the handoffs and takeovers of the
/// old incarnation.
///
/// # Errors
///
/// Fails when the ownership actor has stopped.
pub async fn rejoin(handoff: &Handoff, journal: &JournalHandle) -> Result<Process, ChangeError> {
    handoff.ownership.fence().await?;
    handoff.trees.clear().await;
    // A cancelled handoff may have left partitions that do not accept calls.
    handoff.trees.resume((0..PARTITIONS).collect()).await;
    let me = journal.reopen().await;
    handoff.staging.restart(me.clone(), journal.current()).await;
    handoff.ownership.rejoin(me.clone()).await?;
    Ok(me)
}
