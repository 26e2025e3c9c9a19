//! Which host owns the budget of a program.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use burdockroad::{HostId, ownership::rendezvous_order};

use crate::shared::Shared;

/// Longest time that a reservation request of another host waits at the budget owner. After it, the owner
/// responds [`FullyReserved`] or [`StoreTimeout`], and the other host repeats the request until its deadline.
///
/// [`FullyReserved`]: ReservationResponse::FullyReserved
/// [`StoreTimeout`]: ReservationResponse::StoreTimeout
pub(crate) const REMOTE_WAIT_MAX: Duration = Duration::from_millis(200);

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
