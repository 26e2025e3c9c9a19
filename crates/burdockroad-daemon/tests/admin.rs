//! What operators and the balancer get at the admin address, and what the metrics tell.

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
struct Host {
    telemetry: Telemetry,
}

impl StatusSource for Host {
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
impl OperatorActions for Host {
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

impl DocumentOffer for Host {
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

async fn start(telemetry: Telemetry) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let host = Arc::new(Host { telemetry });
    let handlers = AdminHandlers {
        status: Arc::<Host>::clone(&host),
        actions: Arc::<Host>::clone(&host),
        document: host,
    };
    tokio::spawn(serve(listener, handlers, std::future::pending()));
    address
}

/// Sends one request and returns the status line and the body.
async fn ask(address: SocketAddr, request_line: &str) -> (String, String) {
    send(address, request_line, "").await
}

async fn send(address: SocketAddr, request_line: &str, body: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).await.expect("the server listens");
    let request = format!(
        "{request_line} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the answer is text");
    let (head, body) = answer.split_once("\r\n\r\n").expect("the answer has a head");
    let status = head.lines().next().unwrap_or_default();
    (status.replace("HTTP/1.1 ", ""), body.to_owned())
}

#[tokio::test]
async fn serve_answers() {
    let address = start(Telemetry::without_exporter()).await;
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
        let answer = ask(address, request).await;
        assert_eq!(answer.0, status, "{request}");
        assert!(answer.1.contains(body), "{request}: {}", answer.1);
    }
    let (_, body) = ask(address, "GET /status").await;
    let status: Status = serde_json::from_str(&body).expect("the status is JSON");
    assert_eq!(status.document.version, 3);
}

#[tokio::test]
async fn serve_takes_document() {
    let address = start(Telemetry::without_exporter()).await;
    let text = r#"{ "sites": [], "accounts": [], "routes": [], "endpoint_sets": [] }"#;
    let versioned = VersionedDocument::new(7, text).expect("the document is valid");
    let body = String::from_utf8(versioned.to_bytes()).expect("the stored form is text");
    let (_, answer) = send(address, "POST /document", &body).await;
    let answer: DocumentResponse = serde_json::from_str(&answer).expect("the answer is JSON");
    assert_eq!(answer.version, 7);
    for refused in ["", "{}", r#"{"version":1,"text":"{}"}"#] {
        let (status, _) = send(address, "POST /document", refused).await;
        assert_eq!(status, "400 Bad Request", "{refused}");
    }
}

#[tokio::test]
async fn metrics_labels_bounded() {
    let telemetry = Telemetry::install().expect("no other recorder is installed");
    let address = start(telemetry.clone()).await;
    for number in 0..20 * ACCOUNT_LABELS_MAX {
        let account_id = format!("account-{number}");
        telemetry.record(&account_id, Measure::Program, Duration::from_millis(10));
        telemetry.refused(&account_id, RefusalReason::OverRate);
    }
    telemetry.refused(&"starved".to_owned(), RefusalReason::InsideRate);
    telemetry.record(&"slow".to_owned(), Measure::Program, Duration::from_secs(30));
    let (_, body) = ask(address, "GET /metrics").await;
    let refused = body
        .lines()
        .filter(|line| line.starts_with("burdockroad_refused_total{"));
    // The labelled accounts, and `other` for each of the two reasons.
    assert_eq!(refused.count(), ACCOUNT_LABELS_MAX + 2);
    assert!(
        body.contains("burdockroad_program_latency_seconds_bucket"),
        "{body}"
    );
    let (_, body) = ask(address, "GET /status").await;
    let status: Status = serde_json::from_str(&body).expect("the status is JSON");
    let worst: Vec<&str> = status
        .worst_served
        .iter()
        .map(|service| service.account_id.as_str())
        .collect();
    assert_eq!(worst, ["starved", "slow"]);
    // After two windows nothing is left of them.
    telemetry.rotate();
    assert_eq!(telemetry.worst_served(1)[0].account_id, "starved");
    telemetry.rotate();
    assert_eq!(telemetry.worst_served(1), []);
}
