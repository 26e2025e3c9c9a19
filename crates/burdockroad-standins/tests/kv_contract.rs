//! Contract tests of the key-value stand-in against the published etcd v3 API.

use burdockroad_proto::{
    etcdserverpb::{
        Compare, DeleteRangeRequest, LeaseGrantRequest, LeaseKeepAliveRequest, LeaseRevokeRequest,
        PutRequest, RangeRequest, RequestOp, TxnRequest, WatchCancelRequest, WatchCreateRequest,
        WatchProgressRequest,
        compare::{CompareResult, CompareTarget, TargetUnion},
        request_op::Request as Op,
        watch_request::RequestUnion,
    },
    mvccpb::event::EventType,
};
use burdockroad_standins::kv::KvOptions;
use tonic::Code;

use crate::support::{code_of, open_watch, put, range, start};

#[path = "support/kv.rs"]
mod support;

fn op(request: Op) -> RequestOp {
    RequestOp {
        request: Some(request),
    }
}

#[tokio::test]
async fn range_table() {
    let mut fixture = start(KvOptions::default()).await;
    // Revision 1 is the empty store, so these are 2, 3, 4 and 5.
    for (key, value) in [("a", "1"), ("b", "2"), ("c", "3"), ("a", "4")] {
        fixture.keys.put(put(key, value)).await.unwrap();
    }
    let limited = RangeRequest {
        limit: 2,
        ..range("a", &[0])
    };
    let keys_only = RangeRequest {
        keys_only: true,
        ..range("a", b"c")
    };
    let count_only = RangeRequest {
        count_only: true,
        ..range("a", &[0])
    };
    let old = RangeRequest {
        revision: 3,
        ..range("a", &[0])
    };
    // Request, then keys and values, `more` and `count`.
    let cases = [
        (range("a", &[]), "a=4", false, 1),
        (range("x", &[]), "", false, 0),
        (range("a", b"c"), "a=4 b=2", false, 2),
        (range("b", &[0]), "b=2 c=3", false, 2),
        (limited, "a=4 b=2", true, 3),
        (keys_only, "a= b=", false, 2),
        (count_only, "", false, 3),
        (old, "a=1 b=2", false, 2),
    ];
    for (request, expected, more, count) in cases {
        let response = fixture.keys.range(request.clone()).await.unwrap().into_inner();
        let found: Vec<_> = response
            .kvs
            .iter()
            .map(|entry| format!("{}={}", text(&entry.key), text(&entry.value)))
            .collect();
        assert_eq!(found.join(" "), expected, "{request:?}");
        assert_eq!((response.more, response.count), (more, count), "{request:?}");
        assert_eq!(response.header.unwrap().revision, 5);
    }
    let entry = fixture
        .keys
        .range(range("a", &[]))
        .await
        .unwrap()
        .into_inner()
        .kvs
        .remove(0);
    assert_eq!(
        (entry.create_revision, entry.mod_revision, entry.version),
        (2, 5, 2)
    );
    fixture.standin.close().await;
}

#[tokio::test]
async fn call_refusal_table() {
    let mut fixture = start(KvOptions::default()).await;
    let with_lease = PutRequest {
        lease: 77,
        ..put("a", "1")
    };
    let twice = vec![
        op(Op::RequestPut(put("a", "1"))),
        op(Op::RequestPut(put("a", "2"))),
    ];
    let delete = DeleteRangeRequest {
        key: b"a".to_vec(),
        ..DeleteRangeRequest::default()
    };
    let put_and_delete = vec![
        op(Op::RequestPut(put("a", "1"))),
        op(Op::RequestDeleteRange(delete)),
    ];
    let too_large = put("a", &"x".repeat((1 << 20) + 1));
    let largest = put("a", &"x".repeat(1 << 20));
    let puts = [
        (put("", "1"), Code::InvalidArgument),
        (with_lease, Code::NotFound),
        (too_large, Code::InvalidArgument),
        (largest, Code::Ok),
    ];
    for (request, code) in puts {
        assert_eq!(code_of(fixture.keys.put(request).await), code);
    }
    for success in [twice, put_and_delete] {
        let txn = TxnRequest {
            success,
            ..TxnRequest::default()
        };
        assert_eq!(code_of(fixture.keys.txn(txn).await), Code::InvalidArgument);
    }
    let future = RangeRequest {
        revision: 99,
        ..range("a", &[])
    };
    assert_eq!(code_of(fixture.keys.range(future).await), Code::OutOfRange);
    // Only the write of the largest allowed value took effect.
    let header = fixture
        .keys
        .range(range("a", &[]))
        .await
        .unwrap()
        .into_inner()
        .header;
    assert_eq!(header.unwrap().revision, 2);
    fixture.standin.close().await;
}

