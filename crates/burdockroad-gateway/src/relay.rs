//! Reaches the store through another host when the store does not serve this host.
//!
//! The store may refuse some hosts and serve the others. A refused host relays its calls through a host that
//! is served, and probes the store every [`PROBE_INTERVAL`] until it is served again.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use burdockroad_daemon::platform::{Revision, StoreError};
use serde::Serialize;
use tokio::time::sleep;

use crate::{
    Changes, ConditionalWrite, DecisionLog, LeaseId, RangeSnapshot, SharedStore, WriteOutcome,
    peer_client::{PeerClient, PeerError},
    peer_messages::{PeerCall, PeerResponse},
    store_messages::{StoreCall, StoreCallResponse},
};

/// Time added to the timeout of a store call when another host relays it.
const RELAY_MARGIN: Duration = Duration::from_millis(300);

/// Maximum age of a host's report that the store serves it. Calls are not relayed through hosts with older
/// reports.
const SERVING_REPORT_AGE_MAX: Duration = Duration::from_millis(600);

/// Interval between two probes of a store that refuses this host.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Key prefix that is read to probe the store. No key has this prefix.
const PROBE_PREFIX: &str = "burdockroad/none/";

/// Store that is reached directly or through another host.
#[derive(Debug)]
pub(crate) struct RelayedStore {
    direct: Arc<dyn SharedStore>,
    client: Arc<PeerClient>,
    log: DecisionLog,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Time of this host's last direct call that failed; `None` while the store serves this host.
    direct_call_failed_at: Option<Instant>,
    /// Time of the last response of the store, directly or through another host; `None` before the first one.
    last_response_at: Option<Instant>,
    /// Hosts that the store serves, with the time at which they last reported this.
    served_peers: HashMap<SocketAddr, Instant>,
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

    /// Returns the store without relaying.
    pub(crate) fn direct(&self) -> &dyn SharedStore {
        &*self.direct
    }

    /// Returns whether the store serves this host itself.
    pub(crate) fn is_served_directly(&self) -> bool {
        self.state().direct_call_failed_at.is_none()
    }

    /// Returns the time of the last response of the store, directly or through another host; `None` before the first
    /// one.
    pub(crate) fn last_response_at(&self) -> Option<Instant> {
        self.state().last_response_at
    }

    /// Records another host's report on whether the store serves it.
    pub(crate) fn record_peer(&self, address: SocketAddr, is_served: bool, now: Instant) {
        let mut state = self.state();
        if is_served {
            state.served_peers.insert(address, now);
        } else {
            state.served_peers.remove(&address);
        }
    }

