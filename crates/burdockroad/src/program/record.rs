//! Records of what happened to a program tree, as a journal keeps them.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::{
    error::{Error, Result},
    ids::{AccountId, CallNumber, EndpointId, PoolId, ProgramId, RouteId},
    program::{Budget, Tree},
};

/// SHA-256 of a call's method, target and body; tells a repeated request from a different one.
pub type RequestDigest = [u8; 32];

/// One change of one program tree.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Record {
    /// Root of the tree that changed.
    pub root_id: ProgramId,
    /// Position among the tree's changes, from 1, without gaps.
    pub sequence: u64,
    /// The change.
    pub event: Event,
}

/// What changed.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum Event {
    /// A program began; without a parent it is the root of a new tree.
    Created {
        /// The new program.
        program_id: ProgramId,
        /// The account that it runs for.
        account_id: AccountId,
        /// The program that created it.
        parent_id: Option<ProgramId>,
        /// The budget of a root; a sub-agent shares its root's.
        budget: Option<Budget>,
        /// When it began.
        created_at: SystemTime,
    },
    /// A call is about to be sent to an endpoint.
    Intent {
        /// The program that makes the call.
        program_id: ProgramId,
        /// The call.
        intent: Intent,
    },
    /// A call ended, or is known never to have been sent.
    Settled {
        /// The program that made the call.
        program_id: ProgramId,
        /// The call's position.
        call_number: CallNumber,
        /// How it ended.
        outcome: Outcome,
        /// Tokens that count as spent.
        spent_tokens: u64,
    },
    /// An endpoint confirmed that it holds nothing more for a program, or is itself gone.
    Released {
        /// The program.
        program_id: ProgramId,
        /// The endpoint.
        endpoint_id: EndpointId,
    },
    /// A program ended; its history stays readable until its tree is forgotten.
    Ended {
        /// The program.
        program_id: ProgramId,
        /// Why, in a few words for the caller.
        reason: String,
        /// When it ended.
        ended_at: SystemTime,
    },
    /// The whole tree, in place of all records before this one.
    Snapshot {
        /// The tree.
        tree: Box<Tree>,
    },
    /// The tree is no longer kept in this journal: it was forgotten, or another host owns it.
    Dropped,
}

/// What is recorded before a call may leave the host.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Intent {
    /// The call's position.
    pub call_number: CallNumber,
    /// Route that the call takes.
    pub route_id: RouteId,
    /// What kind of call it is.
    pub kind: CallKind,
    /// Whether a repeated run would do no harm.
    pub idempotent: bool,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// New messages of a completion, as JSON texts; empty for a service call.
    pub messages: Vec<String>,
    /// Pool that the endpoint was taken from.
    pub pool_id: PoolId,
    /// Endpoint that the call is sent to.
    pub endpoint_id: EndpointId,
    /// Tokens set aside.
    pub reserved_tokens: u64,
    /// Whether the engine is told to keep the program's prefix for its next call.
    pub keeps_prefix: bool,
}

/// Kind of endpoint that a call is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum CallKind {
    /// A chat completion of a model engine.
    Completion,
    /// A request to a plain service.
    Service,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The endpoint's whole answer arrived.
    Answered(Answer),
    /// No byte of the request left the host; the call number may be used again.
    NotRun,
    /// An idempotent call failed; the call number may be used again.
    Failed {
        /// Why, in a few words for the caller.
        reason: String,
    },
    /// A call that may not be repeated was sent and its answer was not seen.
    Unknown {
        /// Why, in a few words for the caller.
        reason: String,
    },
}

impl Outcome {
    /// Bytes of an answer; 0 without one.
    pub fn bytes(&self) -> u64 {
        let Self::Answered(answer) = self else {
            return 0;
        };
        let message_bytes = answer.message.as_ref().map_or(0, String::len);
        (answer.body.len() + message_bytes) as u64
    }
}

/// An endpoint's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// HTTP content type; empty when the endpoint gave none.
    pub content_type: String,
    /// Body; for a completion the `chat.completion` object with its message left out.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// The assistant's message of a completion, as JSON text. It stands apart from the body so that
    /// a prompt is put together without parsing every earlier answer again.
    #[serde(default)]
    pub message: Option<String>,
}

/// Engine memory that an endpoint may hold for a program.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Hold {
    /// The program.
    pub program_id: ProgramId,
    /// Pool of the endpoint.
    pub pool_id: PoolId,
    /// The endpoint.
    pub endpoint_id: EndpointId,
}

impl Record {
    /// Encodes the record for a journal segment, as CBOR.
    ///
    /// # Errors
    ///
    /// Fails when a time stands before the Unix epoch.
    pub fn encode(&self) -> Result<Vec<u8>> {
        let mut bytes = Vec::new();
        ciborium::into_writer(self, &mut bytes)
            .map_err(|cause| Error::new("a record could not be encoded").with_cause(cause))?;
        Ok(bytes)
    }

    /// Decodes a record that [`encode`](Self::encode) wrote.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not one whole record.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        ciborium::from_reader(bytes)
            .map_err(|cause| Error::new("a record could not be decoded").with_cause(cause))
    }
}
