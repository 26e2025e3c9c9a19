//! Whether a program may start now.

use std::time::{Duration, Instant};

use burdockroad::gateway::StartDecision;

use crate::{
    budget_messages::{ReservationRequest, ReservationResponse},
    shared::Shared,
};

/// Time after the process start in which programs missing from the ledger may already be running.
const PROGRAM_DISCOVERY_TIME: Duration = Duration::from_secs(3);

/// Returns the refusal of a request that would start a program which must not start now; `None` when the
/// program has started or may start.
pub(super) fn check_program_start(
    shared: &Shared,
    request: &ReservationRequest,
) -> Option<ReservationResponse> {
    let mut tables = shared.tables();
    if tables.ledger.is_tracked(&request.program) {
        return None;
    }
    let now = Instant::now();
    let programs_discovered = now >= shared.started_at + PROGRAM_DISCOVERY_TIME;
    if let Some(retry_after) = request.start_after.filter(|_| programs_discovered) {
        return Some(ReservationResponse::OverRate(retry_after));
    }
    let start_decision = tables.start_gate.decide(
        &request.program,
        request.load_per_slot,
        request.priority,
        rand::random(),
        now,
    );
    match start_decision {
        StartDecision::Admitted => None,
        StartDecision::Refused { retry_after } => Some(ReservationResponse::Deferred(retry_after)),
    }
}
