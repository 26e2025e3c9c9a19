//! Responses of the admin server to operators and load balancers, and the metrics that it exports.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{AccountId, DocumentVersion, ProgramId, config::VersionedDocument};
use burdockroad_daemon::{
    admin::{
        AdminHandlers, DocumentResponse, DocumentStatus, OperatorActions, OwnershipStatus, ProgramSummary,
        Readiness, Status, StatusSource, serve,
    },
    config_watch::DocumentOffer,
    telemetry::{ACCOUNT_LABELS_MAX, Measure, RefusalReason, Telemetry},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

#[derive(Debug)]
struct TestHost {
    telemetry: Telemetry,
}

impl StatusSource for TestHost {
    fn readiness(&self) -> Readiness {
        Readiness::NotReady("no document is in force".to_owned())
    }

    fn metrics(&self) -> String {
        self.telemetry.render()
    }

    fn status(&self) -> Status {
        Status {
            host_id: "h1".to_owned(),
            incarnation: 7,
            failure_domain: "d1".to_owned(),
            draining: false,
            document: DocumentStatus {
                version: 3,
                freshness: "fresh".to_owned(),
            },
            ownership: OwnershipStatus::default(),
            endpoints: Vec::new(),
            worst_served: self.telemetry.worst_served(2),
        }
    }
}

#[async_trait]
impl OperatorActions for TestHost {
    async fn programs(&self, account_id: Option<AccountId>) -> Vec<ProgramSummary> {
        account_id
            .map(|account_id| summary(&account_id))
            .into_iter()
            .collect()
    }

    async fn program(&self, program_id: ProgramId) -> Option<ProgramSummary> {
        (program_id == "p-1").then(|| summary("a"))
    }

    async fn end_program(&self, program_id: ProgramId) -> bool {
        program_id == "p-1"
    }

    async fn drain(&self) {}
}

impl DocumentOffer for TestHost {
    fn offer_document(&self, versioned: VersionedDocument) -> DocumentVersion {
        versioned.version
    }
}

fn summary(account_id: &str) -> ProgramSummary {
    ProgramSummary {
        program_id: "p-1".to_owned(),
        account_id: account_id.to_owned(),
        parent_id: None,
        state: "open".to_owned(),
        calls: 1,
        spent_tokens: 5,
        age_s: 9,
    }
}

async fn start_server(telemetry: Telemetry) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let host = Arc::new(TestHost { telemetry });
    let handlers = AdminHandlers {
        status: Arc::<TestHost>::clone(&host),
        actions: Arc::<TestHost>::clone(&host),
        document: host,
    };
    tokio::spawn(serve(listener, handlers, std::future::pending()));
    address
}

/// Sends a request without a body, and returns the status line and the body of the response.
async fn send_request(address: SocketAddr, request_line: &str) -> (String, String) {
    send_with_body(address, request_line, "").await
}

/// Sends a request, and returns the status line and the body of the response.
async fn send_with_body(address: SocketAddr, request_line: &str, body: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server accepts the connection");
    let request = format!(
        "{request_line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("the response is UTF-8");
    let (head, body) = response.split_once("\r\n\r\n").expect("the response has a head");
    let status = head.lines().next().unwrap_or_default();
    (status.replace("HTTP/1.1 ", ""), body.to_owned())
}

#[tokio::test]
async fn serve_routes_and_methods() {
    let address = start_server(Telemetry::without_exporter()).await;
    let cases = [
        ("GET /live", "200 OK", "live"),
        ("GET /ready", "503 Service Unavailable", "no document is in force"),
        ("GET /programs", "200 OK", "[]"),
        ("GET /programs?account=b", "200 OK", r#""account_id":"b""#),
        ("GET /programs/p-1", "200 OK", r#""spent_tokens":5"#),
        ("GET /programs/p-2", "404 Not Found", "does not own"),
        ("POST /programs/p-1/end", "200 OK", "ended"),
        ("POST /programs/p-2/end", "404 Not Found", "does not own"),
        ("POST /drain", "202 Accepted", "draining"),
        ("GET /drain", "405 Method Not Allowed", ""),
        ("POST /status", "405 Method Not Allowed", ""),
        ("GET /", "404 Not Found", ""),
        ("GET /%00/../x", "404 Not Found", ""),
    ];
    for (request, status, body) in cases {
        let response = send_request(address, request).await;
        assert_eq!(response.0, status, "{request}");
        assert!(response.1.contains(body), "{request}: {}", response.1);
    }
    let (_, body) = send_request(address, "GET /status").await;
    let status: Status = serde_json::from_str(&body).expect("the status is JSON");
    assert_eq!(status.document.version, 3);
}

#[tokio::test]
async fn serve_accepts_document() {
    let address = start_server(Telemetry::without_exporter()).await;
    let text = r#"{ "sites": [], "accounts": [], "routes": [], "endpoint_sets": [] }"#;
    let versioned = VersionedDocument::new(7, text).expect("the document is valid");
    let body = String::from_utf8(versioned.to_bytes()).expect("the encoded document is UTF-8");
    let (_, response) = send_with_body(address, "POST /document", &body).await;
    let response: DocumentResponse = serde_json::from_str(&response).expect("the response is JSON");
    assert_eq!(response.version, 7);
    for invalid_body in ["", "{}", r#"{"version":1,"text":"{}"}"#] {
        let (status, _) = send_with_body(address, "POST /document", invalid_body).await;
        assert_eq!(status, "400 Bad Request", "{invalid_body}");
    }
}

#[tokio::test]
async fn metrics_labels_bounded() {
    let telemetry = Telemetry::install().expect("no other recorder is installed");
    let address = start_server(telemetry.clone()).await;
    for number in 0..20 * ACCOUNT_LABELS_MAX {
        let account_id = format!("account-{number}");
        telemetry.record(&account_id, Measure::Program, Duration::from_millis(10));
        telemetry.refused(&account_id, RefusalReason::OverRate);
    }
    telemetry.refused(&"starved".to_owned(), RefusalReason::InsideRate);
    telemetry.record(&"slow".to_owned(), Measure::Program, Duration::from_secs(30));
    let (_, body) = send_request(address, "GET /metrics").await;
    let refusal_series = body
        .lines()
        .filter(|line| line.starts_with("burdockroad_refused_total{"));
    // One series for each labelled account, and one with the label `other` for each of the two reasons.
    assert_eq!(refusal_series.count(), ACCOUNT_LABELS_MAX + 2);
    assert!(
        body.contains("burdockroad_program_latency_seconds_bucket"),
        "{body}"
    );
    let (_, body) = send_request(address, "GET /status").await;
    let status: Status = serde_json::from_str(&body).expect("the status is JSON");
    let worst_account_ids: Vec<&str> = status
        .worst_served
        .iter()
        .map(|service| service.account_id.as_str())
        .collect();
    assert_eq!(worst_account_ids, ["starved", "slow"]);
    // Each rotation starts a new window. Measurements expire after two windows.
    telemetry.rotate();
    assert_eq!(telemetry.worst_served(1)[0].account_id, "starved");
    telemetry.rotate();
    assert_eq!(telemetry.worst_served(1), []);
}
