//! Reaching the store through another host when it turns this one away.
//!
//! A store may refuse some hosts and serve the others. A host that is refused makes its calls through one
//! that is served, and asks the store itself now and then until it is served again.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use burdockroad_daemon::platform::{CALL_TIMEOUT, Revision, StoreError};
use serde::{Deserialize, Serialize};
use tokio::time::sleep;

use crate::{
    Changes, ConditionalWrite, DecisionLog, LeaseId, RangeSnapshot, SharedStore, Written,
    peer::{PeerCall, PeerClient, PeerError, PeerReply},
};

/// Time beyond the store's own within which another host has to answer.
const RELAY_MARGIN: Duration = Duration::from_millis(300);

/// Time for which another host's word that it is served holds.
const SERVED_AGE_MAX: Duration = Duration::from_millis(600);

/// Time between two questions to a store that turned this host away.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Prefix that holds nothing; reading it shows whether the store answers.
const PROBE_PREFIX: &str = "burdockroad/none/";

/// A call to the store.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum StoreCall {
    ReadRange {
        prefix: String,
    },
    Changes {
        prefix: String,
        after: Revision,
        wait: Duration,
    },
    WriteAll {
        writes: Vec<ConditionalWrite>,
    },
    OpenLease {
        lifetime: Duration,
    },
    KeepLease {
        lease: LeaseId,
    },
    EndLease {
        lease: LeaseId,
    },
}

/// What the store answered.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub(crate) enum StoreReply {
    Range(RangeSnapshot),
    Changes(Changes),
    Written(Written),
    Lease(LeaseId),
    Kept(bool),
    Ended,
    /// The call had no effect.
    Unavailable(String),
    /// The call may take effect.
    Ambiguous(String),
}

/// The store, directly or through another host.
#[derive(Debug)]
pub(crate) struct RelayedStore {
    direct: Arc<dyn SharedStore>,
    client: Arc<PeerClient>,
    log: DecisionLog,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Since when the store turns this host away; none while it does not.
    refused_at: Option<Instant>,
    /// Hosts that said lately that they are served.
    served: HashMap<SocketAddr, Instant>,
}

impl RelayedStore {
    pub(crate) fn new(direct: Arc<dyn SharedStore>, client: Arc<PeerClient>, log: DecisionLog) -> Self {
        Self {
            direct,
            client,
            log,
            state: Mutex::default(),
        }
    }

    /// The store without detours.
    pub(crate) fn direct(&self) -> &dyn SharedStore {
        &*self.direct
    }

    /// Whether the store serves this host itself.
    pub(crate) fn is_served(&self) -> bool {
        self.state().refused_at.is_none()
    }

    /// Takes another host's word on whether the store serves it.
    pub(crate) fn record_peer(&self, address: SocketAddr, served: bool, now: Instant) {
        let mut state = self.state();
        if served {
            state.served.insert(address, now);
        } else {
            state.served.remove(&address);
        }
    }

