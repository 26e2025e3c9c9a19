//! Background task that acts on membership changes: map refreshes, takeovers, handoffs and cleanup.

mod moves;
mod repeated_task;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use burdockroad::{
    HostId, PartitionId,
    membership::{DeadProcess, Member},
    ownership::{Candidate, Process, rebalance, rendezvous_order, takeover_rank},
};
use tokio::{
    sync::{Mutex, Notify, mpsc, oneshot},
    time::Instant,
};

use self::{
    moves::{HandoffGroup, move_groups},
    repeated_task::RepeatedTask,
};
use crate::{
    coordinator::{journal_handle::JournalHandle, orphaned_journals::OrphanedJournals, rejoin::rejoin},
    handoff::Handoff,
    membership::{MembershipHandle, MembershipSnapshot},
    ownership::OwnershipHandle,
    takeover::Takeover,
};

/// Time that a process waits for all listed hosts before it creates the first map without them.
const FIRST_MAP_WAIT: Duration = Duration::from_secs(2);

/// Interval between two reads of the map when no peer reports a newer one.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Minimum interval between two reads of the map.
const REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// Delay of each host's takeover after that of the host ranked before it.
const TAKEOVER_RANK_DELAY: Duration = Duration::from_millis(500);

/// Minimum time between the starts of two attempts at the same takeover.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which the set of live hosts must have been unchanged before partitions are moved.
const REBALANCE_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Minimum time between the starts of two rebalancing attempts.
const REBALANCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Maximum time that one rebalancing attempt waits for running calls.
const REBALANCE_DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Minimum time between the starts of two sweeps for orphaned journals.
const ORPHAN_SWEEP_INTERVAL: Duration = Duration::from_secs(30);

/// Rendezvous key that selects the host that sweeps orphaned journals.
const ORPHAN_SWEEP_KEY: &str = "leftovers";

/// Commands from the coordinator to the worker.
#[derive(Debug)]
pub(super) enum Command {
    /// Hands off all partitions and replies with the number that remain.
    Shutdown {
        /// Timeout of the whole shutdown.
        timeout: Duration,
        /// Receives the number of partitions that remain.
        reply: oneshot::Sender<usize>,
    },
}

/// Worker with its running takeovers, rebalancing, sweep and map refresh.
#[derive(Debug)]
pub(super) struct Worker {
    membership: MembershipHandle,
    ownership: OwnershipHandle,
    takeover: Takeover,
    handoff: Handoff,
    journal: Arc<JournalHandle>,
    fenced: Arc<Notify>,
    orphaned_journals: Arc<Mutex<OrphanedJournals>>,
    started_at: Instant,
    takeovers: BTreeMap<Process, RepeatedTask>,
    refresh: RepeatedTask,
    rebalance: RepeatedTask,
    sweep: RepeatedTask,
    live_members: Vec<Member>,
    live_changed_at: Instant,
}

impl Worker {
    pub(super) fn new(
        membership: MembershipHandle,
        takeover: Takeover,
        handoff: Handoff,
        journal: Arc<JournalHandle>,
        fenced: Arc<Notify>,
    ) -> Self {
        let now = Instant::now();
        Self {
            membership,
            ownership: takeover.ownership.clone(),
            takeover,
            handoff,
            journal,
            fenced,
            orphaned_journals: Arc::default(),
            started_at: now,
            takeovers: BTreeMap::new(),
            refresh: RepeatedTask::new(now),
            rebalance: RepeatedTask::new(now),
            sweep: RepeatedTask::new(now),
            live_members: Vec::new(),
            live_changed_at: now,
        }
    }

