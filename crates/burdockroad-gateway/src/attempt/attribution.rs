//! Attribution of responses to calls, by the call id that endpoints echo.
//!
//! A faulty endpoint may send an extra response where the next one is expected, such as a refusal of an earlier call.

use burdockroad::gateway::Endpoint;
use serde::Serialize;

use super::{Call, OpenedResponse};
use crate::ResponseHead;

/// Characters of a response's call id that are logged.
const LOGGED_ID_MAX_CHARS: usize = 64;

/// Call that a response belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Attribution {
    /// The call that was sent on the connection.
    Own,
    /// Another call.
    Other,
    /// Unknown: the response has no call id.
    Missing,
}

impl Attribution {
    /// Attributes a response on the connection on which the call `call_id` was sent.
    fn of(head: &ResponseHead, call_id: &str) -> Self {
        match head.call_id.as_deref() {
            Some(id) if id == call_id => Self::Own,
            Some(_) => Self::Other,
            None => Self::Missing,
        }
    }

    /// Returns the name used in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Other => "other",
            Self::Missing => "missing",
        }
    }
}

/// Use of a connection before a call is sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionUse {
    /// No call was sent on it.
    New,
    /// It has carried other calls.
    Kept,
}

impl ConnectionUse {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            Self::New => "new",
            Self::Kept => "kept",
        }
    }
}

impl Call {
    /// Attributes a response that arrived after the call was sent, and counts it. A response that is not the call's
    /// own is logged.
    pub(super) fn attribute(
        &self,
        endpoint: &Endpoint,
        opened: &OpenedResponse,
        connection: ConnectionUse,
    ) -> Attribution {
        let attribution = Attribution::of(&opened.head, &self.head.call_id);
        let statement = statement(&opened.head);
        metrics::counter!(
            "burdockroad_endpoint_responses_total",
            "call_id" => attribution.name(),
            "statement" => statement
        )
        .increment(1);
        if attribution != Attribution::Own {
            let response_id = opened.head.call_id.as_deref();
            let line = ResponseMismatchedLine {
                id: &self.head.call_id,
                endpoint: &endpoint.id,
                response_id: response_id.map(|id| id.chars().take(LOGGED_ID_MAX_CHARS).collect()),
                status: opened.response.status().as_u16(),
                statement,
                connection: connection.name(),
                through_host: opened.connection.through_host.as_deref(),
            };
            self.shared.log.line("response_mismatched", &line);
        }
        attribution
    }
}

/// Returns the name of what a response states on its call.
fn statement(head: &ResponseHead) -> &'static str {
    if head.not_run {
        "not_run"
    } else if head.wrong_endpoint {
        "wrong_endpoint"
    } else {
        "answer"
    }
}

/// Log line of a response that is not that of the call which was sent on its connection.
#[derive(Serialize)]
struct ResponseMismatchedLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    /// Call id of the response; `None` if it has none.
    response_id: Option<String>,
    status: u16,
    statement: &'static str,
    connection: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    through_host: Option<&'a str>,
}
