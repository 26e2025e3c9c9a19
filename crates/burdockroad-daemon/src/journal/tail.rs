//! Copies of other hosts' journal tails, kept for their successors.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use async_trait::async_trait;
use burdockroad::journal::{Copies, TailCopy, TailReply, TailTable, TailTableOptions};
use burdockroad_proto::peer::{
    HostRef, ReplicateTailRequest, ReplicateTailResponse, SealTailRequest, SealTailResponse,
};

use crate::{ownership::Process, peer::TailHandler};

/// Answers peers that replicate or seal a tail at this process.
///
/// A process that goes on under another incarnation takes a new one, as a process that restarted does.
#[derive(Debug)]
pub struct TailStore {
    me: Process,
    table: Mutex<TailTable>,
}

impl TailStore {
    /// Makes a store without any copies.
    pub fn new(me: Process) -> Self {
        Self::with_options(me, TailTableOptions::default())
    }

    /// Makes a store without any copies, with other limits.
    pub fn with_options(me: Process, options: TailTableOptions) -> Self {
        Self {
            me,
            table: Mutex::new(TailTable::new(options)),
        }
    }

    /// Seals a tail against its writer and returns what is held of it.
    pub fn seal_here(&self, writer: &Process) -> TailCopy {
        let copy = self.table().seal(writer, Instant::now());
        log::info!(
            "event=tail_sealed writer={} incarnation={:016x} records={}",
            writer.host_id,
            writer.incarnation,
            copy.records.len()
        );
        copy
    }

    fn table(&self) -> MutexGuard<'_, TailTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[async_trait]
impl TailHandler for TailStore {
    async fn replicate(&self, request: ReplicateTailRequest) -> ReplicateTailResponse {
        let to = request.to.map(process_of);
        let (Some(writer), true) = (request.writer, to.as_ref() == Some(&self.me)) else {
            return ReplicateTailResponse {
                other_process: true,
                ..ReplicateTailResponse::default()
            };
        };
        let copies = Copies {
            session: request.session,
            position: request.position,
            records: request.records.into_iter().map(Arc::from).collect(),
            stored_end: request.stored_end,
        };
        match self.table().keep(&process_of(writer), copies) {
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
        let from = Some(host_ref(&self.me));
        let Some(writer) = request.writer else {
            return SealTailResponse {
                from,
                ..SealTailResponse::default()
            };
        };
        let copy = self.seal_here(&process_of(writer));
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
