//! One host with an embedded store, a stand-in engine and a stand-in service, on loopback.
//!
//! Runs a program with several calls: two completions, a pause that simulates a tool, and an order to a
//! service. The order is not idempotent: the caller sends it twice, and it runs once. With `--serve` the
//! daemon then keeps running, and the example prints its URL and a key.

use std::{net::SocketAddr, path::Path, time::Duration};

use anyhow::{Context, Result, ensure};
use burdockroad::config::{IssuedKey, VersionedDocument, new_key};
use burdockroad_daemon::{
    config_watch::DOCUMENT_KEY,
    daemon::Daemon,
    platform::{EmbeddedKeyValue, Expected, KeyValue, Put},
    settings::{HostListSettings, LimitSettings, Settings, StoreSettings},
    telemetry::Telemetry,
};
use burdockroad_standins::{
    engine::{EngineOptions, EngineStandin},
    service::{ServiceOptions, ServiceStandin},
};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde_json::{Value, json};

/// Duration of the simulated tool call.
const TOOL_PAUSE: Duration = Duration::from_millis(300);

#[tokio::main]
async fn main() -> Result<()> {
    let serve = std::env::args().any(|argument| argument == "--serve");
    let directory = tempfile::tempdir().context("create a temporary directory")?;
    let engine = EngineStandin::start(EngineOptions::default()).await?;
    let service = ServiceStandin::start(ServiceOptions::default()).await?;
    let key = new_key(&mut rand::rng());
    let document = document(engine.address(), service.address(), &key);
    store_document(directory.path(), &document).await?;

    let daemon = Daemon::start(settings(directory.path()), Telemetry::without_exporter()).await?;
    let caller = Caller {
        url: format!("http://{}", daemon.caller_address()),
        key: key.secret,
    };
    caller.wait_until_ready().await?;
    let outcome = run_program(&caller).await;
    if serve && outcome.is_ok() {
        println!("url={} key={}", caller.url, caller.key);
        tokio::signal::ctrl_c().await?;
    }
    daemon.close().await;
    service.close().await;
    engine.close().await;
    outcome
}

async fn run_program(caller: &Caller) -> Result<()> {
    let budget = json!({ "budget": { "max_tokens": 2_000, "max_calls": 10, "max_duration_s": 60 } });
    let program = caller.send(Method::POST, "/v1/programs", None, &budget).await?;
    let id = program["id"]
        .as_str()
        .context("the response contains no program ID")?;
    println!("program={id}");

    let request = completion("Which fuel does the escort from Sohar need?");
    let response = caller
        .send(Method::POST, "/v1/chat/completions", Some((id, 1)), &request)
        .await?;
    println!("call=1 answer={}", response["choices"][0]["message"]["content"]);

    tokio::time::sleep(TOOL_PAUSE).await;
    let order = json!({ "tonnes": 120 });
    let first = caller
        .send(
            Method::POST,
            "/services/fuel-orders/orders",
            Some((id, 2)),
            &order,
        )
        .await?;
    let repeated = caller
        .send(
            Method::POST,
            "/services/fuel-orders/orders",
            Some((id, 2)),
            &order,
        )
        .await?;
    ensure!(
        first == repeated,
        "the repeated order returned a different response"
    );
    println!("call=2 answer={first} repeated_answer={repeated}");

    let request = completion("The fuel is ordered. Draft the passage plan.");
    let response = caller
        .send(Method::POST, "/v1/chat/completions", Some((id, 3)), &request)
        .await?;
    println!("call=3 answer={}", response["choices"][0]["message"]["content"]);

    let program = caller
        .send(Method::GET, &format!("/v1/programs/{id}"), None, &Value::Null)
        .await?;
    println!("history={:#}", program["calls"]);
    println!("budget={:#}", program["budget"]);
    Ok(())
}

fn completion(prompt: &str) -> Value {
    json!({
        "model": "planner-llm",
        "messages": [{ "role": "user", "content": prompt }],
        "max_tokens": 60,
    })
}

fn settings(directory: &Path) -> Settings {
    let any_port = "127.0.0.1:0".to_owned();
    Settings {
        host_id: "host-1".to_owned(),
        failure_domain: "sohar-a".to_owned(),
        site: "batinah".to_owned(),
        caller_address: any_port.clone(),
        peer_address: any_port.clone(),
        admin_address: any_port,
        store: StoreSettings::Embedded {
            data_folder: directory.to_owned(),
        },
        host_list: HostListSettings::Fixed { hosts: Vec::new() },
        log_level: "warn".to_owned(),
        log_file: None,
        limits: LimitSettings::default(),
    }
}

fn document(engine: SocketAddr, service: SocketAddr, key: &IssuedKey) -> String {
    let endpoint = |id: &str, address: SocketAddr| {
        json!({
            "id": id, "address": address.to_string(), "host_id": id, "failure_domain": "sohar-a", "slots": 8,
        })
    };
    let document = json!({
        "sites": [{ "id": "batinah", "weight": 1 }],
        "accounts": [{ "id": "trust", "rate_per_s": 50.0, "burst": 50, "keys": [key.entry] }],
        "routes": [
            { "id": "planner-llm", "kind": "model", "endpoint_sets": ["engines"] },
            { "id": "fuel-orders", "kind": "service", "endpoint_sets": ["services"] },
        ],
        "endpoint_sets": [
            { "id": "engines", "site": "batinah", "endpoints": [endpoint("engine-1", engine)] },
            { "id": "services", "site": "batinah", "endpoints": [endpoint("service-1", service)] },
        ],
    });
    format!("{document:#}")
}

/// Writes the first configuration document to the embedded store, before the daemon opens the store.
async fn store_document(directory: &Path, text: &str) -> Result<()> {
    let store = EmbeddedKeyValue::open(directory)?;
    let document = VersionedDocument::new(1, text)
        .map_err(|findings| anyhow::anyhow!("the document is invalid: {findings:?}"))?;
    let put = store
        .put(DOCUMENT_KEY, Bytes::from(document.to_bytes()), Expected::Absent)
        .await?;
    ensure!(matches!(put, Put::Done(_)), "the store already has a document");
    Ok(())
}

/// HTTP client of the daemon, which authenticates with a key.
struct Caller {
    url: String,
    key: String,
}

impl Caller {
    /// Creates a program repeatedly until the daemon accepts the request.
    async fn wait_until_ready(&self) -> Result<()> {
        for _ in 0..200 {
            let response = self.send(Method::POST, "/v1/programs", None, &json!({})).await;
            if response.is_ok() {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        anyhow::bail!("the daemon did not become ready")
    }

    /// Sends a request, and returns the JSON body of a successful response. `position` is the program ID
    /// and the call number of a request that is a call of a program.
    async fn send(
        &self,
        method: Method,
        path: &str,
        position: Option<(&str, u32)>,
        body: &Value,
    ) -> Result<Value> {
        let body = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.url))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let Some((program, number)) = position {
            request = request
                .header("program-id", program)
                .header("call-number", number);
        }
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let response = client.request(request.body(Full::from(body))?).await?;
        let status = response.status();
        let bytes = response.into_body().collect().await?.to_bytes();
        ensure!(
            status.is_success(),
            "{path} responded with {status}: {}",
            String::from_utf8_lossy(&bytes)
        );
        Ok(serde_json::from_slice(&bytes)?)
    }
}
