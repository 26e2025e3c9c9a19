//! Requests between the host that took them and the host that owns their program.
//!
//! Any host takes any request. One that concerns a program goes to the owner of the program's
//! partition, and the answer streams back. Forwarding again after a failure is harmless: the owner
//! knows a call by its program and number, a new program by its id.

mod forward;
mod program_json;
mod serve;

use std::{pin::Pin, sync::Arc, time::Duration};

use burdockroad::{
    PARTITIONS, PartitionId, ProgramId, config::key_hash as sha256_hex, partition_of, partition_of_program,
    program_id,
};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, Method};
use rand::{RngExt, seq::IndexedRandom};
use tokio::time::Instant;

use crate::{
    answer::{Frame, ResponseReader},
    calls::{CallRunner, Caller},
    config_watch::InForceReceiver,
    http::{Operation, Target},
    ownership::{OwnershipReceiver, PeersReceiver},
    peer::PeerClients,
    problem::{Problem, ProblemKind, Ran},
};

pub(crate) use self::serve::find_route;

/// Time between two looks at who owns a partition that is on the move.
const MOVING_POLL: Duration = Duration::from_millis(50);

/// Random digits of a new program's id.
const PROGRAM_ID_DIGITS: usize = 24;

/// Frames of an answer, wherever it is made.
pub type Frames = Pin<Box<dyn Stream<Item = Frame> + Send>>;

/// A request, with the caller known and the caller's key removed.
#[derive(Clone, Debug)]
pub struct EdgeRequest {
    /// On whose behalf it runs.
    pub caller: Caller,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// What it asks for.
    pub operation: Operation,
    /// Id of the program that it creates.
    pub new_program_id: Option<ProgramId>,
    /// When it must have been answered.
    pub deadline: Instant,
}

/// Limits of requests.
#[derive(Clone, Copy, Debug)]
pub struct EdgeLimits {
    /// Longest wait for a program that is moving between hosts.
    pub moving_timeout: Duration,
}

/// Serves requests here or at the host that owns their program.
#[derive(Clone, Debug)]
pub struct Edge {
    /// Runs calls at this host.
    pub runner: CallRunner,
    /// Who owns which partition.
    pub ownership: OwnershipReceiver,
    /// Where the other hosts are.
    pub peers: PeersReceiver,
    /// Connections to the other hosts.
    pub clients: Arc<PeerClients>,
    /// The document in force.
    pub in_force: InForceReceiver,
    /// Limits of requests.
    pub limits: EdgeLimits,
}

/// Why a request was not served at one host.
enum Missed {
    /// Nothing ran: its program is moving or its owner is not reachable.
    NotThere,
    /// The connection broke; the request may have run.
    Broken,
}

impl Edge {
    /// Serves a request, wherever its program is.
    ///
    /// # Errors
    ///
    /// Fails when no host serves it in time; the problem says whether it may have run.
    pub async fn serve(&self, mut request: EdgeRequest) -> Result<Frames, Problem> {
        let Some(partition) = self.partition(&mut request)? else {
            return Ok(frames(self.serve_here(&request).await?));
        };
        let latest = request.deadline.min(Instant::now() + self.limits.moving_timeout);
        let mut ran = Ran::No;
        loop {
            match self.serve_at_owner(&request, partition).await? {
                Ok(frames) => return Ok(frames),
                Err(Missed::Broken) => ran = Ran::Unknown,
                Err(Missed::NotThere) => {}
            }
            if Instant::now() + MOVING_POLL >= latest {
                return Err(moving(ran));
            }
            tokio::time::sleep(MOVING_POLL).await;
        }
    }

    async fn serve_at_owner(
        &self,
        request: &EdgeRequest,
        partition: PartitionId,
    ) -> Result<Result<Frames, Missed>, Problem> {
        let view = Arc::clone(&self.ownership.borrow());
        if view.owns(partition) {
            return match self.serve_here(request).await {
                Ok(reader) => Ok(Ok(frames(reader))),
                Err(problem) if problem.kind == ProblemKind::Moving => Ok(Err(Missed::NotThere)),
                Err(problem) => Err(problem),
            };
        }
        let Some(owner) = view.owner(partition) else {
            return Ok(Err(Missed::NotThere));
        };
        Ok(self.forward(request, &owner.process, partition).await)
    }

    /// The partition that a request concerns; none for one that any host serves alike.
    fn partition(&self, request: &mut EdgeRequest) -> Result<Option<PartitionId>, Problem> {
        match &request.operation.target {
            Target::Models => Ok(None),
            Target::ShowProgram(id) | Target::EndProgram(id) => partition_of_known(id).map(Some),
            Target::CreateProgram => self.new_partition(request).map(Some),
            Target::Completion | Target::Service { .. } => call_partition(request),
        }
    }

    /// The partition of a program to be created: its parent's, or one of this host's own.
    fn new_partition(&self, request: &mut EdgeRequest) -> Result<PartitionId, Problem> {
        if let Some(id) = &request.new_program_id {
            return partition_of_known(id);
        }
        let asked = crate::http::NewProgramRequest::parse(&request.body)?;
        let mut rng = rand::rng();
        let partition = if let Some(parent_id) = &asked.parent {
            partition_of_known(parent_id)?
        } else {
            let own = self.ownership.borrow().own_partitions();
            own.choose(&mut rng)
                .copied()
                .unwrap_or_else(|| rng.random_range(0..PARTITIONS))
        };
        let random = format!("{:032x}", rng.random::<u128>());
        request.new_program_id = Some(program_id(partition, &random[..PROGRAM_ID_DIGITS]));
        Ok(partition)
    }
}

/// The partition of a call: its program's, or that of its idempotency key.
fn call_partition(request: &mut EdgeRequest) -> Result<Option<PartitionId>, Problem> {
    let call = &request.operation.call;
    if let Some((id, _)) = &call.position {
        return partition_of_known(id).map(Some);
    }
    let Some(key) = &call.idempotency_key else {
        return Ok(None);
    };
    let id = keyed_program_id(&request.caller.account_id, key);
    let partition = partition_of_program(&id);
    request.new_program_id = Some(id);
    Ok(partition)
}

/// Id of the program of one call that an idempotency key stands for, the same at every host.
fn keyed_program_id(account_id: &str, key: &str) -> ProgramId {
    let digits = sha256_hex(&format!("{account_id}\0{key}"));
    program_id(
        partition_of(&digits),
        &format!("k{}", &digits[..PROGRAM_ID_DIGITS]),
    )
}

fn partition_of_known(id: &str) -> Result<PartitionId, Problem> {
    let partition = partition_of_program(id).filter(|partition| *partition < PARTITIONS);
    partition.ok_or_else(|| burdockroad::program::Refusal::UnknownProgram.into())
}

fn frames(reader: ResponseReader) -> Frames {
    reader.into_stream().boxed()
}

fn moving(ran: Ran) -> Problem {
    let detail = "the host that owns the program cannot be reached; another is to take it over";
    Problem::new(ProblemKind::Moving, detail)
        .ran(ran)
        .retry_after(Duration::from_secs(2))
}
