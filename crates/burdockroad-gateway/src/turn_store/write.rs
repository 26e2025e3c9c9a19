//! Writes one turn to the hosts that store it.

use std::{
    future::pending,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, RegionId,
    gateway::{Replication, ReplicationProgress},
};
use serde::Serialize;
use tokio::{
    task::{Id, JoinSet},
    time::{sleep, timeout},
};

use crate::{
    clock::as_ms,
    turn_store::{
        disk_hosts::{DiskHosts, StoreResult},
        links::{Destination, EncodedCall},
        members::TurnMembers,
    },
};

/// Time without a response after which a turn is also sent to another host. The end of the caller's stream waits
/// for the turn.
const HEDGE_DELAY: Duration = Duration::from_millis(80);

/// Interval before a turn that was not stored is sent to the same host again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Interval before a turn is sent again to a host that counts as lost.
const LOST_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of hosts in the log line of a turn that was not stored.
const LOGGED_HOSTS_MAX: usize = 24;

/// Write of one turn.
#[derive(Debug)]
pub(super) struct TurnWrite {
    replication: Replication,
    members: TurnMembers,
    /// Regions in which the turn must stay; `None` if any region is allowed.
    allowed_regions: Option<Vec<RegionId>>,
    /// The hosts that the turn was sent to.
    sent: Vec<HostCall>,
    /// Calls in flight. They are aborted with the write unless the turn is durable, because the caller may then repeat
    /// the call, and its turn must not be replaced by this one.
    replies: JoinSet<StoreReply>,
    started_at: Instant,
    /// Number of slow hosts in whose place the turn is still to be sent to another host.
    due_hedges: usize,
    /// Time at which the turn may be sent to another host while no host has stored it.
    next_hedge_at: Instant,
    /// Interval from that time to the next one.
    hedge_interval: Duration,
    /// Longest time by which a wait of [`HEDGE_DELAY`] ended late because this process did not run.
    longest_delay: Duration,
}

/// Why a write ended before the turn was durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum WriteEnd {
    /// The caller's time was over.
    CallerTimeOver,
    /// [`STORE_TIMEOUT`](super::disk_hosts::STORE_TIMEOUT) was over.
    StoreTimeout,
}

/// State of the calls that send the turn to one host.
#[derive(Debug)]
struct HostCall {
    host: HostId,
    /// Task of the current call.
    task: Id,
    sent_at: Instant,
    /// Number of calls to the host, including the current one.
    calls: u32,
    /// Result of the previous call.
    previous_result: Option<StoreResult>,
    /// Result of the current call; `None` while it is in flight.
    result: Option<StoreResult>,
    /// Time from which the host counts as slow.
    slow_from: Instant,
    /// Whether the turn was also sent, or is to be sent, to another host because this one is slow.
    hedged: bool,
    /// Whether the replication counts the host as lost. It may still respond.
    silent: bool,
}

/// End of a call that stores the turn at a host.
#[derive(Debug)]
struct StoreReply {
    host: HostId,
    result: StoreResult,
}

impl TurnWrite {
    pub(super) fn new(
        replication: Replication,
        members: TurnMembers,
        allowed_regions: Option<Vec<RegionId>>,
    ) -> Self {
        Self {
            replication,
            members,
            allowed_regions,
            sent: Vec::new(),
            replies: JoinSet::new(),
            started_at: Instant::now(),
            due_hedges: 0,
            next_hedge_at: Instant::now(),
            hedge_interval: HEDGE_DELAY,
            longest_delay: Duration::ZERO,
        }
    }

    /// Returns the number of hosts that could store the turn.
    pub(super) fn hosts(&self) -> usize {
        self.replication.hosts()
    }

    /// Goes on with other hosts. The turn was not sent to any host before.
    pub(super) fn replace_hosts(&mut self, replication: Replication, members: TurnMembers) {
        self.replication = replication;
        self.members = members;
    }

    /// Sends an encoded call to as many hosts as must store the turn, and tries them again until the turn is durable. Returns
    /// how it is.
    ///
    /// With `accepts_lost`, it is enough that the turn is durable if the disks of lost hosts are lost.
    pub(super) async fn run(
        &mut self,
        disk_hosts: &Arc<DiskHosts>,
        call: &Arc<EncodedCall>,
        accepts_lost: bool,
    ) -> ReplicationProgress {
        loop {
            self.record_slow_hosts(disk_hosts, call);
            while let Some(host) = self.replication.next_host() {
                self.send(disk_hosts, host, false, call);
            }
            while let Some(host) = self.replication.next_lost_host() {
                self.send(disk_hosts, host, true, call);
            }
            match self.replication.progress() {
                ReplicationProgress::Durable => return ReplicationProgress::Durable,
                ReplicationProgress::DurableIfDisksLost if accepts_lost => {
                    return ReplicationProgress::DurableIfDisksLost;
                }
                _ => {}
            }
            let waiting_since = Instant::now();
            let ended = timeout(HEDGE_DELAY, self.next_reply()).await;
            let delay = waiting_since.elapsed().saturating_sub(HEDGE_DELAY);
            self.longest_delay = self.longest_delay.max(delay);
            if let Ok(reply) = ended {
                self.record_reply(disk_hosts, reply);
            }
        }
    }

