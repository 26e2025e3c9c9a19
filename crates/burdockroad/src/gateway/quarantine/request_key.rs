//! Identity of equal and of similar requests.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::AccountId;

/// Length of the beginning of a body that similar requests share, in bytes.
const START_BYTES: usize = 64;

/// Identifies a set of requests of one account.
///
/// The account is a part of the key and not only of its digest, so that no request of one account can have the
/// key of another's, whatever its body.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Account of the caller; empty for calls without one.
    pub account: AccountId,
    /// Digest of method, target and body. It is the same on all hosts.
    pub digest: u128,
}

/// Identity of a request, by which it is recognized when it comes again.
///
/// Headers are left out, because a repeated request has another call id, deadline and place in its program.
///
/// # Example
///
/// ```
/// use burdockroad::gateway::RequestIdentity;
///
/// let identity = RequestIdentity::new("acme", "POST", "/plan/1", b"body");
/// assert_eq!(identity, RequestIdentity::new("acme", "POST", "/plan/1", b"body"));
/// assert_ne!(identity, RequestIdentity::new("other", "POST", "/plan/1", b"body"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdentity {
    /// Requests with the same body.
    pub equal: RequestKey,
    /// Requests whose bodies begin in the same way. A prompt that crashes endpoints often comes again with more
    /// text behind it.
    pub similar: RequestKey,
}

impl RequestIdentity {
    /// Returns the identity of a request, as its caller sent it.
    pub fn new(account: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let start = &body[..body.len().min(START_BYTES)];
        let key = |body: &[u8]| RequestKey {
            account: account.to_owned(),
            digest: digest([method.as_bytes(), target.as_bytes(), body]),
        };
        Self {
            equal: key(body),
            similar: key(start),
        }
    }

    /// Returns whether the request belongs to the set of a key.
    pub fn matches(&self, key: &RequestKey) -> bool {
        self.equal == *key || self.similar == *key
    }
}

fn digest(parts: [&[u8]; 3]) -> u128 {
    let mut hasher = Xxh3::new();
    for part in parts {
        // With its length, no part can continue in the next one.
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    hasher.digest128()
}
