//! Errors of the key-value stand-in, with the codes and messages of the etcd v3 API.

use tonic::{Code, Status};

/// Reason why a call failed.
///
/// The call had no effect, except for `ConnectionLost`: a lost reply belongs to a write that took effect,
/// and a broken watch stream may have delivered changes before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    KeyMissing,
    ValueTooLarge,
    DuplicateKey,
    Compacted,
    FutureRevision,
    LeaseNotFound,
    LeaseExists,
    LeaseTtlTooLarge,
    TooManyRequests,
    Down,
    ConnectionLost,
}

impl From<Refusal> for Status {
    fn from(refusal: Refusal) -> Self {
        let (code, message) = match refusal {
            Refusal::KeyMissing => (Code::InvalidArgument, "etcdserver: key is not provided"),
            Refusal::ValueTooLarge => (Code::InvalidArgument, "etcdserver: request is too large"),
            Refusal::DuplicateKey => (
                Code::InvalidArgument,
                "etcdserver: duplicate key given in txn request",
            ),
            Refusal::Compacted => (
                Code::OutOfRange,
                "etcdserver: mvcc: required revision has been compacted",
            ),
            Refusal::FutureRevision => (
                Code::OutOfRange,
                "etcdserver: mvcc: required revision is a future revision",
            ),
            Refusal::LeaseNotFound => (Code::NotFound, "etcdserver: requested lease not found"),
            Refusal::LeaseExists => (Code::FailedPrecondition, "etcdserver: lease already exists"),
            Refusal::LeaseTtlTooLarge => (Code::OutOfRange, "etcdserver: too large lease TTL"),
            Refusal::TooManyRequests => (Code::ResourceExhausted, "etcdserver: too many requests"),
            Refusal::Down => (Code::Unavailable, "etcdserver: no leader"),
            Refusal::ConnectionLost => (Code::Unavailable, "transport is closing"),
        };
        Self::new(code, message)
    }
}
