//! Conversion of slot requests, responses and releases to and from messages between daemons.

use std::time::Duration;

use burdockroad::dispatch::{Call, Report};
use burdockroad_proto::peer::{
    AcquireSlotRequest, AcquireSlotResponse, HostRef, ReleaseSlotRequest, Slot as SlotMessage, SlotRefused,
    acquire_slot_response,
};
use tokio::time::Instant;

use crate::{
    dispatch::{Slot, SlotRefusal, SlotReport, SlotRequest},
    ownership::Process,
};

/// Retry delay after an owner's response without a result.
const EMPTY_RESPONSE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The id of a slot request, unique at the host that sent it; 0 for a request to the host's own actor.
pub(super) type RequestId = u64;

/// The outcome of a slot request.
#[derive(Clone, Debug)]
pub(super) enum AcquireOutcome {
    Slot(Slot),
    Refused(SlotRefusal),
    /// The host does not own the pool.
    NotOwner,
}

pub(super) fn acquire_request(
    from: &Process,
    pool_id: &str,
    request: &SlotRequest,
    request_id: RequestId,
) -> AcquireSlotRequest {
    let timeout = request.deadline.saturating_duration_since(Instant::now());
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

pub(super) fn to_slot_request(request: AcquireSlotRequest) -> SlotRequest {
    SlotRequest {
        pool_ids: vec![request.pool],
        account_id: request.account_id,
        program_id: non_empty(request.program_id),
        call_number: request.call_number,
        prompt_tokens: request.prompt_tokens,
        max_output_tokens: request.max_output_tokens,
        attained_tokens: request.attained_tokens,
        prefix_endpoint_id: non_empty(request.prefix_endpoint),
        excluded: request.excluded,
        deadline: Instant::now() + Duration::from_millis(request.timeout_ms),
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

pub(super) fn to_outcome(pool_id: &str, response: AcquireSlotResponse) -> AcquireOutcome {
    match response.result {
        Some(acquire_slot_response::Result::Slot(slot)) => AcquireOutcome::Slot(Slot {
            slot_id: slot.slot_id,
            pool_id: pool_id.to_owned(),
            endpoint_id: slot.endpoint_id,
            address: slot.address,
        }),
        Some(acquire_slot_response::Result::Refused(refused)) if refused.not_owner => {
            AcquireOutcome::NotOwner
        }
        Some(acquire_slot_response::Result::Refused(refused)) => AcquireOutcome::Refused(SlotRefusal {
            reason: refused.reason,
            retry_after: Duration::from_millis(refused.retry_after_ms),
        }),
        None => AcquireOutcome::Refused(SlotRefusal {
            reason: "the pool's owner sent a response without a result".to_owned(),
            retry_after: EMPTY_RESPONSE_RETRY_AFTER,
        }),
    }
}

pub(super) fn release_request(from: &Process, slot: &Slot, report: &SlotReport) -> ReleaseSlotRequest {
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

/// Returns the message that cancels a request at a pool's owner.
pub(super) fn cancel_request(from: &Process, pool_id: &str, request_id: RequestId) -> ReleaseSlotRequest {
    ReleaseSlotRequest {
        from: Some(host_ref(from)),
        pool: pool_id.to_owned(),
        given_up_request_id: request_id,
        ..ReleaseSlotRequest::default()
    }
}

pub(super) fn to_report(request: &ReleaseSlotRequest) -> Report {
    Report {
        prompt_tokens: request.prompt_tokens,
        cached_tokens: request.cached_tokens,
        output_tokens: request.output_tokens,
        first_token: (request.first_token_ms > 0).then(|| Duration::from_millis(request.first_token_ms)),
        failed: request.failed,
    }
}

pub(super) fn to_process(from: Option<&HostRef>) -> Process {
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

impl From<SlotRequest> for Call {
    fn from(request: SlotRequest) -> Self {
        Self {
            account_id: request.account_id,
            first: request.program_id.is_none() || request.call_number <= 1,
            program_id: request.program_id,
            prompt_tokens: request.prompt_tokens,
            max_output_tokens: request.max_output_tokens,
            attained_tokens: request.attained_tokens,
            prefix_endpoint_id: request.prefix_endpoint_id,
            excluded: request.excluded,
            slot_deadline: request.deadline.into_std(),
        }
    }
}

fn host_ref(process: &Process) -> HostRef {
    HostRef {
        host_id: process.host_id.clone(),
        incarnation: process.incarnation,
    }
}

fn non_empty(text: String) -> Option<String> {
    (!text.is_empty()).then_some(text)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
