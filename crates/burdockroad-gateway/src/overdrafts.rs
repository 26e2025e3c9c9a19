//! Claims overdrafts of programs at the hosts with disks, while the store takes no writes or when processes that are lost
//! have reserved the rest of a budget.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use burdockroad::{
    ProgramId,
    gateway::{ClaimOutcome, ClaimReply, OverdraftDecision, claim_record, decide_claim},
};
use bytes::Bytes;
use futures_util::future::join_all;
use serde::Serialize;
use tokio::time::timeout;

use crate::{
    budget_messages::ReservationRequest,
    clock::{as_ms, unix_ms},
    peer_client::encode_message,
    shared::Shared,
    turn_store::messages::{TurnCall, TurnResponse},
};

/// Timeout of a claim at one host.
pub(crate) const CLAIM_TIMEOUT: Duration = Duration::from_millis(300);

/// Shortest timeout of a claim. A call with less time left sends none, because a claim lasts.
const CLAIM_TIMEOUT_MIN: Duration = Duration::from_millis(50);

/// Age after which the replies to a claim do not count. It is shorter than the time after which a host that has
/// lost its disk is complete again, so that the reply of such a host never counts beside the loss of another.
const CLAIM_MAX_AGE: Duration = Duration::from_millis(500);

/// Takes the tokens of a call on the overdraft of its program. Returns whether the call may run.
pub(crate) async fn take_overdraft(shared: &Shared, request: &ReservationRequest) -> bool {
    let program = &request.program;
    let decision = {
        let mut tables = shared.tables();
        if !tables
            .ledger
            .may_overdraw(program, request.budget_tokens, request.max_tokens)
        {
            return false;
        }
        tables
            .overdrafts
            .begin(program, request.max_tokens, Instant::now())
    };
    let is_granted = match decision {
        OverdraftDecision::Granted => true,
        OverdraftDecision::Claim => claim(shared, program, CLAIM_TIMEOUT).await == ClaimOutcome::Granted,
        OverdraftDecision::Refused => false,
    };
    if is_granted {
        shared
            .tables()
            .ledger
            .overdraw(program, request.budget_tokens, request.max_tokens, Instant::now());
        shared.reservation_requested.notify_one();
    }
    is_granted
}

/// Whether a call may run on the overdraft of a program whose remaining tokens are reserved by lost processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LostTokensDecision {
    /// The call may run. Its tokens are not counted in the ledger.
    Granted,
    /// The overdraft is used up or cannot be claimed.
    Refused,
    /// Whether the overdraft is left is not known, or another call uses it.
    Unknown,
}

/// Takes the overdraft of a program for a call that lacks the tokens which lost processes have reserved. Whether these
/// were generated is not known, so the call may exceed the budget.
pub(crate) async fn take_overdraft_for_lost_tokens(
    shared: &Shared,
    request: &ReservationRequest,
    time_left: Duration,
) -> LostTokensDecision {
    let program = &request.program;
    let members = shared.turns.claim_members();
    if members.is_some_and(|members| members.is_empty()) {
        return LostTokensDecision::Refused;
    }
    let decision = {
        let mut tables = shared.tables();
        if tables.overdrafts.is_busy(program) {
            return LostTokensDecision::Unknown;
        }
        tables
            .overdrafts
            .begin_beyond_budget(program, request.max_tokens, Instant::now())
    };
    match decision {
        OverdraftDecision::Granted => LostTokensDecision::Granted,
        OverdraftDecision::Refused => LostTokensDecision::Refused,
        OverdraftDecision::Claim if time_left < CLAIM_TIMEOUT_MIN => {
            let mut tables = shared.tables();
            tables.overdrafts.end_claim(program, ClaimOutcome::Uncertain);
            LostTokensDecision::Unknown
        }
        OverdraftDecision::Claim => match claim(shared, program, time_left.min(CLAIM_TIMEOUT)).await {
            ClaimOutcome::Granted => LostTokensDecision::Granted,
            ClaimOutcome::Taken => LostTokensDecision::Refused,
            ClaimOutcome::Uncertain => LostTokensDecision::Unknown,
        },
    }
}

/// Claim in progress. Dropping it without an outcome leaves the overdraft to a later claim.
struct OpenClaim<'a> {
    shared: &'a Shared,
    program: &'a ProgramId,
    outcome: ClaimOutcome,
}

impl Drop for OpenClaim<'_> {
    fn drop(&mut self) {
        let mut tables = self.shared.tables();
        tables.overdrafts.end_claim(self.program, self.outcome);
    }
}

/// Claims the overdraft of a program.
async fn claim(shared: &Shared, program: &ProgramId, claim_timeout: Duration) -> ClaimOutcome {
    let mut open_claim = OpenClaim {
        shared,
        program,
        outcome: ClaimOutcome::Uncertain,
    };
    let started_at = Instant::now();
    let replies = send_claim(shared, program, claim_timeout).await;
    // A process that was suspended may have received the replies long before it reads them.
    let outcome = if started_at.elapsed() > CLAIM_MAX_AGE {
        ClaimOutcome::Uncertain
    } else {
        decide_claim(shared.incarnation, &replies, shared.turns.tolerated_losses())
    };
    open_claim.outcome = outcome;
    drop(open_claim);
    let outcome_name = match outcome {
        ClaimOutcome::Granted => "granted",
        ClaimOutcome::Taken => "taken",
        ClaimOutcome::Uncertain => "uncertain",
    };
    metrics::counter!("burdockroad_overdraft_claims_total", "outcome" => outcome_name).increment(1);
    let failed = replies.iter().filter(|reply| **reply == ClaimReply::Failed);
    shared.log.line(
        "overdraft_claimed",
        &ClaimLine {
            program,
            outcome: outcome_name,
            hosts: replies.len(),
            failed_hosts: failed.count(),
            claim_ms: as_ms(started_at.elapsed()),
        },
    );
    outcome
}

/// Sends a claim to all hosts with disks.
async fn send_claim(shared: &Shared, program: &str, claim_timeout: Duration) -> Vec<ClaimReply> {
    let Some(members) = shared.turns.claim_members() else {
        return Vec::new();
    };
    let record = claim_record(program, shared.incarnation, unix_ms());
    let Ok(message) = encode_message(&TurnCall::Claim(record)) else {
        return Vec::new();
    };
    let claims = members
        .values()
        .map(|member| claim_at(shared, member.address, message.clone(), claim_timeout));
    join_all(claims).await
}

/// Sends a claim to one host.
async fn claim_at(
    shared: &Shared,
    address: SocketAddr,
    message: Bytes,
    claim_timeout: Duration,
) -> ClaimReply {
    let calling = shared.peer_client.call_encoded(address, message, claim_timeout);
    match timeout(claim_timeout, calling).await {
        Ok(Ok(TurnResponse::Claims { claims, complete })) => ClaimReply::Stored { claims, complete },
        Ok(Ok(_) | Err(_)) | Err(_) => ClaimReply::Failed,
    }
}

#[derive(Serialize)]
struct ClaimLine<'a> {
    program: &'a str,
    outcome: &'static str,
    hosts: usize,
    failed_hosts: usize,
    claim_ms: u64,
}
