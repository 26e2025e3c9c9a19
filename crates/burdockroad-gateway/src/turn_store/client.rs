//! Writes and reads turns at the hosts that store them.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, RegionId,
    gateway::{
        Lookup, LookupOutcome, LookupReply, RegionMap, Replication, Turn, TurnCache, TurnKey, TurnTimes,
        renewals, stream_holders,
    },
};
use tokio::time::{sleep, timeout};

use crate::{
    DecisionLog,
    clock::unix_ms,
    peer_client::PeerClient,
    turn_store::{
        disk_hosts::{DiskHosts, STORE_TIMEOUT},
        links::{Destination, EncodedCall, TurnHostLinks},
        members::{TurnMember, TurnMembers, readable, writable},
        messages::{TurnCall, TurnResponse},
        write::{TurnWrite, WriteEnd},
    },
};

/// Timeout of a call that reads turns. After it, another host is asked.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Interval at which failing hosts are looked for.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which a turn that too few hosts could store looks for registered hosts.
const MEMBERS_CHECK_INTERVAL: Duration = Duration::from_millis(40);

/// Longest chain that is read. The limit ends a cycle of turns whose callers used an id twice.
const HISTORY_MAX_TURNS: usize = 4096;

/// Memory for recent turns, in bytes.
const CACHE_BYTES: usize = 8 << 20;

/// Client of the hosts that store turns, with a cache of recent turns.
#[derive(Debug)]
pub(crate) struct TurnClient {
    /// Number of these hosts that may be lost at the same time without losing turns.
    tolerated_losses: usize,
    failure_domain: String,
    regions: Arc<RegionMap>,
    disk_hosts: Arc<DiskHosts>,
    log: DecisionLog,
    state: Mutex<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    members: TurnMembers,
    /// Hosts that are or were being removed on the operator's order.
    removed: BTreeSet<HostId>,
    cache: TurnCache,
    times: TurnTimes,
}

/// Hosts that could store the turn of a call when the call began.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostsAtBegin {
    writable: usize,
    /// Hosts that were being removed by then.
    removed: usize,
}

/// Chain of turns that a call continues.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    /// The turns, oldest first.
    pub(crate) turns: Vec<Arc<Turn>>,
    /// Number of turns that were read from other hosts.
    pub(crate) read_turns: usize,
}

/// Reason why a chain could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HistoryError {
    /// The turn does not exist.
    Nonexistent,
    /// The turn may exist, but not all hosts that may store it responded.
    Uncertain,
}

impl TurnClient {
    pub(crate) fn new(
        tolerated_losses: usize,
        failure_domain: String,
        regions: Arc<RegionMap>,
        peer_client: Arc<PeerClient>,
        log: DecisionLog,
    ) -> Self {
        let links = TurnHostLinks::new(
            failure_domain.clone(),
            Arc::clone(&regions),
            peer_client,
            log.clone(),
        );
        Self {
            tolerated_losses,
            failure_domain,
            regions,
            disk_hosts: Arc::new(DiskHosts::new(links)),
            log,
            state: Mutex::new(ClientState {
                members: TurnMembers::new(),
                removed: BTreeSet::new(),
                cache: TurnCache::new(CACHE_BYTES),
                times: TurnTimes::default(),
            }),
        }
    }

    /// Returns the number of hosts that store turns which may be lost at the same time.
    pub(crate) fn tolerated_losses(&self) -> usize {
        self.tolerated_losses
    }

    /// Returns the hosts that must store a claim; `None` while one of them fails or is being removed.
    pub(crate) fn claim_members(&self) -> Option<TurnMembers> {
        let members = self.lock().members.clone();
        let is_usable = {
            let health = self.disk_hosts.health();
            let usable = |(host, member): (&HostId, &TurnMember)| !member.leaving && !health.is_failing(host);
            members.iter().all(usable)
        };
        is_usable.then_some(members)
    }

