//! Endpoints that fail, cut answers or hang, and callers that leave or ask twice.

use std::time::Duration;

use burdockroad_site::{Site, SiteOptions, completion, problem, until};
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

/// Number of completions that the engines were sent.
async fn completions(site: &Site) -> usize {
    let mut sum = 0;
    for engine in &site.engines {
        sum += site
            .ask(engine, "/recorded")
            .await
            .to_string()
            .matches("chat/completions")
            .count();
    }
    sum
}

fn content(answer: &burdockroad_standins::http_client::HttpResponse) -> Value {
    let body: Value = answer.json().expect("JSON");
    body["choices"][0]["message"]["content"].clone()
}

#[tokio::test]
async fn cut_answer_is_resumed() {
    let site = Site::start(one_engine(vec!["--token-ms", "5"])).await;
    let caller = site.caller("masters");
    let body = completion("cut", 30);
    let whole = caller.send(0, Method::POST, COMPLETIONS, None, &body).await;
    let cut = json!({ "cut_next": 1, "cut_after_tokens": 5 });
    for _ in 0..2 {
        site.control(&site.engines[0], "/faults", &cut).await;
        let answer = caller.send(1, Method::POST, COMPLETIONS, None, &body).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(
            content(&answer),
            content(&whole),
            "the whole answer, with nothing twice or missing"
        );
    }
}

#[tokio::test]
async fn cut_stream_is_resumed() {
    let site = Site::start(one_engine(vec!["--token-ms", "5", "--answer-tokens", "30"])).await;
    let caller = site.caller("masters");
    let mut texts = Vec::new();
    for faults in [json!({}), json!({ "cut_next": 1, "cut_after_tokens": 5 })] {
        site.control(&site.engines[0], "/faults", &faults).await;
        let mut stream = caller.stream(1, None, 30).await;
        let mut text = String::new();
        while let Some(data) = stream.next().await.expect("the stream is not cut") {
            text.push_str(&String::from_utf8_lossy(&data));
        }
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
        texts.push(streamed_content(&text));
    }
    assert_eq!(
        texts[0], texts[1],
        "the resumed stream says the same, with nothing twice or missing"
    );
    assert_eq!(
        completions(&site).await,
        2,
        "the cut call was resumed and not begun again"
    );
}

/// The content of a stream's events, put together.
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
async fn answer_of_dead_engine_is_never_whole() {
    let mut site = Site::start(one_engine(vec!["--token-ms", "50", "--answer-tokens", "200"])).await;
    let mut stream = site.caller("masters").stream(0, None, 200).await;
    assert!(stream.next().await.expect("it streams").is_some());
    site.engines[0].kill().await.expect("killed");
    let mut text = String::new();
    let ended = loop {
        match stream.next().await {
            Ok(Some(data)) => text.push_str(&String::from_utf8_lossy(&data)),
            Ok(None) => break true,
            Err(_) => break false,
        }
    };
    assert!(!ended, "the connection ended as if the answer were whole: {text}");
    assert!(!text.contains("[DONE]"), "{text}");
    assert!(text.contains("endpoint-failed"), "the caller is told: {text}");
    let refused = site
        .caller("masters")
        .send(1, Method::POST, COMPLETIONS, None, &completion("next", 4))
        .await;
    assert!(refused.status.is_server_error(), "{}", refused.text());
}

#[tokio::test]
async fn failing_engine_is_tried_elsewhere() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let program = caller.program(0, &json!({})).await;
    for number in 1..=4 {
        for engine in &site.engines {
            site.control(engine, "/faults", &json!({ "fail_next": 1 })).await;
        }
        let answer = caller.complete(1, &program, number, "question").await;
        assert_eq!(answer.status, 200, "call {number}: {}", answer.text());
        for engine in &site.engines {
            site.control(engine, "/faults", &json!({})).await;
        }
    }
    let shown = caller.show(2, &program).await;
    assert_eq!(shown["calls"].as_array().map(Vec::len), Some(4));
}