    /// Ends the write of a turn that is durable, and returns the number of replicas. Calls in flight go on.
    pub(super) fn finish(&mut self, call: &EncodedCall) -> usize {
        call.settle();
        self.replies.detach_all();
        self.replication.replicas()
    }

    /// Waits for the end of a call. A call whose task failed counts as one without a response.
    async fn next_reply(&mut self) -> StoreReply {
        loop {
            match self.replies.join_next().await {
                Some(Ok(reply)) => return reply,
                Some(Err(error)) => self.replace_task(error.id()),
                None => pending().await,
            }
        }
    }

    /// Ends the call of a task that failed after [`RETRY_INTERVAL`].
    fn replace_task(&mut self, failed: Id) {
        let Some(call) = self.sent.iter_mut().find(|call| call.task == failed) else {
            return;
        };
        let host = call.host.clone();
        let replacement = self.replies.spawn(async move {
            sleep(RETRY_INTERVAL).await;
            StoreReply {
                host,
                result: StoreResult::NoResponse,
            }
        });
        call.task = replacement.id();
    }

    /// Sends the turn to a host. The call goes on when the turn is durable without it, so that its response shows that
    /// the host is not lost, and its connection is kept.
    fn send(&mut self, disk_hosts: &Arc<DiskHosts>, host: HostId, is_lost: bool, call: &Arc<EncodedCall>) {
        let address = self.members.get(&host).map(|member| member.address);
        let position = self.sent.iter().position(|call| call.host == host);
        let previous = position.map(|position| self.sent.swap_remove(position));
        let task = self.spawn_call(disk_hosts, host.clone(), address, call);
        self.sent.push(HostCall {
            host,
            task,
            sent_at: Instant::now(),
            slow_from: Instant::now() + HEDGE_DELAY,
            calls: previous.as_ref().map_or(0, |call| call.calls) + 1,
            previous_result: previous.and_then(|call| call.result),
            result: None,
            hedged: false,
            silent: is_lost,
        });
    }

    /// Starts the task of a call to a host.
    fn spawn_call(
        &mut self,
        disk_hosts: &Arc<DiskHosts>,
        host: HostId,
        address: Option<SocketAddr>,
        call: &Arc<EncodedCall>,
    ) -> Id {
        let disk_hosts = Arc::clone(disk_hosts);
        let call = Arc::clone(call);
        let is_checked = self.is_checked();
        let allowed_regions = self.allowed_regions.clone();
        let task = self.replies.spawn(async move {
            let result = match address {
                Some(address) => {
                    let destination = Destination::new(&host, address, allowed_regions.as_deref());
                    if is_checked {
                        disk_hosts.store_after_check(destination, &call).await
                    } else {
                        disk_hosts.store(destination, &call).await
                    }
                }
                None => StoreResult::Unreachable,
            };
            match result {
                StoreResult::Stored => {}
                _ if disk_hosts.is_lost(&host) => sleep(LOST_RETRY_INTERVAL).await,
                _ => sleep(RETRY_INTERVAL).await,
            }
            StoreReply { host, result }
        });
        task.id()
    }

    /// Records the hosts that do not respond in time, and sends the turn to others.
    fn record_slow_hosts(&mut self, disk_hosts: &Arc<DiskHosts>, call: &Arc<EncodedCall>) {
        let calls = self.sent.iter_mut().filter(|call| call.result.is_none());
        for call in calls.filter(|call| call.sent_at.elapsed() >= HEDGE_DELAY) {
            disk_hosts.record_silence(&call.host, call.sent_at);
            if Instant::now() >= call.slow_from && !std::mem::replace(&mut call.hedged, true) {
                self.due_hedges += 1;
            }
            if !call.silent && disk_hosts.is_lost(&call.host) {
                call.silent = true;
                self.replication.record_silent();
            }
        }
        while self.take_due_hedge() {
            if let Some(host) = self.replication.next_extra_host() {
                self.send(disk_hosts, host, false, call);
            } else if let Some(host) = self.replication.next_extra_lost_host() {
                self.send(disk_hosts, host, true, call);
            }
        }
    }

