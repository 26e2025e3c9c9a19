//! Tests of a program whose calls go through all hosts, and of refused requests.

use http::Method;
use serde_json::{Value, json};

use burdockroad_site::{Site, SiteOptions, completion, problem};

#[tokio::test]
async fn program_across_all_hosts() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let program = caller
        .create_program(0, &json!({ "budget": { "max_tokens": 500, "max_calls": 20 } }))
        .await;
    for number in 1..=6 {
        let daemon = usize::try_from(number).expect("the number fits") % 3;
        let response = caller
            .complete(daemon, &program, number, &format!("question {number}"))
            .await;
        assert_eq!(response.status, 200, "call {number}: {}", response.text());
        let again = caller
            .complete((daemon + 1) % 3, &program, number, &format!("question {number}"))
            .await;
        assert_eq!(
            response.body, again.body,
            "call {number} repeated through another host"
        );
    }
    let shown = caller.show_program(1, &program).await;
    let questions: Vec<&str> = shown["calls"]
        .as_array()
        .expect("the program has calls")
        .iter()
        .filter_map(|call| call["messages"][0]["content"].as_str())
        .collect();
    let expected: Vec<String> = (1..=6).map(|number| format!("question {number}")).collect();
    assert_eq!(questions, expected);
    let sent = site.recorded_requests().await;
    assert!(sent.contains("question 6"), "the engines received the calls");
    assert!(!sent.contains(site.key("masters")), "an endpoint received a key");
    let turns = sent.matches("question 1").count();
    assert!(turns >= 6, "each call includes the full history; found {turns}");
}

/// Request that is refused, and the expected response.
struct Refused<'a> {
    name: &'static str,
    status: u16,
    problem_type: &'static str,
    body: Value,
    position: Option<(&'a str, u32)>,
}

#[tokio::test]
async fn refused_requests_run_nothing() {
    let site = Site::start(SiteOptions {
        engines: 1,
        ..SiteOptions::default()
    })
    .await;
    let caller = site.caller("masters");
    let other = site.caller("port-agents");
    let program = caller.create_program(0, &json!({})).await;
    let before = site.recorded_requests().await;
    let body = completion("never", 4);
    let path = "/v1/chat/completions";
    let unknown_model = json!({ "model": "none", "messages": [{ "role": "user", "content": "x" }] });
    let cases = [
        Refused {
            name: "wrong number",
            status: 409,
            problem_type: "wrong-call-number",
            body: body.clone(),
            position: Some((&program, 3)),
        },
        Refused {
            name: "unknown program",
            status: 404,
            problem_type: "unknown-program",
            body: body.clone(),
            position: Some(("p-0007-none", 1)),
        },
        Refused {
            name: "malformed program",
            status: 404,
            problem_type: "unknown-program",
            body: body.clone(),
            position: Some(("7", 1)),
        },
        Refused {
            name: "unknown model",
            status: 404,
            problem_type: "unknown-route",
            body: unknown_model,
            position: None,
        },
        Refused {
            name: "no messages",
            status: 400,
            problem_type: "invalid-request",
            body: json!({ "model": "planner-llm" }),
            position: None,
        },
        Refused {
            name: "not an object",
            status: 400,
            problem_type: "invalid-request",
            body: json!([1]),
            position: None,
        },
    ];
    for Refused {
        name,
        status,
        problem_type,
        body,
        position,
    } in cases
    {
        for daemon in 0..3 {
            let response = caller.send(daemon, Method::POST, path, position, &body).await;
            assert_eq!(response.status, status, "{name}: {}", response.text());
            assert_eq!(
                problem(&response),
                (problem_type.to_owned(), "no".to_owned()),
                "{name}"
            );
        }
    }
    let foreign = other.complete(1, &program, 1, "never").await;
    let absent = other.complete(1, "p-0007-none", 1, "never").await;
    assert_eq!(foreign.status, 404);
    assert_eq!(
        foreign.body, absent.body,
        "the response for another account's program is the same as for a missing one"
    );
    assert_eq!(
        site.recorded_requests().await.matches("never").count(),
        0,
        "no refused request reached an endpoint"
    );
    assert!(site.recorded_requests().await.len() >= before.len());
}

#[tokio::test]
async fn open_and_keyed_routes() {
    let site = Site::start(SiteOptions {
        daemons: 1,
        engines: 1,
        ..SiteOptions::default()
    })
    .await;
    let invalid_caller = burdockroad_site::Caller {
        key: "brk_none_wrong".to_owned(),
        ..site.caller("masters")
    };
    let open = invalid_caller
        .send(0, Method::GET, "/services/notices/today", None, &Value::Null)
        .await;
    assert_eq!(open.status, 200, "{}", open.text());
    for path in [
        "/services/tides/today",
        "/services/fuel-orders/today",
        "/v1/models",
    ] {
        let keyed = invalid_caller
            .send(0, Method::GET, path, None, &Value::Null)
            .await;
        assert_eq!(keyed.status, 401, "{path}: {}", keyed.text());
        assert_eq!(problem(&keyed).1, "no");
    }
    let caller = site.caller("masters");
    // A copy of the key in the query must not reach the service either.
    let path = format!("/services/tides/today?copy={}", site.key("masters"));
    let response = caller.send(0, Method::GET, &path, None, &Value::Null).await;
    assert_eq!(response.status, 200, "{}", response.text());
    let sent = site.recorded_requests().await;
    assert!(
        !sent.contains(site.key("masters")),
        "the service received the key"
    );
    assert_eq!(
        sent.matches("/today").count(),
        2,
        "the service received only the two allowed requests: {sent}"
    );
}
