//! Contract tests of the engine stand-in: prefix cache, load and orders.

use std::time::Duration;

use burdockroad_standins::engine::{
    CacheEvent, CacheEventKind, CachedPrefix, EngineOptions, Fencing, Load, Order, OrderRequest, OrderState,
    OrdersReport,
};
use http::Method;
use serde_json::{Value, json};

use crate::support::{Fixture, TIMEOUT, body, completion_text, streaming};

#[path = "support/engine.rs"]
mod support;

#[tokio::test]
async fn cache_reuses_common_prefix() {
    let fixture = Fixture::start(EngineOptions::default()).await;
    let program = [("x-program-id", "p1")];
    let first = completion_text(&fixture.complete(&program, &body("first question", 5)).await);
    // The question of 14 bytes is 4 tokens; the completion is 5 tokens.
    let turn = |question: &str| {
        json!({"model": "m", "max_tokens": 1, "messages": [
            {"role": "user", "content": question}, {"role": "assistant", "content": first},
            {"role": "user", "content": "second"}]})
    };
    let cached = async |request: Value| -> u64 {
        let response: Value = fixture.complete(&program, &request).await.json().unwrap();
        response["usage"]["prompt_tokens_details"]["cached_tokens"]
            .as_u64()
            .unwrap()
    };
    assert_eq!(cached(turn("first question")).await, 9);
    assert_eq!(cached(turn("first question")).await, 11);
    assert_eq!(cached(turn("another question")).await, 0);
    for _ in 0..2 {
        assert_eq!(fixture.send(Method::DELETE, "/cache/p1").await.status, 204);
    }
    assert_eq!(fixture.engine.cached_prefixes(), []);
    assert_eq!(cached(turn("another question")).await, 0);
    assert_eq!(fixture.engine.stats().prompt_tokens_cached, 20);
    fixture.engine.close().await;
}

