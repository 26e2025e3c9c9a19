//! Tests of endpoints that fail, truncate responses or hang, and of callers that disconnect or repeat a
//! request.

use std::time::Duration;

use burdockroad_site::{Site, SiteOptions, completion, problem, wait_until};
use http::Method;
use serde_json::{Value, json};

const COMPLETIONS: &str = "/v1/chat/completions";

fn one_engine(options: Vec<&'static str>) -> SiteOptions {
    SiteOptions {
        engines: 1,
        engine_options: options,
        ..SiteOptions::default()
    }
}

/// Returns the number of completion requests that the engines have received.
async fn count_completion_requests(site: &Site) -> usize {
    let mut sum = 0;
    for engine in &site.engines {
        sum += site
            .get_control(engine, "/recorded")
            .await
            .to_string()
            .matches("chat/completions")
            .count();
    }
    sum
}

fn content(response: &burdockroad_standins::http_client::HttpResponse) -> Value {
    let body: Value = response.json().expect("the body is JSON");
    body["choices"][0]["message"]["content"].clone()
}

#[tokio::test]
async fn completion_truncated_is_resumed() {
    let site = Site::start(one_engine(vec!["--token-ms", "5"])).await;
    let caller = site.caller("masters");
    let body = completion("cut", 30);
    let complete_response = caller.send(0, Method::POST, COMPLETIONS, None, &body).await;
    let truncate_next = json!({ "cut_next": 1, "cut_after_tokens": 5 });
    for _ in 0..2 {
        site.post_control(&site.engines[0], "/faults", &truncate_next)
            .await;
        let response = caller.send(1, Method::POST, COMPLETIONS, None, &body).await;
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(
            content(&response),
            content(&complete_response),
            "the response is complete, with nothing duplicated or missing"
        );
    }
}

#[tokio::test]
async fn stream_truncated_is_resumed() {
    check_truncated_stream_is_resumed(&json!({ "cut_next": 1, "cut_after_tokens": 5 })).await;
}

/// A response that ends with its connection looks complete when the engine crashes inside an event.
#[tokio::test]
async fn stream_closed_inside_event_is_resumed() {
    let faults = json!({
        "cut_next": 1, "cut_after_tokens": 5, "cut_inside_event": true, "until_close": true,
    });
    check_truncated_stream_is_resumed(&faults).await;
}

async fn check_truncated_stream_is_resumed(truncation: &Value) {
    let site = Site::start(one_engine(vec!["--token-ms", "5", "--answer-tokens", "30"])).await;
    let caller = site.caller("masters");
    let mut texts = Vec::new();
    for faults in [&json!({}), truncation] {
        site.post_control(&site.engines[0], "/faults", faults).await;
        let mut stream = caller.stream(1, None, 30).await;
        let mut text = String::new();
        while let Some(data) = stream.next().await.expect("the stream is not truncated") {
            text.push_str(&String::from_utf8_lossy(&data));
        }
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        texts.push(streamed_content(&text));
    }
    assert_eq!(
        texts[0], texts[1],
        "the resumed stream has the same content, with nothing duplicated or missing"
    );
    assert_eq!(
        count_completion_requests(&site).await,
        2,
        "the interrupted call was resumed and not restarted"
    );
}

