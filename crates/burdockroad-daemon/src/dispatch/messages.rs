//! Slots in the messages between daemons.

use std::time::Duration;

use burdockroad::dispatch::Report;
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, HostRef, ReleaseSlotRequest, Slot as SlotMessage, SlotRefused,
    acquire_slot_response,
};
use tokio::time::Instant;

use crate::{
    dispatch::{Slot, SlotRefusal, SlotReport, SlotRequest},
    ownership::Process,
};

/// When to try again with an owner that answered nothing.
const EMPTY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Names a request for a slot among all of the host that sent it; 0 for the owner's own.
pub(super) type RequestId = u64;

/// An owner's answer, read from a message.
#[derive(Clone, Debug)]
pub(super) enum Acquired {
    Slot(Slot),
    Refused(SlotRefusal),
    /// The host does not own the pool.
    NotOwner,
}

pub(super) fn to_acquire(
    from: &Process,
    pool_id: &str,
    request: &SlotRequest,
    request_id: RequestId,
) -> AcquireSlotRequest {
    let timeout = request.slot_deadline.saturating_duration_since(Instant::now());
    AcquireSlotRequest {
        from: Some(host_ref(from)),
        pool: pool_id.to_owned(),
        account_id: request.account_id.clone(),
        program_id: request.program_id.clone().unwrap_or_default(),
        call_number: request.call_number,
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        prefix_endpoint: request.prefix_endpoint_id.clone().unwrap_or_default(),
        prefix_tokens: 0,
        attained_tokens: request.attained_tokens,
        timeout_ms: millis(timeout),
        excluded: request.excluded.clone(),
        request_id,
    }
}

pub(super) fn from_acquire(request: AcquireSlotRequest) -> SlotRequest {
    SlotRequest {
        pool_ids: vec![request.pool],
        account_id: request.account_id,
        program_id: some(request.program_id),
        call_number: request.call_number,
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        attained_tokens: request.attained_tokens,
        prefix_endpoint_id: some(request.prefix_endpoint),
        excluded: request.excluded,
        slot_deadline: Instant::now() + Duration::from_millis(request.timeout_ms),
    }
}

pub(super) fn slot_response(slot: Slot) -> AcquireSlotResponse {
    let slot = SlotMessage {
        slot_id: slot.slot_id,
        endpoint_id: slot.endpoint_id,
        address: slot.address,
    };
    AcquireSlotResponse {
        result: Some(acquire_slot_response::Result::Slot(slot)),
    }
}

pub(super) fn refused_response(refusal: SlotRefusal, not_owner: bool) -> AcquireSlotResponse {
    let refused = SlotRefused {
        reason: refusal.reason,
        retry_after_ms: millis(refusal.retry_after),
        not_owner,
    };
    AcquireSlotResponse {
        result: Some(acquire_slot_response::Result::Refused(refused)),
    }
}

pub(super) fn from_response(pool_id: &str, response: AcquireSlotResponse) -> Acquired {
    match response.result {
        Some(acquire_slot_response::Result::Slot(slot)) => Acquired::Slot(Slot {
            slot_id: slot.slot_id,
            pool_id: pool_id.to_owned(),
            endpoint_id: slot.endpoint_id,
            address: slot.address,
        }),
        Some(acquire_slot_response::Result::Refused(refused)) if refused.not_owner => Acquired::NotOwner,
        Some(acquire_slot_response::Result::Refused(refused)) => Acquired::Refused(SlotRefusal {
            reason: refused.reason,
            retry_after: Duration::from_millis(refused.retry_after_ms),
        }),
        None => Acquired::Refused(SlotRefusal {
            reason: "the pool's owner gave no answer".to_owned(),
            retry_after: EMPTY_RETRY_AFTER,
        }),
    }
}

pub(super) fn to_release(from: &Process, slot: &Slot, report: &SlotReport) -> ReleaseSlotRequest {
    ReleaseSlotRequest {
        from: Some(host_ref(from)),
        pool: slot.pool_id.clone(),
        slot_id: slot.slot_id,
        output_tokens: report.output_tokens,
        cached_tokens: report.cached_tokens,
        failed: report.failed,
        first_token_ms: report.first_token.map_or(0, millis),
        prompt_tokens: report.prompt_tokens,
        given_up_request_id: 0,
    }
}

/// Tells an owner that nobody waits for the answer to a request any more.
pub(super) fn to_give_up(from: &Process, pool_id: &str, request_id: RequestId) -> ReleaseSlotRequest {
    ReleaseSlotRequest {
        from: Some(host_ref(from)),
        pool: pool_id.to_owned(),
        given_up_request_id: request_id,
        ..ReleaseSlotRequest::default()
    }
}

pub(super) fn from_release(request: &ReleaseSlotRequest) -> Report {
    Report {
        prompt_tokens: request.prompt_tokens,
        cached_tokens: request.cached_tokens,
        output_tokens: request.output_tokens,
        first_token: (request.first_token_ms > 0).then(|| Duration::from_millis(request.first_token_ms)),
        failed: request.failed,
    }
}

pub(super) fn process(from: Option<&HostRef>) -> Process {
    from.map(|host| Process {
        host_id: host.host_id.clone(),
        incarnation: host.incarnation,
    })
    .unwrap_or_default()
}

impl From<SlotReport> for Report {
    fn from(report: SlotReport) -> Self {
        Self {
            prompt_tokens: report.prompt_tokens,
            cached_tokens: report.cached_tokens,
            output_tokens: report.output_tokens,
            first_token: report.first_token,
            failed: report.failed,
        }
    }
}

fn host_ref(process: &Process) -> HostRef {
    HostRef {
        host_id: process.host_id.clone(),
        incarnation: process.incarnation,
    }
}

fn some(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
