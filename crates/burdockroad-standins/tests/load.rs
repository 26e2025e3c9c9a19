//! Tests of the load generator: requests, retries and rejected options.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use burdockroad_standins::{
    engine::{EngineFaults, EngineOptions, EngineStandin},
    load::{self, LoadAccount, LoadOptions, RefusalCount},
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Returns options without tool pauses, to keep the tests short.
fn options(target: SocketAddr) -> LoadOptions {
    LoadOptions {
        targets: vec![target],
        accounts: vec![account("a", 2)],
        turns: 3,
        tool_pause: Duration::ZERO,
        max_tokens: 5,
        programs: 4,
        duration: Duration::from_mins(1),
        ..LoadOptions::default()
    }
}

fn account(account_id: &str, concurrency: usize) -> LoadAccount {
    LoadAccount {
        account_id: account_id.to_owned(),
        key: format!("key-of-{account_id}"),
        programs_per_s: 0.0,
        concurrency,
    }
}

#[tokio::test]
async fn run_direct() {
    let engine = EngineStandin::start(EngineOptions::default()).await.unwrap();
    for stream in [true, false] {
        let options = LoadOptions {
            direct: true,
            stream,
            tool_pause: Duration::from_millis(10),
            accounts: vec![account("b", 1), account("a", 2)],
            ..options(engine.address())
        };
        engine.set_faults(EngineFaults {
            cut_next: 2,
            cut_after_tokens: 1,
            ..EngineFaults::default()
        });
        let report = load::run(options).await.unwrap();
        let ids: Vec<_> = report
            .accounts
            .iter()
            .map(|account| account.account_id.as_str())
            .collect();
        assert_eq!(ids, ["a", "b"]);
        let broken: u64 = report.accounts.iter().map(|account| account.broken).sum();
        let retries: u64 = report.accounts.iter().map(|account| account.retries).sum();
        assert_eq!((broken, retries), (2, 2));
        for account in &report.accounts {
            assert_eq!((account.completed, account.failed, account.unfinished), (4, 0, 0));
            assert_eq!(
                (account.program_latency.count, account.call_latency.count),
                (4, 12)
            );
            let latency = account.program_latency;
            assert!(latency.p50_ms >= 20.0, "the latency includes two pauses of 10 ms");
            assert!(latency.p50_ms <= latency.p95_ms && latency.p99_ms <= latency.max_ms);
            assert_eq!(account.completion_tokens, 4 * 3 * 5);
            assert!(
                account.cached_tokens > 0,
                "later turns reuse the cached prefix of earlier ones"
            );
        }
    }
    let recorded = engine.recorded();
    let keys = recorded
        .iter()
        .filter(|request| format!("{request:?}").contains("key-of"))
        .count();
    assert_eq!(keys, 0);
    engine.close().await;
}

#[tokio::test]
async fn run_refusals() {
    let problem = |kind: &str, ran: &str| {
        format!("{{\"type\": \"urn:burdockroad:problem:{kind}\", \"ran\": \"{ran}\"}}")
    };
    let completion = "{\"choices\": [{\"message\": {\"content\": \"x\"}}], \"usage\": {\"prompt_tokens\": 1, \"completion_tokens\": 1}}";
    let created = ScriptedResponse::new(200, "{\"id\": \"p-0001-a\"}", None);
    let complete = ScriptedResponse::new(200, completion, None);
    let cut = ScriptedResponse::stream("data: {}\n\n");
    let busy = ScriptedResponse::new(503, &problem("overloaded", "no"), Some(0));
    let over_budget = ScriptedResponse::new(402, &problem("over-budget", "no"), None);
    let ran = ScriptedResponse::new(502, &problem("endpoint-failed", "yes"), Some(0));
    // Responses to one program of three calls, then completed, refusals, broken attempts and retries.
    let cases = [
        (vec![&created, &complete, &complete, &complete], 1, vec![], 0, 0),
        (
            vec![&busy, &created, &busy, &busy, &complete, &complete, &complete],
            1,
            vec![("overloaded", 3)],
            0,
            3,
        ),
        (
            vec![&created, &cut, &complete, &complete, &complete],
            1,
            vec![],
            1,
            1,
        ),
        (
            vec![&created, &complete, &over_budget],
            0,
            vec![("over-budget", 1)],
            0,
            0,
        ),
        (vec![&created, &ran], 0, vec![("endpoint-failed", 1)], 0, 0),
        (
            vec![&created, &busy, &busy, &busy, &busy],
            0,
            vec![("overloaded", 4)],
            0,
            3,
        ),
    ];
    for (responses, completed, refusals, broken, retries) in cases {
        let server = ScriptedServer::start(responses.into_iter().cloned().collect()).await;
        let options = LoadOptions {
            programs: 1,
            retries: 3,
            ..options(server.address)
        };
        let account = load::run(options).await.unwrap().accounts.remove(0);
        assert_eq!(
            (account.completed, account.failed),
            (completed, 1 - completed),
            "{account}"
        );
        let refusals: Vec<_> = refusals
            .into_iter()
            .map(|(kind, count)| RefusalCount {
                kind: kind.to_owned(),
                count,
            })
            .collect();
        assert_eq!(account.refusals, refusals);
        assert_eq!((account.broken, account.retries), (broken, retries), "{account}");
        assert_eq!(server.remaining(), 0, "every response must be requested");
        server.check_headers();
    }
}