    /// Takes one of the slow hosts in whose place the turn is to be sent to another one; returns whether there is one now.
    /// While no host has stored the turn, the own link may be slow in place of the hosts, and the interval grows.
    fn take_due_hedge(&mut self) -> bool {
        let now = Instant::now();
        let has_replica = self.replication.replicas() > 0;
        if self.due_hedges == 0 || (!has_replica && now < self.next_hedge_at) {
            return false;
        }
        if !has_replica {
            self.hedge_interval *= 2;
            self.next_hedge_at = now + self.hedge_interval;
        }
        self.due_hedges -= 1;
        true
    }

    /// Gives slow hosts the time to respond anew, because one of them was the first to respond: what was sent to the
    /// others over a full link arrives soon after.
    fn restart_hedges(&mut self) {
        self.due_hedges = 0;
        let slow_from = Instant::now() + HEDGE_DELAY;
        for call in self.sent.iter_mut().filter(|call| call.hedged) {
            call.hedged = false;
            call.slow_from = slow_from;
        }
    }

    /// Returns whether a host must respond to a check before the turn is sent to it. It must if other hosts are slow and none
    /// has stored the turn, since the own link may be full.
    fn is_checked(&self) -> bool {
        let is_slow = |call: &HostCall| call.hedged && call.result.is_none();
        self.replication.replicas() == 0 && self.sent.iter().any(is_slow)
    }

    fn record_reply(&mut self, disk_hosts: &DiskHosts, reply: StoreReply) {
        let StoreReply { host, result } = reply;
        let call = self.sent.iter_mut().find(|call| call.host == host);
        let Some(call) = call else {
            return;
        };
        call.result = Some(result);
        let was_slow = call.hedged;
        match (call.silent, result) {
            (true, StoreResult::Stored) => self.replication.record_late_stored(),
            (false, StoreResult::Stored) => self.replication.record_stored(),
            (is_silent, _) => {
                let is_lost = disk_hosts.is_lost(&host);
                if is_silent {
                    self.replication.record_late_failed(host, is_lost);
                } else {
                    self.replication.record_failed(host, is_lost);
                }
            }
        }
        if was_slow && result == StoreResult::Stored && self.replication.replicas() == 1 {
            self.restart_hedges();
        }
    }

    /// Returns the log line of a turn that was not stored. `caller_time_left` is the time that the caller had left when
    /// the write began.
    pub(super) fn line<'a>(
        &'a self,
        disk_hosts: &DiskHosts,
        id: &'a str,
        caller_time_left: Duration,
        end: WriteEnd,
    ) -> TurnNotStoredLine<'a> {
        let hosts = self.sent.iter().take(LOGGED_HOSTS_MAX);
        TurnNotStoredLine {
            id,
            ended_by: end,
            caller_left_ms: as_ms(caller_time_left),
            waited_ms: as_ms(self.started_at.elapsed()),
            replicas: self.replication.replicas(),
            own_delay_ms: as_ms(self.longest_delay),
            known_hosts: self.members.len(),
            hosts_sent_to: self.sent.len(),
            hosts: hosts.map(|call| call.line(disk_hosts)).collect(),
        }
    }
}

impl HostCall {
    fn line(&self, disk_hosts: &DiskHosts) -> HostCallLine<'_> {
        HostCallLine {
            host: &self.host,
            last_result: self.result.or(self.previous_result).map(StoreResult::name),
            calls: self.calls,
            sent_ms_ago: as_ms(self.sent_at.elapsed()),
            silent_ms: disk_hosts.failing_time(&self.host).map(as_ms),
            lost: disk_hosts.is_lost(&self.host),
        }
    }
}

/// Log line of a turn that was not stored.
#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct TurnNotStoredLine<'a> {
    id: &'a str,
    ended_by: WriteEnd,
    /// Time that the caller had left when the write began.
    caller_left_ms: u64,
    /// Duration of the write.
    waited_ms: u64,
    replicas: usize,
    /// Longest time by which a wait of [`HEDGE_DELAY`] ended late because this process did not run.
    own_delay_ms: u64,
    known_hosts: usize,
    hosts_sent_to: usize,
    hosts: Vec<HostCallLine<'a>>,
}

/// State of a host in the line of a turn that was not stored.
#[derive(Debug)]
#[derive(Serialize)]
struct HostCallLine<'a> {
    host: &'a str,
    /// Result of the last call that ended; `None` if none has.
    last_result: Option<&'static str>,
    calls: u32,
    /// Time since the last call was sent.
    sent_ms_ago: u64,
    /// Time since the first of the host's consecutive failures; absent if its last call succeeded.
    #[serde(skip_serializing_if = "Option::is_none")]
    silent_ms: Option<u64>,
    lost: bool,
}
