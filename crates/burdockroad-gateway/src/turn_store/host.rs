//! Host that stores turns on its disk.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use burdockroad::{
    HostId, Incarnation,
    gateway::{HostLocation, RegionMap},
};
use burdockroad_daemon::platform::StoreError;
use serde::Serialize;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    time::sleep,
};

use crate::{
    DecisionLog, LeaseId, SharedStore,
    clock::unix_ms,
    message_server::serve_messages,
    peer_client::PeerClient,
    registration::{Registration, RegistrationErrorLine, renew},
    turn_store::{
        log::TurnLog,
        members::{
            TURN_HOST_ENTRY_LIFETIME, TurnMember, TurnMembers, encode_member, follow_members, member_key,
        },
        messages::{TurnCall, TurnResponse},
        removal::copy_all_turns,
        stream_holder::StreamHolder,
        sync::{PAGE_MAX_TURNS, synchronize},
    },
};

/// Interval between two renewals of the host's entry.
const RENEW_INTERVAL: Duration = Duration::from_mins(2);

/// Longest time of one watch request for the other hosts.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval before a failed call to the store is repeated.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which expired turns are removed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(5);

/// State of a host that stores turns.
#[derive(Debug)]
pub(crate) struct TurnHostState {
    pub(super) host: HostId,
    pub(super) incarnation: Incarnation,
    failure_domain: String,
    address: SocketAddr,
    pub(super) tolerated_losses: usize,
    pub(super) regions: RegionMap,
    pub(super) log: TurnLog,
    pub(super) client: PeerClient,
    pub(super) decisions: DecisionLog,
    /// Whether the other hosts' turns were copied since the start.
    pub(super) complete: AtomicBool,
    /// Whether the registered hosts are known.
    pub(super) registered: AtomicBool,
    /// Versions of streams that this host holds.
    streams: Arc<StreamHolder>,
    membership: watch::Sender<Membership>,
    /// Notified when the store no longer has the entry of this host.
    entry_removed: Notify,
    members: Mutex<TurnMembers>,
}

/// Whether a host takes part in storing turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Membership {
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
}

impl TurnHostState {
    pub(crate) fn new(options: TurnHostOptions, log: TurnLog, decisions: DecisionLog) -> Self {
        Self {
            host: options.host,
            incarnation: options.incarnation,
            failure_domain: options.failure_domain,
            address: options.address,
            tolerated_losses: options.tolerated_losses,
            regions: options.regions,
            log,
            client: PeerClient::default(),
            decisions,
            complete: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            streams: Arc::default(),
            membership: watch::Sender::new(Membership::Active),
            entry_removed: Notify::new(),
            members: Mutex::new(TurnMembers::new()),
        }
    }

    /// Starts the tasks of the host.
    ///
    /// # Errors
    ///
    /// Fails when the socket for datagrams cannot be opened.
    pub(crate) async fn start(
        self: &Arc<Self>,
        listener: TcpListener,
        store: &Arc<dyn SharedStore>,
    ) -> io::Result<()> {
        self.streams.start(self.address).await?;
        let state = Arc::clone(self);
        tokio::spawn(serve_messages(listener, move |call| {
            let state = Arc::clone(&state);
            async move { state.respond(call).await }
        }));
        tokio::spawn(Arc::clone(self).keep_registered(Arc::clone(store)));
        tokio::spawn(Arc::clone(self).follow_others(Arc::clone(store)));
        tokio::spawn(Arc::clone(self).remove_expired());
        tokio::spawn(synchronize(Arc::clone(self)));
        Ok(())
    }

