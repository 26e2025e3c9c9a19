//! Refusals and failures, as callers see them.

use std::time::Duration;

use burdockroad::program::{Refusal, Shortage};
use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use crate::{dispatch::SlotRefusal, journal::JournalError, programs::Rejection, quota::QuotaRefusal};

/// Media type of a problem.
pub const PROBLEM_CONTENT_TYPE: &str = "application/problem+json";

/// Prefix of each problem's `type`.
const TYPE_PREFIX: &str = "urn:burdockroad:problem:";

/// Time after which a call may succeed that met a program in motion between hosts.
const MOVING_RETRY: Duration = Duration::from_secs(1);

/// Why a request was not answered, and whether it ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What kind of problem it is.
    pub kind: ProblemKind,
    /// What happened, in a sentence for the caller.
    pub detail: String,
    /// Whether the request ran at an endpoint.
    pub ran: Ran,
    /// When a later try may succeed; none where it cannot.
    pub retry_after: Option<Duration>,
}

/// Whether a request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It certainly did not.
    No,
    /// It may have.
    Unknown,
    /// It did.
    Yes,
}

/// Kinds of problem; each has a stable `type`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProblemKind {
    /// A header, the body or the path is malformed.
    InvalidRequest,
    /// The key is absent, unknown or withdrawn.
    InvalidKey,
    /// This host cannot tell whether keys are still good.
    KeysUnverifiable,
    /// There is no such path, route or model.
    UnknownRoute,
    /// There is no such program.
    UnknownProgram,
    /// The method is not one that the path takes.
    MethodNotAllowed,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The request did not arrive in time.
    RequestTimeout,
    /// The program has ended.
    ProgramEnded,
    /// The call's number is not the program's next one.
    WrongCallNumber,
    /// The number or idempotency key belongs to a different request.
    DifferentRequest,
    /// The budget does not allow the call.
    OverBudget,
    /// The program's history has no room for the call.
    HistoryFull,
    /// The account is over its rate.
    OverRate,
    /// No endpoint is free in time.
    Overloaded,
    /// The program is moving between hosts.
    Moving,
    /// What must be recorded before the call cannot be recorded now.
    NotRecordable,
    /// The call may have run, and will not be repeated.
    OutcomeUnknown,
    /// The endpoint failed, or its answer was cut short.
    EndpointFailed,
    /// The call's time is over.
    CallTimeout,
    /// The call was stopped, since its program ended.
    Stopped,
    /// This host is stopping.
    Stopping,
    /// A fault of this system.
    Internal,
}

impl ProblemKind {
    /// The last part of the problem's `type`.
    pub fn slug(self) -> &'static str {
        self.row().0
    }

    /// HTTP status of the problem.
    pub fn status(self) -> u16 {
        self.row().1
    }

    fn row(self) -> (&'static str, u16) {
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
    /// Makes a problem of a request that did not run and that a later try does not help.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Says whether the request ran.
    #[must_use]
    pub fn ran(self, ran: Ran) -> Self {
        Self { ran, ..self }
    }

    /// Says when a later try may succeed.
    #[must_use]
    pub fn retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    /// Whole seconds for the `Retry-After` header, rounded up.
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

    /// The problem as JSON, with the `error` object that clients of the OpenAI format show.
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
            Refusal::NotOwner => Self::new(ProblemKind::Moving, detail).retry_after(MOVING_RETRY),
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

impl From<Rejection> for Problem {
    fn from(cause: Rejection) -> Self {
        match cause {
            Rejection::Refused(cause) => cause.into(),
            Rejection::NotRecordable(cause) => cause.into(),
        }
    }
}

impl From<QuotaRefusal> for Problem {
    fn from(refusal: QuotaRefusal) -> Self {
        let (kind, detail) = if refusal.over_rate {
            (ProblemKind::OverRate, "the account is over its rate")
        } else {
            (
                ProblemKind::Overloaded,
                "the account's rate cannot be checked now",
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
                .retry_after(MOVING_RETRY),
            JournalError::TooLarge => Self::new(
                ProblemKind::BodyTooLarge,
                "the call is larger than a record of it may be",
            ),
            JournalError::Unavailable { retry_after } => {
                Self::new(ProblemKind::NotRecordable, "the call cannot be recorded now")
                    .retry_after(retry_after)
            }
        }
    }
}
