//! Writes and reads turns at the hosts that store them.

pub(crate) mod event_copies;
pub(crate) mod history;
mod probes;
pub(crate) mod replication;
mod state;
pub(crate) mod stream_lookup;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use burdockroad::{
    HostId,
    gateway::{RegionMap, stream_holders},
};

use self::state::ClientState;
use crate::{
    DecisionLog, SharedStore,
    peer_client::PeerClient,
    turn_store::{
        disk_hosts::{DiskHosts, STORE_TIMEOUT},
        links::TurnHostLinks,
        members::{TurnMember, TurnMembers, writable},
        messages::{TurnCall, TurnResponse},
        shared_copies::SharedCopies,
    },
};

/// Timeout of a call that reads turns. After it, another host is asked.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Client of the hosts that store turns, with a cache of recent turns.
#[derive(Debug)]
pub(crate) struct TurnClient {
    /// Number of these hosts that may be lost at the same time without losing turns.
    tolerated_losses: usize,
    failure_domain: String,
    regions: Arc<RegionMap>,
    disk_hosts: Arc<DiskHosts>,
    shared_copies: SharedCopies,
    log: DecisionLog,
    state: Mutex<ClientState>,
}

impl TurnClient {
    pub(crate) fn new(
        tolerated_losses: usize,
        failure_domain: String,
        regions: Arc<RegionMap>,
        peer_client: Arc<PeerClient>,
        store: Arc<dyn SharedStore>,
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
            shared_copies: SharedCopies::new(store),
            log,
            state: Mutex::new(ClientState::new()),
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

    fn address_of(&self, host: &str) -> Option<SocketAddr> {
        self.lock().members.get(host).map(|member| member.address)
    }

    /// Locks the state. The lock is never held across an `await`.
    fn lock(&self) -> MutexGuard<'_, ClientState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
