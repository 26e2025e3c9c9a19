//! Going on as a new process after another one has sealed this process's journal.

use burdockroad::ownership::Process;

use crate::{
    coordinator::journal_handle::JournalHandle,
    handoff::Handoff,
    ownership::{ChangeError, PARTITIONS},
};

/// Forgets everything that this process owned, and goes on as a new incarnation that owns nothing.
///
/// The order matters: nothing more is adopted, then the trees are forgotten, and only then does the new
/// journal take records. Handoffs and takeovers of the old incarnation must have been cancelled.
///
/// # Errors
///
/// Fails when the ownership actor has stopped.
pub async fn rejoin(handoff: &Handoff, journal: &JournalHandle) -> Result<Process, ChangeError> {
    handoff.ownership.fence().await?;
    handoff.trees.clear().await;
    // A handoff that was cancelled may have left partitions that take no calls.
    handoff.trees.resume((0..PARTITIONS).collect()).await;
    let me = journal.reopen().await;
    handoff.staging.restart(me.clone(), journal.current()).await;
    handoff.ownership.rejoin(me.clone()).await?;
    Ok(me)
}
