//! Calls of a gateway host to the hosts that store turns, on its own links or through another gateway host.
//!
//! A gateway host may be cut from the hosts that store turns while callers, endpoints and other gateway hosts
//! reach it. Its calls then go through a gateway host whose reports state that it reaches them. Each call may be
//! repeated. If the own link does not respond, the call is sent on the link and through other gateway hosts, and the
//! first response is used.
//!
//! The own link may also be full. All ways are slow then, and each copy of a turn makes them slower. Therefore, turns are
//! sent through another gateway host only if a check on this way gets its response earlier than one on the own link.

use std::{
    collections::HashMap,
    net::SocketAddr,
    pin::pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, RegionId,
    gateway::{RegionMap, TurnHostHealth},
};
use bytes::Bytes;
use futures_util::{
    StreamExt,
    future::{Either, join_all, select},
    stream::FuturesUnordered,
};
use serde::Serialize;
use tokio::time::{sleep, timeout};

use crate::{
    DecisionLog,
    peer_client::{PeerClient, PeerError, encode_message},
    peer_messages::{PeerCall, PeerResponse},
    turn_store::messages::{TurnCall, TurnResponse},
};

/// Time without a response after which the link to a host is checked. The host itself may be slow.
const LINK_CHECK_DELAY: Duration = Duration::from_millis(100);

/// Longest time of a check of a link. A check reads nothing from a disk.
const LINK_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Interval at which links that are cut are checked again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum age of a gateway host's report that it reaches the hosts that store turns.
const RELAY_REPORT_AGE_MAX: Duration = Duration::from_secs(1);

/// Time without a response after which a call is also sent through another gateway host.
const RELAY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of gateway hosts that pass one call on.
const RELAYS_MAX: usize = 3;

/// A check through another gateway host takes a way that is one host longer. The own link is not slower if it responds
/// within the time of that check and this part of it.
const LONGER_WAY_PART: u32 = 2;

/// Links of a gateway host to the hosts that store turns.
#[derive(Debug)]
pub(crate) struct TurnHostLinks {
    failure_domain: String,
    regions: Arc<RegionMap>,
    peer_client: Arc<PeerClient>,
    log: DecisionLog,
    state: Mutex<LinkState>,
}

#[derive(Debug, Default)]
struct LinkState {
    /// Failed checks of this host's own links, by the host at the other end. A link is cut while its last check failed;
    /// the host itself may also be down.
    link_checks: TurnHostHealth,
    /// Gateway hosts that reach the hosts that store turns, by address.
    relays: HashMap<SocketAddr, Relay>,
}

/// Gateway host that passes calls on.
#[derive(Clone, Debug)]
struct Relay {
    failure_domain: String,
    reported_at: Instant,
}

/// Host that a call goes to.
#[derive(Clone, Copy, Debug)]
pub(super) struct Destination<'a> {
    pub(super) host: &'a HostId,
    address: SocketAddr,
    /// Regions in which the call must stay; `None` if any region is allowed.
    allowed_regions: Option<&'a [RegionId]>,
}

/// Call that is encoded already because several hosts receive it.
#[derive(Debug)]
pub(super) struct EncodedCall {
    call: TurnCall,
    message: Bytes,
    /// Whether enough hosts have responded.
    settled: AtomicBool,
}

impl<'a> Destination<'a> {
    pub(super) fn new(
        host: &'a HostId,
        address: SocketAddr,
        allowed_regions: Option<&'a [RegionId]>,
    ) -> Self {
        Self {
            host,
            address,
            allowed_regions,
        }
    }
}

impl EncodedCall {
    /// Encodes a call.
    ///
    /// # Errors
    ///
    /// Fails when the call cannot be encoded.
    pub(super) fn new(call: TurnCall) -> Result<Self, PeerError> {
        let message = encode_message(&call)?;
        Ok(Self {
            call,
            message,
            settled: AtomicBool::new(false),
        })
    }

    /// Encodes a call that reads nothing from a disk.
    ///
    /// # Errors
    ///
    /// Fails when the call cannot be encoded.
    pub(super) fn check() -> Result<Self, PeerError> {
        Self::new(check_call())
    }

    /// Records that enough hosts have responded. The call is sent to no further host.
    pub(super) fn settle(&self) {
        self.settled.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_settled(&self) -> bool {
        self.settled.load(Ordering::Relaxed)
    }

    /// Returns whether a copy of the call may fill a link.
    fn may_be_large(&self) -> bool {
        matches!(self.call, TurnCall::Store(_))
    }
}

/// Returns a call that reads nothing from a disk.
fn check_call() -> TurnCall {
    TurnCall::Missing(Vec::new())
}

impl TurnHostLinks {
    pub(super) fn new(
        failure_domain: String,
        regions: Arc<RegionMap>,
        peer_client: Arc<PeerClient>,
        log: DecisionLog,
    ) -> Self {
        Self {
            failure_domain,
            regions,
            peer_client,
            log,
            state: Mutex::default(),
        }
    }

