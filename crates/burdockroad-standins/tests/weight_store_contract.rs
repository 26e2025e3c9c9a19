//! Contract tests of the weight store stand-in: requests within and over the rate limit.

use std::time::Duration;

use burdockroad_standins::{
    engine::{EngineOptions, EngineStandin, Order, OrderRequest, OrderState, OrdersReport},
    http_client::{self, HttpClient},
    weight_store::{WeightStoreCounts, WeightStoreOptions, WeightStoreStandin},
};
use bytes::Bytes;
use http::Method;

/// Timeout for expected events; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn weights_table() {
    // Rate, path, status, body size, `Retry-After`.
    let cases = [
        (1000, "/weights/m", 200, Some(100), None),
        (0, "/weights/m", 429, None, Some("1")),
        (1000, "/weights", 404, None, None),
        (1000, "/counts", 404, None, None),
    ];
    for (rate_per_s, path, status, size, retry_after) in cases {
        let options = WeightStoreOptions {
            rate_per_s,
            weights_bytes: 100,
            ..WeightStoreOptions::default()
        };
        let store = WeightStoreStandin::start(options).await.unwrap();
        let url = format!("http://{}{path}", store.address());
        let request = http_client::request(Method::GET, &url, Bytes::new()).unwrap();
        let response = HttpClient::new().send(request).await.unwrap();
        assert_eq!(response.status, status, "{path}");
        if let Some(size) = size {
            assert_eq!(response.body.len(), size);
        }
        let header = response.headers.get("retry-after");
        assert_eq!(header.map(|value| value.to_str().unwrap()), retry_after);
        let expected = WeightStoreCounts {
            served: u64::from(status == 200),
            refused: u64::from(status == 429),
        };
        assert_eq!(store.counts(), expected);
        store.close().await;
    }
}

#[tokio::test]
async fn weights_for_engine_orders() {
    let store = WeightStoreStandin::start(WeightStoreOptions::default())
        .await
        .unwrap();
    let options = EngineOptions {
        weight_store: Some(store.address()),
        load_time: Duration::ZERO,
        ..EngineOptions::default()
    };
    let engine = EngineStandin::start(options).await.unwrap();
    let client = HttpClient::new();
    let url = format!("http://{}/orders", engine.address());
    for model in ["a", "b", "c"] {
        let order = OrderRequest {
            fencing_number: 1,
            order: Order::LoadModel(model.to_owned()),
        };
        client.send_json(Method::POST, &url, &order).await.unwrap();
    }
    let all_done = async {
        loop {
            let report: OrdersReport = client.get_json(&url).await.unwrap();
            if report.orders.iter().all(|order| order.state == OrderState::Done) {
                return report;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let report = tokio::time::timeout(TIMEOUT, all_done).await.unwrap();
    assert_eq!(report.models, ["c"]);
    assert_eq!(store.counts().served, 3);
    engine.close().await;
    store.close().await;
}
