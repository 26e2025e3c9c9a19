//! The task that acts on what the membership says.

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
    task::JoinHandle,
    time::Instant,
};

use crate::{
    coordinator::{journal_handle::JournalHandle, leftovers::OrphanedJournals, rejoin::rejoin},
    handoff::{Handoff, HandoffError},
    membership::{MembershipHandle, Standing},
    ownership::OwnershipHandle,
    takeover::Takeover,
};

/// Time that a process waits for listed hosts before it makes the first map without them.
const FIRST_MAP_WAIT: Duration = Duration::from_secs(2);

/// Time between two readings of the map when no peer tells of a newer one.
const REFRESH_INTERVAL: Duration = Duration::from_secs(5);

/// Shortest time between two readings of the map.
const REFRESH_INTERVAL_MIN: Duration = Duration::from_millis(200);

/// Time by which each host starts a takeover after the one that ranks before it.
const TAKEOVER_RANK_DELAY: Duration = Duration::from_millis(500);

/// Time between two tries of a takeover that failed.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Time for which the set of hosts must not have changed before partitions are moved.
const REBALANCE_SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time between two tries to move partitions after one that failed.
const REBALANCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time that a move to a new host waits for running calls.
const REBALANCE_PATIENCE: Duration = Duration::from_secs(2);

/// Largest number of partitions that move together.
const HANDOFF_PARTITIONS_MAX: usize = 32;

/// Time between two searches for journals that nothing needs any more.
const LEFTOVERS_INTERVAL: Duration = Duration::from_secs(30);

/// Name by which the host is chosen that searches for those journals.
const LEFTOVERS_NAME: &str = "leftovers";

/// What the coordinator asks of the worker.
#[derive(Debug)]
pub(super) enum Command {
    /// Moves everything away and tells how many partitions were left.
    Shutdown {
        /// Time for all of it.
        patience: Duration,
        /// Number of partitions that were left.
        reply: oneshot::Sender<usize>,
    },
}

/// Table of what is under way.
#[derive(Debug)]
pub(super) struct Worker {
    membership: MembershipHandle,
    ownership: OwnershipHandle,
    takeover: Takeover,
    handoff: Handoff,
    journal: Arc<JournalHandle>,
    fenced: Arc<Notify>,
    leftovers: Arc<Mutex<OrphanedJournals>>,
    started_at: Instant,
    takeovers: BTreeMap<Process, Attempt>,
    refresh: Attempt,
    moves: Attempt,
    sweep: Attempt,
    hosts: Vec<Member>,
    hosts_since: Instant,
}

/// A task that is tried again and again.
#[derive(Debug)]
struct Attempt {
    first_due: Instant,
    last_start: Option<Instant>,
    task: Option<JoinHandle<()>>,
}

impl Attempt {
    fn new(now: Instant) -> Self {
        Self {
            first_due: now,
            last_start: None,
            task: None,
        }
    }

