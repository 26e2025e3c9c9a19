//! Writes and reads turns at the hosts that store them.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, RegionId,
    gateway::{
        Lookup, LookupOutcome, LookupReply, RegionMap, Replication, ReplicationProgress, Turn, TurnCache,
        TurnHostHealth, TurnKey, renewals, stream_holders,
    },
};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use tokio::time::{sleep, timeout};

use crate::{
    clock::unix_ms,
    peer_client::{PeerClient, encode_message},
    turn_store::{
        members::{TurnMember, TurnMembers, readable, writable},
        messages::{TurnCall, TurnResponse},
    },
};

/// Timeout of the replication of a turn. The caller's deadline may end it before. It is shorter than the time for which
/// a host that is back without its disk still counts as lost, so that the response of a host which has since lost the
/// turn never counts beside the loss of another.
const STORE_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout of a call that reads turns. After it, another host is asked.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Time without a response after which a turn is also sent to another host. The end of the caller's stream waits
/// for the turn.
const HEDGE_DELAY: Duration = Duration::from_millis(80);

/// Interval before a turn that was not stored is sent to the same host again.
const RETRY_INTERVAL: Duration = Duration::from_millis(40);

/// Interval at which failing hosts are looked for.
const PROBE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

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
    peer_client: Arc<PeerClient>,
    state: Mutex<ClientState>,
}

#[derive(Debug)]
struct ClientState {
    members: TurnMembers,
    health: TurnHostHealth,
    cache: TurnCache,
}

/// Call that stores a turn at a host and has no response yet.
#[derive(Debug)]
struct PendingStore {
    host: HostId,
    sent_at: Instant,
    /// Whether the turn was also sent to another host because this one is slow.
    hedged: bool,
    /// Whether the replication counts the host as lost. It may still respond.
    silent: bool,
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

impl PendingStore {
    fn new(host: HostId) -> Self {
        Self {
            host,
            sent_at: Instant::now(),
            hedged: false,
            silent: false,
        }
    }
}

impl TurnClient {
    pub(crate) fn new(
        tolerated_losses: usize,
        failure_domain: String,
        regions: Arc<RegionMap>,
        peer_client: Arc<PeerClient>,
    ) -> Self {
        Self {
            tolerated_losses,
            failure_domain,
            regions,
            peer_client,
            state: Mutex::new(ClientState {
                members: TurnMembers::new(),
                health: TurnHostHealth::default(),
                cache: TurnCache::new(CACHE_BYTES),
            }),
        }
    }

    /// Returns the number of hosts that store turns which may be lost at the same time.
    pub(crate) fn tolerated_losses(&self) -> usize {
        self.tolerated_losses
    }

    /// Returns the hosts that must store a claim; `None` while one of them fails or is being removed.
    pub(crate) fn claim_members(&self) -> Option<TurnMembers> {
        let state = self.lock();
        let is_usable =
            |(host, member): (&HostId, &TurnMember)| !member.leaving && !state.health.is_failing(host);
        state.members.iter().all(is_usable).then(|| state.members.clone())
    }

    /// Changes the table of the hosts that store turns.
    pub(crate) fn update_members<T>(&self, change: impl FnOnce(&mut TurnMembers) -> T) -> T {
        change(&mut self.lock().members)
    }

    /// Returns the addresses of the hosts that hold the version of a stream, out of those that store turns.
    pub(crate) fn stream_holders(&self, stream: &str) -> Vec<SocketAddr> {
        let state = self.lock();
        let hosts = writable(&state.members).into_iter().map(|location| location.host);
        let holders = stream_holders(stream, hosts);
        let members = holders.iter().filter_map(|host| state.members.get(host));
        members.map(|member| member.address).collect()
    }