    /// Runs until a shutdown is requested.
    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut snapshots = self.membership.snapshot();
        let fenced = Arc::clone(&self.fenced);
        loop {
            tokio::select! {
                command = commands.recv() => {
                    if let Some(Command::Shutdown { timeout, reply }) = command {
                        let remaining = self.leave(timeout).await;
                        // The coordinator may have been dropped meanwhile.
                        let _ = reply.send(remaining);
                    }
                    return;
                }
                () = fenced.notified() => self.rejoin().await,
                changed = snapshots.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let snapshot = Arc::clone(&snapshots.borrow_and_update());
                    self.step(&snapshot).await;
                }
            }
        }
    }

    async fn step(&mut self, snapshot: &MembershipSnapshot) {
        if self.journal.is_fenced() {
            self.rejoin().await;
            return;
        }
        let now = Instant::now();
        self.observe_live_members(snapshot, now);
        self.refresh_map(snapshot, now);
        self.start_takeovers(snapshot, now);
        self.start_rebalance(snapshot, now);
        self.start_sweep(snapshot, now);
    }

    fn observe_live_members(&mut self, snapshot: &MembershipSnapshot, now: Instant) {
        if self.live_members != snapshot.live {
            self.live_members.clone_from(&snapshot.live);
            self.live_changed_at = now;
        }
    }

    fn refresh_map(&mut self, snapshot: &MembershipSnapshot, now: Instant) {
        let version = self.ownership.map().version;
        let newer = snapshot.ownership_version > version || version == 0;
        let interval = if newer {
            REFRESH_INTERVAL_MIN
        } else {
            REFRESH_INTERVAL
        };
        if !self.refresh.is_due(now, interval) {
            return;
        }
        let may_create = snapshot.all_listed_live || now - self.started_at >= FIRST_MAP_WAIT;
        let candidates = may_create.then(|| candidates(snapshot));
        let ownership = self.ownership.clone();
        self.refresh.start(now, refresh(ownership, candidates));
    }

    fn start_takeovers(&mut self, snapshot: &MembershipSnapshot, now: Instant) {
        let dead: BTreeSet<&Process> = snapshot.dead.iter().map(|dead| &dead.process).collect();
        self.takeovers
            .retain(|process, task| dead.contains(process) || task.is_running());
        for DeadProcess { process, .. } in &snapshot.dead {
            let delay = self.takeover_delay(process, snapshot);
            let task = self
                .takeovers
                .entry(process.clone())
                .or_insert_with(|| RepeatedTask::new(now));
            if now - task.first_due < delay || !task.is_due(now, TAKEOVER_RETRY_DELAY) {
                continue;
            }
            task.start(
                now,
                take_over(self.takeover.clone(), self.membership.clone(), process.clone()),
            );
        }
    }

    fn takeover_delay(&self, dead: &Process, snapshot: &MembershipSnapshot) -> Duration {
        let me = self.ownership.me().host_id;
        let hosts = remaining_hosts(snapshot);
        let rank = takeover_rank(dead, &me, hosts);
        TAKEOVER_RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    fn start_rebalance(&mut self, snapshot: &MembershipSnapshot, now: Instant) {
        let live_settled = now - self.live_changed_at >= REBALANCE_SETTLE_TIME;
        let takeover_running = self.takeovers.values().any(RepeatedTask::is_running);
        if !live_settled || takeover_running || !snapshot.dead.is_empty() {
            return;
        }
        if !self.rebalance.is_due(now, REBALANCE_RETRY_DELAY) {
            return;
        }
        let groups = self.planned_moves(snapshot);
        if !groups.is_empty() {
            let (handoff, membership) = (self.handoff.clone(), self.membership.clone());
            self.rebalance.start(
                now,
                move_groups(handoff, membership, groups, REBALANCE_DRAIN_TIMEOUT),
            );
        }
    }

    /// Returns the partitions that this process should hand off, grouped by their new owner.
    fn planned_moves(&self, snapshot: &MembershipSnapshot) -> Vec<HandoffGroup> {
        let me = self.ownership.me();
        let mut groups: BTreeMap<Process, Vec<PartitionId>> = BTreeMap::new();
        for step in rebalance(&self.ownership.map(), &candidates(snapshot)) {
            if step.from == me {
                groups.entry(step.to).or_default().push(step.partition);
            }
        }
        groups
            .into_iter()
            .filter_map(|(process, partitions)| {
                let to = snapshot.live.iter().find(|member| member.process == process)?;
                Some(HandoffGroup {
                    to: to.clone(),
                    partitions,
                })
            })
            .collect()
    }

    fn start_sweep(&mut self, snapshot: &MembershipSnapshot, now: Instant) {
        if !self.sweep.is_due(now, ORPHAN_SWEEP_INTERVAL) || self.ownership.map().version == 0 {
            return;
        }
        let me = self.ownership.me().host_id;
        let first = rendezvous_order(ORPHAN_SWEEP_KEY, remaining_hosts(snapshot)).first() == Some(&me);
        if !first {
            return;
        }
        let live: BTreeSet<Process> = snapshot
            .live
            .iter()
            .map(|member| member.process.clone())
            .collect();
        let (orphaned_journals, takeover) = (Arc::clone(&self.orphaned_journals), self.takeover.clone());
        self.sweep.start(now, async move {
            orphaned_journals.lock().await.sweep(&takeover, &live).await;
        });
    }

    /// Drops all state that this process owned, and resumes under a new incarnation.
    async fn rejoin(&mut self) {
        let former = self.ownership.me();
        log::warn!(
            "event=fenced host={} incarnation={:016x}",
            former.host_id,
            former.incarnation
        );
        metrics::counter!("burdockroad_fenced_total").increment(1);
        self.cancel_all().await;
        if let Ok(me) = rejoin(&self.handoff, &self.journal).await {
            self.membership.rejoin(me);
        }
    }

    async fn cancel_all(&mut self) {
        for task in self.takeovers.values_mut() {
            task.cancel().await;
        }
        self.takeovers.clear();
        self.rebalance.cancel().await;
        self.sweep.cancel().await;
    }

    /// Hands off all partitions within `timeout`. Returns the number of partitions that remain.
    async fn leave(&mut self, timeout: Duration) -> usize {
        let deadline = Instant::now() + timeout;
        // A running handoff is not cancelled, because it may have copied the trees already while the map
        // still names this process.
        if let Some(task) = self.rebalance.task.take() {
            let _ = tokio::time::timeout_at(deadline, task).await;
        }
        loop {
            let me = self.ownership.me();
            let remaining = self.ownership.map().partitions_of(&me).len();
            let snapshot = self.snapshot_as_leaving();
            let groups = self.planned_moves(&snapshot);
            let now = Instant::now();
            if remaining == 0 || groups.is_empty() || now >= deadline {
                return remaining;
            }
            let moves = move_groups(
                self.handoff.clone(),
                self.membership.clone(),
                groups,
                deadline - now,
            );
            let _ = tokio::time::timeout_at(deadline, moves).await;
            tokio::time::sleep(REFRESH_INTERVAL_MIN).await;
        }
    }

    fn snapshot_as_leaving(&self) -> MembershipSnapshot {
        let mut snapshot = MembershipSnapshot::clone(&self.membership.snapshot().borrow());
        let me = self.ownership.me();
        for member in &mut snapshot.live {
            member.leaving |= member.process == me;
        }
        snapshot
    }
}

