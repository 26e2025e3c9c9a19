//! Reservation of tokens at this host.

use std::time::Instant;

use burdockroad::gateway::LocalAccount;

use super::{
    ledger_wait::{TokenDeadline, TokensLost, reserve_in_ledger},
    owner::remote_budget_owner,
};
use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    overdrafts::{LostTokensDecision, take_overdraft_for_lost_tokens},
    shared::Shared,
    token_wait::TokenWait,
    tokens_elsewhere::{LOST_TOKENS_WAIT, RECLAIM_TIME},
    unreturned_tokens::log_unreturned,
};

/// Reserves tokens in the ledger of this host, or on the program's overdraft if lost processes have reserved the rest of the
/// budget. `owns_budget` says whether this host is the budget owner.
pub(crate) async fn reserve_locally(
    shared: &Shared,
    request: &ReservationRequest,
    owns_budget: bool,
    deadline: Instant,
) -> (ReservationResponse, LocalAccount) {
    let mut wait = TokenWait::new();
    let reserving = reserve_or_overdraw(shared, request, owns_budget, deadline, &mut wait);
    let (response, account) = reserving.await;
    wait.log(shared, request, owns_budget, response);
    (response, account)
}

async fn reserve_or_overdraw(
    shared: &Shared,
    request: &ReservationRequest,
    owns_budget: bool,
    deadline: Instant,
    wait: &mut TokenWait,
) -> (ReservationResponse, LocalAccount) {
    let until_lost = TokenDeadline {
        lost_after: LOST_TOKENS_WAIT,
        ends_at: deadline,
    };
    if let Ok(response) = reserve_in_ledger(shared, request, owns_budget, until_lost, wait).await {
        return (response, LocalAccount::Ledger);
    }
    let time_left = deadline.saturating_duration_since(Instant::now());
    let decision = if owns_budget || remote_budget_owner(shared, &request.program).is_none() {
        take_overdraft_for_lost_tokens(shared, request, time_left).await
    } else {
        // The owner is live. Its response that grants the overdraft may be lost.
        LostTokensDecision::Unknown
    };
    if decision == LostTokensDecision::Granted {
        let starts_program = false;
        let response = ReservationResponse::Reserved { starts_program };
        return (response, LocalAccount::BeyondBudget);
    }
    let until_reclaimed = TokenDeadline {
        lost_after: RECLAIM_TIME,
        ends_at: deadline,
    };
    let response = reserve_in_ledger(shared, request, owns_budget, until_reclaimed, wait)
        .await
        .unwrap_or_else(|TokensLost| without_lost_tokens(shared, request, decision));
    (response, LocalAccount::Ledger)
}

/// Returns the response to a call that gets neither the tokens of lost processes nor the overdraft.
fn without_lost_tokens(
    shared: &Shared,
    request: &ReservationRequest,
    decision: LostTokensDecision,
) -> ReservationResponse {
    if decision != LostTokensDecision::Refused {
        return ReservationResponse::FullyReserved;
    }
    log_unreturned(shared, &request.program);
    ReservationResponse::BudgetExhausted
}
