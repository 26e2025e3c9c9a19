//! Contract tests of the service stand-in: execution, recording and faults.

use std::time::Duration;

use burdockroad_standins::{
    HeaderField,
    http_client::{self, HttpClient},
    service::{ServiceFaults, ServiceOptions, ServiceRequest, ServiceResponse, ServiceStandin},
};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use serde_json::{Value, json};

/// Timeout for expected events; reaching it fails the test.
const TIMEOUT: Duration = Duration::from_secs(20);
/// Time without a response after which a request counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of a request, as observed by its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Succeeded,
    Failed,
    Cut,
    TimedOut,
}

#[tokio::test]
async fn execute_and_record() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let client = HttpClient::new();
    let cases = [
        (Method::POST, "/bookings?berth=7", "{\"a\":1}"),
        (Method::DELETE, "/bookings/3", ""),
        (Method::GET, "/recorded", ""),
        (Method::PATCH, "/", "not JSON"),
    ];
    for (number, (method, target, body)) in cases.iter().enumerate() {
        let url = format!("http://{}{target}", service.address());
        let mut request = http_client::request(method.clone(), &url, Bytes::from(*body)).unwrap();
        let id = HeaderValue::from_str(&format!("r{number}")).unwrap();
        request.headers_mut().insert("x-request-id", id);
        let response = client.send(request).await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        let expected = ServiceResponse {
            execution: number as u64 + 1,
            method: method.to_string(),
            target: (*target).to_owned(),
            request_id: Some(format!("r{number}")),
            padding: String::new(),
        };
        assert_eq!(response.json::<ServiceResponse>().unwrap(), expected);
    }
    let url = format!("http://{}/recorded", service.control_address());
    let recorded: Vec<ServiceRequest> = client.get_json(&url).await.unwrap();
    assert_eq!(recorded, service.recorded());
    assert_eq!(recorded.len(), cases.len());
    assert_eq!(recorded[0].request.body, "{\"a\":1}");
    let id = HeaderField {
        name: "x-request-id".to_owned(),
        value: "r0".to_owned(),
    };
    assert!(recorded[0].request.headers.contains(&id));
    service.close().await;
}

#[tokio::test]
async fn faults_table() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    let client = HttpClient::new();
    let control = format!("http://{}/faults", service.control_address());
    // Faults, the outcome for the caller, and whether the request was executed.
    let cases = [
        (json!({}), Outcome::Succeeded, true),
        (json!({"fail_next": 1}), Outcome::Failed, false),
        (json!({"hang_next": 1}), Outcome::TimedOut, true),
        (json!({"cut_next": 1}), Outcome::Cut, true),
        (json!({"cut_probability": 1.0}), Outcome::Cut, true),
        (json!({"fail_probability": 1.0}), Outcome::Failed, false),
        (json!({"delay_ms": 5}), Outcome::Succeeded, true),
    ];
    for (faults, expected, executed) in cases {
        let response = client.send_json(Method::POST, &control, &faults).await.unwrap();
        assert_eq!(response.status, StatusCode::NO_CONTENT);
        let before = service.executions();
        let timeout = if expected == Outcome::TimedOut {
            HANG_TIMEOUT
        } else {
            TIMEOUT
        };
        assert_eq!(call(&client, &service, timeout).await, expected, "{faults}");
        assert_eq!(service.executions() - before, u64::from(executed), "{faults}");
        let last = service.recorded().pop().unwrap();
        assert_eq!(last.execution.is_some(), executed, "{faults}");
    }
    service.set_faults(ServiceFaults {
        answer_bytes: 1000,
        ..ServiceFaults::default()
    });
    let url = format!("http://{}/", service.address());
    let response: ServiceResponse = client.get_json(&url).await.unwrap();
    assert_eq!(response.padding.len(), 1000);
    service.close().await;
}

#[tokio::test]
async fn execute_after_caller_disconnects() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service.set_faults(ServiceFaults {
        delay_ms: 500,
        ..ServiceFaults::default()
    });
    let url = format!("http://{}/book", service.address());
    let request = http_client::request(Method::POST, &url, Bytes::new()).unwrap();
    let caller = tokio::spawn(async move { HttpClient::new().send(request).await });
    let recorded = async {
        while service.recorded().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, recorded).await.unwrap();
    caller.abort();
    let executed = async {
        while service.executions() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, executed).await.unwrap();
    service.close().await;
}

#[tokio::test]
async fn load_without_execution() {
    let options = ServiceOptions {
        slots: 3,
        ..ServiceOptions::default()
    };
    let service = ServiceStandin::start(options).await.unwrap();
    let url = format!("http://{}/load", service.address());
    let load: Value = HttpClient::new().get_json(&url).await.unwrap();
    assert_eq!((&load["running"], &load["slots"]), (&json!(0), &json!(3)));
    assert_eq!(service.executions(), 0);
    service.close().await;
}

async fn call(client: &HttpClient, service: &ServiceStandin, timeout: Duration) -> Outcome {
    let url = format!("http://{}/book", service.address());
    let request = http_client::request(Method::POST, &url, Bytes::new()).unwrap();
    match tokio::time::timeout(timeout, client.send(request)).await {
        Ok(Ok(response)) if response.status.is_success() => Outcome::Succeeded,
        Ok(Ok(_)) => Outcome::Failed,
        Ok(Err(_)) => Outcome::Cut,
        Err(_elapsed) => Outcome::TimedOut,
    }
}
