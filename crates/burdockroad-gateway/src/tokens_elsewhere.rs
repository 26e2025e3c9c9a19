//! Tokens of programs' budgets that other processes have reserved.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use burdockroad::{Incarnation, ProgramId};
use futures_util::future::join_all;

use crate::{
    budget_messages::ReservationRequest,
    peer_messages::{PeerCall, PeerResponse},
    shared::Shared,
};

/// Timeout of a request for tokens that another host has reserved.
const RETURN_TIMEOUT: Duration = Duration::from_millis(60);

/// Time for which a call waits for tokens that lost processes have reserved before it takes the overdraft.
pub(crate) const LOST_TOKENS_WAIT: Duration = Duration::from_millis(80);

/// Time for which a call that gets no overdraft waits for tokens that lost processes have reserved. After it, these count as
/// spent.
pub(crate) const RECLAIM_TIME: Duration = Duration::from_millis(700);

/// Asks the hosts that have reserved tokens of a program for those that they do not use.
pub(crate) async fn request_tokens(shared: &Shared, program: &ProgramId) {
    let incarnations = shared.tables().ledger.reserving_incarnations(program);
    let addresses: Vec<SocketAddr> = {
        let peers = shared.peers.borrow();
        let reserving = peers
            .values()
            .filter(|peer| incarnations.contains(&peer.incarnation));
        reserving.map(|peer| peer.address).collect()
    };
    let call = PeerCall::ReturnTokens {
        program: program.clone(),
    };
    let requests = addresses.iter().map(|address| {
        shared
            .peer_client
            .call::<PeerResponse>(*address, &call, RETURN_TIMEOUT)
    });
    for result in join_all(requests).await {
        // Such a host may be gone. Its tokens count as reserved.
        if result.is_err() {
            metrics::counter!("burdockroad_tokens_not_returned_total").increment(1);
        }
    }
}

/// Returns the process incarnations of the other hosts that are live.
pub(crate) fn live_incarnations(shared: &Shared) -> Vec<Incarnation> {
    let now = Instant::now();
    let peers = shared.peers.borrow();
    let tables = shared.tables();
    let live = peers
        .iter()
        .filter(|(host, _)| tables.rate_limiter.is_live(host, now));
    live.map(|(_, peer)| peer.incarnation).collect()
}

/// Records whether a waiting call lacks tokens of lost processes.
pub(crate) fn record_shortage(shared: &Shared, request: &ReservationRequest) {
    let live = live_incarnations(shared);
    let now = Instant::now();
    let ledger = &mut shared.tables().ledger;
    ledger.record_shortage(&request.program, request.max_tokens, &live, now);
}

/// Returns whether a program has lacked tokens of lost processes for `lost_after`.
pub(crate) fn is_short(shared: &Shared, program: &ProgramId, lost_after: Duration) -> bool {
    let now = Instant::now();
    shared.tables().ledger.is_short(program, lost_after, now)
}
