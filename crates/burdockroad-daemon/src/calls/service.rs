//! Requests to plain services: what of a caller's request reaches them.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Method, header};

/// Headers that concern one connection, or that the system sets itself.
const DROPPED_HEADERS: [HeaderName; 11] = [
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

/// Headers of the system's own that no endpoint needs.
const OWN_HEADERS: [&str; 5] = [
    "program-id",
    "call-number",
    "idempotency-key",
    "keep-alive",
    "x-request-id",
];

/// Headers of an answer that concern one connection.
const DROPPED_ANSWER_HEADERS: [HeaderName; 5] = [
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
    /// Headers that the service may see.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Headers of a caller's request without those that contain the caller's key, whatever their names.
pub fn headers_without_key(headers: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let mut kept = headers.clone();
    kept.remove(header::AUTHORIZATION);
    kept.remove(header::PROXY_AUTHORIZATION);
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return kept;
    };
    let tainted = kept
        .iter()
        .filter(|(_, value)| contains(value.as_bytes(), key.as_bytes()));
    let tainted: Vec<HeaderName> = tainted.map(|(name, _)| name.clone()).collect();
    for name in tainted {
        kept.remove(name);
    }
    kept
}

/// Path and query of a caller's request without the query fields that contain the caller's key.
pub fn target_without_key(path_and_query: &str, key: Option<&str>) -> String {
    let Some((path, query)) = path_and_query.split_once('?') else {
        return path_and_query.to_owned();
    };
    let Some(key) = key.filter(|key| !key.is_empty()) else {
        return path_and_query.to_owned();
    };
    let kept: Vec<&str> = query
        .split('&')
        .filter(|field| !decoded(field).contains(key))
        .collect();
    if kept.is_empty() {
        path.to_owned()
    } else {
        format!("{path}?{}", kept.join("&"))
    }
}

/// Headers of a caller's request that a service may see.
pub fn service_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &DROPPED_HEADERS {
        kept.remove(name);
    }
    for name in OWN_HEADERS {
        kept.remove(name);
    }
    for name in connection_headers(headers) {
        kept.remove(name);
    }
    kept
}

/// Headers of a service's answer that a caller may see.
pub fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &DROPPED_ANSWER_HEADERS {
        kept.remove(name);
    }
    kept.remove("keep-alive");
    kept
}

/// Headers that the `Connection` header names.
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

/// A query field with its percent escapes undone, so that an escaped key is found too.
fn decoded(field: &str) -> String {
    percent_encoding::percent_decode_str(field)
        .decode_utf8_lossy()
        .into_owned()
}
