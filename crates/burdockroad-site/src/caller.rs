//! Requests as a caller sends them.

use burdockroad_standins::http_client::{HttpResponse, HttpStream};
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
    pub async fn program(&self, daemon: usize, body: &Value) -> String {
        let answer = self.send(daemon, Method::POST, "/v1/programs", None, body).await;
        assert_eq!(answer.status, 201, "{}", answer.text());
        let program: Value = answer.json().expect("a program");
        program["id"].as_str().expect("an id").to_owned()
    }

    /// A program as its caller sees it.
    pub async fn show(&self, daemon: usize, program: &str) -> Value {
        let path = format!("/v1/programs/{program}");
        let answer = self.send(daemon, Method::GET, &path, None, &Value::Null).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json().expect("a program")
    }

    /// Sends a completion as a call of a program.
    pub async fn complete(&self, daemon: usize, program: &str, number: u32, text: &str) -> HttpResponse {
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
    pub async fn order(&self, daemon: usize, program: &str, number: u32, order: &str) -> HttpResponse {
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
        position: Option<(&str, u32)>,
        body: &Value,
    ) -> HttpResponse {
        self.try_send(daemon, method, path, position, body)
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
        position: Option<(&str, u32)>,
        body: &Value,
    ) -> burdockroad_standins::Result<HttpResponse> {
        self.site
            .http
            .send(self.request(daemon, method, path, position, body))
            .await
    }

    /// Posts a request with an idempotency key.
    pub async fn send_keyed(&self, daemon: usize, path: &str, key: &str, body: &Value) -> HttpResponse {
        let mut request = self.request(daemon, Method::POST, path, None, body);
        request
            .headers_mut()
            .insert("idempotency-key", key.parse().expect("a header value"));
        self.site.http.send(request).await.expect("the daemon answers")
    }

    /// Opens a streamed completion.
    pub async fn stream(&self, daemon: usize, position: Option<(&str, u32)>, max_tokens: u64) -> HttpStream {
        let mut body = completion("stream", max_tokens);
        body["stream"] = true.into();
        let request = self.request(daemon, Method::POST, "/v1/chat/completions", position, &body);
        self.site.http.open(request).await.expect("the daemon answers")
    }

    fn request(
        &self,
        daemon: usize,
        method: Method,
        path: &str,
        position: Option<(&str, u32)>,
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
        if let Some((program, number)) = position {
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
pub fn problem(answer: &HttpResponse) -> (String, String) {
    let problem: Value = answer.json().expect("a problem");
    let kind = problem["type"]
        .as_str()
        .expect("a type")
        .rsplit(':')
        .next()
        .expect("a last part");
    (
        kind.to_owned(),
        problem["ran"].as_str().expect("whether it ran").to_owned(),
    )
}
