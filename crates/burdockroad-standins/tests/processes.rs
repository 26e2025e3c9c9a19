//! Tests of the stand-ins as separate processes: start, pause, resume and end.

use std::time::Duration;

use burdockroad_standins::{
    http_client::HttpClient,
    processes::{self, Process},
};
use http::Method;
use serde_json::{Value, json};

/// Timeout for expected events; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a response after which a process counts as paused.
const NO_RESPONSE_TIMEOUT: Duration = Duration::from_millis(200);

const BINARY: &str = "burdockroad-standin";

#[tokio::test]
async fn spawn_each_kind() {
    let hosts = json!([{"host_id": "h1", "failure_domain": "a", "state": "live"}]).to_string();
    let cases: [&[&str]; 6] = [
        &["kv", "--reads-per-s", "100", "--writes-per-s", "10"],
        &[
            "engine",
            "--slots",
            "2",
            "--token-ms",
            "0.5",
            "--fencing",
            "ignored",
            "--model",
            "m",
            "--model",
            "n",
        ],
        &["service", "--execution-ms", "1"],
        &["host-list", "--hosts", &hosts, "--lag-ms", "10"],
        &["proxy", "--target", "127.0.0.1:9"],
        &["weight-store", "--rate-per-s", "5"],
    ];
    for arguments in cases {
        let mut process = Process::spawn(BINARY, arguments).await.unwrap();
        assert!(process.address().unwrap().ip().is_loopback(), "{arguments:?}");
        assert_ne!(process.address().unwrap(), process.address_of("control").unwrap());
        process.terminate().unwrap();
        assert!(process.wait(TIMEOUT).await.unwrap().success(), "{arguments:?}");
    }
}

#[tokio::test]
async fn spawn_refusal_table() {
    // Arguments, and text that the error contains.
    let cases: [(&[&str], &str); 6] = [
        (&[], "KIND is missing"),
        (&["kvv"], "unknown kind"),
        (&["kv", "--listen", "0.0.0.0:0"], "not a loopback address"),
        (&["kv", "--reads", "5"], "unknown arguments"),
        (&["engine", "--fencing", "maybe"], "refused or ignored"),
        (&["proxy"], "--target"),
    ];
    for (arguments, reason) in cases {
        let error = Process::spawn(BINARY, arguments).await.unwrap_err().to_string();
        assert!(error.contains(reason), "{arguments:?}: {error}");
    }
    let error = Process::spawn("burdockroad-missing", &[])
        .await
        .unwrap_err()
        .to_string();
    assert!(error.contains("is not built"), "{error}");
}

#[tokio::test]
async fn stop_resume_kill() {
    let mut process = Process::spawn(BINARY, &["service"]).await.unwrap();
    let address = process.address().unwrap();
    let url = format!("http://{address}/");
    let client = HttpClient::new();
    client.get_json::<Value>(&url).await.unwrap();
    process.stop().unwrap();
    let request = client.get_json::<Value>(&url);
    tokio::pin!(request);
    tokio::time::timeout(NO_RESPONSE_TIMEOUT, &mut request)
        .await
        .unwrap_err();
    process.resume().unwrap();
    let response = tokio::time::timeout(TIMEOUT, request).await.unwrap().unwrap();
    assert_eq!(response["execution"], 2);
    process.kill().await.unwrap();
    client.get_json::<Value>(&url).await.unwrap_err();
    // A new process can listen on the address of the killed one.
    let listen = address.to_string();
    let restarted = Process::spawn(BINARY, &["service", "--listen", &listen])
        .await
        .unwrap();
    let response = client.send_json(Method::POST, &url, &json!({})).await.unwrap();
    assert_eq!(response.json::<Value>().unwrap()["execution"], 1);
    restarted.close().await;
}

#[test]
fn free_ports_all_different() {
    let mut ports = processes::free_ports(20).unwrap();
    ports.sort_unstable();
    ports.dedup();
    assert_eq!(ports.len(), 20);
}