    /// Returns whether enough hosts in allowed regions are left for a turn to be durable. A turn that is bound to
    /// regions needs as many hosts there as any other turn.
    pub(crate) fn can_store(&self, allowed_regions: Option<&[RegionId]>) -> bool {
        let state = self.lock();
        let hosts = writable(&state.members);
        let replicas = hosts.len().min(self.tolerated_losses + 1);
        let hosts = self.regions.allowed_hosts(hosts, allowed_regions);
        if hosts.len() < replicas {
            return false;
        }
        let lost = hosts
            .iter()
            .filter(|host| state.health.is_lost(&host.host))
            .count();
        lost < hosts.len() && lost <= self.tolerated_losses
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

    /// Stores a turn that continues `history`. Returns the number of replicas, or `None` when the turn is not
    /// durable.
    pub(crate) async fn store(
        &self,
        turn: Turn,
        history: &[Arc<Turn>],
        storage_time: Duration,
    ) -> Option<usize> {
        let storage_time_ms = u64::try_from(storage_time.as_millis()).unwrap_or(u64::MAX);
        let mut turns = renewals(history, &turn, unix_ms(), storage_time_ms);
        turns.push(turn.clone());
        let message = encode_message(&TurnCall::Store(turns)).ok()?;
        let replicating = self.replicate(turn, message);
        timeout(STORE_TIMEOUT, replicating).await.ok().flatten()
    }

    /// Sends an encoded call that stores a turn to as many hosts as must store it.
    async fn replicate(&self, turn: Turn, message: Bytes) -> Option<usize> {
        let (mut replication, members) = {
            let state = self.lock();
            let hosts = writable(&state.members);
            let hosts = self.regions.allowed_hosts(hosts, turn.allowed_regions.as_deref());
            let replication = Replication::new(&turn, &hosts, self.tolerated_losses, &state.health);
            (replication, state.members.clone())
        };
        let address_of = |host: &HostId| members.get(host).map(|member| member.address);
        let mut in_flight = FuturesUnordered::new();
        let mut pending: Vec<PendingStore> = Vec::new();
        loop {
            let extra = self.record_slow_hosts(&mut pending, &mut replication);
            let next = std::iter::from_fn(|| replication.next_host());
            for host in extra.into_iter().chain(next) {
                pending.push(PendingStore::new(host.clone()));
                in_flight.push(self.store_at(host.clone(), address_of(&host), message.clone()));
            }
            match replication.progress() {
                ReplicationProgress::Durable => {
                    self.lock().cache.insert(Arc::new(turn));
                    return Some(replication.replicas());
                }
                ReplicationProgress::Failed => return None,
                ReplicationProgress::Pending => {}
            }
            let Ok(ended) = timeout(HEDGE_DELAY, in_flight.next()).await else {
                continue;
            };
            let (host, stored) = ended?;
            let position = pending.iter().position(|store| store.host == host)?;
            let ended = pending.swap_remove(position);
            match (ended.silent, stored) {
                (true, stored) => replication.record_late(stored),
                (false, true) => replication.record_stored(),
                (false, false) => {
                    let is_lost = self.lock().health.is_lost(&host);
                    replication.record_failed(host, is_lost);
                }
            }
        }
    }

    /// Records the hosts that do not respond in time. Returns the hosts that the turn is also sent to.
    fn record_slow_hosts(&self, pending: &mut [PendingStore], replication: &mut Replication) -> Vec<HostId> {
        let mut extra = Vec::new();
        let slow = pending
            .iter_mut()
            .filter(|store| store.sent_at.elapsed() >= HEDGE_DELAY);
        for store in slow {
            self.record_health(&store.host, false);
            if !std::mem::replace(&mut store.hedged, true) {
                extra.extend(replication.next_extra_host());
            }
            if !store.silent && self.lock().health.is_lost(&store.host) {
                store.silent = true;
                replication.record_silent();
            }
        }
        extra
    }

    /// Stores an encoded call at one host. Returns whether it is on the host's disk.
    async fn store_at(&self, host: HostId, address: Option<SocketAddr>, message: Bytes) -> (HostId, bool) {
        let Some(address) = address else {
            return (host, false);
        };
        let response = self
            .peer_client
            .call_encoded(address, message, STORE_TIMEOUT)
            .await;
        let stored = matches!(response, Ok(TurnResponse::Stored));
        self.record_health(&host, stored);
        if !stored {
            sleep(RETRY_INTERVAL).await;
        }
        (host, stored)
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
        let read = self.read_chain_in(key, is_allowed).await;
        let has_others = {
            let hosts = readable(&self.lock().members);
            hosts.iter().any(|host| !is_allowed(&host.failure_domain))
        };
        match read {
            Err(HistoryError::Nonexistent) if has_others => {
                self.read_chain_in(key, |domain| !is_allowed(domain)).await
            }
            read => read,
        }
    }

    /// Reads the newest turns of a chain from those hosts that may store them whose failure domain is `included`.
    async fn read_chain_in(
        &self,
        key: &TurnKey,
        included: impl Fn(&str) -> bool,
    ) -> Result<Vec<Turn>, HistoryError> {
        let (mut lookup, members) = {
            let state = self.lock();
            let mut hosts = readable(&state.members);
            hosts.retain(|host| included(&host.failure_domain));
            let lookup = Lookup::new(key, &self.failure_domain, &hosts, &state.health);
            (lookup, state.members.clone())
        };
        let mut chain = Vec::new();
        while let Some(host) = lookup.next_host() {
            let Some(member) = members.get(&host) else {
                continue;
            };
            let call = TurnCall::ReadChain(key.clone());
            let response = self.peer_client.call(member.address, &call, READ_TIMEOUT).await;
            self.record_health(&host, response.is_ok());
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

    /// Records whether a host responded.
    fn record_health(&self, host: &HostId, responded: bool) {
        let mut state = self.lock();
        if responded {
            state.health.record_response(host);
        } else {
            state.health.record_failure(host, Instant::now());
        }
    }

    /// Probes failing hosts, so that they are used again when they are back.
    pub(crate) async fn probe_failing_hosts(self: Arc<Self>) {
        loop {
            sleep(PROBE_CHECK_INTERVAL).await;
            let due = self.lock().health.take_due_probes(Instant::now());
            for host in due {
                let client = Arc::clone(&self);
                tokio::spawn(async move { client.probe(host).await });
            }
        }
    }

    fn address_of(&self, host: &str) -> Option<SocketAddr> {
        self.lock().members.get(host).map(|member| member.address)
    }

    async fn probe(&self, host: HostId) {
        let Some(address) = self.address_of(&host) else {
            // A host that is not registered any more is not used.
            self.record_health(&host, true);
            return;
        };
        let call = TurnCall::Missing(Vec::new());
        let response = self
            .peer_client
            .call::<TurnResponse>(address, &call, READ_TIMEOUT)
            .await;
        self.record_health(&host, response.is_ok());
    }

    /// Locks the state. The lock is never held across an `await`.
    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