    /// Changes the table of the hosts that store turns.
    pub(crate) fn update_members<T>(&self, change: impl FnOnce(&mut TurnMembers) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state.members);
        state.record_removed();
        result
    }

    /// Returns the addresses of the hosts that hold the version of a stream, out of those that store turns.
    pub(crate) fn stream_holders(&self, stream: &str) -> Vec<SocketAddr> {
        let state = self.lock();
        let hosts = writable(&state.members).into_iter().map(|location| location.host);
        let holders = stream_holders(stream, hosts);
        let members = holders.iter().filter_map(|host| state.members.get(host));
        members.map(|member| member.address).collect()
    }

    /// Returns the hosts that could store a turn now.
    pub(crate) fn hosts_at_begin(&self) -> HostsAtBegin {
        let state = self.lock();
        HostsAtBegin {
            writable: writable(&state.members).len(),
            removed: state.removed.len(),
        }
    }

    /// Returns the number of hosts that must be registered for a turn to be durable whose call began with these. The store
    /// may have lost the entries of hosts meanwhile, but those that the operator removes do not come back.
    fn replicas_min(&self, at_begin: HostsAtBegin) -> usize {
        let removed = self.lock().removed.len().saturating_sub(at_begin.removed);
        let left = at_begin.writable.saturating_sub(removed);
        left.clamp(1, self.tolerated_losses + 1)
    }

    /// Returns whether enough hosts in allowed regions are left for a turn to be durable. A turn that is bound to
    /// regions needs as many hosts there as any other turn.
    pub(crate) fn can_store(&self, allowed_regions: Option<&[RegionId]>) -> bool {
        let hosts = writable(&self.lock().members);
        let replicas = hosts.len().clamp(1, self.tolerated_losses + 1);
        let hosts = self.regions.allowed_hosts(hosts, allowed_regions);
        if hosts.len() < replicas {
            return false;
        }
        let health = self.disk_hosts.health();
        let lost = hosts.iter().filter(|host| health.is_lost(&host.host)).count();
        lost < hosts.len() && lost <= self.tolerated_losses
    }

    /// Records the time from the send of a call to an endpoint until its turn was stored.
    pub(crate) fn record_turn_time(&self, route: &str, time: Duration) {
        self.lock().times.record(route, time, Instant::now());
    }

    /// Returns whether a turn could be served and stored in a time, as far as recent turns tell.
    pub(crate) fn may_be_served_in(&self, route: &str, time: Duration) -> bool {
        self.lock().times.may_be_served_in(route, time, Instant::now())
    }

    /// Returns the links to the hosts that store turns.
    pub(crate) fn links(&self) -> &TurnHostLinks {
        self.disk_hosts.links()
    }

    /// Returns whether this host's own links reach enough hosts for a turn to be durable.
    pub(crate) fn reaches_hosts(&self) -> bool {
        let members = self.lock().members.clone();
        let cut = members.keys().filter(|host| self.links().is_cut(host)).count();
        cut < members.len() && cut <= self.tolerated_losses
    }

    /// Passes the call of another gateway host on. Returns `None` if the host that stores turns does not respond.
    pub(crate) async fn relay(&self, host: &str, call: &TurnCall) -> Option<TurnResponse> {
        let address = self.address_of(host)?;
        self.links().relay(address, call, STORE_TIMEOUT).await
    }

    /// Returns the chain that ends with a turn. Turns that this host does not have are read from hosts in allowed
    /// regions if possible.
    pub(crate) async fn history(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<History, HistoryError> {
        let mut newest_first: Vec<Arc<Turn>> = self.lock().cache.newest_of_chain(key);
        let mut read_turns = 0;
        let mut next = match newest_first.last() {
            Some(oldest) => oldest.previous_key(),
            None => Some(key.clone()),
        };
        while let Some(missing) = next {
            if newest_first.len() >= HISTORY_MAX_TURNS {
                return Err(HistoryError::Uncertain);
            }
            let read = self.read_chain(&missing, allowed_regions).await;
            let read = match read {
                // An ancestor of a turn that exists must exist, too.
                Err(_) if !newest_first.is_empty() => return Err(HistoryError::Uncertain),
                read => read?,
            };
            read_turns += read.len();
            newest_first.extend(read.into_iter().map(Arc::new));
            next = newest_first.last().and_then(|oldest| oldest.previous_key());
        }
        if newest_first
            .first()
            .is_none_or(|turn| turn.expires_unix_ms <= unix_ms())
        {
            return Err(HistoryError::Nonexistent);
        }
        newest_first.reverse();
        let mut state = self.lock();
        for turn in &newest_first {
            state.cache.insert(Arc::clone(turn));
        }
        Ok(History {
            turns: newest_first,
            read_turns,
        })
    }

    /// Stores a turn that continues `history` within the time that its caller has left. Waits until as many
    /// hosts are registered as `at_begin`. Returns the number of replicas, or `None` when the turn is not durable.
    pub(crate) async fn store(
        &self,
        turn: Turn,
        history: &[Arc<Turn>],
        storage_time: Duration,
        at_begin: HostsAtBegin,
        time_left: Duration,
    ) -> Option<usize> {
        let storage_time_ms = u64::try_from(storage_time.as_millis()).unwrap_or(u64::MAX);
        let mut turns = renewals(history, &turn, unix_ms(), storage_time_ms);
        turns.push(turn.clone());
        let call = Arc::new(EncodedCall::new(TurnCall::Store(turns)).ok()?);
        let (replication, members) = self.begin_replication(&turn);
        let mut write = TurnWrite::new(replication, members, turn.allowed_regions.clone());
        let running = timeout(time_left.min(STORE_TIMEOUT), async {
            while write.hosts() < self.replicas_min(at_begin) {
                // Hosts register again when the store has lost their entries.
                sleep(MEMBERS_CHECK_INTERVAL).await;
                let (replication, members) = self.begin_replication(&turn);
                write.replace_hosts(replication, members);
            }
            write.run(&self.disk_hosts, &call).await
        });
        let time_over = if time_left < STORE_TIMEOUT {
            WriteEnd::CallerTimeOver
        } else {
            WriteEnd::StoreTimeout
        };
        match running.await.map_err(|_elapsed| time_over) {
            Ok(replicas) => {
                self.lock().cache.insert(Arc::new(turn));
                Some(replicas)
            }
            Err(end) => {
                let line = write.line(&self.disk_hosts, &turn.key.turn, time_left, end);
                self.log.line("turn_not_stored", &line);
                None
            }
        }
    }

    /// Starts the replication of a turn to those hosts in allowed regions that store turns. Returns it with all hosts.
    fn begin_replication(&self, turn: &Turn) -> (Replication, TurnMembers) {
        let members = self.lock().members.clone();
        let hosts = writable(&members);
        let hosts = self.regions.allowed_hosts(hosts, turn.allowed_regions.as_deref());
        let health = self.disk_hosts.health();
        let replication = Replication::new(turn, &hosts, self.tolerated_losses, &health);
        (replication, members)
    }

    /// Reads the newest turns of a chain, newest turn first.
    ///
    /// Hosts in allowed regions are asked first. A turn may have been stored before its conversation was bound to
    /// regions, so it is nonexistent only if the other hosts do not have it either. Those receive only the
    /// turn's key.
    async fn read_chain(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
    ) -> Result<Vec<Turn>, HistoryError> {
        let is_allowed = |domain: &str| self.regions.allows(domain, allowed_regions);
        let read = self.read_chain_in(key, allowed_regions, is_allowed).await;
        let has_others = {
            let hosts = readable(&self.lock().members);
            hosts.iter().any(|host| !is_allowed(&host.failure_domain))
        };
        match read {
            Err(HistoryError::Nonexistent) if has_others => {
                self.read_chain_in(key, allowed_regions, |domain| !is_allowed(domain))
                    .await
            }
            read => read,
        }
    }

    /// Reads the newest turns of a chain from those hosts that may store them whose failure domain is `included`.
    async fn read_chain_in(
        &self,
        key: &TurnKey,
        allowed_regions: Option<&[RegionId]>,
        included: impl Fn(&str) -> bool,
    ) -> Result<Vec<Turn>, HistoryError> {
        let members = self.lock().members.clone();
        let mut hosts = readable(&members);
        hosts.retain(|host| included(&host.failure_domain));
        let mut lookup = Lookup::new(key, &self.failure_domain, &hosts, &self.disk_hosts.health());
        let call = TurnCall::ReadChain(key.clone());
        let call = EncodedCall::new(call).map_err(|_unencodable| HistoryError::Uncertain)?;
        let mut chain = Vec::new();
        while let Some(host) = lookup.next_host() {
            let Some(member) = members.get(&host) else {
                continue;
            };
            let destination = Destination::new(&host, member.address, allowed_regions);
            let response = self.disk_hosts.call(destination, &call, READ_TIMEOUT).await;
            let reply = match response {
                Ok(TurnResponse::Chain(turns)) if !turns.is_empty() => {
                    chain = turns;
                    LookupReply::Found
                }
                Ok(TurnResponse::Absent { complete: true }) => LookupReply::Absent,
                Ok(_) => LookupReply::Incomplete,
                Err(_) => LookupReply::NoReply,
            };
            lookup.record(reply);
        }
        match lookup.outcome() {
            LookupOutcome::Found => Ok(chain),
            LookupOutcome::Nonexistent => Err(HistoryError::Nonexistent),
            LookupOutcome::Uncertain => Err(HistoryError::Uncertain),
        }
    }

    /// Probes failing hosts, so that they are used again when they are back.
    pub(crate) async fn probe_failing_hosts(self: Arc<Self>) {
        loop {
            sleep(PROBE_CHECK_INTERVAL).await;
            let due = self.disk_hosts.health().take_due_probes(Instant::now());
            for host in due {
                let client = Arc::clone(&self);
                tokio::spawn(async move { client.probe(host).await });
            }
        }
    }

    /// Checks this host's own links that are cut, so that they are used again when they carry calls.
    pub(crate) async fn check_cut_links(self: Arc<Self>) {
        self.links().check_cut_links(|host| self.address_of(host)).await;
    }

    fn address_of(&self, host: &str) -> Option<SocketAddr> {
        self.lock().members.get(host).map(|member| member.address)
    }

    async fn probe(&self, host: HostId) {
        let Some(address) = self.address_of(&host) else {
            // A host that is not registered any more is not used.
            self.disk_hosts.record_response(&host);
            return;
        };
        let Ok(call) = EncodedCall::new(TurnCall::Missing(Vec::new())) else {
            return;
        };
        let destination = Destination::new(&host, address, None);
        // The call records whether the host responded.
        let _response = self.disk_hosts.call(destination, &call, READ_TIMEOUT).await;
    }

    /// Locks the state. The lock is never held across an `await`.
    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClientState {
    /// Records which hosts are being removed. A host that registers to store turns again is not.
    fn record_removed(&mut self) {
        for (host, member) in &self.members {
            if !member.leaving {
                self.removed.remove(host);
            } else if !self.removed.contains(host) {
                self.removed.insert(host.clone());
            }
        }
    }
}
