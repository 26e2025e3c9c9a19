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

/// Returns the sighting of a heartbeat's sender, or `None` when the heartbeat has no sender.
pub(super) fn request_sighting(request: &HeartbeatRequest) -> Option<HeartbeatReport> {
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

/// Returns the sighting of a heartbeat response's sender, or `None` when the response has no sender.
pub(super) fn response_sighting(response: &HeartbeatResponse, address: &str) -> Option<HeartbeatReport> {
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
