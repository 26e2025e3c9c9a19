//! Contract tests of the key-value stand-in: faults, rate limits and control requests.

use burdockroad_proto::etcdserverpb::{
    LeaseGrantRequest, WatchCreateRequest, WatchProgressRequest, watch_request::RequestUnion,
};
use burdockroad_standins::{
    http_client::HttpClient,
    kv::{KvCounts, KvFaults, KvOptions, LoseReplies},
};
use http::Method;
use serde_json::json;
use tonic::Code;

use crate::support::{code_of, open_watch, put, range, start};

#[path = "support/kv.rs"]
mod support;

#[tokio::test]
async fn faults_down() {
    let mut fixture = start(KvOptions::default()).await;
    let create = WatchCreateRequest {
        key: b"a".to_vec(),
        ..WatchCreateRequest::default()
    };
    let mut watch = open_watch(&mut fixture, create).await;
    fixture.standin.set_faults(KvFaults {
        down: true,
        ..KvFaults::default()
    });
    assert_eq!(watch.next().await.unwrap_err().code(), Code::Unavailable);
    assert_eq!(code_of(fixture.keys.put(put("a", "1")).await), Code::Unavailable);
    assert_eq!(
        code_of(fixture.keys.range(range("a", &[])).await),
        Code::Unavailable
    );
    fixture.standin.set_faults(KvFaults::default());
    let found = fixture.keys.range(range("a", &[])).await.unwrap().into_inner();
    assert_eq!(found.count, 0);
    fixture.standin.close().await;
}

#[tokio::test]
async fn faults_lose_replies() {
    let mut fixture = start(KvOptions::default()).await;
    // Lost replies, and the codes of three writes.
    let cases = [
        (
            LoseReplies::Next(2),
            [Code::Unavailable, Code::Unavailable, Code::Ok],
        ),
        (LoseReplies::Probability(1.0), [Code::Unavailable; 3]),
        (LoseReplies::Probability(0.0), [Code::Ok; 3]),
    ];
    for (number, (lose_replies, codes)) in cases.into_iter().enumerate() {
        fixture.standin.set_faults(KvFaults {
            lose_replies,
            ..KvFaults::default()
        });
        for code in codes {
            assert_eq!(
                code_of(fixture.keys.put(put("a", "1")).await),
                code,
                "{lose_replies:?}"
            );
        }
        // The writes took effect nevertheless.
        let entry = fixture
            .keys
            .range(range("a", &[]))
            .await
            .unwrap()
            .into_inner()
            .kvs
            .remove(0);
        assert_eq!(entry.version, 3 * (i64::try_from(number).unwrap() + 1));
    }
    fixture.standin.close().await;
}

#[tokio::test]
async fn faults_break_watches() {
    let mut fixture = start(KvOptions::default()).await;
    let create = WatchCreateRequest {
        key: b"a".to_vec(),
        ..WatchCreateRequest::default()
    };
    let mut watch = open_watch(&mut fixture, create.clone()).await;
    fixture.standin.set_faults(KvFaults {
        break_watches: true,
        ..KvFaults::default()
    });
    assert_eq!(watch.next().await.unwrap_err().code(), Code::Unavailable);
    let mut watch = open_watch(&mut fixture, create).await;
    fixture.keys.put(put("a", "1")).await.unwrap();
    assert_eq!(watch.next().await.unwrap().unwrap().events.len(), 1);
    fixture.standin.close().await;
}

#[tokio::test]
async fn rates_refuse_excess_calls() {
    let options = KvOptions {
        writes_per_s: 0,
        ..KvOptions::default()
    };
    let mut fixture = start(options).await;
    assert_eq!(
        code_of(fixture.keys.put(put("a", "1")).await),
        Code::ResourceExhausted
    );
    let grant = LeaseGrantRequest { id: 1, ttl: 60 };
    assert_eq!(
        code_of(fixture.leases.lease_grant(grant).await),
        Code::ResourceExhausted
    );
    // A range, a new watch and a progress request each count as one read.
    let found = fixture.keys.range(range("a", &[])).await.unwrap().into_inner();
    assert_eq!(found.count, 0);
    let create = WatchCreateRequest {
        key: b"a".to_vec(),
        ..WatchCreateRequest::default()
    };
    let mut watch = open_watch(&mut fixture, create).await;
    let progress = WatchProgressRequest {};
    watch.send(RequestUnion::ProgressRequest(progress)).await;
    assert_eq!(watch.next().await.unwrap().unwrap().watch_id, -1);
    let counts = fixture.standin.counts();
    assert_eq!((counts.reads, counts.writes, counts.refused), (3, 0, 2));
    fixture.standin.close().await;
}

#[tokio::test]
async fn control_requests() {
    let mut fixture = start(KvOptions::default()).await;
    let control = format!("http://{}", fixture.standin.control_address());
    let client = HttpClient::new();
    // Faults, the status of the control request, and the code of the write after it.
    let cases = [
        (
            json!({"down": true, "delay_ms": 1, "seed": 3}),
            204,
            Code::Unavailable,
        ),
        (json!({"lose_replies": 1}), 204, Code::Unavailable),
        (json!({"lose_replies": 0.0, "break_watches": true}), 204, Code::Ok),
        (json!({"lose_replies": "some"}), 400, Code::Ok),
        (json!({"dwon": true}), 400, Code::Ok),
    ];
    for (faults, status, code) in cases {
        let response = client
            .send_json(Method::POST, &format!("{control}/faults"), &faults)
            .await
            .unwrap();
        assert_eq!(response.status, status, "{faults}");
        assert_eq!(code_of(fixture.keys.put(put("a", "1")).await), code, "{faults}");
    }
    let counts: KvCounts = client.get_json(&format!("{control}/counts")).await.unwrap();
    assert_eq!(counts, fixture.standin.counts());
    assert_eq!((counts.reads, counts.writes), (0, 4));
    fixture.standin.close().await;
}