    /// Probes the store every [`PROBE_INTERVAL`] while it refuses this host.
    pub(crate) async fn probe(self: Arc<Self>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if self.is_served_directly() {
                continue;
            }
            if self.direct.read_range(PROBE_PREFIX).await.is_ok() {
                self.record_direct_result(None);
            }
        }
    }

    /// Makes a call, and records when the store responds.
    async fn call(&self, call: StoreCall) -> Result<StoreCallResponse, StoreError> {
        let response = self.call_directly_or_through_peer(call).await?;
        self.state().last_response_at = Some(Instant::now());
        Ok(response)
    }

    /// Makes a call directly if the store serves this host, otherwise through another host.
    async fn call_directly_or_through_peer(&self, call: StoreCall) -> Result<StoreCallResponse, StoreError> {
        if self.is_served_directly() {
            let response = handle_store_call(&*self.direct, call.clone()).await;
            match response {
                StoreCallResponse::Unavailable(reason) => self.record_direct_result(Some(reason)),
                StoreCallResponse::Ambiguous(reason) => {
                    self.record_direct_result(Some(reason.clone()));
                    if call.must_not_repeat() {
                        return Err(StoreError::Ambiguous { reason });
                    }
                }
                response => return Ok(response),
            }
        }
        self.call_through_peer(call).await
    }

    async fn call_through_peer(&self, call: StoreCall) -> Result<StoreCallResponse, StoreError> {
        let Some(peer) = self.pick_peer() else {
            return Err(unavailable("no other host reports access to the store"));
        };
        metrics::counter!("burdockroad_store_calls_relayed_total").increment(1);
        let response_timeout = call.response_timeout() + RELAY_MARGIN;
        let must_not_repeat = call.must_not_repeat();
        let result = self
            .client
            .call(peer, &PeerCall::Store(call), response_timeout)
            .await;
        match result {
            Ok(PeerResponse::Store(StoreCallResponse::Unavailable(reason))) => Err(unavailable(&reason)),
            Ok(PeerResponse::Store(StoreCallResponse::Ambiguous(reason))) => {
                Err(StoreError::Ambiguous { reason })
            }
            Ok(PeerResponse::Store(response)) => Ok(response),
            Ok(
                PeerResponse::Turns(_)
                | PeerResponse::RangeUpdate(_)
                | PeerResponse::CompressedRangeUpdate { .. }
                | PeerResponse::RangeUpdateLater { .. }
                | PeerResponse::Reservation(_)
                | PeerResponse::StreamVersion(_)
                | PeerResponse::Released,
            ) => Err(unexpected_response()),
            Err(error) => {
                self.state().served_peers.remove(&peer);
                let reason = format!("host {peer} did not respond");
                if error == PeerError::NoResponse && must_not_repeat {
                    return Err(StoreError::Ambiguous { reason });
                }
                Err(unavailable(&reason))
            }
        }
    }

    /// Chooses a random host that the store serves.
    fn pick_peer(&self) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut state = self.state();
        state
            .served_peers
            .retain(|_, at| now < *at + SERVING_REPORT_AGE_MAX);
        let count = state.served_peers.len();
        let index = rand::random::<u64>().checked_rem(count as u64)?;
        let index = usize::try_from(index).ok()?;
        state.served_peers.keys().nth(index).copied()
    }

    /// Records the result of a direct call, and logs when the store starts or stops serving this host.
    fn record_direct_result(&self, failure_reason: Option<String>) {
        let mut state = self.state();
        let was_failing = state.direct_call_failed_at.is_some();
        state.direct_call_failed_at = failure_reason.as_ref().map(|_| Instant::now());
        drop(state);
        match failure_reason {
            Some(reason) if !was_failing => self.log.line("store_refuses", &StoreStateLine { reason }),
            None if was_failing => self.log.line(
                "store_serves",
                &StoreStateLine {
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
            StoreCallResponse::Range(snapshot) => Ok(snapshot),
            _ => Err(unexpected_response()),
        }
    }

    async fn changes(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Changes, StoreError> {
        let prefix = prefix.to_owned();
        match self.call(StoreCall::Changes { prefix, after, wait }).await? {
            StoreCallResponse::Changes(changes) => Ok(changes),
            _ => Err(unexpected_response()),
        }
    }

    async fn write_all(&self, writes: &[ConditionalWrite]) -> Result<WriteOutcome, StoreError> {
        let writes = writes.to_vec();
        match self.call(StoreCall::WriteAll { writes }).await? {
            StoreCallResponse::WriteOutcome(outcome) => Ok(outcome),
            _ => Err(unexpected_response()),
        }
    }

    async fn open_lease(&self, lifetime: Duration) -> Result<LeaseId, StoreError> {
        match self.call(StoreCall::OpenLease { lifetime }).await? {
            StoreCallResponse::Lease(lease) => Ok(lease),
            _ => Err(unexpected_response()),
        }
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, StoreError> {
        match self.call(StoreCall::RenewLease { lease }).await? {
            StoreCallResponse::Renewed(renewed) => Ok(renewed),
            _ => Err(unexpected_response()),
        }
    }

    async fn end_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        match self.call(StoreCall::EndLease { lease }).await? {
            StoreCallResponse::Ended => Ok(()),
            _ => Err(unexpected_response()),
        }
    }
}

/// Makes a call to the store and converts its result to a response.
pub(crate) async fn handle_store_call(store: &dyn SharedStore, call: StoreCall) -> StoreCallResponse {
    let response = match call {
        StoreCall::ReadRange { prefix } => store.read_range(&prefix).await.map(StoreCallResponse::Range),
        StoreCall::Changes { prefix, after, wait } => store
            .changes(&prefix, after, wait)
            .await
            .map(StoreCallResponse::Changes),
        StoreCall::WriteAll { writes } => store
            .write_all(&writes)
            .await
            .map(StoreCallResponse::WriteOutcome),
        StoreCall::OpenLease { lifetime } => store.open_lease(lifetime).await.map(StoreCallResponse::Lease),
        StoreCall::RenewLease { lease } => store.renew_lease(lease).await.map(StoreCallResponse::Renewed),
        StoreCall::EndLease { lease } => store.end_lease(lease).await.map(|()| StoreCallResponse::Ended),
    };
    response.unwrap_or_else(|error| match error {
        StoreError::Unavailable { reason, .. } => StoreCallResponse::Unavailable(reason),
        StoreError::Ambiguous { reason } => StoreCallResponse::Ambiguous(reason),
    })
}

fn unavailable(reason: &str) -> StoreError {
    StoreError::Unavailable {
        reason: reason.to_owned(),
        retry_after: PROBE_INTERVAL,
    }
}

fn unexpected_response() -> StoreError {
    StoreError::Ambiguous {
        reason: "the relaying host returned a response to a different call".to_owned(),
    }
}

#[derive(Serialize)]
struct StoreStateLine {
    reason: String,
}
