//! Logs the reserved tokens because of which a program gets 402 although its budget is not spent.

use burdockroad::{HostId, Incarnation, ProgramId};
use serde::Serialize;

use crate::shared::Shared;

/// Logs the hosts whose reserved tokens a program that gets 402 could not use.
pub(crate) fn log_unreturned(shared: &Shared, program: &ProgramId) {
    let Some(budget) = shared.tables().ledger.stored_budget(program).cloned() else {
        return;
    };
    let reservations = budget.reservations.iter().map(|reservation| UnreturnedTokens {
        incarnation: reservation.incarnation,
        tokens: reservation.reserved_tokens,
        host: host_of(shared, reservation.incarnation),
    });
    let line = TokensUnreturnedLine {
        program,
        spent_tokens: budget.spent_tokens,
        reservations: reservations.collect(),
    };
    shared.log.line("tokens_unreturned", &line);
}

/// Returns the registered host whose process has an incarnation; `None` if that process is gone.
fn host_of(shared: &Shared, incarnation: Incarnation) -> Option<HostId> {
    if incarnation == shared.incarnation {
        return Some(shared.host.clone());
    }
    let peers = shared.peers.borrow();
    let mut hosts = peers.iter().filter(|(_, peer)| peer.incarnation == incarnation);
    hosts.next().map(|(host, _)| host.clone())
}

/// Log line of a program that ends because hosts have not returned tokens of its budget.
#[derive(Serialize)]
struct TokensUnreturnedLine<'a> {
    program: &'a str,
    spent_tokens: u64,
    reservations: Vec<UnreturnedTokens>,
}

/// Tokens that a host process has reserved.
#[derive(Serialize)]
struct UnreturnedTokens {
    incarnation: Incarnation,
    tokens: u64,
    /// `None` if the process is not registered any more.
    host: Option<HostId>,
}