#[tokio::test]
async fn run_open_loop() {
    let engine = EngineStandin::start(EngineOptions::default()).await.unwrap();
    let open_loop = LoadAccount {
        programs_per_s: 200.0,
        ..account("a", 1)
    };
    let count = |account: &load::AccountReport| {
        account.completed + account.failed + account.unfinished + account.unstarted
    };
    let mut counts = Vec::new();
    for _ in 0..2 {
        let options = LoadOptions {
            direct: true,
            accounts: vec![open_loop.clone()],
            programs: 1000,
            duration: Duration::from_millis(300),
            ..options(engine.address())
        };
        let report = load::run(options).await.unwrap();
        counts.push(count(&report.accounts[0]));
    }
    // The number of due programs depends only on the seed, whether or not they could be started.
    assert_eq!(counts[0], counts[1]);
    assert!(counts[0] > 0);
    engine.close().await;
}

#[tokio::test]
async fn validate_table() {
    let target: SocketAddr = "127.0.0.1:9".parse().unwrap();
    let non_loopback: SocketAddr = "192.0.2.1:80".parse().unwrap();
    let valid = options(target);
    let cases = [
        (
            LoadOptions {
                targets: vec![target, non_loopback],
                ..valid.clone()
            },
            "not a loopback",
        ),
        (
            LoadOptions {
                targets: vec![],
                ..valid.clone()
            },
            "no target",
        ),
        (
            LoadOptions {
                accounts: vec![],
                ..valid.clone()
            },
            "no account",
        ),
        (
            LoadOptions {
                accounts: vec![account("a", 0)],
                ..valid.clone()
            },
            "concurrency",
        ),
        (
            LoadOptions {
                accounts: vec![account("a", 5000)],
                ..valid.clone()
            },
            "2048",
        ),
        (
            LoadOptions {
                programs: 100_001,
                ..valid.clone()
            },
            "100000",
        ),
        (
            LoadOptions {
                duration: Duration::from_mins(11),
                ..valid.clone()
            },
            "600 s",
        ),
        (LoadOptions { turns: 0, ..valid }, "turns"),
    ];
    for (options, reason) in cases {
        let error = load::run(options).await.unwrap_err().to_string();
        assert!(error.contains(reason), "{error}");
    }
}

/// A response of the scripted server.
#[derive(Clone, Debug)]
struct ScriptedResponse {
    status: u16,
    body: String,
    retry_after: Option<u64>,
    media_type: &'static str,
}

impl ScriptedResponse {
    fn new(status: u16, body: &str, retry_after: Option<u64>) -> Self {
        Self {
            status,
            body: body.to_owned(),
            retry_after,
            media_type: "application/json",
        }
    }

    fn stream(body: &str) -> Self {
        Self {
            media_type: "text/event-stream",
            ..Self::new(200, body, None)
        }
    }
}

/// A server that sends its responses in order and records the request headers.
struct ScriptedServer {
    address: SocketAddr,
    responses: Arc<Mutex<VecDeque<ScriptedResponse>>>,
    headers: Arc<Mutex<Vec<(String, HeaderMap)>>>,
}

impl ScriptedServer {
    async fn start(responses: VecDeque<ScriptedResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            responses: Arc::new(Mutex::new(responses)),
            headers: Arc::default(),
        };
        let (responses, headers) = (Arc::clone(&server.responses), Arc::clone(&server.headers));
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (responses, headers) = (Arc::clone(&responses), Arc::clone(&headers));
                let service = service_fn(move |request: Request<Incoming>| {
                    let (responses, headers) = (Arc::clone(&responses), Arc::clone(&headers));
                    async move {
                        let path = request.uri().path().to_owned();
                        headers.lock().unwrap().push((path, request.headers().clone()));
                        request.collect().await?;
                        Ok::<_, hyper::Error>(respond(&responses.lock().unwrap().pop_front().unwrap()))
                    }
                });
                tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(socket), service));
            }
        });
        server
    }

    fn remaining(&self) -> usize {
        self.responses.lock().unwrap().len()
    }

    /// Checks that each call carried its key, its program id and its call number.
    fn check_headers(&self) {
        let mut last_number = 0;
        for (path, headers) in self.headers.lock().unwrap().iter() {
            assert_eq!(headers["authorization"], "Bearer key-of-a");
            if path == "/v1/chat/completions" {
                assert_eq!(headers["program-id"], "p-0001-a");
                let number: u32 = headers["call-number"].to_str().unwrap().parse().unwrap();
                assert!(number == last_number || number == last_number + 1);
                last_number = number;
            }
        }
    }
}

fn respond(scripted: &ScriptedResponse) -> Response<Full<Bytes>> {
    let mut response = Response::builder().status(scripted.status);
    response = response.header(header::CONTENT_TYPE, scripted.media_type);
    if let Some(seconds) = scripted.retry_after {
        response = response.header(header::RETRY_AFTER, seconds);
    }
    response
        .body(Full::new(Bytes::from(scripted.body.clone())))
        .unwrap()
}
