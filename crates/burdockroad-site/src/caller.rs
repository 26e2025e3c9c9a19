//! Requests as a caller sends them.

use burdockroad_standins::http_client::{HttpAnswer, HttpStream};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::site::Site;

/// A caller with a key.
#[derive(Clone, Debug)]
pub struct Caller<'a> {
    /// The site that it calls.
    pub site: &'a Site,
    /// Its key.
    pub key: String,
}

impl Caller<'_> {
    /// Creates a program at a daemon, and returns its id.
    pub async fn create_program(&self, daemon: usize, body: &Value) -> String {
        let response = self.send(daemon, Method::POST, "/v1/programs", None, body).await;
        assert_eq!(response.status, 201, "{}", response.text());
        let program: Value = response.json().expect("a program");
        program["id"].as_str().expect("an id").to_owned()
    }

    /// A program as its caller sees it.
    pub async fn show_program(&self, daemon: usize, program: &str) -> Value {
        let path = format!("/v1/programs/{program}");
        let response = self.send(daemon, Method::GET, &path, None, &Value::Null).await;
        assert_eq!(response.status, 200, "{}", response.text());
        response.json().expect("a program")
    }

    /// Sends a completion as a call of a program.
    pub async fn complete(&self, daemon: usize, program: &str, number: u32, text: &str) -> HttpAnswer {
        let body = completion(text, 16);
        self.send(
            daemon,
            Method::POST,
            "/v1/chat/completions",
            Some((program, number)),
            &body,
        )
        .await
    }

    /// Sends an order, which may not be repeated, as a call of a program.
    pub async fn order(&self, daemon: usize, program: &str, number: u32, order: &str) -> HttpAnswer {
        let body = json!({ "order": order });
        self.send(
            daemon,
            Method::POST,
            "/services/fuel-orders/orders",
            Some((program, number)),
            &body,
        )
        .await
    }

    /// Sends a request that has to be answered.
    pub async fn send(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        program_call: Option<(&str, u32)>,
        body: &Value,
    ) -> HttpAnswer {
        self.try_send(daemon, method, path, program_call, body)
            .await
            .expect("the daemon answers")
    }

    /// Sends a request whose connection may break.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer comes.
    pub async fn try_send(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        program_call: Option<(&str, u32)>,
        body: &Value,
    ) -> burdockroad_standins::Result<HttpAnswer> {
        self.site
            .http
            .send(self.request(daemon, method, path, program_call, body))
            .await
    }

    /// Posts a request with an idempotency key.
    pub async fn send_keyed(&self, daemon: usize, path: &str, key: &str, body: &Value) -> HttpAnswer {
        let mut request = self.request(daemon, Method::POST, path, None, body);
        request
            .headers_mut()
            .insert("idempotency-key", key.parse().expect("a header value"));
        self.site.http.send(request).await.expect("the daemon answers")
    }

    /// Opens a streamed completion.
    pub async fn stream(
        &self,
        daemon: usize,
        program_call: Option<(&str, u32)>,
        max_tokens: u64,
    ) -> HttpStream {
        let mut body = completion("stream", max_tokens);
        body["stream"] = true.into();
        let request = self.request(daemon, Method::POST, "/v1/chat/completions", program_call, &body);
        self.site.http.open(request).await.expect("the daemon answers")
    }

    fn request(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        program_call: Option<(&str, u32)>,
        body: &Value,
    ) -> Request<Full<Bytes>> {
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.site.url(daemon)))
            .header("authorization", format!("Bearer {}", self.key));
        if let Some((program, number)) = program_call {
            request = request
                .header("program-id", program)
                .header("call-number", number);
        }
        request.body(Full::from(text)).expect("a request")
    }
}

/// Body of a completion.
pub fn completion(text: &str, max_tokens: u64) -> Value {
    json!({
        "model": "planner-llm",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": max_tokens,
    })
}

/// The problem that an answer tells of: its type, and whether the request ran.
pub fn problem(response: &HttpAnswer) -> (String, String) {
    let problem: Value = response.json().expect("a problem");
    let problem_type = problem["type"]
        .as_str()
        .expect("a type")
        .rsplit(':')
        .next()
        .expect("a last part");
    (
        problem_type.to_owned(),
        problem["ran"].as_str().expect("whether it ran").to_owned(),
    )
}