    /// Records a gateway host's report on whether it reaches the hosts that store turns.
    pub(crate) fn record_relay(
        &self,
        address: SocketAddr,
        failure_domain: &str,
        reaches_turn_hosts: bool,
        now: Instant,
    ) {
        let mut state = self.lock();
        if !reaches_turn_hosts {
            state.relays.remove(&address);
            return;
        }
        let relay = Relay {
            failure_domain: failure_domain.to_owned(),
            reported_at: now,
        };
        state.relays.insert(address, relay);
    }

    /// Returns whether this host's own link to a host is cut.
    pub(super) fn is_cut(&self, host: &str) -> bool {
        self.lock().link_checks.is_failing(host)
    }

    /// Calls a host on this host's own link, and through other gateway hosts if the link is cut.
    pub(super) async fn call(
        &self,
        destination: Destination<'_>,
        call: &EncodedCall,
        response_timeout: Duration,
    ) -> Result<TurnResponse, PeerError> {
        let message = call.message.clone();
        let own_link = self
            .peer_client
            .call_encoded(destination.address, message, response_timeout);
        let mut own_link = pin!(own_link);
        if !self.is_cut(destination.host) {
            let link_cut = pin!(self.wait_for_cut(destination));
            match select(own_link.as_mut(), link_cut).await {
                Either::Left((Ok(response), _)) => return Ok(response),
                Either::Left((Err(error), _)) => {
                    if self.check(destination).await {
                        return Err(error);
                    }
                    let relayed = self.call_through_hosts(destination, call, response_timeout).await;
                    return relayed.ok_or(error);
                }
                Either::Right(((), _)) => {}
            }
        }
        let through_hosts = pin!(self.call_through_hosts(destination, call, response_timeout));
        match select(own_link, through_hosts).await {
            Either::Left((Ok(response), _)) | Either::Right((Some(response), _)) => Ok(response),
            Either::Left((Err(error), through_hosts)) => through_hosts.await.ok_or(error),
            Either::Right((None, own_link)) => own_link.await,
        }
    }

    /// Makes a call for another gateway host on this host's own link.
    pub(super) async fn relay(
        &self,
        address: SocketAddr,
        call: &TurnCall,
        response_timeout: Duration,
    ) -> Option<TurnResponse> {
        let response = self.peer_client.call(address, call, response_timeout).await;
        response.ok()
    }

    /// Checks links that are cut until they carry calls again. `address_of` returns the address of a host.
    pub(super) async fn check_cut_links(&self, address_of: impl Fn(&str) -> Option<SocketAddr>) {
        loop {
            sleep(RECHECK_INTERVAL).await;
            let due = self.lock().link_checks.take_due_probes(Instant::now());
            let checks = due.iter().map(async |host| match address_of(host) {
                Some(address) => {
                    // The check itself records whether the link carries calls.
                    let _responds = self.check(Destination::new(host, address, None)).await;
                }
                None => self.record_link(host, true),
            });
            join_all(checks).await;
        }
    }

    /// Waits for [`LINK_CHECK_DELAY`], then returns if the link is cut. Never returns if it carries calls.
    async fn wait_for_cut(&self, destination: Destination<'_>) {
        sleep(LINK_CHECK_DELAY).await;
        if !self.is_cut(destination.host) && self.check(destination).await {
            std::future::pending::<()>().await;
        }
    }

    /// Checks whether this host's own link to a host carries calls.
    async fn check(&self, destination: Destination<'_>) -> bool {
        let calling = self.responds(destination, LINK_CHECK_TIMEOUT);
        let responds = matches!(timeout(LINK_CHECK_TIMEOUT, calling).await, Ok(true));
        self.record_link(destination.host, responds);
        responds
    }

    /// Returns whether a host responds to a check on this host's own link.
    async fn responds(&self, destination: Destination<'_>, response_timeout: Duration) -> bool {
        let check = check_call();
        let response = self
            .peer_client
            .call::<TurnResponse>(destination.address, &check, response_timeout);
        response.await.is_ok()
    }

