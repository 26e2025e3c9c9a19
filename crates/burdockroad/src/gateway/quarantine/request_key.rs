//! Identity of equal requests.

use xxhash_rust::xxh3::Xxh3;

use crate::ids::AccountId;

/// Identifies equal requests of one account: same method, target and body.
///
/// The account is a part of the key and not only of its digest, so that no request of one account can have the
/// key of another's, whatever its body. Headers are left out, because a repeated request has another call id,
/// deadline and, within a program, other positions.
///
/// # Example
///
/// ```
/// use burdockroad::gateway::RequestKey;
///
/// let key = RequestKey::new("acme", "POST", "/plan/1", b"body");
/// assert_eq!(key, RequestKey::new("acme", "POST", "/plan/1", b"body"));
/// assert_ne!(key, RequestKey::new("other", "POST", "/plan/1", b"body"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Account of the caller; empty for calls without one.
    pub account: AccountId,
    /// Digest of method, target and body. It is the same on all hosts.
    pub digest: u128,
}

impl RequestKey {
    /// Returns the key of a request, as its caller sent it.
    pub fn new(account: &str, method: &str, target: &str, body: &[u8]) -> Self {
        let mut hasher = Xxh3::new();
        for part in [method.as_bytes(), target.as_bytes(), body] {
            // With its length, no part can continue in the next one.
            hasher.update(&part.len().to_le_bytes());
            hasher.update(part);
        }
        Self {
            account: account.to_owned(),
            digest: hasher.digest128(),
        }
    }
}
