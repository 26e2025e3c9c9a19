//! Requests of this host to the budget owner of a program.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use burdockroad::{HostId, ownership::rendezvous_order};

use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    peer_messages::{PeerCall, PeerResponse},
    shared::Shared,
};

/// Longest time that a reservation request of another host waits at the budget owner. After it, the owner
/// responds [`FullyReserved`] or [`StoreTimeout`], and the other host repeats the request until its deadline.
///
/// [`FullyReserved`]: ReservationResponse::FullyReserved
/// [`StoreTimeout`]: ReservationResponse::StoreTimeout
pub(crate) const REMOTE_WAIT_MAX: Duration = Duration::from_millis(200);

/// Time added to [`REMOTE_WAIT_MAX`] to obtain the timeout of a request to the budget owner.
pub(super) const REMOTE_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Returns the address of a program's budget owner; `None` when this host owns the budget, or when the owner
/// is not live. A host that is shutting down owns no budget.
pub(super) fn remote_budget_owner(shared: &Shared, program: &str) -> Option<SocketAddr> {
    let peers = shared.peers.borrow();
    let this = (!shared.is_stopping()).then(|| shared.host.clone());
    let hosts = peers.keys().cloned().chain(this);
    let first: HostId = rendezvous_order(program, hosts).into_iter().next()?;
    if first == shared.host {
        return None;
    }
    let is_live = shared.tables().rate_limiter.is_live(&first, Instant::now());
    is_live
        .then(|| peers.get(&first).map(|peer| peer.address))
        .flatten()
}

/// Repeats the request to the owner until it reserves the tokens, refuses, or `deadline` passes. Returns
/// `None` when the owner does not respond.
pub(super) async fn reserve_at_owner(
    shared: &Shared,
    remote_owner: SocketAddr,
    request: &ReservationRequest,
    deadline: Instant,
) -> Option<ReservationResponse> {
    loop {
        let call = PeerCall::Reserve(request.clone());
        let response_timeout = REMOTE_WAIT_MAX + REMOTE_RESPONSE_MARGIN;
        let result = shared
            .peer_client
            .call(remote_owner, &call, response_timeout)
            .await;
        match result {
            Ok(PeerResponse::Reservation(
                response @ (ReservationResponse::FullyReserved | ReservationResponse::StoreTimeout),
            )) => {
                if Instant::now() >= deadline {
                    return Some(response);
                }
            }
            Ok(PeerResponse::Reservation(response)) => return Some(response),
            Ok(_) | Err(_) => return None,
        }
    }
}