#[tokio::test]
async fn txn_compare_table() {
    use CompareResult::{Equal, Greater, Less, NotEqual};
    use CompareTarget::{Create, Lease, Mod, Value, Version};
    let mut fixture = start(KvOptions::default()).await;
    let lease = LeaseGrantRequest { id: 9, ttl: 600 };
    fixture.leases.lease_grant(lease).await.unwrap();
    fixture.keys.put(put("a", "1")).await.unwrap();
    // The key now has create revision 2, mod revision 3, version 2, value 2 and lease 9.
    fixture
        .keys
        .put(PutRequest {
            lease: 9,
            ..put("a", "2")
        })
        .await
        .unwrap();
    let cases = [
        ("a", Version, Equal, TargetUnion::Version(2), true),
        ("a", Version, Less, TargetUnion::Version(2), false),
        ("a", Create, Equal, TargetUnion::CreateRevision(2), true),
        ("a", Create, Greater, TargetUnion::CreateRevision(1), true),
        ("a", Mod, Equal, TargetUnion::ModRevision(3), true),
        ("a", Mod, NotEqual, TargetUnion::ModRevision(3), false),
        ("a", Mod, Less, TargetUnion::ModRevision(4), true),
        ("a", Value, Equal, TargetUnion::Value(b"2".to_vec()), true),
        ("a", Value, Greater, TargetUnion::Value(b"1".to_vec()), true),
        ("a", Value, NotEqual, TargetUnion::Value(b"2".to_vec()), false),
        ("a", Lease, Equal, TargetUnion::Lease(9), true),
        ("a", Lease, Equal, TargetUnion::Lease(0), false),
        ("x", Version, Equal, TargetUnion::Version(0), true),
        ("x", Create, Equal, TargetUnion::CreateRevision(0), true),
        ("x", Mod, Greater, TargetUnion::ModRevision(0), false),
        ("x", Value, NotEqual, TargetUnion::Value(b"2".to_vec()), false),
    ];
    for (key, target, result, union, expected) in cases {
        let compare = Compare {
            result: result.into(),
            target: target.into(),
            key: key.into(),
            target_union: Some(union),
        };
        let txn = TxnRequest {
            compare: vec![compare.clone()],
            success: vec![op(Op::RequestRange(range("a", &[])))],
            failure: vec![],
        };
        let response = fixture.keys.txn(txn).await.unwrap().into_inner();
        assert_eq!(response.succeeded, expected, "{compare:?}");
        assert_eq!(response.responses.len(), usize::from(expected), "{compare:?}");
    }
    fixture.standin.close().await;
}

#[tokio::test]
async fn txn_one_revision() {
    let mut fixture = start(KvOptions::default()).await;
    let nested = TxnRequest {
        success: vec![op(Op::RequestPut(put("c", "3")))],
        ..TxnRequest::default()
    };
    let txn = TxnRequest {
        success: vec![
            op(Op::RequestPut(put("a", "1"))),
            op(Op::RequestPut(put("b", "2"))),
            op(Op::RequestTxn(nested)),
        ],
        ..TxnRequest::default()
    };
    let response = fixture.keys.txn(txn).await.unwrap().into_inner();
    assert_eq!(response.header.unwrap().revision, 2);
    let kvs = fixture
        .keys
        .range(range("a", &[0]))
        .await
        .unwrap()
        .into_inner()
        .kvs;
    let revisions: Vec<_> = kvs.iter().map(|entry| entry.mod_revision).collect();
    assert_eq!(revisions, [2, 2, 2]);
    fixture.standin.close().await;
}

