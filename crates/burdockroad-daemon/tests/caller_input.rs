//! Parsing of caller input, and removal of the caller's key. Invalid input is refused without a panic.

use burdockroad_daemon::{
    calls::{CompletionRequest, headers_without_key, service_headers, target_without_key},
    http::{NewProgramRequest, Operation, Target},
    problem::{ProblemKind, Ran},
};
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use proptest::prelude::*;
use serde_json::{Value, json};

const KEY: &str = "brk_k1_0123456789abcdefghijklmnopqrstuvwxyzABCDEFG";

/// Names and values of request headers.
type HeaderPairs = &'static [(&'static str, &'static str)];

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    let parsed = pairs.iter().map(|(name, value)| {
        let value = HeaderValue::from_str(value).expect("the header value is valid");
        (HeaderName::from_static(name), value)
    });
    parsed.collect()
}

#[test]
fn parse_targets() {
    let service = |route: &str, target: &str| Target::Service {
        route_id: route.to_owned(),
        target: target.to_owned(),
    };
    let cases = [
        (Method::POST, "/v1/chat/completions", Target::Completion),
        (Method::GET, "/v1/models", Target::Models),
        (Method::POST, "/v1/programs", Target::CreateProgram),
        (
            Method::GET,
            "/v1/programs/p-0001-a",
            Target::ShowProgram("p-0001-a".to_owned()),
        ),
        (
            Method::DELETE,
            "/v1/programs/p-0001-a",
            Target::EndProgram("p-0001-a".to_owned()),
        ),
        (
            Method::PUT,
            "/services/fuel/orders/7?x=1",
            service("fuel", "/orders/7?x=1"),
        ),
        (Method::GET, "/services/fuel", service("fuel", "/")),
        (Method::GET, "/services/fuel?x=1", service("fuel", "/?x=1")),
    ];
    for (method, path, expected) in cases {
        let operation = Operation::parse(&method, path, &HeaderMap::new()).expect(path);
        assert_eq!(operation.target, expected, "{method} {path}");
    }
}

#[test]
fn parse_refusals() {
    let completions = "/v1/chat/completions";
    let cases: [(Method, &str, HeaderPairs, ProblemKind); 10] = [
        (Method::GET, completions, &[], ProblemKind::MethodNotAllowed),
        (
            Method::PATCH,
            "/v1/programs/p-0001-a",
            &[],
            ProblemKind::MethodNotAllowed,
        ),
        (Method::GET, "/v2", &[], ProblemKind::UnknownRoute),
        (Method::GET, "/services/", &[], ProblemKind::UnknownRoute),
        (
            Method::POST,
            completions,
            &[("program-id", "p-0001-a")],
            ProblemKind::InvalidRequest,
        ),
        (
            Method::POST,
            completions,
            &[("call-number", "1")],
            ProblemKind::InvalidRequest,
        ),
        (
            Method::POST,
            completions,
            &[("program-id", "p-0001-a"), ("call-number", "0")],
            ProblemKind::InvalidRequest,
        ),
        (
            Method::POST,
            completions,
            &[("program-id", "p-0001-a"), ("call-number", "-1")],
            ProblemKind::InvalidRequest,
        ),
        (
            Method::POST,
            completions,
            &[("program-id", "p-0001-a"), ("call-number", "4294967296")],
            ProblemKind::InvalidRequest,
        ),
        (
            Method::POST,
            completions,
            &[("idempotency-key", "")],
            ProblemKind::InvalidRequest,
        ),
    ];
    for (method, path, pairs, expected) in cases {
        let problem = Operation::parse(&method, path, &headers(pairs)).expect_err(path);
        assert_eq!(
            (problem.kind, problem.ran),
            (expected, Ran::No),
            "{method} {path} {pairs:?}"
        );
    }
}

#[test]
fn headers_without_key_any_name() {
    let request_headers = headers(&[
        ("authorization", &format!("Bearer {KEY}")),
        ("x-copy", &format!("key={KEY};")),
        ("cookie", KEY),
        ("content-type", "text/plain"),
    ]);
    let remaining = headers_without_key(&request_headers, Some(KEY));
    let names: Vec<&str> = remaining.keys().map(HeaderName::as_str).collect();
    assert_eq!(names, ["content-type"]);
}

