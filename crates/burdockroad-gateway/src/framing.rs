//! Framing of endpoints' responses, and the ways in which their streams break off.

use burdockroad::gateway::Truncation;
use http::{HeaderMap, header};

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// `Content-Length` gives the number of bytes.
    Length,
    /// The last chunk ends the body.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the framing that the headers of a response state.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        if headers.contains_key(header::TRANSFER_ENCODING) {
            Self::Chunked
        } else if headers.contains_key(header::CONTENT_LENGTH) {
            Self::Length
        } else {
            Self::UntilClose
        }
    }

    /// Returns whether the end of the body proves that all of it has arrived.
    pub(crate) fn is_delimited(self) -> bool {
        self != Self::UntilClose
    }

    /// Returns the name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Cause of a stream that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamBreak {
    /// The connection failed, or closed before the end that the framing announces.
    ConnectionFailed,
    /// No data arrived in time.
    NoData,
    /// An event is too long to be one.
    EventTooLong,
    /// The response ended, but its events are incomplete.
    Truncated(Truncation),
}

impl StreamBreak {
    /// Returns the name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::ConnectionFailed => "connection_failed",
            Self::NoData => "no_data",
            Self::EventTooLong => "event_too_long",
            Self::Truncated(Truncation::InsideEvent) => "inside_event",
            Self::Truncated(Truncation::BeforeFirstEvent) => "before_first_event",
        }
    }
}
