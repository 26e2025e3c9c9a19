//! Tasks of a host that stores turns on its disk.

use std::{
    io,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use burdockroad::gateway::TurnCopy;
use burdockroad_daemon::platform::StoreError;
use tokio::{net::TcpListener, time::sleep};

use crate::{
    Dialect, LeaseId, SharedStore,
    clock::unix_ms,
    connections::{ConnectionTable, report_ended},
    message_server::serve_messages,
    registration::{Registration, RegistrationErrorLine, renew},
    turn_store::{
        members::{
            TURN_HOST_ENTRY_LIFETIME, TurnMember, TurnMembers, encode_member, follow_members, member_key,
        },
        messages::{TurnCall, TurnResponse},
        removal::copy_all_turns,
        state::{Membership, TurnHostState},
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

impl TurnHostState {
    /// Starts the tasks of the host.
    ///
    /// # Errors
    ///
    /// Fails when the socket for datagrams cannot be opened.
    pub(crate) async fn start(
        self: &Arc<Self>,
        listener: TcpListener,
        dialect: Arc<dyn Dialect>,
        store: &Arc<dyn SharedStore>,
    ) -> io::Result<()> {
        self.streams.start(self.address).await?;
        let state = Arc::clone(self);
        let memory = Arc::clone(&self.message_memory);
        let table = ConnectionTable::new("hosts", self.host_connections_max);
        tokio::spawn(report_ended(vec![Arc::clone(&table)], self.decisions.clone()));
        tokio::spawn(serve_messages(table, memory, listener, dialect, move |call| {
            let state = Arc::clone(&state);
            async move { state.respond(call).await }
        }));
        tokio::spawn(Arc::clone(self).keep_registered(Arc::clone(store)));
        tokio::spawn(Arc::clone(self).follow_others(Arc::clone(store)));
        tokio::spawn(Arc::clone(self).remove_departed_hosts(Arc::clone(store)));
        tokio::spawn(Arc::clone(self).remove_expired());
        tokio::spawn(synchronize(Arc::clone(self)));
        Ok(())
    }

    /// Refuses further turns, and returns when the other hosts have the turns of this host. The operator gives `time_limit`
    /// for that.
    pub(crate) async fn leave(self: &Arc<Self>, time_limit: Duration) {
        self.membership.send_replace(Membership::Leaving);
        copy_all_turns(self, time_limit).await;
        self.membership.send_replace(Membership::Left);
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
            TurnCall::ReadChain(key) => match self.log.read_chain(key).await {
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
            TurnCall::Missing(copies) => {
                let missing = copies.iter().filter(|copy| !self.log.outlasts(copy));
                TurnResponse::Missing(missing.map(TurnCopy::key).collect())
            }
            TurnCall::StreamVersion { stream } => TurnResponse::StreamVersion(self.streams.version(&stream)),
            TurnCall::GoneHosts => TurnResponse::GoneHosts(self.lock_gone().testimony()),
            TurnCall::Claim(claim) => self.store_claim(claim).await,
            TurnCall::HoldEvents(part) => TurnResponse::EventsHeld {
                events: self.streams.hold_events(part),
            },
            TurnCall::HeldEvents { stream } => TurnResponse::HeldEvents(self.streams.held_events(&stream)),
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
        self.find_earlier_entry(store).await?;
        let has_left = *self.membership.borrow() == Membership::Left;
        let lease = self.renew_entry(store, lease).await?;
        if has_left {
            store.end_lease(lease).await?;
            return Ok(None);
        }
        Ok(Some(lease))
    }

    /// Finds out before the first registration whether the host has run before. A host whose entry is there may have
    /// lost its disk since.
    async fn find_earlier_entry(&self, store: &dyn SharedStore) -> Result<(), StoreError> {
        if self.is_new.get().is_none() {
            let key = member_key(&self.host);
            let snapshot = store.read_range(&key).await?;
            let is_new = snapshot.entries.iter().all(|entry| entry.key != key);
            self.is_new.get_or_init(|| is_new);
        }
        Ok(())
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
}
