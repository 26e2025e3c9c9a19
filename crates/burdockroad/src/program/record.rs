//! Journal records of changes to program trees.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    ids::{AccountId, CallNumber, EndpointId, PoolId, ProgramId, RouteId},
    program::{Budget, Tree},
};

/// SHA-256 of a call's method, target and body. Distinguishes a retry of a request from a different
/// request.
pub type RequestDigest = [u8; 32];

/// One change to one program tree.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Root program of the changed tree.
    pub root_id: ProgramId,
    /// Sequence number of the change within its tree; starts at 1 and has no gaps.
    pub sequence: u64,
    /// The change.
    pub event: Event,
}

/// Change to a program tree.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// A program was created. Without a parent, it is the root of a new tree.
    Created {
        /// The new program.
        program_id: ProgramId,
        /// The account that the program runs for.
        account_id: AccountId,
        /// The parent program, if this is a sub-agent.
        parent_id: Option<ProgramId>,
        /// The budget of a root program; a sub-agent shares the budget of its root.
        budget: Option<Budget>,
        /// Creation time.
        created_at: SystemTime,
    },
    /// A call is about to be sent to an endpoint.
    Intent {
        /// The program that makes the call.
        program_id: ProgramId,
        /// The call.
        intent: Intent,
    },
    /// A call ended, or was never sent.
    Settled {
        /// The program that made the call.
        program_id: ProgramId,
        /// Sequence number of the call within its program.
        call_number: CallNumber,
        /// Outcome of the call.
        outcome: Outcome,
        /// Tokens charged to the budget.
        spent_tokens: u64,
    },
    /// An endpoint confirmed that it has freed the cached prefix of a program, or the endpoint was
    /// removed.
    Released {
        /// The program.
        program_id: ProgramId,
        /// The endpoint.
        endpoint_id: EndpointId,
    },
    /// A program ended. Its history stays readable until its tree is removed.
    Ended {
        /// The program.
        program_id: ProgramId,
        /// Short reason, shown to the caller.
        reason: String,
        /// End time.
        ended_at: SystemTime,
    },
    /// The complete tree. Replaces all earlier records of it.
    Snapshot {
        /// The tree.
        tree: Box<Tree>,
    },
    /// The tree was removed from this journal, because its retention period passed or because another
    /// host owns it.
    Dropped,
}

/// Description of a call, recorded before the call is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// Sequence number of the call within its program.
    pub call_number: CallNumber,
    /// Route of the call.
    pub route_id: RouteId,
    /// Kind of the call.
    pub kind: CallKind,
    /// Whether the call can safely be run more than once.
    pub idempotent: bool,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// New messages of a completion, as JSON texts; empty for a service call.
    pub messages: Vec<String>,
    /// Pool that contains the endpoint.
    pub pool_id: PoolId,
    /// Endpoint that the call is sent to.
    pub endpoint_id: EndpointId,
    /// Tokens reserved from the budget.
    pub reserved_tokens: u64,
    /// Whether the engine is asked to keep the program's prefix in its KV cache for the next call.
    pub keeps_prefix: bool,
}

/// Kind of a call, by the type of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallKind {
    /// A chat completion by a model engine.
    Completion,
    /// A request to an ordinary HTTP service.
    Service,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The complete response of the endpoint was received.
    Answered(CallResponse),
    /// No byte of the request left the host. The call number can be reused.
    NotRun,
    /// An idempotent call failed. The call number can be reused.
    Failed {
        /// Short reason, shown to the caller.
        reason: String,
    },
    /// A non-idempotent call was sent, but no complete response was received.
    Unknown {
        /// Short reason, shown to the caller.
        reason: String,
    },
}

impl Outcome {
    /// Returns the size of the response in bytes; 0 without a response.
    pub fn bytes(&self) -> u64 {
        let Self::Answered(response) = self else {
            return 0;
        };
        let message_bytes = response.message.as_ref().map_or(0, String::len);
        (response.body.len() + message_bytes) as u64
    }
}

/// Complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CallResponse {
    /// HTTP status code.
    pub status: u16,
    /// HTTP content type; empty if the endpoint sent none.
    pub content_type: String,
    /// Response body. For a completion, the `chat.completion` object without its message.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The assistant message of a completion, as JSON text. It is stored apart from the body so that a
    /// prompt can be assembled without parsing all earlier responses again.
    #[serde(default)]
    pub message: Option<String>,
}

/// Prefix of a program that an endpoint may have in its KV cache.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CachedPrefix {
    /// The program.
    pub program_id: ProgramId,
    /// Pool that contains the endpoint.
    pub pool_id: PoolId,
    /// The endpoint.
    pub endpoint_id: EndpointId,
}

impl Record {
    /// Encodes the record as CBOR for a journal segment.
    ///
    /// # Errors
    ///
    /// Fails if a timestamp is before the Unix epoch.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .map_err(|cause| Error::new("a record could not be encoded").with_cause(cause))?;
        Ok(bytes)
    }

    /// Decodes a record written by [`encode`](Self::encode).
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not exactly one complete record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes)
            .map_err(|cause| Error::new("a record could not be decoded").with_cause(cause))
    }
}
