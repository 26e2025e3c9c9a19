//! Problem responses that report refusals and failures to callers.

use std::time::Duration;

use burdockroad::program::{Refusal, Shortage};
use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use crate::{dispatch::SlotRefusal, journal::JournalError, quota::QuotaRefusal};

/// Media type of a problem response.
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Prefix of the `type` of each problem.
const TYPE_PREFIX: &str = "urn:burdockroad:problem:";

/// Retry delay for a call whose program is moving between hosts.
const MOVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The reason why a request failed, and whether it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// Kind of the problem.
    pub kind: ProblemKind,
    /// Description of the problem for the caller.
    pub detail: String,
    /// Whether the request ran at an endpoint.
    pub ran: Ran,
    /// Delay after which a retry may succeed; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

/// Whether a request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request certainly did not run.
    No,
    /// The request may have run.
    Unknown,
    /// The request ran.
    Yes,
}

/// The kind of a problem; each kind has a stable `type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// A header, the body or the path is malformed.
    InvalidRequest,
    /// The key is missing, unknown or withdrawn.
    InvalidKey,
    /// This host cannot verify whether keys are still valid.
    KeysUnverifiable,
    /// The path, route or model does not exist.
    UnknownRoute,
    /// The program does not exist.
    UnknownProgram,
    /// The path does not support the method.
    MethodNotAllowed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The request body did not arrive within the time limit.
    RequestTimeout,
    /// The program has ended.
    ProgramEnded,
    /// The call number is not the next one of the program.
    WrongCallNumber,
    /// The call number or idempotency key was already used for a different request.
    DifferentRequest,
    /// The budget does not allow the call.
    OverBudget,
    /// The call would exceed the maximum size of the program's history.
    HistoryFull,
    /// The account exceeds its rate limit.
    OverRate,
    /// The host has no room for the request beside those of other callers.
    NoRoom,
    /// No slot is free in time, or the account's rate cannot be checked.
    Overloaded,
    /// The program is moving between hosts.
    Moving,
    /// The journal does not accept the records that the call requires.
    NotRecordable,
    /// The call may have run, and is not retried.
    OutcomeUnknown,
    /// The endpoint failed, or its response was truncated.
    EndpointFailed,
    /// The call did not complete before its deadline.
    CallTimeout,
    /// The call was stopped because its program ended.
    Stopped,
    /// This host is stopping.
    Stopping,
    /// An internal error occurred.
    Internal,
}

impl ProblemKind {
    /// Returns the last part of the problem's `type`.
    pub fn slug(self) -> &'static str {
        self.slug_and_status().0
    }

    /// Returns the HTTP status of the problem.
    pub fn status(self) -> u16 {
        self.slug_and_status().1
    }

    fn slug_and_status(self) -> (&'static str, u16) {
        match self {
            Self::InvalidRequest => ("invalid-request", 400),
            Self::InvalidKey => ("invalid-key", 401),
            Self::KeysUnverifiable => ("keys-unverifiable", 503),
            Self::UnknownRoute => ("unknown-route", 404),
            Self::UnknownProgram => ("unknown-program", 404),
            Self::MethodNotAllowed => ("method-not-allowed", 405),
            Self::BodyTooLarge => ("body-too-large", 413),
            Self::RequestTimeout => ("request-timeout", 408),
            Self::ProgramEnded => ("program-ended", 409),
            Self::WrongCallNumber => ("wrong-call-number", 409),
            Self::DifferentRequest => ("different-request", 409),
            Self::OverBudget => ("over-budget", 402),
            Self::HistoryFull => ("history-full", 413),
            Self::OverRate => ("over-rate", 429),
            Self::NoRoom => ("no-room", 503),
            Self::Overloaded => ("overloaded", 503),
            Self::Moving => ("moving", 503),
            Self::NotRecordable => ("not-recordable", 503),
            Self::OutcomeUnknown => ("outcome-unknown", 409),
            Self::EndpointFailed => ("endpoint-failed", 502),
            Self::CallTimeout => ("call-timeout", 504),
            Self::Stopped => ("stopped", 409),
            Self::Stopping => ("stopping", 503),
            Self::Internal => ("internal", 500),
        }
    }
}

impl Problem {
    /// Creates a problem for a request that did not run and for which a retry does not help.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(self, ran: Ran) -> Self {
        Self { ran, ..self }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Returns the value of the `Retry-After` header in seconds, rounded up and at least 1.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|after| {
            after
                .as_millis()
                .div_ceil(1_000)
                .max(1)
                .try_into()
                .unwrap_or(u64::MAX)
        })
    }

    /// Returns the problem as JSON, with the `error` object that clients of the OpenAI format display.
    pub fn to_json(&self) -> Bytes {
        let kind = self.kind;
        let body = json!({
            "type": format!("{TYPE_PREFIX}{}", kind.slug()),
            "title": kind.slug().replace('-', " "),
            "status": kind.status(),
            "detail": self.detail,
            "ran": self.ran,
            "retry_after_s": self.retry_after_s(),
            "error": { "message": self.detail, "type": kind.slug(), "code": kind.slug() },
        });
        Bytes::from(body.to_string())
    }
}

impl From<Refusal> for Problem {
    fn from(refusal: Refusal) -> Self {
        let detail = refusal.to_string();
        match refusal {
            Refusal::UnknownProgram => Self::new(ProblemKind::UnknownProgram, detail),
            Refusal::NotOwner => Self::new(ProblemKind::Moving, detail).retry_after(MOVING_RETRY_AFTER),
            Refusal::Ended { .. } => Self::new(ProblemKind::ProgramEnded, detail),
            Refusal::WrongNumber { .. } => Self::new(ProblemKind::WrongCallNumber, detail),
            Refusal::DifferentRequest => Self::new(ProblemKind::DifferentRequest, detail),
            Refusal::OutcomeUnknown { .. } => {
                Self::new(ProblemKind::OutcomeUnknown, detail).ran(Ran::Unknown)
            }
            Refusal::HistoryFull { .. } => Self::new(ProblemKind::HistoryFull, detail),
            Refusal::OverBudget {
                retry_after,
                shortage,
            } => {
                let kind = match shortage {
                    Shortage::Tokens | Shortage::Calls | Shortage::Duration => ProblemKind::OverBudget,
                };
                Self {
                    retry_after,
                    ..Self::new(kind, detail)
                }
            }
        }
    }
}

impl From<QuotaRefusal> for Problem {
    fn from(refusal: QuotaRefusal) -> Self {
        let (kind, detail) = if refusal.over_rate {
            (ProblemKind::OverRate, "the account exceeds its rate limit")
        } else {
            (
                ProblemKind::Overloaded,
                "the account's rate limit cannot be checked at present",
            )
        };
        Self::new(kind, detail).retry_after(refusal.retry_after)
    }
}

impl From<SlotRefusal> for Problem {
    fn from(refusal: SlotRefusal) -> Self {
        Self::new(ProblemKind::Overloaded, refusal.reason).retry_after(refusal.retry_after)
    }
}

impl From<JournalError> for Problem {
    fn from(error: JournalError) -> Self {
        match error {
            JournalError::Fenced => Self::new(ProblemKind::Moving, "the program has moved to another host")
                .retry_after(MOVING_RETRY_AFTER),
            JournalError::TooLarge => Self::new(
                ProblemKind::BodyTooLarge,
                "the call exceeds the maximum size of a journal record",
            ),
            JournalError::Unavailable { retry_after } => Self::new(
                ProblemKind::NotRecordable,
                "the call cannot be recorded in the journal at present",
            )
            .retry_after(retry_after),
        }
    }
}