    /// Asks the store now and then while it turns this host away.
    pub(crate) async fn probe(self: Arc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if self.is_served() {
                continue;
            }
            if self.direct.read_range(PROBE_PREFIX).await.is_ok() {
                self.note_direct(None);
            }
        }
    }

    async fn call(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        if self.is_served() {
            let reply = answer_store_call(&*self.direct, call.clone()).await;
            match reply {
                StoreReply::Unavailable(reason) => self.note_direct(Some(reason)),
                StoreReply::Ambiguous(reason) => {
                    self.note_direct(Some(reason.clone()));
                    if call.changes_something() {
                        return Err(StoreError::Ambiguous { reason });
                    }
                }
                answered => return Ok(answered),
            }
        }
        self.call_through_peer(call).await
    }

    async fn call_through_peer(&self, call: StoreCall) -> Result<StoreReply, StoreError> {
        let Some(peer) = self.pick_peer() else {
            return Err(unavailable("the store answers no host"));
        };
        metrics::counter!("burdockroad_store_calls_relayed_total").increment(1);
        let patience = call.patience() + RELAY_MARGIN;
        let changes_something = call.changes_something();
        let replied = self.client.call(peer, &PeerCall::Store(call), patience).await;
        match replied {
            Ok(PeerReply::Store(StoreReply::Unavailable(reason))) => Err(unavailable(&reason)),
            Ok(PeerReply::Store(StoreReply::Ambiguous(reason))) => Err(StoreError::Ambiguous { reason }),
            Ok(PeerReply::Store(reply)) => Ok(reply),
            Ok(PeerReply::RangeNews(_) | PeerReply::Hold(_) | PeerReply::Released) => Err(mismatched()),
            Err(error) => {
                self.state().served.remove(&peer);
                let reason = format!("host {peer} did not answer");
                if error == PeerError::NoAnswer && changes_something {
                    return Err(StoreError::Ambiguous { reason });
                }
                Err(unavailable(&reason))
            }
        }
    }

    fn pick_peer(&self) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut state = self.state();
        state.served.retain(|_, at| now < *at + SERVED_AGE_MAX);
        let count = state.served.len();
        let index = rand::random::<u64>().checked_rem(count as u64)?;
        let index = usize::try_from(index).ok()?;
        state.served.keys().nth(index).copied()
    }

    fn note_direct(&self, refused_because: Option<String>) {
        let mut state = self.state();
        let refused_before = state.refused_at.is_some();
        state.refused_at = refused_because.as_ref().map(|_| Instant::now());
        drop(state);
        match refused_because {
            Some(reason) if !refused_before => self.log.line("store_refuses", &ReasonLine { reason }),
            None if refused_before => self.log.line(
                "store_serves",
                &ReasonLine {
                    reason: String::new(),
                },
            ),
            _ => {}
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl SharedStore for RelayedStore {
    async fn read_range(&self, prefix: &str) -> Result<RangeSnapshot, StoreError> {
        let prefix = prefix.to_owned();
        match self.call(StoreCall::ReadRange { prefix }).await? {
            StoreReply::Range(snapshot) => Ok(snapshot),
            _ => Err(mismatched()),
        }
    }

    async fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, StoreError> {
        let prefix = prefix.to_owned();
        match self.call(StoreCall::Changes { prefix, after, wait }).await? {
            StoreReply::Changes(changes) => Ok(changes),
            _ => Err(mismatched()),
        }
    }

    async fn write_all(&self, writes: &[ConditionalWrite]) -> Result<Written, StoreError> {
        let writes = writes.to_vec();
        match self.call(StoreCall::WriteAll { writes }).await? {
            StoreReply::Written(written) => Ok(written),
            _ => Err(mismatched()),
        }
    }

    async fn open_lease(&self, lifetime: Duration) -> Result<LeaseId, StoreError> {
        match self.call(StoreCall::OpenLease { lifetime }).await? {
            StoreReply::Lease(lease) => Ok(lease),
            _ => Err(mismatched()),
        }
    }

    async fn keep_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        match self.call(StoreCall::KeepLease { lease }).await? {
            StoreReply::Kept(kept) => Ok(kept),
            _ => Err(mismatched()),
        }
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        match self.call(StoreCall::EndLease { lease }).await? {
            StoreReply::Ended => Ok(()),
            _ => Err(mismatched()),
        }
    }
}

impl StoreCall {
    /// Whether making the call twice differs from making it once.
    fn changes_something(&self) -> bool {
        matches!(self, Self::WriteAll { .. })
    }

    fn patience(&self) -> Duration {
        match self {
            Self::Changes { wait, .. } => *wait + CALL_TIMEOUT,
            _ => CALL_TIMEOUT,
        }
    }
}

/// Makes a call for another host.
pub(crate) async fn answer_store_call(store: &dyn SharedStore, call: StoreCall) -> StoreReply {
    let reply = match call {
        StoreCall::ReadRange { prefix } => store.read_range(&prefix).await.map(StoreReply::Range),
        StoreCall::Changes { prefix, after, wait } => {
            store.changes(&prefix, after, wait).await.map(StoreReply::Changes)
        }
        StoreCall::WriteAll { writes } => store.write_all(&writes).await.map(StoreReply::Written),
        StoreCall::OpenLease { lifetime } => store.open_lease(lifetime).await.map(StoreReply::Lease),
        StoreCall::KeepLease { lease } => store.keep_lease(lease).await.map(StoreReply::Kept),
        StoreCall::EndLease { lease } => store.end_lease(lease).await.map(|()| StoreReply::Ended),
    };
    reply.unwrap_or_else(|error| match error {
        StoreError::Unavailable { reason, .. } => StoreReply::Unavailable(reason),
        StoreError::Ambiguous { reason } => StoreReply::Ambiguous(reason),
    })
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
        retry_after: PROBE_INTERVAL,
    }
}

fn mismatched() -> StoreError {
    StoreError::Ambiguous {
        reason: "another host answered a different call".to_owned(),
    }
}

#[derive(Serialize)]
struct ReasonLine {
    reason: String,
}
