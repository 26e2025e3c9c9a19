//! Translation between the gateway's types and a platform's headers and stored values.

use std::{fmt, time::Duration};

use burdockroad::{
    ProgramId,
    gateway::{Document, Endpoint, LoadReading, PromptPart, RateStatement, TurnId},
};
use http::{HeaderMap, StatusCode};

/// Translates between the gateway's types and the headers and stored values of the platform it runs on.
///
/// Implementations only translate; they make no decisions.
pub trait Dialect: fmt::Debug + Send + Sync {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails when a required header is missing or a header is malformed.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, InvalidHead>;

    /// Converts a caller's headers to the headers of the forwarded request.
    fn write_forward(&self, headers: &mut HeaderMap, forward: &ForwardHead<'_>);

    /// Reads the head of a request that a host forwarded to an endpoint; `None` for requests of callers as far as the
    /// head tells them apart.
    fn read_forwarded(&self, headers: &HeaderMap) -> Option<ForwardedHead>;

    /// Reads the head of an endpoint's response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Converts the headers of an endpoint's response to those of the response to the caller.
    fn write_response(&self, headers: &mut HeaderMap);

    /// Adds the call id to a response that the gateway generates itself.
    fn write_gateway_response(&self, headers: &mut HeaderMap, call_id: &str);

    /// Writes the headers of a response stating that the call did not run because another endpoint was meant, and
    /// returns its status.
    fn write_wrong_endpoint(&self, headers: &mut HeaderMap, call_id: &str) -> StatusCode;

    /// Returns the prefix of the keys that the operator writes: the configuration document and orders.
    ///
    /// They are one range, so that a host learns of orders together with the configuration, from the same watchers
    /// and without further calls to the store. A host that has read the range once knows all orders.
    fn operator_prefix(&self) -> &str;

    /// Decodes a key of the operator's range. The value of an order says nothing further: its key is the order.
    fn read_operator_key<'a>(&self, key: &'a str) -> OperatorKey<'a>;

    /// Returns the prefix of the keys under which endpoints register themselves.
    fn endpoints_prefix(&self) -> &str;

    /// Returns the key under which the operator orders the removal of a host.
    fn removal_order_key(&self, host: &str) -> String;

    /// Decodes the time that the operator gives for a removal; `None` if the order states none.
    fn read_removal_time(&self, value: &[u8]) -> Option<Duration>;

    /// Returns the key under which a host reports the progress of its removal.
    fn removal_status_key(&self, host: &str) -> String;

    /// Returns the value that a host writes under its status key to report that its removal is complete.
    fn removal_completed_status(&self) -> Vec<u8>;

    /// Decodes a configuration document.
    ///
    /// # Errors
    ///
    /// Fails when the value is malformed.
    fn read_document(&self, value: &[u8]) -> Result<Document, DecodeError>;

    /// Decodes the entry of the endpoint `id`.
    ///
    /// # Errors
    ///
    /// Fails when the value is malformed.
    fn read_endpoint(&self, id: &str, value: &[u8]) -> Result<Endpoint, DecodeError>;
}

/// Key that the operator writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorKey<'a> {
    /// The configuration document.
    Document,
    /// Order to evacuate a failure domain, for as long as the key exists.
    Evacuation {
        /// The failure domain.
        domain: &'a str,
    },
    /// A key that does not concern the gateway.
    Other,
}

/// Information from the head of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the caller's attempt.
    pub call_id: String,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// Time for which the caller waits for the response.
    pub caller_timeout: Option<Duration>,
    /// Program that the call belongs to.
    pub program: Option<ProgramHead>,
    /// Tokens of the prompt and of the output.
    pub tokens: Option<TokenCount>,
    /// Parts of the prompt. An endpoint that has them cached is preferred.
    pub prompt_parts: Vec<PromptPart>,
    /// Last event that the caller has received, when it resumes a stream.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the stream's first event, when it resumes a stream.
    pub stream_origin: Option<String>,
    /// Turn that the call continues, on routes whose turns the system keeps.
    pub previous_turn: Option<TurnId>,
    /// Key of the object that the call concerns.
    pub affinity_key: Option<String>,
}

/// Information on the program that a call belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgramHead {
    /// Id of the program.
    pub id: ProgramId,
    /// Total number of tokens that the program may generate.
    pub budget_tokens: Option<u64>,
    /// Time until the program's deadline.
    pub time_left: Option<Duration>,
}

/// Token counts of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenCount {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Upper bound of the generated tokens.
    pub max_output: u64,
}

/// Information that the gateway adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardHead<'a> {
    /// Endpoint that the request is sent to.
    pub endpoint: &'a str,
    /// Account that the call belongs to.
    pub account: Option<&'a str>,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// Event after which a stream resumes.
    pub last_event: Option<u64>,
    /// Priority from 0, the most urgent, to 9.
    pub priority: u8,
}

/// Information from the head of a request that a host forwarded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedHead {
    /// Endpoint that the request was sent to.
    pub endpoint: String,
    /// Id of the caller's attempt.
    pub call_id: String,
}

/// Information from the head of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub struct ResponseHead {
    /// Id of the call that the endpoint responds to.
    pub call_id: Option<String>,
    /// Whether the endpoint attests that the response is its own.
    pub attested: bool,
    /// Whether the endpoint states that it did not run the call.
    pub not_run: bool,
    /// Whether the address now belongs to another endpoint.
    pub wrong_endpoint: bool,
    /// Phase of the endpoint's run.
    pub phase: EndpointPhase,
    /// Rate of calls that the endpoint takes.
    pub rate: RateStatement,
    /// Load of the endpoint.
    pub load: Option<LoadReading>,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
}

/// Phase of an endpoint's run, as the endpoint itself states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes calls.
    Serving,
    /// It leaves, and takes no new calls for long.
    Leaving,
}

/// Error of a request head that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidHead {
    /// Name of the missing or malformed field.
    pub field: &'static str,
}

/// Error of a stored value that cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodeError {
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for DecodeError {}
