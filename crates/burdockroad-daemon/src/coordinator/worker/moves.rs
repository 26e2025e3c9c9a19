//! Handoffs of many partitions to other processes.

use std::time::Duration;

use burdockroad::{PartitionId, membership::Member};
use tokio::time::Instant;

use crate::{
    handoff::{Handoff, HandoffError},
    membership::MembershipHandle,
};

/// Maximum number of partitions in one handoff.
const HANDOFF_PARTITIONS_MAX: usize = 32;

/// Partitions to hand off to one process.
#[derive(Debug)]
pub(super) struct HandoffGroup {
    pub(super) to: Member,
    pub(super) partitions: Vec<PartitionId>,
}

/// Hands off all groups within `timeout`, one after the other.
pub(super) async fn move_groups(
    handoff: Handoff,
    membership: MembershipHandle,
    groups: Vec<HandoffGroup>,
    timeout: Duration,
) {
    let deadline = Instant::now() + timeout;
    for group in groups {
        for partitions in group.partitions.chunks(HANDOFF_PARTITIONS_MAX) {
            let timeout = deadline.saturating_duration_since(Instant::now());
            move_chunk(&handoff, partitions, &group.to, timeout).await;
            membership.send_heartbeats();
        }
    }
}

/// Hands off partitions together, or one by one when some of them have running calls.
async fn move_chunk(handoff: &Handoff, partitions: &[PartitionId], to: &Member, timeout: Duration) {
    // The other half of the timeout is reserved for handing off one by one those partitions that have no
    // running calls.
    match handoff.hand_off(partitions, to, timeout / 2).await {
        Err(HandoffError::Busy) if partitions.len() > 1 => {}
        outcome => {
            log_failure(to, outcome);
            return;
        }
    }
    let deadline = Instant::now() + timeout / 2;
    for partition in partitions {
        let timeout = deadline.saturating_duration_since(Instant::now());
        let partition_timeout = timeout / 4;
        log_failure(to, handoff.hand_off(&[*partition], to, partition_timeout).await);
    }
}

fn log_failure(to: &Member, outcome: Result<usize, HandoffError>) {
    if let Err(cause) = outcome {
        log::warn!(
            "event=handoff_failed to={} reason=\"{cause}\"",
            to.process.host_id
        );
    }
}
