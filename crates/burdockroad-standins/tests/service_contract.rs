//! Contract of the service stand-in: what is executed, what is recorded, and what fails.

use std::time::Duration;

use burdockroad_standins::{
    HeaderField,
    http_client::{self, HttpClient},
    service::{ServiceFaults, ServiceOptions, ServiceRequest, ServiceResponse, ServiceStandin},
};
use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode};
use serde_json::{Value, json};

/// Longest wait for something that has to come; a wait that ends by it is a failure.
const DEADLINE: Duration = Duration::from_secs(20);
/// Wait after which a request that must never be answered counts as hanging.
const HANG: Duration = Duration::from_millis(300);

/// What the caller of a request sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Answered,
    Failed,
    Cut,
    Nothing,
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
        let answer = client.send(request).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        let expected = ServiceResponse {
            execution: number as u64 + 1,
            method: method.to_string(),
            target: (*target).to_owned(),
            request_id: Some(format!("r{number}")),
            padding: String::new(),
        };
        assert_eq!(answer.json::<ServiceResponse>().unwrap(), expected);
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
    // Faults, what the caller sees, and whether the request was executed.
    let cases = [
        (json!({}), Seen::Answered, true),
        (json!({"fail_next": 1}), Seen::Failed, false),
        (json!({"hang_next": 1}), Seen::Nothing, true),
        (json!({"cut_next": 1}), Seen::Cut, true),
        (json!({"cut_probability": 1.0}), Seen::Cut, true),
        (json!({"fail_probability": 1.0}), Seen::Failed, false),
        (json!({"delay_ms": 5}), Seen::Answered, true),
    ];
    for (faults, expected, executed) in cases {
        let answer = client.send_json(Method::POST, &control, &faults).await.unwrap();
        assert_eq!(answer.status, StatusCode::NO_CONTENT);
        let before = service.executions();
        let longest = if expected == Seen::Nothing { HANG } else { DEADLINE };
        assert_eq!(call(&client, &service, longest).await, expected, "{faults}");
        assert_eq!(service.executions() - before, u64::from(executed), "{faults}");
        let last = service.recorded().pop().unwrap();
        assert_eq!(last.execution.is_some(), executed, "{faults}");
    }
    service.set_faults(ServiceFaults {
        answer_bytes: 1000,
        ..ServiceFaults::default()
    });
    let url = format!("http://{}/", service.address());
    let answer: ServiceResponse = client.get_json(&url).await.unwrap();
    assert_eq!(answer.padding.len(), 1000);
    service.close().await;
}

#[tokio::test]
async fn execute_after_caller_left() {
    let service = ServiceStandin::start(ServiceOptions::default()).await.unwrap();
    service.set_faults(ServiceFaults {
        delay_ms: 500,
        ..ServiceFaults::default()
    });
    let url = format!("http://{}/book", service.address());
    let request = http_client::request(Method::POST, &url, Bytes::new()).unwrap();
    let caller = tokio::spawn(async move { HttpClient::new().send(request).await });
    let taken_in = async {
        while service.recorded().is_empty() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(DEADLINE, taken_in).await.unwrap();
    caller.abort();
    let executed = async {
        while service.executions() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(DEADLINE, executed).await.unwrap();
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

async fn call(client: &HttpClient, service: &ServiceStandin, longest: Duration) -> Seen {
    let url = format!("http://{}/book", service.address());
    let request = http_client::request(Method::POST, &url, Bytes::new()).unwrap();
    match tokio::time::timeout(longest, client.send(request)).await {
        Ok(Ok(answer)) if answer.status.is_success() => Seen::Answered,
        Ok(Ok(_)) => Seen::Failed,
        Ok(Err(_)) => Seen::Cut,
        Err(_elapsed) => Seen::Nothing,
    }
}