#[tokio::test]
async fn cache_eviction_and_events() {
    let options = EngineOptions {
        cache_tokens: 10,
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    for (program, text) in [("a", "aaaa"), ("b", "bbbb"), ("a", "cccc"), ("c", "dddd")] {
        fixture
            .complete(&[("x-program-id", program)], &body(text, 3))
            .await;
    }
    let prefix = |program_id: &str| CachedPrefix {
        program_id: program_id.to_owned(),
        tokens: 4,
    };
    let response = fixture.send(Method::GET, "/cache").await;
    assert_eq!(
        response.json::<Vec<CachedPrefix>>().unwrap(),
        [prefix("a"), prefix("c")]
    );
    let response = fixture.send(Method::GET, "/cache/events?since=2").await;
    let events: Vec<_> = response.json::<Vec<CacheEvent>>().unwrap();
    let events: Vec<_> = events
        .iter()
        .map(|event| (event.sequence, event.kind, event.program_id.as_str()))
        .collect();
    let expected = [
        (3, CacheEventKind::Held, "a"),
        (4, CacheEventKind::Evicted, "b"),
        (5, CacheEventKind::Held, "c"),
    ];
    assert_eq!(events, expected);
    fixture
        .complete(&[("x-program-id", "large")], &body(&"x".repeat(80), 3))
        .await;
    assert!(fixture.engine.load().cache_tokens_used <= 10);
    fixture.engine.close().await;
}

#[tokio::test]
async fn cache_events_delayed_and_lost() {
    let delayed = EngineOptions {
        event_lag: Duration::from_hours(1),
        ..EngineOptions::default()
    };
    let all_lost = EngineOptions {
        event_gap_probability: 1.0,
        ..EngineOptions::default()
    };
    let some_lost = EngineOptions {
        event_gap_probability: 0.5,
        seed: 7,
        ..EngineOptions::default()
    };
    // Options, then the minimum and maximum number of the 20 events that are published.
    for (options, min_events, max_events) in [(delayed, 0, 0), (all_lost, 0, 0), (some_lost, 1, 19)] {
        let fixture = Fixture::start(options).await;
        for number in 0..20 {
            let program = number.to_string();
            fixture
                .complete(&[("x-program-id", &program)], &body("x", 1))
                .await;
        }
        let response = fixture.send(Method::GET, "/cache/events").await;
        let published = response.json::<Vec<CacheEvent>>().unwrap().len();
        assert!(
            (min_events..=max_events).contains(&published),
            "{published} of {min_events}..={max_events}"
        );
        fixture.engine.close().await;
    }
}

#[tokio::test]
async fn cache_export_import() {
    let from = Fixture::start(EngineOptions::default()).await;
    let to = Fixture::start(EngineOptions::default()).await;
    let small = Fixture::start(EngineOptions {
        cache_tokens: 3,
        ..EngineOptions::default()
    })
    .await;
    from.complete(&[("x-program-id", "p")], &body("a long question", 2))
        .await;
    assert_eq!(from.send(Method::GET, "/cache/none/export").await.status, 404);
    let exported: Value = from.send(Method::GET, "/cache/p/export").await.json().unwrap();
    for (fixture, status, cached_tokens) in [(&to, 204, 6), (&small, 507, 0)] {
        let url = fixture.url("/cache/p");
        let response = fixture
            .client
            .send_json(Method::PUT, &url, &exported)
            .await
            .unwrap();
        assert_eq!(response.status, status);
        assert_eq!(fixture.engine.load().cache_tokens_used, cached_tokens);
    }
    let response = to
        .complete(&[("x-program-id", "p")], &body("a long question", 2))
        .await;
    let usage = &response.json::<Value>().unwrap()["usage"];
    assert_eq!(usage["prompt_tokens_details"]["cached_tokens"], 4);
    for fixture in [from, to, small] {
        fixture.engine.close().await;
    }
}

#[tokio::test]
async fn load_lag() {
    let lagging = EngineOptions {
        load_lag: Duration::from_hours(1),
        output_tokens: Some(10_000_000),
        ..EngineOptions::default()
    };
    let fresh = EngineOptions {
        load_lag: Duration::ZERO,
        ..lagging.clone()
    };
    for (options, running, age_ms) in [(lagging, 0, 3_600_000), (fresh, 1, 0)] {
        let fixture = Fixture::start(options).await;
        let stream = fixture.open(&[], &streaming(body("question", 10_000_000))).await;
        fixture.wait_for_load(|load| load.running == 1).await;
        let load: Load = fixture.send(Method::GET, "/load").await.json().unwrap();
        assert_eq!((load.running, load.slots, load.age_ms), (running, 8, age_ms));
        drop(stream);
        fixture.engine.close().await;
    }
}

#[tokio::test]
async fn orders_table() {
    let order = |fencing_number, order| OrderRequest {
        fencing_number,
        order,
    };
    let orders = [
        order(5, Order::LoadModel("n".to_owned())),
        order(4, Order::LoadAdapter("a".to_owned())),
        order(5, Order::LoadVersion("v2".to_owned())),
        order(6, Order::SetRole("prefill".to_owned())),
    ];
    let cases = [
        (Fencing::Enforced, [202, 409, 202, 202], vec!["n"]),
        (Fencing::Ignored, [202; 4], vec!["n", "a"]),
    ];
    for (fencing, statuses, models) in cases {
        let options = EngineOptions {
            fencing,
            models: vec!["m".to_owned()],
            ..EngineOptions::default()
        };
        let fixture = Fixture::start(options).await;
        for (order, status) in orders.iter().zip(statuses) {
            let url = fixture.url("/orders");
            let response = fixture.client.send_json(Method::POST, &url, order).await.unwrap();
            assert_eq!(response.status, status, "{fencing:?} {order:?}");
        }
        let all_done = async {
            loop {
                let report: OrdersReport = fixture.send(Method::GET, "/orders").await.json().unwrap();
                if report.orders.iter().all(|order| order.state == OrderState::Done) {
                    return report;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let report = tokio::time::timeout(TIMEOUT, all_done).await.unwrap();
        assert_eq!(report.models, models);
        assert_eq!((report.version.as_str(), report.role.as_str()), ("v2", "prefill"));
        assert_eq!(report.highest_fencing_number, 6);
        assert_eq!(fixture.complete(&[], &body("question", 1)).await.status, 404);
        fixture.engine.close().await;
    }
}
