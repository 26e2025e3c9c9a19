//! Responses to callers of HTTP/1.0, which know no chunks.

use std::{error::Error, fmt};

use bytes::Bytes;
use http::{Response, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Body;

/// Error of a body that broke off or is longer than the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TruncatedBody;

impl fmt::Display for TruncatedBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body of the response is incomplete")
    }
}

impl Error for TruncatedBody {}

/// Returns whether a caller needs responses with a length.
///
/// To an older caller than HTTP/1.1, a response without a length ends with its connection, so the caller could
/// not tell a truncated response from a complete one.
pub fn requires_length(version: Version) -> bool {
    version < Version::HTTP_11
}

/// Reads a whole response, so that it is sent with its length.
///
/// # Errors
///
/// Fails when the body breaks off or is longer than `max_bytes`.
pub async fn with_length<B>(
    response: Response<B>,
    max_bytes: usize,
) -> Result<Response<Full<Bytes>>, TruncatedBody>
where
    B: Body<Error: Into<Box<dyn Error + Send + Sync>>>,
{
    let (head, body) = response.into_parts();
    match Limited::new(body, max_bytes).collect().await {
        Ok(collected) => Ok(Response::from_parts(head, Full::new(collected.to_bytes()))),
        Err(_truncated) => Err(TruncatedBody),
    }
}
