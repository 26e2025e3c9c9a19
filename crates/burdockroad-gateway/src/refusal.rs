//! Responses that the gateway generates itself.

use std::{fmt::Write, time::Duration};

use burdockroad::gateway::UnknownEvents;
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode, header};

use crate::{Dialect, response_body::ResponseBody};

/// `Retry-After` of a host that is not ready or stops. It is short because another host can serve the caller.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// `Retry-After` when a host has no room for a body. Calls with large bodies end meanwhile, and other hosts may have room.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` when the turn that a call continues cannot be read. A host that stores turns is asked again
/// after this time, too.
const TURN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` when the version of a stream, or what its caller has received, is not known. Another host may know it.
const STREAM_RETRY_AFTER: Duration = Duration::from_millis(200);

/// `Retry-After` when the service has no endpoint in the regions that the call is bound to. An endpoint may register
/// there at any time.
const NO_ALLOWED_ENDPOINT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reason why the turn of a call cannot be begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TurnObstacle {
    /// This host reaches neither the store nor another host.
    Isolated,
    /// Too many of the hosts with disks count as lost, or too few are in allowed regions.
    DiskHostsLost,
    /// The previous turn cannot be read.
    HistoryUnread,
}

impl TurnObstacle {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            Self::Isolated => "isolated",
            Self::DiskHostsLost => "disk_hosts_lost",
            Self::HistoryUnread => "history_unread",
        }
    }
}

/// Reason why the events that a caller has received before it takes a stream up cannot become a part of its turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EventsObstacle {
    /// The route's streams may not be resumed.
    NotResumable,
    /// The caller does not name the attempt that began the stream.
    Unnamed,
    /// Most holders of the stream did not answer.
    HoldersSilent,
    /// The holders of the stream do not have them, or not for certain.
    Unknown(UnknownEvents),
    /// Too few holders know of the attempt that takes the stream up.
    TakeUpNotHeld,
}

impl EventsObstacle {
    /// Returns the name used in logs.
    fn name(self) -> &'static str {
        match self {
            Self::NotResumable => "not_resumable",
            Self::Unnamed => "unnamed",
            Self::HoldersSilent => "holders_silent",
            Self::Unknown(UnknownEvents::NotHeld) => "not_held",
            Self::Unknown(UnknownEvents::OtherCall) => "other_call",
            Self::Unknown(UnknownEvents::TooFew) => "too_few",
            Self::Unknown(UnknownEvents::Ambiguous) => "ambiguous",
            Self::TakeUpNotHeld => "take_up_not_held",
        }
    }
}

/// Reason why a call ends without an endpoint's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The host has not read the configuration, the registered hosts or the endpoints yet.
    NotReady,
    /// The host is stopping, and the call may take longer than the host runs.
    Stopping,
    /// The named header is missing or malformed.
    InvalidHead(&'static str),
    /// The body exceeds the limit.
    BodyTooLong,
    /// The body did not arrive completely or in time.
    BodyIncomplete,
    /// The host has no room for the body beside those of other calls.
    NoRoom,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    UnknownKey,
    /// The turn that the call continues does not exist.
    UnknownTurn,
    /// Turns cannot be stored at the moment, or the turn that the call continues cannot be read.
    TurnUnavailable(TurnObstacle),
    /// The call's turn could not be stored, so later calls could not continue it.
    TurnNotStored,
    /// The software version that began the stream which the caller takes up is not known.
    UnknownStream,
    /// The events that the caller has received before it takes its stream up cannot become a part of its turn.
    EventsUnknown(EventsObstacle),
    /// The account exceeds its rate limit.
    OverRate(Duration),
    /// The program's budget has too few tokens left for the call.
    BudgetExhausted,
    /// No tokens could be reserved because the store does not respond.
    NoReservation(Duration),
    /// No endpoint can take the call, or the service is too loaded for another program to start.
    NoEndpoint(Duration),
    /// No endpoint is in the regions in which the call must stay, or no region is allowed by all restrictions.
    NoAllowedEndpoint,
    /// Equal or similar requests have crashed the endpoints that ran them.
    Quarantined(Duration),
    /// The deadline passed, and the call has not run at any endpoint.
    DeadlineExceededUnsent,
    /// The deadline passed, and the call may have run.
    DeadlineExceeded,
    /// The host stops, and the call may have run.
    CutByStop,
    /// The call may have run, and its outcome is unknown.
    UnknownOutcome,
}

impl Refusal {
    /// Returns the name used in logs, metrics and response bodies.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not_ready",
            Self::Stopping => "stopping",
            Self::InvalidHead(_) => "bad_head",
            Self::BodyTooLong => "body_too_long",
            Self::BodyIncomplete => "body_incomplete",
            Self::NoRoom => "no_room",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::UnknownTurn => "unknown_turn",
            Self::TurnUnavailable(_) => "turn_unavailable",
            Self::TurnNotStored => "turn_not_stored",
            Self::UnknownStream => "unknown_stream",
            Self::EventsUnknown(_) => "received_events_unknown",
            Self::OverRate(_) => "over_rate",
            Self::BudgetExhausted => "budget_spent",
            Self::NoReservation(_) => "no_reservation",
            Self::NoEndpoint(_) => "no_endpoint",
            Self::NoAllowedEndpoint => "no_allowed_endpoint",
            Self::Quarantined(_) => "quarantined",
            Self::DeadlineExceededUnsent => "time_over_unsent",
            Self::DeadlineExceeded => "time_over",
            Self::CutByStop => "cut_by_stop",
            Self::UnknownOutcome => "unknown_outcome",
        }
    }

    /// Returns what the log tells beside the name: the invalid header, or why a turn cannot be begun or gone on with.
    pub(crate) fn detail(self) -> Option<&'static str> {
        match self {
            Self::InvalidHead(field) => Some(field),
            Self::TurnUnavailable(obstacle) => Some(obstacle.name()),
            Self::EventsUnknown(obstacle) => Some(obstacle.name()),
            _ => None,
        }
    }

    /// Returns the HTTP status. 408, 429 and 503 promise that the call has not run and will not run.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Self::NotReady
            | Self::Stopping
            | Self::NoRoom
            | Self::TurnUnavailable(_)
            | Self::UnknownStream
            | Self::EventsUnknown(_)
            | Self::NoReservation(_)
            | Self::NoEndpoint(_)
            | Self::NoAllowedEndpoint
            | Self::Quarantined(_)
            | Self::DeadlineExceededUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::InvalidHead(_) => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyIncomplete => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute | Self::UnknownTurn => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverRate(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::BudgetExhausted => StatusCode::PAYMENT_REQUIRED,
            Self::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
            Self::CutByStop | Self::UnknownOutcome | Self::TurnNotStored => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the time after which the caller may retry.
    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NotReady | Self::Stopping => Some(NOT_READY_RETRY_AFTER),
            Self::NoRoom => Some(NO_ROOM_RETRY_AFTER),
            Self::TurnUnavailable(_) => Some(TURN_RETRY_AFTER),
            Self::UnknownStream | Self::EventsUnknown(_) => Some(STREAM_RETRY_AFTER),
            Self::NoAllowedEndpoint => Some(NO_ALLOWED_ENDPOINT_RETRY_AFTER),
            Self::OverRate(wait)
            | Self::NoReservation(wait)
            | Self::NoEndpoint(wait)
            | Self::Quarantined(wait) => Some(wait),
            _ => None,
        }
    }

    /// Builds the response.
    pub(crate) fn response(self, dialect: &dyn Dialect, call_id: Option<&str>) -> Response<ResponseBody> {
        let body = format!("{{\"refused\":\"{}\"}}\n", self.name());
        let mut response = Response::new(ResponseBody::full(Bytes::from(body)));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(wait) = self.retry_after() {
            set_retry_after(headers, wait);
        }
        if let Some(call_id) = call_id {
            dialect.write_gateway_response(headers, call_id);
        }
        response
    }
}

fn set_retry_after(headers: &mut HeaderMap, wait: Duration) {
    let mut seconds = String::new();
    let written = write!(seconds, "{:.3}", wait.as_secs_f64());
    if written.is_ok()
        && let Ok(value) = HeaderValue::from_str(&seconds)
    {
        headers.insert(header::RETRY_AFTER, value);
    }
}