#[test]
fn target_without_key_any_escape() {
    let escaped = KEY.replace('_', "%5F");
    let cases = [
        (format!("/services/a/b?key={KEY}"), "/services/a/b"),
        (
            format!("/services/a/b?x=1&key={escaped}&y=2"),
            "/services/a/b?x=1&y=2",
        ),
        ("/services/a/b?x=1".to_owned(), "/services/a/b?x=1"),
    ];
    for (target, expected) in cases {
        assert_eq!(target_without_key(&target, Some(KEY)), expected);
    }
}

#[test]
fn service_headers_connection() {
    let request_headers = headers(&[
        ("connection", "close, x-hop"),
        ("x-hop", "1"),
        ("program-id", "p-0001-a"),
        ("accept", "text/plain"),
    ]);
    let remaining = service_headers(&request_headers);
    let names: Vec<&str> = remaining.keys().map(HeaderName::as_str).collect();
    assert_eq!(names, ["accept"]);
}

#[test]
fn engine_body_overrides_and_preserves() {
    let original = json!({
        "model": "m", "messages": [{"role": "user", "content": "b"}], "temperature": 0.5,
        "tools": [{"type": "function", "function": {"name": "f"}}], "max_tokens": 9000,
    });
    let request = CompletionRequest::parse(original.to_string().as_bytes()).expect("the request is valid");
    let prompt = [
        r#"{"role":"user","content":"a"}"#.to_owned(),
        request.messages[0].clone(),
    ];
    let body: Value = serde_json::from_slice(&request.engine_body(&prompt, 7)).expect("the body is JSON");
    assert_eq!(body["max_tokens"], 7);
    assert_eq!(body["stream"], true);
    assert_eq!(body["stream_options"]["include_usage"], true);
    assert_eq!(body["temperature"], 0.5);
    assert_eq!(body["tools"], original["tools"]);
    assert_eq!(
        body["messages"],
        json!([{"role": "user", "content": "a"}, {"role": "user", "content": "b"}])
    );
}

#[test]
fn completion_parse_refusals() {
    let cases = [
        "",
        "{",
        "[]",
        r#"{"model":"m"}"#,
        r#"{"messages":[{}]}"#,
        r#"{"model":"m","messages":[]}"#,
        r#"{"model":"m","messages":[1]}"#,
        r#"{"model":"m","messages":[{}],"n":2}"#,
        r#"{"model":"m","messages":[{}],"max_tokens":-1}"#,
    ];
    for body in cases {
        let problem = CompletionRequest::parse(body.as_bytes()).expect_err(body);
        assert_eq!(problem.kind, ProblemKind::InvalidRequest, "{body}");
    }
}

#[test]
fn new_program_budget_limits() {
    let defaults = burdockroad::config::BudgetDefaults::default();
    let cases = [
        (r#"{"budget":{"max_duration_s":99999999}}"#, false),
        (r#"{"budget":{"max_calls":0}}"#, false),
        (
            r#"{"budget":{"max_tokens":5,"max_calls":1,"max_duration_s":1}}"#,
            true,
        ),
        ("", true),
    ];
    for (body, allowed) in cases {
        let request = NewProgramRequest::parse(body.as_bytes()).expect(body);
        assert_eq!(request.budget(&defaults).is_ok(), allowed, "{body}");
    }
    let problem = NewProgramRequest::parse(br#"{"budgets":{}}"#).expect_err("the field is unknown");
    assert_eq!(problem.kind, ProblemKind::InvalidRequest);
}

proptest! {
    #[test]
    fn parse_arbitrary_input(
        path in ".{0,60}",
        number in ".{0,12}",
        body in prop::collection::vec(any::<u8>(), 0..200),
        text in r#"\{"model":"m","messages":\[.{0,60}\](,"stream":[a-z]{0,5})?\}"#,
    ) {
        let mut request_headers = HeaderMap::new();
        if let Ok(value) = HeaderValue::from_str(&number) {
            request_headers.insert("call-number", value.clone());
            request_headers.insert("program-id", value);
        }
        for path in [path.clone(), format!("/services/{path}"), format!("/v1/programs/{path}")] {
            drop(Operation::parse(&Method::POST, &path, &request_headers));
            drop(target_without_key(&path, Some(KEY)));
        }
        drop(NewProgramRequest::parse(&body));
        drop(CompletionRequest::parse(&body));
        if let Ok(request) = CompletionRequest::parse(text.as_bytes()) {
            let body = request.engine_body(&request.messages, 1);
            prop_assert!(serde_json::from_slice::<Value>(&body).is_ok(), "{text}");
        }
    }
}
