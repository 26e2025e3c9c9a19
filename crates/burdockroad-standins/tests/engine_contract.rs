//! Contract tests of the engine stand-in: chat completions in the published format, streams and faults.

use std::time::Duration;

use burdockroad_standins::{
    engine::{EngineFaults, EngineOptions},
    http_client::HttpStream,
};
use http::Method;
use serde_json::{Value, json};

use crate::support::{Fixture, body, completion_text, streaming};

#[path = "support/engine.rs"]
mod support;

/// Time without a response after which a request counts as hanging.
const HANG_TIMEOUT: Duration = Duration::from_millis(300);

/// Parses the events of a body, without `[DONE]`.
fn events(text: &str) -> Vec<Value> {
    let events = text
        .split("\n\n")
        .filter_map(|event| event.strip_prefix("data: "));
    events
        .filter_map(|event| serde_json::from_str(event).ok())
        .collect()
}

fn streamed_text(events: &[Value]) -> String {
    let contents = events
        .iter()
        .filter_map(|event| event["choices"][0]["delta"]["content"].as_str());
    contents.collect()
}

/// Reads events until there are at least `number`, or until the response ends or is cut.
///
/// The returned flag is false if the connection was cut.
async fn read_events(stream: &mut HttpStream, number: usize) -> (Vec<Value>, bool) {
    let mut text = String::new();
    loop {
        match stream.next().await {
            Ok(Some(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
            Ok(None) => return (events(&text), true),
            Err(_cut) => return (events(&text), false),
        }
        if events(&text).len() >= number {
            return (events(&text), true);
        }
    }
}

#[tokio::test]
async fn complete_refusal_table() {
    let options = EngineOptions {
        models: vec!["m".to_owned()],
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let cases = [
        (body("hello", 0), &[][..], 400, "invalid_value"),
        (json!({"model": "m", "messages": []}), &[], 400, "invalid_value"),
        (json!({"model": "m"}), &[], 400, "invalid_json"),
        (
            json!({"model": "m", "n": 2, "messages": [{"role": "user", "content": "x"}]}),
            &[],
            400,
            "invalid_value",
        ),
        (
            json!({"model": "x", "messages": [{"role": "user", "content": "x"}]}),
            &[],
            404,
            "model_not_found",
        ),
        (body("hello", 1), &[("x-priority", "high")], 400, "invalid_value"),
    ];
    for (request, headers, status, code) in cases {
        let response = fixture.complete(headers, &request).await;
        assert_eq!(response.status, status, "{request}");
        assert_eq!(
            response.json::<Value>().unwrap()["error"]["code"],
            code,
            "{request}"
        );
    }
    assert_eq!(fixture.engine.stats().generated, 0);
    assert_eq!(fixture.engine.recorded().len(), 6);
    fixture.engine.close().await;
}

#[tokio::test]
async fn complete_lengths() {
    let options = EngineOptions {
        output_tokens: Some(10),
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    // Text, token limit, prompt tokens, completion tokens, finish reason.
    let cases = [
        ("hello", 3, 2, 3, "length"),
        ("abcd", 10, 1, 10, "stop"),
        ("abcde fgh", 50, 3, 10, "stop"),
    ];
    for (text, limit, prompt_tokens, tokens, reason) in cases {
        let response: Value = fixture.complete(&[], &body(text, limit)).await.json().unwrap();
        assert_eq!(response["object"], "chat.completion");
        assert_eq!(response["choices"][0]["finish_reason"], reason);
        let content = response["choices"][0]["message"]["content"].as_str().unwrap();
        assert_eq!(content.len(), 4 * tokens);
        let usage = json!({
            "prompt_tokens": prompt_tokens, "completion_tokens": tokens, "total_tokens": prompt_tokens + tokens,
            "prompt_tokens_details": {"cached_tokens": 0},
        });
        assert_eq!(response["usage"], usage);
    }
    fixture.engine.close().await;
}

#[tokio::test]
async fn complete_streamed() {
    let fixture = Fixture::start(EngineOptions::default()).await;
    let full_text = completion_text(&fixture.complete(&[], &body("same prompt", 12)).await);
    let other = completion_text(&fixture.complete(&[], &body("same prompt.", 12)).await);
    assert_ne!(full_text, other);
    let response = fixture.complete(&[], &streaming(body("same prompt", 12))).await;
    assert_eq!(response.headers["content-type"], "text/event-stream");
    assert!(response.text().ends_with("data: [DONE]\n\n"));
    let events = events(&response.text());
    assert_eq!(streamed_text(&events), full_text);
    // One event per token, one for the finish reason, one for the usage.
    assert_eq!(events.len(), 12 + 2);
    assert_eq!(events[0]["choices"][0]["delta"]["role"], "assistant");
    assert_eq!(events[0]["usage"], Value::Null);
    assert_eq!(events[12]["choices"][0]["finish_reason"], "length");
    assert_eq!(events[13]["choices"], json!([]));
    assert_eq!(events[13]["usage"]["completion_tokens"], 12);
    fixture.engine.close().await;
}

#[tokio::test]
async fn admit_by_priority() {
    // A completion that is too long to finish occupies the only slot until the others are queued.
    let options = EngineOptions {
        slots: 1,
        output_tokens: Some(10_000_000),
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let occupant = fixture
        .open(
            &[("x-request-id", "occupant")],
            &streaming(body("occupy", 10_000_000)),
        )
        .await;
    let (finished, mut completions) = tokio::sync::mpsc::unbounded_channel();
    for (position, priority) in ["5", "1", "0", "1"].into_iter().enumerate() {
        let client = fixture.client.clone();
        let request = fixture.chat(&[("x-priority", priority)], &body(&format!("q{position}"), 1));
        let finished = finished.clone();
        tokio::spawn(async move {
            let response = client.send(request).await.unwrap();
            finished.send((position, response.status)).unwrap();
        });
        fixture
            .wait_for_load(|load| load.waiting == position as u64 + 1)
            .await;
    }
    assert_eq!(
        fixture
            .send(Method::POST, "/streams/occupant/cancel")
            .await
            .status,
        204
    );
    let mut positions = Vec::new();
    for _ in 0..4 {
        let (position, status) = completions.recv().await.unwrap();
        assert_eq!(status, 200);
        positions.push(position);
    }
    // Each completion takes one step, so they finish in the order in which they got the slot.
    assert_eq!(positions, [2, 1, 3, 0]);
    drop(occupant);
    fixture.engine.close().await;
}

#[tokio::test]
async fn stream_close_and_resume() {
    let options = EngineOptions {
        output_tokens: Some(300),
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let full_text = completion_text(&fixture.complete(&[], &body("question", 300)).await);
    let named = [("x-request-id", "s"), ("x-program-id", "p")];
    let mut stream = fixture.open(&named, &streaming(body("question", 300))).await;
    let (first, _) = read_events(&mut stream, 1).await;
    drop(stream);
    fixture.wait_for_load(|load| load.running == 0).await;
    let received = first.len();
    let response = fixture
        .send(Method::GET, &format!("/streams/s?from={received}"))
        .await;
    let rest = events(&response.text());
    assert_eq!(streamed_text(&first) + &streamed_text(&rest), full_text);
    assert_eq!(rest.last().unwrap()["usage"]["completion_tokens"], 300);
    // An ended stream can be read again.
    let response = fixture.send(Method::GET, "/streams/s?from=298").await;
    assert_eq!(streamed_text(&events(&response.text())), full_text[298 * 4..]);
    assert_eq!(
        fixture.send(Method::GET, "/streams/none?from=0").await.status,
        404
    );
    fixture.engine.close().await;
}

#[tokio::test]
async fn stream_close_frees_slot() {
    // Too long to finish before the wait for the free slot times out.
    let options = EngineOptions {
        output_tokens: Some(10_000_000),
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let unstreamed = fixture.chat(&[], &body("question", 10_000_000));
    let client = fixture.client.clone();
    let unstreamed = tokio::spawn(async move { client.send(unstreamed).await });
    let streamed = fixture.open(&[], &streaming(body("question", 10_000_000))).await;
    fixture.wait_for_load(|load| load.running == 2).await;
    drop(streamed);
    fixture.wait_for_load(|load| load.running == 1).await;
    unstreamed.abort();
    fixture.wait_for_load(|load| load.running == 0).await;
    fixture.engine.close().await;
}

#[tokio::test]
async fn cancel_running_stream() {
    let options = EngineOptions {
        output_tokens: Some(10_000_000),
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let long = streaming(body("question", 10_000_000));
    let mut stream = fixture.open(&[("x-request-id", "s")], &long).await;
    assert_eq!(
        fixture.complete(&[("x-request-id", "s")], &long).await.status,
        409
    );
    assert_eq!(fixture.send(Method::POST, "/streams/s/cancel").await.status, 204);
    let (_, complete) = read_events(&mut stream, usize::MAX).await;
    assert!(!complete, "a cancelled response must not appear complete");
    assert_eq!(fixture.engine.load().running, 0);
    assert_eq!(fixture.send(Method::GET, "/streams/s?from=0").await.status, 410);
    assert_eq!(
        fixture.send(Method::POST, "/streams/none/cancel").await.status,
        404
    );
    fixture.engine.close().await;
}

#[tokio::test]
async fn faults_table() {
    let options = EngineOptions {
        output_tokens: Some(20),
        ..EngineOptions::default()
    };
    let fixture = Fixture::start(options).await;
    let request = streaming(body("question", 20));

    fixture.engine.set_faults(EngineFaults {
        fail_next: 1,
        ..EngineFaults::default()
    });
    assert_eq!(fixture.complete(&[], &request).await.status, 500);

    fixture.engine.set_faults(EngineFaults {
        hang_next: 1,
        ..EngineFaults::default()
    });
    let hanging = fixture.client.send(fixture.chat(&[], &request));
    tokio::time::timeout(HANG_TIMEOUT, hanging).await.unwrap_err();
    assert_eq!(
        fixture.engine.stats().generated,
        0,
        "neither request may generate tokens"
    );

    fixture.engine.set_faults(EngineFaults {
        cut_next: 1,
        cut_after_tokens: 7,
        ..EngineFaults::default()
    });
    let mut stream = fixture.open(&[("x-request-id", "cut")], &request).await;
    let (events, complete) = read_events(&mut stream, usize::MAX).await;
    assert_eq!((events.len(), complete), (7, false));

    fixture.engine.set_faults(EngineFaults {
        cut_next: 1,
        ..EngineFaults::default()
    });
    let cut = fixture
        .client
        .send(fixture.chat(&[], &body("question", 20)))
        .await;
    assert!(cut.is_err(), "{cut:?}");

    let mut stream = fixture.open(&[], &request).await;
    assert!(read_events(&mut stream, usize::MAX).await.1);
    fixture.engine.close().await;
}

#[tokio::test]
async fn control_requests_on_separate_address() {
    let fixture = Fixture::start(EngineOptions::default()).await;
    for (method, path) in [
        (Method::GET, "/recorded"),
        (Method::GET, "/stats"),
        (Method::POST, "/faults"),
    ] {
        assert_eq!(fixture.send(method, path).await.status, 404);
    }
    fixture
        .complete(&[("authorization", "Bearer k")], &body("seen", 1))
        .await;
    let control = format!("http://{}", fixture.engine.control_address());
    let recorded: Vec<Value> = fixture
        .client
        .get_json(&format!("{control}/recorded"))
        .await
        .unwrap();
    assert_eq!(recorded.len(), 4);
    assert_eq!(recorded[3]["target"], "/v1/chat/completions");
    assert!(recorded[3]["headers"].to_string().contains("Bearer k"));
    assert!(recorded[3]["body"].as_str().unwrap().contains("seen"));
    let stats: Value = fixture
        .client
        .get_json(&format!("{control}/stats"))
        .await
        .unwrap();
    assert_eq!(stats["generated"], 1);
    let faults = json!({"fail_next": 1});
    let response = fixture
        .client
        .send_json(Method::POST, &format!("{control}/faults"), &faults)
        .await
        .unwrap();
    assert_eq!(response.status, 204);
    assert_eq!(fixture.complete(&[], &body("seen", 1)).await.status, 500);
    let unknown = json!({"fail_nxet": 1});
    let response = fixture
        .client
        .send_json(Method::POST, &format!("{control}/faults"), &unknown)
        .await
        .unwrap();
    assert_eq!(response.status, 400);
    fixture.engine.close().await;
}
