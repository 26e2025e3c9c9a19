//! Requests to plain services, and filtering of the headers and targets that reach them.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, header};

/// Request headers that carry credentials, apply to one connection, or are set by burdockroad itself.
const STRIPPED_REQUEST_HEADERS: [HeaderName; 11] = [
    header::AUTHORIZATION,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::HOST,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
];

/// Request headers that endpoints do not need: those that burdockroad interprets, and `keep-alive`.
const INTERNAL_HEADERS: [&str; 5] = [
    "program-id",
    "call-number",
    "idempotency-key",
    "keep-alive",
    "x-request-id",
];

/// Response headers that apply to one connection.
const STRIPPED_RESPONSE_HEADERS: [HeaderName; 5] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request to a plain service.
#[derive(Clone, Debug)]
pub struct ServiceRequest {
    /// Method.
    pub method: Method,
    /// Path and query below the route.
    pub target: String,
    /// Headers to forward to the service.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Returns a request's headers without those that contain the caller's key, whatever their names.
pub fn headers_without_key(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut kept = headers.clone();
    kept.remove(header::AUTHORIZATION);
    kept.remove(header::PROXY_AUTHORIZATION);
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return kept;
    };
    let headers_with_key = kept
        .iter()
        .filter(|(_, value)| contains(value.as_bytes(), key.as_bytes()));
    let headers_with_key: Vec<HeaderName> = headers_with_key.map(|(name, _)| name.clone()).collect();
    for name in headers_with_key {
        kept.remove(name);
    }
    kept
}

/// Returns a request's path and query without the query fields that contain the caller's key.
pub fn target_without_key(path_and_query: &str, key: Option<&str>) -> String {
    let Some((path, query)) = path_and_query.split_once('?') else {
        return path_and_query.to_owned();
    };
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return path_and_query.to_owned();
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|field| !percent_decoded(field).contains(key))
        .collect();
    if kept.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{}", kept.join("&"))
    }
}

/// Returns the request headers to forward to a service.
pub fn service_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &STRIPPED_REQUEST_HEADERS {
        kept.remove(name);
    }
    for name in INTERNAL_HEADERS {
        kept.remove(name);
    }
    for name in connection_headers(headers) {
        kept.remove(name);
    }
    kept
}

/// Returns the response headers to forward to a caller.
pub fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &STRIPPED_RESPONSE_HEADERS {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

/// Returns the names of the headers that the `Connection` header lists.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    let values = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok());
    values
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn contains(text: &[u8], part: &[u8]) -> bool {
    text.windows(part.len()).any(|window| window == part)
}

/// Returns a query field percent-decoded, so that an escaped key is found too.
fn percent_decoded(field: &str) -> String {
    percent_encoding::percent_decode_str(field)
        .decode_utf8_lossy()
        .into_owned()
}
