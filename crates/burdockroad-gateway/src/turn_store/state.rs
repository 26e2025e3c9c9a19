//! State of a host that stores turns, which its tasks share.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, atomic::AtomicBool},
};

use burdockroad::{
    HostId, Incarnation,
    gateway::{ConnectionLimits, GoneHosts, HostLocation, MachineLimits, MemoryBudget, RegionMap},
};
use burdockroad_daemon::http::CallerMemory;
use serde::Serialize;
use tokio::sync::{Notify, watch};

use crate::{
    DecisionLog, SharedStore,
    peer_client::PeerClient,
    turn_store::{
        log::TurnLog, members::TurnMembers, shared_copies::SharedCopies, stream_holder::StreamHolder,
    },
};

/// State of a host that stores turns.
#[derive(Debug)]
pub(crate) struct TurnHostState {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    pub(super) failure_domain: String,
    pub(super) address: SocketAddr,
    pub(super) tolerated_losses: usize,
    pub(super) regions: RegionMap,
    /// Largest number of connections that other hosts may have open to this one.
    pub(super) host_connections_max: usize,
    /// Memory for messages of other hosts.
    pub(super) message_memory: Arc<CallerMemory>,
    pub(super) log: TurnLog,
    pub(super) client: PeerClient,
    /// Copies of turns that too few other hosts have.
    pub(super) shared_copies: SharedCopies,
    pub(super) decisions: DecisionLog,
    /// Whether the other hosts' turns were copied since the start.
    pub(super) complete: AtomicBool,
    /// Whether the registered hosts are known.
    pub(super) registered: AtomicBool,
    /// Versions of streams that this host holds.
    pub(super) streams: Arc<StreamHolder>,
    pub(super) membership: watch::Sender<Membership>,
    /// Notified when the store no longer has the entry of this host.
    pub(super) entry_removed: Notify,
    pub(super) members: Mutex<TurnMembers>,
    /// Whether the host has never run before; unset until the store told.
    pub(super) is_new: OnceLock<bool>,
    /// Hosts without which this host misses no turn.
    pub(super) gone: Mutex<GoneHosts>,
}

/// Whether a host takes part in storing turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Membership {
    /// The host stores turns.
    Active,
    /// The host stores no further turns. Those that it has are being copied to other hosts.
    Leaving,
    /// The other hosts have all turns of the host.
    Left,
}

/// Options of a host that stores turns.
#[derive(Clone, Debug)]
pub(crate) struct TurnHostOptions {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) failure_domain: String,
    pub(crate) address: SocketAddr,
    pub(crate) tolerated_losses: usize,
    /// Regions of the failure domains.
    pub(crate) regions: RegionMap,
    /// Limits of the process.
    pub(crate) machine: MachineLimits,
}

impl TurnHostState {
    pub(crate) fn new(
        options: TurnHostOptions,
        log: TurnLog,
        store: Arc<dyn SharedStore>,
        decisions: DecisionLog,
    ) -> Self {
        Self {
            host: options.host,
            incarnation: options.incarnation,
            failure_domain: options.failure_domain,
            address: options.address,
            tolerated_losses: options.tolerated_losses,
            regions: options.regions,
            host_connections_max: ConnectionLimits::on(options.machine).hosts,
            message_memory: CallerMemory::new(MemoryBudget::for_messages(options.machine, true)),
            log,
            client: PeerClient::default(),
            shared_copies: SharedCopies::new(store),
            decisions,
            complete: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            streams: Arc::default(),
            membership: watch::Sender::new(Membership::Active),
            entry_removed: Notify::new(),
            members: Mutex::new(TurnMembers::new()),
            is_new: OnceLock::new(),
            gone: Mutex::default(),
        }
    }

    pub(super) fn is_leaving(&self) -> bool {
        *self.membership.borrow() != Membership::Active
    }

    pub(super) fn location(&self) -> HostLocation {
        HostLocation {
            host: self.host.clone(),
            failure_domain: self.failure_domain.clone(),
        }
    }

    /// Returns the registered hosts.
    pub(super) fn members(&self) -> TurnMembers {
        self.lock_members().clone()
    }

    /// Returns the hosts without which this host misses no turn.
    pub(super) fn gone_hosts(&self) -> Vec<HostId> {
        self.lock_gone().gone().to_vec()
    }

    pub(super) fn lock_gone(&self) -> MutexGuard<'_, GoneHosts> {
        self.gone.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn log_disk_error(&self, error: &io::Error) {
        metrics::counter!("burdockroad_turn_disk_errors_total").increment(1);
        let reason = error.to_string();
        self.decisions.line("disk_failed", &DiskErrorLine { reason });
    }

    pub(super) fn lock_members(&self) -> MutexGuard<'_, TurnMembers> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Serialize)]
struct DiskErrorLine {
    reason: String,
}
