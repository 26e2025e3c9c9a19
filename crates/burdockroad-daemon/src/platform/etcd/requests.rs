//! Requests and responses of the etcd v3 API.

use burdockroad_proto::{
    etcdserverpb::{
        Compare, DeleteRangeRequest, PutRequest, RangeRequest, RequestOp, TxnRequest, TxnResponse,
        compare::{CompareResult, CompareTarget, TargetUnion},
        request_op::Request as Op,
        response_op::Response as OpResponse,
    },
    mvccpb,
};
use bytes::Bytes;

use crate::platform::{Entry, Expected, Listing, Put};

pub(super) fn get(key: &str) -> RangeRequest {
    RangeRequest {
        key: key.into(),
        ..RangeRequest::default()
    }
}

pub(super) fn list(prefix: &str, listing: Listing) -> RangeRequest {
    // The API does not accept an empty key. The smallest key is a zero byte.
    let first = if prefix.is_empty() { "\0" } else { prefix };
    RangeRequest {
        key: first.into(),
        range_end: range_end(prefix),
        keys_only: listing == Listing::Keys,
        ..RangeRequest::default()
    }
}

pub(super) fn delete(key: &str) -> DeleteRangeRequest {
    DeleteRangeRequest {
        key: key.into(),
        ..DeleteRangeRequest::default()
    }
}

pub(super) fn delete_range(from: &str, to: &str) -> DeleteRangeRequest {
    DeleteRangeRequest {
        key: from.into(),
        range_end: to.into(),
        ..DeleteRangeRequest::default()
    }
}

/// Builds a [`put`] of an absent key that also requires, in the same transaction, that the predecessor
/// exists.
pub(super) fn create_after(key: &str, value: Bytes, predecessor: &str) -> TxnRequest {
    let mut request = put(key, value, Expected::Absent);
    request.compare.push(Compare {
        result: CompareResult::Greater.into(),
        target: CompareTarget::Create.into(),
        key: predecessor.into(),
        target_union: Some(TargetUnion::CreateRevision(0)),
    });
    request
}

/// Builds a transaction that writes the key if it is as expected, and otherwise reads the existing entry.
pub(super) fn put(key: &str, value: Bytes, expected: Expected) -> TxnRequest {
    let (target, target_union) = match expected {
        Expected::Absent => (CompareTarget::Create, TargetUnion::CreateRevision(0)),
        Expected::Revision(revision) => (CompareTarget::Mod, TargetUnion::ModRevision(revision)),
    };
    let write = PutRequest {
        key: key.into(),
        value: value.into(),
        ..PutRequest::default()
    };
    TxnRequest {
        compare: vec![Compare {
            result: CompareResult::Equal.into(),
            target: target.into(),
            key: key.into(),
            target_union: Some(target_union),
        }],
        success: vec![operation(Op::RequestPut(write))],
        failure: vec![operation(Op::RequestRange(get(key)))],
    }
}

pub(super) fn put_result(response: TxnResponse) -> Put {
    if response.succeeded {
        return Put::Done(response.header.map_or(0, |header| header.revision));
    }
    let existing = response
        .responses
        .into_iter()
        .find_map(|operation| match operation.response {
            Some(OpResponse::ResponseRange(range)) => range.kvs.into_iter().next(),
            _ => None,
        });
    Put::Conflict(existing.map(entry))
}

pub(super) fn entry(stored: mvccpb::KeyValue) -> Entry {
    Entry {
        key: String::from_utf8_lossy(&stored.key).into_owned(),
        value: stored.value.into(),
        revision: stored.mod_revision,
    }
}

fn operation(request: Op) -> RequestOp {
    RequestOp {
        request: Some(request),
    }
}

/// Returns the smallest key after all keys that start with `prefix`.
fn range_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if let Some(next) = last.checked_add(1) {
            end.push(next);
            return end;
        }
    }
    // In the API, a single zero byte as the end means an unbounded range.
    vec![0]
}
