//! Contract tests of the host list stand-in: the JSON format, the lag and faults.

use std::time::Duration;

use burdockroad_standins::{
    host_list::{HostListFaults, HostListOptions, HostListStandin, HostState, ListedHost},
    http_client::HttpClient,
};
use http::{Method, StatusCode};
use serde_json::{Value, json};

fn host(number: u8, state: HostState) -> ListedHost {
    ListedHost {
        host_id: format!("h{number}"),
        failure_domain: "sohar-a".to_owned(),
        peer_address: format!("127.0.0.{number}:7000"),
        state,
    }
}

#[tokio::test]
async fn hosts_published_format() {
    let options = HostListOptions {
        hosts: vec![host(1, HostState::Live), host(2, HostState::Leaving)],
        ..HostListOptions::default()
    };
    let list = HostListStandin::start(options).await.unwrap();
    let url = format!("http://{}/hosts", list.address());
    let hosts: Value = HttpClient::new().get_json(&url).await.unwrap();
    let expected = json!([
        {"host_id": "h1", "failure_domain": "sohar-a", "peer_address": "127.0.0.1:7000", "state": "live"},
        {"host_id": "h2", "failure_domain": "sohar-a", "peer_address": "127.0.0.2:7000", "state": "leaving"},
    ]);
    assert_eq!(hosts, expected);
    list.close().await;
}

#[tokio::test]
async fn hosts_after_lag() {
    let first = vec![host(1, HostState::Live)];
    let second = vec![host(1, HostState::Leaving)];
    // The lag, and the list visible right after the change.
    let cases = [
        (Duration::ZERO, second.clone()),
        (Duration::from_hours(1), first.clone()),
    ];
    for (lag, expected) in cases {
        let options = HostListOptions {
            hosts: first.clone(),
            lag,
            ..HostListOptions::default()
        };
        let list = HostListStandin::start(options).await.unwrap();
        let client = HttpClient::new();
        let control = format!("http://{}/hosts", list.control_address());
        let response = client.send_json(Method::PUT, &control, &second).await.unwrap();
        assert_eq!(response.status, StatusCode::NO_CONTENT);
        let url = format!("http://{}/hosts", list.address());
        let visible: Vec<ListedHost> = client.get_json(&url).await.unwrap();
        assert_eq!(visible, expected, "{lag:?}");
        list.close().await;
    }
}

#[tokio::test]
async fn request_status_table() {
    let list = HostListStandin::start(HostListOptions::default()).await.unwrap();
    let client = HttpClient::new();
    let main = format!("http://{}", list.address());
    let control = format!("http://{}", list.control_address());
    let cases = [
        (Method::PUT, format!("{main}/hosts"), json!([]), 404),
        (Method::POST, format!("{main}/faults"), json!({}), 404),
        (
            Method::PUT,
            format!("{control}/hosts"),
            json!([{"host_id": "h1"}]),
            400,
        ),
        (
            Method::POST,
            format!("{control}/faults"),
            json!({"dwon": true}),
            400,
        ),
        (
            Method::POST,
            format!("{control}/faults"),
            json!({"down": true}),
            204,
        ),
        (Method::GET, format!("{main}/hosts"), json!(null), 503),
    ];
    for (method, url, body, status) in cases {
        let response = client.send_json(method, &url, &body).await.unwrap();
        assert_eq!(response.status, status, "{url} {body}");
    }
    list.set_faults(HostListFaults::default());
    let hosts: Vec<ListedHost> = client.get_json(&format!("{main}/hosts")).await.unwrap();
    assert_eq!(hosts, []);
    list.close().await;
}