    fn is_running(&self) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }

    /// Whether it is not under way and was last started at least `interval` ago.
    fn is_due(&self, now: Instant, interval: Duration) -> bool {
        !self.is_running() && self.last_start.is_none_or(|start| now - start >= interval)
    }

    fn start(&mut self, now: Instant, work: impl Future<Output = ()> + Send + 'static) {
        self.last_start = Some(now);
        self.task = Some(tokio::spawn(work));
    }

    async fn cancel(&mut self) {
        if let Some(task) = self.task.take() {
            task.abort();
            // It ends with the news that it was aborted.
            let _ = task.await;
        }
    }
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
            leftovers: Arc::default(),
            started_at: now,
            takeovers: BTreeMap::new(),
            refresh: Attempt::new(now),
            moves: Attempt::new(now),
            sweep: Attempt::new(now),
            hosts: Vec::new(),
            hosts_since: now,
        }
    }

    /// Works until a shutdown is asked for.
    pub(super) async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        let mut standing = self.membership.standing();
        let fenced = Arc::clone(&self.fenced);
        loop {
            tokio::select! {
                command = commands.recv() => {
                    if let Some(Command::Shutdown { patience, reply }) = command {
                        let left = self.leave(patience).await;
                        // The coordinator may have been dropped meanwhile.
                        let _ = reply.send(left);
                    }
                    return;
                }
                () = fenced.notified() => self.rejoin().await,
                changed = standing.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    let seen = Arc::clone(&standing.borrow_and_update());
                    self.step(&seen).await;
                }
            }
        }
    }

    async fn step(&mut self, standing: &Standing) {
        if self.journal.is_fenced() {
            self.rejoin().await;
            return;
        }
        let now = Instant::now();
        self.note_hosts(standing, now);
        self.refresh_map(standing, now);
        self.start_takeovers(standing, now);
        self.start_move(standing, now);
        self.start_sweep(standing, now);
    }

    fn note_hosts(&mut self, standing: &Standing, now: Instant) {
        if self.hosts != standing.alive {
            self.hosts.clone_from(&standing.alive);
            self.hosts_since = now;
        }
    }

    fn refresh_map(&mut self, standing: &Standing, now: Instant) {
        let version = self.ownership.map().version;
        let newer = standing.ownership_version > version || version == 0;
        let interval = if newer {
            REFRESH_INTERVAL_MIN
        } else {
            REFRESH_INTERVAL
        };
        if !self.refresh.is_due(now, interval) {
            return;
        }
        let may_create = standing.complete || now - self.started_at >= FIRST_MAP_WAIT;
        let candidates = may_create.then(|| candidates(standing));
        let ownership = self.ownership.clone();
        self.refresh.start(now, refresh(ownership, candidates));
    }

    fn start_takeovers(&mut self, standing: &Standing, now: Instant) {
        let dead: BTreeSet<&Process> = standing.dead.iter().map(|dead| &dead.process).collect();
        self.takeovers
            .retain(|process, attempt| dead.contains(process) || attempt.is_running());
        for DeadProcess { process, .. } in &standing.dead {
            let delay = self.takeover_delay(process, standing);
            let attempt = self
                .takeovers
                .entry(process.clone())
                .or_insert_with(|| Attempt::new(now));
            if now - attempt.first_due < delay || !attempt.is_due(now, TAKEOVER_RETRY_DELAY) {
                continue;
            }
            attempt.start(
                now,
                take_over(self.takeover.clone(), self.membership.clone(), process.clone()),
            );
        }
    }

    fn takeover_delay(&self, dead: &Process, standing: &Standing) -> Duration {
        let me = self.ownership.me().host_id;
        let live = staying_hosts(standing);
        let rank = takeover_rank(dead, &me, live);
        TAKEOVER_RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX)
    }

    fn start_move(&mut self, standing: &Standing, now: Instant) {
        let settled = now - self.hosts_since >= REBALANCE_SETTLE_TIME;
        let taking_over = self.takeovers.values().any(Attempt::is_running);
        if !settled || taking_over || !standing.dead.is_empty() {
            return;
        }
        if !self.moves.is_due(now, REBALANCE_RETRY_DELAY) {
            return;
        }
        let groups = self.planned_moves(standing);
        if !groups.is_empty() {
            let (handoff, membership) = (self.handoff.clone(), self.membership.clone());
            self.moves
                .start(now, move_groups(handoff, membership, groups, REBALANCE_PATIENCE));
        }
    }

    /// What this process should hand off, by the new owner.
    fn planned_moves(&self, standing: &Standing) -> Vec<Group> {
        let me = self.ownership.me();
        let mut groups: BTreeMap<Process, Vec<PartitionId>> = BTreeMap::new();
        for step in rebalance(&self.ownership.map(), &candidates(standing)) {
            if step.from == me {
                groups.entry(step.to).or_default().push(step.partition);
            }
        }
        groups
            .into_iter()
            .filter_map(|(process, partitions)| {
                let to = standing.alive.iter().find(|member| member.process == process)?;
                Some(Group {
                    to: to.clone(),
                    partitions,
                })
            })
            .collect()
    }

    fn start_sweep(&mut self, standing: &Standing, now: Instant) {
        if !self.sweep.is_due(now, LEFTOVERS_INTERVAL) || self.ownership.map().version == 0 {
            return;
        }
        let me = self.ownership.me().host_id;
        let first = rendezvous_order(LEFTOVERS_NAME, staying_hosts(standing)).first() == Some(&me);
        if !first {
            return;
        }
        let alive: BTreeSet<Process> = standing
            .alive
            .iter()
            .map(|member| member.process.clone())
            .collect();
        let (leftovers, takeover) = (Arc::clone(&self.leftovers), self.takeover.clone());
        self.sweep.start(now, async move {
            leftovers.lock().await.sweep(&takeover, &alive).await;
        });
    }

    /// Forgets everything and goes on as a new process.
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
        for attempt in self.takeovers.values_mut() {
            attempt.cancel().await;
        }
        self.takeovers.clear();
        self.moves.cancel().await;
        self.sweep.cancel().await;
    }

    /// Moves everything away within `patience`; returns the number of partitions that are left.
    async fn leave(&mut self, patience: Duration) -> usize {
        let deadline = Instant::now() + patience;
        // A move under way is not cancelled: it may be between the copies and the map.
        if let Some(task) = self.moves.task.take() {
            let _ = tokio::time::timeout_at(deadline, task).await;
        }
        loop {
            let me = self.ownership.me();
            let left = self.ownership.map().partitions_of(&me).len();
            let standing = self.standing_without_me();
            let groups = self.planned_moves(&standing);
            let now = Instant::now();
            if left == 0 || groups.is_empty() || now >= deadline {
                return left;
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

    fn standing_without_me(&self) -> Standing {
        let mut standing = Standing::clone(&self.membership.standing().borrow());
        let me = self.ownership.me();
        for member in &mut standing.alive {
            member.leaving |= member.process == me;
        }
        standing
    }
}

/// Partitions that go to one process.
#[derive(Debug)]
struct Group {
    to: Member,
    partitions: Vec<PartitionId>,
}

fn candidates(standing: &Standing) -> Vec<Candidate> {
    standing
        .alive
        .iter()
        .map(|member| Candidate {
            process: member.process.clone(),
            failure_domain: member.failure_domain.clone(),
            weight: u32::from(!member.leaving),
        })
        .collect()
}

/// Hosts that are up and stay; all that are up when none stays.
fn staying_hosts(standing: &Standing) -> Vec<HostId> {
    let ids = |members: Vec<&Member>| {
        members
            .into_iter()
            .map(|member| member.process.host_id.clone())
            .collect()
    };
    let staying: Vec<&Member> = standing.alive.iter().filter(|member| !member.leaving).collect();
    if staying.is_empty() {
        return ids(standing.alive.iter().collect());
    }
    ids(staying)
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
        Ok(_) => membership.beat(),
        Err(cause) => log::warn!(
            "event=takeover_failed from={} incarnation={:016x} reason=\"{cause}\"",
            dead.host_id,
            dead.incarnation
        ),
    }
}

async fn move_groups(handoff: Handoff, membership: MembershipHandle, groups: Vec<Group>, patience: Duration) {
    let deadline = Instant::now() + patience;
    for group in groups {
        for partitions in group.partitions.chunks(HANDOFF_PARTITIONS_MAX) {
            let patience = deadline.saturating_duration_since(Instant::now());
            move_chunk(&handoff, partitions, &group.to, patience).await;
            membership.beat();
        }
    }
}

/// Moves partitions together, or one by one when calls of some of them run.
async fn move_chunk(handoff: &Handoff, partitions: &[PartitionId], to: &Member, patience: Duration) {
    // Half of the time is left for moving those that are free.
    match handoff.hand_off(partitions, to, patience / 2).await {
        Err(HandoffError::Busy) if partitions.len() > 1 => {}
        outcome => {
            report(to, outcome);
            return;
        }
    }
    let deadline = Instant::now() + patience / 2;
    for partition in partitions {
        let patience = deadline.saturating_duration_since(Instant::now());
        let share = patience / 4;
        report(to, handoff.hand_off(&[*partition], to, share).await);
    }
}

fn report(to: &Member, outcome: Result<usize, HandoffError>) {
    if let Err(cause) = outcome {
        log::warn!(
            "event=handoff_failed to={} reason=\"{cause}\"",
            to.process.host_id
        );
    }
}