#[tokio::test]
async fn repeat_while_first_runs() {
    let site = Site::start(one_engine(vec!["--token-ms", "40"])).await;
    let caller = site.caller("masters");
    let program = caller.program(0, &json!({})).await;
    let tries = (0..6).map(|daemon| caller.complete(daemon % 3, &program, 1, "asked six times"));
    let answers = futures_util::future::join_all(tries).await;
    for answer in &answers {
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.body, answers[0].body);
    }
    assert_eq!(completions(&site).await, 1, "the call ran once");
}

#[tokio::test]
async fn repeat_with_idempotency_key() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let body = json!({ "order": "keyed-order" });
    let mut answers = Vec::new();
    for daemon in 0..3 {
        let path = "/services/fuel-orders/orders";
        answers.push(caller.send_keyed(daemon, path, "order-7", &body).await);
    }
    for answer in &answers {
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.body, answers[0].body);
    }
    let ran = site
        .ask(&site.service, "/recorded")
        .await
        .to_string()
        .matches("keyed-order")
        .count();
    assert_eq!(ran, 1, "the order ran once");
    let other = caller
        .send_keyed(
            0,
            "/services/fuel-orders/orders",
            "order-7",
            &json!({ "order": "other" }),
        )
        .await;
    assert_eq!(problem(&other), ("different-request".to_owned(), "no".to_owned()));
}

#[tokio::test]
async fn call_goes_on_when_its_caller_leaves() {
    let site = Site::start(one_engine(vec!["--token-ms", "30"])).await;
    let caller = site.caller("masters");
    let program = caller.program(0, &json!({})).await;
    let mut stream = caller.stream(1, Some((&program, 1)), 20).await;
    assert!(stream.next().await.expect("it streams").is_some());
    drop(stream);
    until("the call is answered without its caller", || async {
        let shown = caller.show(2, &program).await;
        (shown["calls"][0]["state"] == "answered").then_some(())
    })
    .await;
    assert_eq!(completions(&site).await, 1);
}

#[tokio::test]
async fn relatives_spend_one_budget_from_two_hosts() {
    let site = Site::start(one_engine(vec!["--token-ms", "1", "--answer-tokens", "16"])).await;
    let caller = site.caller("masters");
    let root = caller
        .program(0, &json!({ "budget": { "max_tokens": 100, "max_calls": 50 } }))
        .await;
    let child = caller.program(1, &json!({ "parent": root })).await;
    let spend = |daemon: usize, program: String| {
        let caller = caller.clone();
        async move {
            let mut number = 1;
            loop {
                let answer = caller.complete(daemon, &program, number, "spend").await;
                if answer.status == 200 {
                    number += 1;
                    continue;
                }
                assert_eq!(
                    problem(&answer),
                    ("over-budget".to_owned(), "no".to_owned()),
                    "{}",
                    answer.text()
                );
                if !answer.headers.contains_key("retry-after") {
                    return;
                }
            }
        }
    };
    tokio::join!(spend(1, root.clone()), spend(2, child.clone()));
    let stats = site.ask(&site.engines[0], "/stats").await;
    let generated = stats["generated"].as_u64().expect("a count");
    assert!(
        generated <= 100,
        "the engine generated {generated} of 100 tokens: {stats}"
    );
    assert!(generated >= 84, "the budget can be used up: {stats}");
    let left = caller.show(0, &root).await["budget"]["left"]["tokens"].as_u64();
    assert_eq!(left, Some(100 - generated));
}

#[tokio::test]
async fn hung_tool_is_ended_by_time() {
    let options = SiteOptions {
        limits: json!({ "call_timeout_s": 2 }),
        ..SiteOptions::default()
    };
    let site = Site::start(options).await;
    let caller = site.caller("masters");
    let program = caller.program(0, &json!({})).await;
    site.control(&site.service, "/faults", &json!({ "hang_next": 1 }))
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
async fn program_ends_at_its_time_limit() {
    let site = Site::start(one_engine(vec!["--token-ms", "20", "--answer-tokens", "400"])).await;
    let caller = site.caller("masters");
    let program = caller
        .program(0, &json!({ "budget": { "max_duration_s": 2 } }))
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
    until("its memory is freed", || async {
        site.held().await.is_empty().then_some(())
    })
    .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
}
