//! Conversions between heartbeat messages and membership types.

use burdockroad::{
    membership::{HeartbeatReport, Member},
    ownership::Process,
};
use burdockroad_proto::peer::{HeartbeatRequest, HeartbeatResponse, HostRef};

/// Returns the message form of a process.
pub fn host_ref(process: &Process) -> HostRef {
    HostRef {
        host_id: process.host_id.clone(),
        incarnation: process.incarnation,
    }
}

/// Returns the process that a message refers to.
pub fn process_of(host: &HostRef) -> Process {
    Process {
        host_id: host.host_id.clone(),
        incarnation: host.incarnation,
    }
}

/// Converts a heartbeat request to a report. Returns `None` when the request does not name its sender.
pub(super) fn report_from_request(request: &HeartbeatRequest) -> Option<HeartbeatReport> {
    Some(HeartbeatReport {
        member: Member {
            process: process_of(request.from.as_ref()?),
            address: request.peer_address.clone(),
            failure_domain: request.failure_domain.clone(),
            leaving: request.leaving,
        },
        live_processes: request.heard.iter().map(process_of).collect(),
    })
}

/// Converts a heartbeat response to a report of the peer at `address`. Returns `None` when the response does
/// not name its sender.
pub(super) fn report_from_response(response: &HeartbeatResponse, address: &str) -> Option<HeartbeatReport> {
    Some(HeartbeatReport {
        member: Member {
            process: process_of(response.from.as_ref()?),
            address: address.to_owned(),
            failure_domain: response.failure_domain.clone(),
            leaving: response.leaving,
        },
        live_processes: response.heard.iter().map(process_of).collect(),
    })
}