fn candidates(snapshot: &MembershipSnapshot) -> Vec<Candidate> {
    snapshot
        .live
        .iter()
        .map(|member| Candidate {
            process: member.process.clone(),
            failure_domain: member.failure_domain.clone(),
            weight: u32::from(!member.leaving),
        })
        .collect()
}

/// Returns the live hosts that are not leaving, or all live hosts when all of them are leaving.
fn remaining_hosts(snapshot: &MembershipSnapshot) -> Vec<HostId> {
    let ids = |members: Vec<&Member>| {
        members
            .into_iter()
            .map(|member| member.process.host_id.clone())
            .collect()
    };
    let remaining: Vec<&Member> = snapshot.live.iter().filter(|member| !member.leaving).collect();
    if remaining.is_empty() {
        return ids(snapshot.live.iter().collect());
    }
    ids(remaining)
}

async fn refresh(ownership: OwnershipHandle, candidates: Option<Vec<Candidate>>) {
    if let Err(cause) = ownership.refresh().await {
        log::warn!("event=ownership_not_read reason=\"{cause}\"");
        return;
    }
    if ownership.map().version > 0 {
        return;
    }
    if let Some(candidates) = candidates
        && let Err(cause) = ownership.create(candidates).await
    {
        log::warn!("event=ownership_not_created reason=\"{cause}\"");
    }
}

async fn take_over(takeover: Takeover, membership: MembershipHandle, dead: Process) {
    match takeover.take_over(&dead).await {
        Ok(_) => membership.send_heartbeats(),
        Err(cause) => log::warn!(
            "event=takeover_failed from={} incarnation={:016x} reason=\"{cause}\"",
            dead.host_id,
            dead.incarnation
        ),
    }
}
