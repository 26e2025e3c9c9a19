//! Routing of requests from the host that received them to the host that owns their program.
//!
//! Any host accepts any request. A request that concerns a program is forwarded to the owner of the
//! program's partition, and the response is streamed back. Forwarding a request again after a failure
//! is safe, because the owner detects duplicates: calls by program id and number, new programs by
//! their id.

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

/// Interval at which the owner of a moving partition is checked again.
const MOVING_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of random hexadecimal digits in the id of a new program.
const PROGRAM_ID_DIGITS: usize = 24;

/// A stream of response frames, from this host or from the program's owner.
pub type Frames = Pin<Box<dyn Stream<Item = Frame> + Send>>;

/// An authenticated request from which the caller's key has been removed.
#[derive(Clone, Debug)]
pub struct EdgeRequest {
    /// Account and key of the caller.
    pub caller: Caller,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Requested operation.
    pub operation: Operation,
    /// Id of the program that the request creates: a new program, or that of an idempotency key.
    pub new_program_id: Option<ProgramId>,
    /// Time by which the response must be complete.
    pub deadline: Instant,
}

/// Limits that apply to each request.
#[derive(Clone, Copy, Debug)]
pub struct EdgeLimits {
    /// Maximum wait for a program that is moving between hosts.
    pub moving_timeout: Duration,
}

/// A router that serves requests at this host or forwards them to the host that owns their program.
#[derive(Clone, Debug)]
pub struct Edge {
    /// Executor of calls at this host.
    pub runner: CallRunner,
    /// Ownership map of the partitions.
    pub ownership: OwnershipReceiver,
    /// Addresses of the other hosts.
    pub peers: PeersReceiver,
    /// Connections to the other hosts.
    pub clients: Arc<PeerClients>,
    /// Document in force.
    pub in_force: InForceReceiver,
    /// Limits that apply to each request.
    pub limits: EdgeLimits,
}

/// The reason why a partition's owner did not serve a request.
enum OwnerError {
    /// Nothing ran, because the program is moving or its owner is unreachable.
    Unavailable,
    /// The connection broke; the request may have run.
    ConnectionLost,
}

impl Edge {
    /// Serves a request at whichever host owns its program.
    ///
    /// # Errors
    ///
    /// Returns a problem if the request is invalid or refused, or if no host serves it in time. The
    /// problem states whether the request may have run.
    pub async fn serve(&self, mut request: EdgeRequest) -> Result<Frames, Problem> {
        let Some(partition) = self.partition(&mut request)? else {
            return Ok(frames(self.serve_local(&request).await?));
        };
        let retry_deadline = request.deadline.min(Instant::now() + self.limits.moving_timeout);
        let mut ran = Ran::No;
        loop {
            match self.serve_at_owner(&request, partition).await? {
                Ok(frames) => return Ok(frames),
                Err(OwnerError::ConnectionLost) => ran = Ran::Unknown,
                Err(OwnerError::Unavailable) => {}
            }
            if Instant::now() + MOVING_POLL_INTERVAL >= retry_deadline {
                return Err(moving_problem(ran));
            }
            tokio::time::sleep(MOVING_POLL_INTERVAL).await;
        }
    }

    async fn serve_at_owner(
        &self,
        request: &EdgeRequest,
        partition: PartitionId,
    ) -> Result<Result<Frames, OwnerError>, Problem> {
        let view = Arc::clone(&self.ownership.borrow());
        if view.owns(partition) {
            return match self.serve_local(request).await {
                Ok(reader) => Ok(Ok(frames(reader))),
                Err(problem) if problem.kind == ProblemKind::Moving => Ok(Err(OwnerError::Unavailable)),
                Err(problem) => Err(problem),
            };
        }
        let Some(owner) = view.owner(partition) else {
            return Ok(Err(OwnerError::Unavailable));
        };
        Ok(self.forward(request, &owner.process, partition).await)
    }

    /// Returns the partition of a request, or `None` if any host can serve it.
    fn partition(&self, request: &mut EdgeRequest) -> Result<Option<PartitionId>, Problem> {
        match &request.operation.target {
            Target::Models => Ok(None),
            Target::ShowProgram(id) | Target::EndProgram(id) => partition_of_program_id(id).map(Some),
            Target::CreateProgram => self.partition_of_new_program(request).map(Some),
            Target::Completion | Target::Service { .. } => partition_of_call(request),
        }
    }

    /// Returns the partition of a program to create: that of its parent, or a random one of this host.
    fn partition_of_new_program(&self, request: &mut EdgeRequest) -> Result<PartitionId, Problem> {
        if let Some(id) = &request.new_program_id {
            return partition_of_program_id(id);
        }
        let requested = crate::http::NewProgramRequest::parse(&request.body)?;
        let mut rng = rand::rng();
        let partition = if let Some(parent_id) = &requested.parent {
            partition_of_program_id(parent_id)?
        } else {
            let own_partitions = self.ownership.borrow().own_partitions();
            own_partitions
                .choose(&mut rng)
                .copied()
                .unwrap_or_else(|| rng.random_range(0..PARTITIONS))
        };
        let random = format!("{:032x}", rng.random::<u128>());
        request.new_program_id = Some(program_id(partition, &random[..PROGRAM_ID_DIGITS]));
        Ok(partition)
    }
}

/// Returns the partition of a call: that of its program or of its idempotency key.
fn partition_of_call(request: &mut EdgeRequest) -> Result<Option<PartitionId>, Problem> {
    let call = &request.operation.call;
    if let Some((id, _)) = &call.position {
        return partition_of_program_id(id).map(Some);
    }
    let Some(key) = &call.idempotency_key else {
        return Ok(None);
    };
    let id = idempotency_program_id(&request.caller.account_id, key);
    let partition = partition_of_program(&id);
    request.new_program_id = Some(id);
    Ok(partition)
}

/// Returns the id of the program for an idempotency key. Every host computes the same id.
fn idempotency_program_id(account_id: &str, key: &str) -> ProgramId {
    let hash = sha256_hex(&format!("{account_id}\0{key}"));
    program_id(partition_of(&hash), &format!("k{}", &hash[..PROGRAM_ID_DIGITS]))
}

fn partition_of_program_id(id: &str) -> Result<PartitionId, Problem> {
    let partition = partition_of_program(id).filter(|partition| *partition < PARTITIONS);
    partition.ok_or_else(|| burdockroad::program::Refusal::UnknownProgram.into())
}

fn frames(reader: ResponseReader) -> Frames {
    reader.into_stream().boxed()
}

fn moving_problem(ran: Ran) -> Problem {
    let detail = "the host that owns the program is unreachable; another host will take the program over";
    Problem::new(ProblemKind::Moving, detail)
        .ran(ran)
        .retry_after(Duration::from_secs(2))
}
