//! Messages of the heartbeats.

use burdockroad::{
    membership::{Member, HeartbeatReport},
    ownership::Process,
};
use burdockroad_proto::peer::{HeartbeatRequest, HeartbeatResponse, HostRef};

/// A process, as messages name it.
pub fn host_ref(process: &Process) -> HostRef {
    HostRef {
        host_id: process.host_id.clone(),
        incarnation: process.incarnation,
    }
}

/// The process that a message names.
pub fn process_of(host: &HostRef) -> Process {
    Process {
        host_id: host.host_id.clone(),
        incarnation: host.incarnation,
    }
}

/// What a heartbeat says of its sender; none when it names no sender.
pub(super) fn request_sighting(request: &HeartbeatRequest) -> Option<HeartbeatReport> {
    Some(HeartbeatReport {
        member: Member {
            process: process_of(request.from.as_ref()?),
            address: request.peer_address.clone(),
            failure_domain: request.failure_domain.clone(),
            leaving: request.leaving,
        },
        heard: request.heard.iter().map(process_of).collect(),
    })
}

/// What the answer to a heartbeat says of its sender; none when it names no sender.
pub(super) fn response_sighting(response: &HeartbeatResponse, address: &str) -> Option<HeartbeatReport> {
    Some(HeartbeatReport {
        member: Member {
            process: process_of(response.from.as_ref()?),
            address: address.to_owned(),
            failure_domain: response.failure_domain.clone(),
            leaving: response.leaving,
        },
        heard: response.heard.iter().map(process_of).collect(),
    })
}