#[tokio::test]
async fn watch_from_revision() {
    let mut fixture = start(KvOptions::default()).await;
    for (key, value) in [("a", "1"), ("a", "2"), ("x", "3")] {
        fixture.keys.put(put(key, value)).await.unwrap();
    }
    let create = WatchCreateRequest {
        key: b"a".to_vec(),
        start_revision: 3,
        prev_kv: true,
        watch_id: 5,
        ..WatchCreateRequest::default()
    };
    let mut watch = open_watch(&mut fixture, create).await;
    let response = watch.next().await.unwrap().unwrap();
    assert_eq!((response.watch_id, response.events.len()), (5, 1));
    assert_eq!(text(&response.events[0].kv.as_ref().unwrap().value), "2");
    assert_eq!(text(&response.events[0].prev_kv.as_ref().unwrap().value), "1");
    let delete = DeleteRangeRequest {
        key: b"a".to_vec(),
        ..DeleteRangeRequest::default()
    };
    fixture.keys.delete_range(delete).await.unwrap();
    let response = watch.next().await.unwrap().unwrap();
    assert_eq!(response.events[0].r#type(), EventType::Delete);
    assert_eq!(response.events[0].kv.as_ref().unwrap().mod_revision, 5);
    watch
        .send(RequestUnion::ProgressRequest(WatchProgressRequest {}))
        .await;
    let progress = watch.next().await.unwrap().unwrap();
    assert_eq!((progress.watch_id, progress.events.len()), (-1, 0));
    assert_eq!(progress.header.unwrap().revision, 5);
    assert_eq!(fixture.standin.counts().watches_waiting, 1);
    watch
        .send(RequestUnion::CancelRequest(WatchCancelRequest { watch_id: 5 }))
        .await;
    assert!(watch.next().await.unwrap().unwrap().canceled);
    assert_eq!(fixture.standin.counts().watches_waiting, 0);
    fixture.standin.close().await;
}

#[tokio::test]
async fn lease_lifecycle() {
    let mut fixture = start(KvOptions::default()).await;
    for (id, ttl) in [(1, 3), (2, 600)] {
        let granted = fixture
            .leases
            .lease_grant(LeaseGrantRequest { id, ttl })
            .await
            .unwrap();
        assert_eq!((granted.get_ref().id, granted.get_ref().ttl), (id, ttl));
    }
    let again = LeaseGrantRequest { id: 2, ttl: 600 };
    assert_eq!(
        code_of(fixture.leases.lease_grant(again).await),
        Code::FailedPrecondition
    );
    let create = WatchCreateRequest {
        key: b"short".to_vec(),
        ..WatchCreateRequest::default()
    };
    let mut watch = open_watch(&mut fixture, create).await;
    fixture
        .keys
        .put(PutRequest {
            lease: 1,
            ..put("short", "1")
        })
        .await
        .unwrap();
    fixture
        .keys
        .put(PutRequest {
            lease: 2,
            ..put("long", "1")
        })
        .await
        .unwrap();
    assert_eq!(
        watch.next().await.unwrap().unwrap().events[0].r#type(),
        EventType::Put
    );
    // The lease expires without any further call.
    assert_eq!(
        watch.next().await.unwrap().unwrap().events[0].r#type(),
        EventType::Delete
    );
    let requests = tokio_stream::iter([1, 2].map(|id| LeaseKeepAliveRequest { id }));
    let mut responses = fixture
        .leases
        .lease_keep_alive(requests)
        .await
        .unwrap()
        .into_inner();
    assert_eq!(responses.message().await.unwrap().unwrap().ttl, 0);
    assert_eq!(responses.message().await.unwrap().unwrap().ttl, 600);
    fixture
        .leases
        .lease_revoke(LeaseRevokeRequest { id: 2 })
        .await
        .unwrap();
    let remaining = fixture.keys.range(range("a", &[0])).await.unwrap().into_inner();
    assert_eq!(remaining.count, 0);
    let unknown = LeaseRevokeRequest { id: 2 };
    assert_eq!(
        code_of(fixture.leases.lease_revoke(unknown).await),
        Code::NotFound
    );
    fixture.standin.close().await;
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}