    /// Refuses further turns, and returns when the other hosts have the turns of this host.
    pub(crate) async fn leave(self: &Arc<Self>) {
        self.membership.send_replace(Membership::Leaving);
        copy_all_turns(self).await;
        self.membership.send_replace(Membership::Left);
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

    pub(super) fn log_disk_error(&self, error: &io::Error) {
        metrics::counter!("burdockroad_turn_disk_errors_total").increment(1);
        let reason = error.to_string();
        self.decisions.line("disk_failed", &DiskErrorLine { reason });
    }

    async fn respond(&self, call: TurnCall) -> TurnResponse {
        match call {
            TurnCall::Store(_) if self.is_leaving() => TurnResponse::NotStored,
            TurnCall::Store(turns) => match self.log.append(turns).await {
                Ok(()) => TurnResponse::Stored,
                Err(error) => {
                    self.log_disk_error(&error);
                    TurnResponse::NotStored
                }
            },
            TurnCall::ReadChain(key) => match self.log.read_chain(key, unix_ms()).await {
                Ok(turns) if !turns.is_empty() => TurnResponse::Chain(turns),
                Ok(_) => TurnResponse::Absent {
                    complete: self.complete.load(Ordering::Relaxed),
                },
                Err(error) => {
                    self.log_disk_error(&error);
                    TurnResponse::Absent { complete: false }
                }
            },
            TurnCall::Read(keys) => match self.log.read(keys).await {
                Ok(turns) => TurnResponse::Turns(turns),
                Err(error) => {
                    self.log_disk_error(&error);
                    TurnResponse::Turns(Vec::new())
                }
            },
            TurnCall::List { incarnation, from } => {
                let from = if incarnation == self.incarnation { from } else { 0 };
                TurnResponse::Page {
                    incarnation: self.incarnation,
                    page: self.log.page(from, PAGE_MAX_TURNS),
                }
            }
            TurnCall::Missing(keys) => {
                let missing = keys.into_iter().filter(|key| !self.log.contains(key));
                TurnResponse::Missing(missing.collect())
            }
            TurnCall::StreamVersion { stream } => TurnResponse::StreamVersion(self.streams.version(&stream)),
        }
    }

    /// Keeps the entry of this host in the store until the host has left.
    async fn keep_registered(self: Arc<Self>, store: Arc<dyn SharedStore>) {
        let mut membership = self.membership.subscribe();
        let mut lease = None;
        loop {
            match self.update_entry(&*store, lease).await {
                Ok(None) => return,
                Ok(renewed) => {
                    tokio::select! {
                        () = sleep(RENEW_INTERVAL) => lease = renewed,
                        // A new entry is written, which replaces the entry on the previous lease.
                        _changed = membership.changed() => lease = None,
                        () = self.entry_removed.notified() => lease = None,
                    }
                }
                Err(error) => {
                    let reason = error.to_string();
                    self.decisions
                        .line("registration_failed", &RegistrationErrorLine { reason });
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Writes or renews the entry of this host, and returns its lease. Removes the entry when the host has
    /// left.
    async fn update_entry(
        &self,
        store: &dyn SharedStore,
        lease: Option<LeaseId>,
    ) -> Result<Option<LeaseId>, StoreError> {
        let has_left = *self.membership.borrow() == Membership::Left;
        let lease = self.renew_entry(store, lease).await?;
        if has_left {
            store.end_lease(lease).await?;
            return Ok(None);
        }
        Ok(Some(lease))
    }

    async fn renew_entry(
        &self,
        store: &dyn SharedStore,
        lease: Option<LeaseId>,
    ) -> Result<LeaseId, StoreError> {
        let member = TurnMember {
            address: self.address,
            failure_domain: self.failure_domain.clone(),
            leaving: self.is_leaving(),
        };
        let registration = Registration {
            key: member_key(&self.host),
            value: encode_member(&member)?,
            lifetime: TURN_HOST_ENTRY_LIFETIME,
        };
        renew(store, lease, &registration).await
    }

    /// Follows the other hosts, and starts again after a failed call.
    async fn follow_others(self: Arc<Self>, store: Arc<dyn SharedStore>) {
        loop {
            let publish = |members: &TurnMembers| {
                self.lock_members().clone_from(members);
                let is_registered = members.contains_key(&self.host);
                let was_registered = self.registered.swap(is_registered, Ordering::Relaxed);
                if was_registered && !is_registered {
                    self.entry_removed.notify_one();
                }
            };
            if follow_members(&*store, WATCH_TIMEOUT, publish).await.is_err() {
                metrics::counter!("burdockroad_turn_hosts_unread_total").increment(1);
                sleep(RETRY_INTERVAL).await;
            }
        }
    }

    async fn remove_expired(self: Arc<Self>) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            if let Err(error) = self.log.remove_expired(unix_ms()).await {
                self.log_disk_error(&error);
            }
        }
    }

    fn lock_members(&self) -> MutexGuard<'_, TurnMembers> {
        self.members.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Serialize)]
struct DiskErrorLine {
    reason: String,
}
