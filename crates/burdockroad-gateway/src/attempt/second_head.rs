//! Detection of responses with the status line of a second response inside a header value.
//!
//! An endpoint that fails while it writes a head may write its answer to the failure right behind. The two heads then read
//! as one, with the status of the first and the framing of the second.
//!
//! Headers that the endpoint echoes, such as the call id, are the caller's text, and no evidence. A header that was cut in
//! its echoed value and goes on differs from the value that was sent.

use burdockroad::gateway::Endpoint;
use http::{HeaderMap, HeaderName, HeaderValue};
use serde::Serialize;

use super::{Call, OpenedResponse};

/// Version at the start of a status line, up to the digit of the minor version.
const VERSION_PREFIX: &[u8] = b"HTTP/1.";

/// Digits of a status.
const STATUS_DIGITS: usize = 3;

impl Call {
    /// Returns whether a header of a response contains a status line that the call does not contain, and logs it.
    pub(super) fn has_second_head(&self, endpoint: &Endpoint, opened: &OpenedResponse) -> bool {
        let header = header_with_status_line(opened.response.headers(), &self.request.headers);
        let Some(header) = header else {
            return false;
        };
        let line = SecondHeadLine {
            id: &self.head.call_id,
            endpoint: &endpoint.id,
            status: opened.response.status().as_u16(),
            header: header.as_str(),
        };
        self.shared.log.line("second_head", &line);
        true
    }
}

/// Returns the first header with a status line that does not echo a header of the request.
fn header_with_status_line<'a>(headers: &'a HeaderMap, sent: &HeaderMap) -> Option<&'a HeaderName> {
    let mut headers = headers.iter();
    headers
        .find(|(name, value)| contains_status_line(value.as_bytes()) && !is_echoed(name, value, sent))
        .map(|(name, _)| name)
}

/// Returns whether a request has a header of the same name with the same value.
fn is_echoed(name: &HeaderName, value: &HeaderValue, sent: &HeaderMap) -> bool {
    sent.get_all(name).iter().any(|sent_value| sent_value == value)
}

/// Returns whether a value contains a version and a status. A version alone is allowed, for instance in `Via`.
fn contains_status_line(value: &[u8]) -> bool {
    let mut windows = value.windows(VERSION_PREFIX.len() + 2 + STATUS_DIGITS);
    windows.any(|window| match window.strip_prefix(VERSION_PREFIX) {
        Some([minor, b' ', status @ ..]) => minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit),
        _ => false,
    })
}

/// Log line of a response with another one's status line in a header.
#[derive(Serialize)]
struct SecondHeadLine<'a> {
    id: &'a str,
    endpoint: &'a str,
    status: u16,
    header: &'a str,
}
