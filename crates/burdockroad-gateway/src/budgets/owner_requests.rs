//! Requests to the owner of a program's budget, and the release of what it reserved.
//!
//! The owner may have reserved tokens although its response is lost. Only this host knows that no call uses them, so it
//! releases them.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::gateway::RemoteReservationId;
use tokio::time::sleep;

use super::owner::REMOTE_WAIT_MAX;
use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    peer_client::PeerError,
    peer_messages::{PeerCall, PeerResponse},
    shared::Shared,
};

/// Time added to [`REMOTE_WAIT_MAX`] to obtain the timeout of a request to the budget owner.
const REMOTE_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Backoff after the first release without a response; it doubles with each further one up to [`BACKOFF_MAX`].
const BACKOFF_INITIAL: Duration = Duration::from_millis(100);

/// Longest backoff after a release without a response. After it, the release is given up, and the owner counts the
/// reservation as used when it expires.
const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Request to the owner that may have reserved tokens without a response. Dropping it releases them.
struct OpenRequest<'a> {
    shared: &'a Arc<Shared>,
    owner: SocketAddr,
    request: &'a ReservationRequest,
    may_be_reserved: bool,
}

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        if self.may_be_reserved {
            let id = self.request.reservation_id();
            release_at_owner(self.shared, self.owner, id, 0);
        }
    }
}

/// Repeats the request to the owner until it reserves the tokens, refuses, or `deadline` passes. Returns
/// `None` when the owner does not respond.
pub(super) async fn reserve_at_owner(
    shared: &Arc<Shared>,
    owner: SocketAddr,
    request: &ReservationRequest,
    deadline: Instant,
) -> Option<ReservationResponse> {
    let mut open_request = OpenRequest {
        shared,
        owner,
        request,
        may_be_reserved: false,
    };
    loop {
        open_request.may_be_reserved = true;
        let call = PeerCall::Reserve(request.clone());
        let result = shared.peer_client.call(owner, &call, response_timeout()).await;
        open_request.may_be_reserved = matches!(result, Err(PeerError::NoResponse));
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

/// Releases a reservation at the owner of the budget, of which `used_tokens` were used.
pub(super) fn release_at_owner(
    shared: &Arc<Shared>,
    owner: SocketAddr,
    id: RemoteReservationId,
    used_tokens: u64,
) {
    let shared = Arc::clone(shared);
    let call = PeerCall::Release {
        call_id: id.call_id,
        number: id.number,
        used_tokens,
    };
    tokio::spawn(async move { send_release(&shared, owner, &call).await });
}

/// Repeats a release until the owner responds.
async fn send_release(shared: &Shared, owner: SocketAddr, call: &PeerCall) {
    let mut backoff = BACKOFF_INITIAL;
    while backoff <= BACKOFF_MAX {
        let timeout = response_timeout();
        let released = shared
            .peer_client
            .call::<PeerResponse>(owner, call, timeout)
            .await;
        if released.is_ok() {
            return;
        }
        sleep(backoff).await;
        backoff *= 2;
    }
    metrics::counter!("burdockroad_holds_unreleased_total").increment(1);
}

fn response_timeout() -> Duration {
    REMOTE_WAIT_MAX + REMOTE_RESPONSE_MARGIN
}