/// Returns the concatenated content of a stream's events.
fn streamed_content(events: &str) -> String {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = data.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let parts = chunks.filter_map(|chunk| {
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    parts.collect()
}

#[tokio::test]
async fn stream_engine_killed_is_incomplete() {
    let mut site = Site::start(one_engine(vec!["--token-ms", "50", "--answer-tokens", "200"])).await;
    let mut stream = site.caller("masters").stream(0, None, 200).await;
    assert!(stream.next().await.expect("the stream starts").is_some());
    site.engines[0].kill().await.expect("the process can be killed");
    let mut text = String::new();
    let ended = loop {
        match stream.next().await {
            Ok(Some(data)) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    assert!(
        !ended,
        "the connection ended as if the response were complete: {text}"
    );
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(
        text.contains("endpoint-failed"),
        "the stream reports the failure: {text}"
    );
    let refused = site
        .caller("masters")
        .send(1, Method::POST, COMPLETIONS, None, &completion("next", 4))
        .await;
    assert!(refused.status.is_server_error(), "{}", refused.text());
}

/// An HTTP/1.0 response without a length would end with its connection, also when it is truncated.
#[tokio::test]
async fn stream_engine_killed_is_refused_for_http_1_0_caller() {
    let mut site = Site::start(one_engine(vec!["--token-ms", "20", "--answer-tokens", "100"])).await;
    let caller = site.caller("masters");
    let mut whole = caller.stream_http_1_0(0, 10).await;
    assert!(whole.headers.contains_key("content-length"));
    let mut text = String::new();
    while let Some(data) = whole.next().await.expect("the stream is not truncated") {
        text.push_str(&String::from_utf8_lossy(&data));
    }
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    let key = caller.key.clone();
    let engine = site.engines.pop().expect("one engine");
    let killed = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let mut engine = engine;
        engine.kill().await.expect("the process can be killed");
    };
    let caller = burdockroad_site::Caller { site: &site, key };
    let (response, ()) = tokio::join!(caller.stream_http_1_0(0, 100), killed);
    assert_eq!(response.status, 502);
    assert!(response.headers.contains_key("content-length"));
}

#[tokio::test]
async fn completion_engine_fails_retried_on_another() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let program = caller.create_program(0, &json!({})).await;
    for number in 1..=4 {
        for engine in &site.engines {
            site.post_control(engine, "/faults", &json!({ "fail_next": 1 }))
                .await;
        }
        let response = caller.complete(1, &program, number, "question").await;
        assert_eq!(response.status, 200, "call {number}: {}", response.text());
        for engine in &site.engines {
            site.post_control(engine, "/faults", &json!({})).await;
        }
    }
    let shown = caller.show_program(2, &program).await;
    assert_eq!(shown["calls"].as_array().map(Vec::len), Some(4));
}

#[tokio::test]
async fn call_repeated_while_running() {
    let site = Site::start(one_engine(vec!["--token-ms", "40"])).await;
    let caller = site.caller("masters");
    let program = caller.create_program(0, &json!({})).await;
    let attempts = (0..6).map(|daemon| caller.complete(daemon % 3, &program, 1, "sent six times"));
    let responses = futures_util::future::join_all(attempts).await;
    for response in &responses {
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(response.body, responses[0].body);
    }
    assert_eq!(count_completion_requests(&site).await, 1, "the call ran once");
}

#[tokio::test]
async fn order_repeated_with_idempotency_key() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let body = json!({ "order": "keyed-order" });
    let mut responses = Vec::new();
    for daemon in 0..3 {
        let path = "/services/fuel-orders/orders";
        responses.push(
            caller
                .send_with_idempotency_key(daemon, path, "order-7", &body)
                .await,
        );
    }
    for response in &responses {
        assert_eq!(response.status, 200, "{}", response.text());
        assert_eq!(response.body, responses[0].body);
    }
    let executions = site
        .get_control(&site.service, "/recorded")
        .await
        .to_string()
        .matches("keyed-order")
        .count();
    assert_eq!(executions, 1, "the order ran once");
    let other = caller
        .send_with_idempotency_key(
            0,
            "/services/fuel-orders/orders",
            "order-7",
            &json!({ "order": "other" }),
        )
        .await;
    assert_eq!(problem(&other), ("different-request".to_owned(), "no".to_owned()));
}

#[tokio::test]
async fn call_continues_after_disconnect() {
    let site = Site::start(one_engine(vec!["--token-ms", "30"])).await;
    let caller = site.caller("masters");
    let program = caller.create_program(0, &json!({})).await;
    let mut stream = caller.stream(1, Some((&program, 1)), 20).await;
    assert!(stream.next().await.expect("the stream starts").is_some());
    drop(stream);
    wait_until("the call completes after its caller has disconnected", || async {
        let shown = caller.show_program(2, &program).await;
        (shown["calls"][0]["state"] == "answered").then_some(())
    })
    .await;
    assert_eq!(count_completion_requests(&site).await, 1);
}

#[tokio::test]
async fn budget_shared_by_programs_on_two_hosts() {
    let site = Site::start(one_engine(vec!["--token-ms", "1", "--answer-tokens", "16"])).await;
    let caller = site.caller("masters");
    let root = caller
        .create_program(0, &json!({ "budget": { "max_tokens": 100, "max_calls": 50 } }))
        .await;
    let child = caller.create_program(1, &json!({ "parent": root })).await;
    let spend = |daemon: usize, program: String| {
        let caller = caller.clone();
        async move {
            let mut number = 1;
            loop {
                let response = caller.complete(daemon, &program, number, "spend").await;
                if response.status == 200 {
                    number += 1;
                    continue;
                }
                assert_eq!(
                    problem(&response),
                    ("over-budget".to_owned(), "no".to_owned()),
                    "{}",
                    response.text()
                );
                if !response.headers.contains_key("retry-after") {
                    return;
                }
            }
        }
    };
    tokio::join!(spend(1, root.clone()), spend(2, child.clone()));
    let stats = site.get_control(&site.engines[0], "/stats").await;
    let generated = stats["generated"]
        .as_u64()
        .expect("the statistics contain a count");
    assert!(
        generated <= 100,
        "the engine generated {generated} of 100 tokens: {stats}"
    );
    // At most the 16 tokens of one call may stay unspent.
    assert!(generated >= 84, "the budget can be used completely: {stats}");
    let remaining = caller.show_program(0, &root).await["budget"]["left"]["tokens"].as_u64();
    assert_eq!(remaining, Some(100 - generated));
}

#[tokio::test]
async fn order_hung_service_times_out() {
    let options = SiteOptions {
        limits: json!({ "call_timeout_s": 2 }),
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let caller = site.caller("masters");
    let program = caller.create_program(0, &json!({})).await;
    site.post_control(&site.service, "/faults", &json!({ "hang_next": 1 }))
        .await;
    let hung = caller.order(1, &program, 1, "hung-order").await;
    assert!(hung.status == 504 || hung.status == 409, "{}", hung.text());
    assert_eq!(problem(&hung).1, "unknown", "it may have run");
    let again = caller.order(2, &program, 1, "hung-order").await;
    assert_eq!(
        problem(&again),
        ("outcome-unknown".to_owned(), "unknown".to_owned())
    );
    let next = caller.complete(0, &program, 2, "go on").await;
    assert_eq!(next.status, 200, "{}", next.text());
}

#[tokio::test]
async fn program_time_limit_ends_calls() {
    let site = Site::start(one_engine(vec!["--token-ms", "20", "--answer-tokens", "400"])).await;
    let caller = site.caller("masters");
    let program = caller
        .create_program(0, &json!({ "budget": { "max_duration_s": 2 } }))
        .await;
    let body = completion("runs past the limit", 400);
    let stopped = caller
        .send(1, Method::POST, COMPLETIONS, Some((&program, 1)), &body)
        .await;
    assert!(
        stopped.status == 504 || stopped.status == 409,
        "{}",
        stopped.text()
    );
    let late = caller.complete(2, &program, 1, "late").await;
    assert!(late.status == 409 || late.status == 402, "{}", late.text());
    assert_eq!(problem(&late).1, "no");
    wait_until("the program's cached prefix is removed", || async {
        site.cached_programs().await.is_empty().then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
}