    /// Calls a host through other gateway hosts in allowed regions, the next one when the ones before do not respond in
    /// time. Returns `None` without a response.
    async fn call_through_hosts(
        &self,
        destination: Destination<'_>,
        call: &EncodedCall,
        response_timeout: Duration,
    ) -> Option<TurnResponse> {
        let mut tried = Vec::new();
        let mut calls = FuturesUnordered::new();
        loop {
            if tried.len() < RELAYS_MAX {
                let relay = self.choose_relay(destination.allowed_regions, &tried);
                tried.extend(relay);
                calls
                    .extend(relay.map(|relay| self.call_through(relay, destination, call, response_timeout)));
            }
            match timeout(RELAY_DELAY, calls.next()).await {
                Ok(Some(Some(response))) => return Some(response),
                Ok(None) => return None,
                Ok(Some(None)) | Err(_) => {}
            }
        }
    }

    /// Calls a host through another gateway host, with a large call only if that way is faster than the own link.
    /// Returns `None` without a response.
    async fn call_through(
        &self,
        relay: SocketAddr,
        destination: Destination<'_>,
        call: &EncodedCall,
        response_timeout: Duration,
    ) -> Option<TurnResponse> {
        if call.may_be_large() {
            let is_faster = self.is_faster(relay, destination, response_timeout).await;
            if !is_faster || call.is_settled() {
                metrics::counter!("burdockroad_turn_copies_withheld_total", "way" => "relay").increment(1);
                return None;
            }
        }
        metrics::counter!("burdockroad_turn_calls_relayed_total").increment(1);
        self.pass_through(relay, destination, call.call.clone(), response_timeout)
            .await
    }

    /// Returns whether a check through another gateway host gets its response earlier than one on the own link.
    async fn is_faster(
        &self,
        relay: SocketAddr,
        destination: Destination<'_>,
        response_timeout: Duration,
    ) -> bool {
        let sent_at = Instant::now();
        let own_link = pin!(self.responds(destination, response_timeout));
        let through_host = pin!(self.pass_through(relay, destination, check_call(), response_timeout));
        match select(own_link, through_host).await {
            Either::Left((true, _)) | Either::Right((None, _)) => false,
            Either::Left((false, through_host)) => through_host.await.is_some(),
            Either::Right((Some(_), own_link)) => {
                let longer_way_time = sent_at.elapsed() / LONGER_WAY_PART;
                !matches!(timeout(longer_way_time, own_link).await, Ok(true))
            }
        }
    }

    /// Sends a call to a host through another gateway host. Returns `None` without a response.
    async fn pass_through(
        &self,
        relay: SocketAddr,
        destination: Destination<'_>,
        call: TurnCall,
        response_timeout: Duration,
    ) -> Option<TurnResponse> {
        let relayed = PeerCall::Turns {
            host: destination.host.clone(),
            call,
        };
        let response = self.peer_client.call(relay, &relayed, response_timeout).await;
        match response {
            Ok(PeerResponse::Turns(response)) => response,
            Err(PeerError::Unreachable) => {
                self.lock().relays.remove(&relay);
                None
            }
            // The host that stores turns may be the one that does not respond.
            Ok(_) | Err(PeerError::NoResponse) => None,
        }
    }

    /// Chooses a random gateway host in allowed regions that was not tried yet, of this host's failure domain if there is one.
    fn choose_relay(&self, allowed_regions: Option<&[RegionId]>, tried: &[SocketAddr]) -> Option<SocketAddr> {
        let now = Instant::now();
        let mut state = self.lock();
        state
            .relays
            .retain(|_, relay| now < relay.reported_at + RELAY_REPORT_AGE_MAX);
        let allowed = state
            .relays
            .iter()
            .filter(|(address, _)| !tried.contains(address))
            .filter(|(_, relay)| self.regions.allows(&relay.failure_domain, allowed_regions));
        let (local, remote): (Vec<_>, Vec<_>) =
            allowed.partition(|(_, relay)| relay.failure_domain == self.failure_domain);
        let preferred = if local.is_empty() { remote } else { local };
        let index = usize::from(rand::random::<u16>()).checked_rem(preferred.len())?;
        Some(*preferred[index].0)
    }

    /// Records whether a link carried a call, and logs when it is cut and when it carries calls again.
    fn record_link(&self, host: &HostId, carries_calls: bool) {
        let mut state = self.lock();
        let was_cut = state.link_checks.is_failing(host);
        if carries_calls {
            state.link_checks.record_response(host, Instant::now());
        } else {
            state.link_checks.record_failure(host, Instant::now());
        }
        drop(state);
        match (was_cut, carries_calls) {
            (false, false) => self.log.line("turn_link_cut", &LinkLine { host }),
            (true, true) => self.log.line("turn_link_open", &LinkLine { host }),
            _ => {}
        }
    }

    /// Locks the state. The lock is never held across an `await`.
    fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Serialize)]
struct LinkLine<'a> {
    host: &'a str,
}
