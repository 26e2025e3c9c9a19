//! Copies of other hosts' journal tails, kept for their successors.

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

/// Answers peers that replicate or seal a tail at this process.
///
/// A process that goes on under another incarnation [restarts](Self::restart) it.
#[derive(Debug)]
pub struct TailStore {
    options: TailTableOptions,
    held: Mutex<Held>,
}

#[derive(Debug)]
struct Held {
    me: Process,
    table: TailTable,
}

impl TailStore {
    /// Makes a store without any copies.
    pub fn new(me: Process) -> Self {
        Self::with_options(me, TailTableOptions::default())
    }

    /// Makes a store without any copies, with other limits.
    pub fn with_options(me: Process, options: TailTableOptions) -> Self {
        let table = TailTable::new(options);
        Self {
            options,
            held: Mutex::new(Held { me, table }),
        }
    }

    /// Goes on as another process without any copies, as after a restart of the host.
    pub fn restart(&self, me: Process) {
        let table = TailTable::new(self.options);
        *self.held() = Held { me, table };
    }

    /// The process that the copies are kept by.
    pub fn process(&self) -> Process {
        self.held().me.clone()
    }

    /// Seals a tail against its writer and returns what is held of it.
    pub fn seal_local(&self, writer: &Process) -> TailCopy {
        let copy = self.held().table.seal(writer, Instant::now());
        log::info!(
            "event=tail_sealed writer={} incarnation={:016x} records={}",
            writer.host_id,
            writer.incarnation,
            copy.records.len()
        );
        copy
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl TailHandler for TailStore {
    async fn replicate(&self, request: ReplicateTailRequest) -> ReplicateTailResponse {
        let to = request.to.map(process_of);
        let mut held = self.held();
        let (Some(writer), true) = (request.writer, to.as_ref() == Some(&held.me)) else {
            return ReplicateTailResponse {
                other_process: true,
                ..ReplicateTailResponse::default()
            };
        };
        let copies = TailBatch {
            session: request.session,
            position: request.position,
            records: request.records.into_iter().map(Arc::from).collect(),
            stored_end: request.stored_end,
        };
        match held.table.append_batch(&process_of(writer), copies) {
            TailReply::Held(held_end) => ReplicateTailResponse {
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

/// The message form of a process.
pub(super) fn host_ref(process: &Process) -> HostRef {
    HostRef {
        host_id: process.host_id.clone(),
        incarnation: process.incarnation,
    }
}

/// The process that a message names.
pub(super) fn process_of(host: HostRef) -> Process {
    Process {
        host_id: host.host_id,
        incarnation: host.incarnation,
    }
}
