//! Copies of other hosts' journal tails, retained for the successors of those hosts.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use async_trait::async_trait;
use burdockroad::journal::{TailBatch, TailCopy, TailReply, TailTable, TailTableOptions};
use burdockroad_proto::peer::{
    HostRef, ReplicateTailRequest, ReplicateTailResponse, SealTailRequest, SealTailResponse,
};

use crate::{ownership::Process, peer::TailHandler};

/// Store of tail copies, which handles the replicate and seal requests of peers.
///
/// A process that resumes under another incarnation must [restart](Self::restart) the store.
#[derive(Debug)]
pub struct TailStore {
    options: TailTableOptions,
    state: Mutex<TailState>,
}

#[derive(Debug)]
struct TailState {
    me: Process,
    table: TailTable,
}

impl TailStore {
    /// Creates an empty store with default limits.
    pub fn new(me: Process) -> Self {
        Self::with_options(me, TailTableOptions::default())
    }

    /// Creates an empty store with the given limits.
    pub fn with_options(me: Process, options: TailTableOptions) -> Self {
        let table = TailTable::new(options);
        Self {
            options,
            state: Mutex::new(TailState { me, table }),
        }
    }

    /// Drops all copies, like a restart of the host does, and resumes as another process.
    pub fn restart(&self, me: Process) {
        let table = TailTable::new(self.options);
        *self.lock() = TailState { me, table };
    }

    /// Returns the process that stores the copies.
    pub fn process(&self) -> Process {
        self.lock().me.clone()
    }

    /// Seals a tail against its writer and returns its copy.
    pub fn seal_local(&self, writer: &Process) -> TailCopy {
        let copy = self.lock().table.seal(writer, Instant::now());
        log::info!(
            "event=tail_sealed writer={} incarnation={:016x} records={}",
            writer.host_id,
            writer.incarnation,
            copy.records.len()
        );
        copy
    }

    fn lock(&self) -> MutexGuard<'_, TailState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl TailHandler for TailStore {
    async fn replicate(&self, request: ReplicateTailRequest) -> ReplicateTailResponse {
        let to = request.to.map(process_of);
        let mut state = self.lock();
        let (Some(writer), true) = (request.writer, to.as_ref() == Some(&state.me)) else {
            return ReplicateTailResponse {
                other_process: true,
                ..ReplicateTailResponse::default()
            };
        };
        let batch = TailBatch {
            session: request.session,
            position: request.position,
            records: request.records.into_iter().map(Arc::from).collect(),
            stored_end: request.stored_end,
        };
        match state.table.append_batch(&process_of(writer), batch) {
            TailReply::Acknowledged(held_end) => ReplicateTailResponse {
                held_end,
                ..ReplicateTailResponse::default()
            },
            TailReply::Sealed => ReplicateTailResponse {
                sealed: true,
                ..ReplicateTailResponse::default()
            },
            TailReply::Failed => ReplicateTailResponse {
                other_session: true,
                ..ReplicateTailResponse::default()
            },
        }
    }

    async fn seal(&self, request: SealTailRequest) -> SealTailResponse {
        let from = Some(host_ref(&self.process()));
        let Some(writer) = request.writer else {
            return SealTailResponse {
                from,
                ..SealTailResponse::default()
            };
        };
        let copy = self.seal_local(&process_of(writer));
        SealTailResponse {
            from,
            position: copy.position,
            records: copy.records,
        }
    }
}

/// Returns the message form of a process.
pub(super) fn host_ref(process: &Process) -> HostRef {
    HostRef {
        host_id: process.host_id.clone(),
        incarnation: process.incarnation,
    }
}

/// Returns the process that a message refers to.
pub(super) fn process_of(host: HostRef) -> Process {
    Process {
        host_id: host.host_id,
        incarnation: host.incarnation,
    }
}
