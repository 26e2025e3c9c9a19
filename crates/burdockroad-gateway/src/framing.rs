//! Framing of endpoints' responses, and the ways in which their streams break off.

use burdockroad::gateway::{ForeignBytes, Truncation};
use http::{HeaderMap, header};

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

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

/// Media type of a response, in lower case and without parameters; `None` if the response states none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct MediaType(Option<String>);

impl MediaType {
    /// Returns the media type that the headers of a response state.
    pub(crate) fn of(headers: &HeaderMap) -> Self {
        let stated = headers.get(header::CONTENT_TYPE);
        Self(stated.map(|value| {
            let value = String::from_utf8_lossy(value.as_bytes()).to_ascii_lowercase();
            let essence = value.split_once(';').map_or(&*value, |(essence, _)| essence);
            essence.trim().to_owned()
        }))
    }

    /// Returns whether a response of type `next` may resume a stream of this type. A stream without a type may
    /// resume as an event stream.
    pub(crate) fn may_resume_as(&self, next: &Self) -> bool {
        let expected = self.0.as_deref().unwrap_or(EVENT_STREAM);
        next.0.as_deref().is_none_or(|next| next == expected)
    }
}

/// Cause of a stream that broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamBreak {
    /// The connection failed, or closed before the end that the framing announces.
    ConnectionFailed,
    /// No data arrived in time.
    NoData,
    /// Too many bytes arrived that carry no content.
    NoContent,
    /// An event is too long to be one.
    EventTooLong,
    /// Bytes arrived that are not the next event.
    ForeignBytes(ForeignBytes),
    /// The response at which the stream should resume states that it is no event stream.
    OtherMediaType,
    /// The response ended, but its events are incomplete.
    Truncated(Truncation),
}

impl StreamBreak {
    /// Returns the name used in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::ConnectionFailed => "connection_failed",
            Self::NoData => "no_data",
            Self::NoContent => "no_content",
            Self::EventTooLong => "event_too_long",
            Self::ForeignBytes(ForeignBytes::NoEvent) => "no_event",
            Self::ForeignBytes(ForeignBytes::IdNotIncreasing) => "id_not_increasing",
            Self::ForeignBytes(ForeignBytes::EventsMissing) => "events_missing",
            Self::OtherMediaType => "other_media_type",
            Self::Truncated(Truncation::InsideEvent) => "inside_event",
            Self::Truncated(Truncation::BeforeFirstEvent) => "before_first_event",
            Self::Truncated(Truncation::BeforeLastId) => "before_last_id",
        }
    }
}
