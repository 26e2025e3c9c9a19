//! Copies of peers' tails in a process that was fenced and restarts under a new incarnation.

use burdockroad_daemon::{journal::TailStore, membership::host_ref, ownership::Process, peer::TailHandler};
use burdockroad_proto::peer::ReplicateTailRequest;

fn process(host_id: &str, incarnation: u64) -> Process {
    Process {
        host_id: host_id.to_owned(),
        incarnation,
    }
}

fn replicate_request(to: &Process) -> ReplicateTailRequest {
    ReplicateTailRequest {
        writer: Some(host_ref(&process("writer", 1))),
        to: Some(host_ref(to)),
        session: 1,
        records: vec![b"record".to_vec()],
        ..ReplicateTailRequest::default()
    }
}

#[tokio::test]
async fn restart_as_other_process() {
    let (previous, next) = (process("a", 1), process("a", 2));
    let tails = TailStore::new(previous.clone());
    assert!(!tails.replicate(replicate_request(&previous)).await.other_process);
    assert!(tails.replicate(replicate_request(&next)).await.other_process);
    tails.restart(next.clone());
    assert!(tails.replicate(replicate_request(&previous)).await.other_process);
    assert!(!tails.replicate(replicate_request(&next)).await.other_process);
    assert_eq!(tails.seal_local(&process("writer", 1)).records.len(), 1);
}
