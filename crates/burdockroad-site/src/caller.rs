//! Client that sends requests with the key of a client account.

use burdockroad_standins::http_client::{HttpResponse, HttpStream};
use bytes::Bytes;
use http::{Method, Request, Version};
use http_body_util::Full;
use serde_json::{Value, json};

use crate::site::Site;

/// Client with a key.
#[derive(Clone, Debug)]
pub struct Caller<'a> {
    /// Site that receives the requests.
    pub site: &'a Site,
    /// Key that is sent with each request.
    pub key: String,
}

impl Caller<'_> {
    /// Creates a program through a daemon and returns its id.
    pub async fn create_program(&self, daemon: usize, body: &Value) -> String {
        let response = self.send(daemon, Method::POST, "/v1/programs", None, body).await;
        assert_eq!(response.status, 201, "{}", response.text());
        let program: Value = response.json().expect("the response contains a program");
        program["id"].as_str().expect("the program has an id").to_owned()
    }

    /// Returns the state of a program.
    pub async fn show_program(&self, daemon: usize, program: &str) -> Value {
        let path = format!("/v1/programs/{program}");
        let response = self.send(daemon, Method::GET, &path, None, &Value::Null).await;
        assert_eq!(response.status, 200, "{}", response.text());
        response.json().expect("the response contains a program")
    }

    /// Sends a completion request as a call of a program.
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

    /// Sends an order as a call of a program. Orders are not idempotent.
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

    /// Sends a request and panics if there is no complete response. `position` is the id of a program and
    /// the number of the call in that program.
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
            .expect("the daemon responds")
    }

    /// Sends a request whose connection may fail.
    ///
    /// # Errors
    ///
    /// Fails if the response is missing or incomplete.
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

    /// Sends a POST request with an idempotency key.
    pub async fn send_with_idempotency_key(
        &self,
        daemon: usize,
        path: &str,
        idempotency_key: &str,
        body: &Value,
    ) -> HttpResponse {
        let mut request = self.request(daemon, Method::POST, path, None, body);
        request.headers_mut().insert(
            "idempotency-key",
            idempotency_key.parse().expect("the key is a valid header value"),
        );
        self.site.http.send(request).await.expect("the daemon responds")
    }

    /// Starts a completion with a streamed response.
    pub async fn stream(&self, daemon: usize, position: Option<(&str, u32)>, max_tokens: u64) -> HttpStream {
        let request = self.stream_request(daemon, position, max_tokens);
        self.site.http.open(request).await.expect("the daemon responds")
    }

    /// Starts a completion with a streamed response, as an HTTP/1.0 client.
    pub async fn stream_http_1_0(&self, daemon: usize, max_tokens: u64) -> HttpStream {
        let mut request = self.stream_request(daemon, None, max_tokens);
        *request.version_mut() = Version::HTTP_10;
        self.site.http.open(request).await.expect("the daemon responds")
    }

    fn stream_request(
        &self,
        daemon: usize,
        position: Option<(&str, u32)>,
        max_tokens: u64,
    ) -> Request<Full<Bytes>> {
        let mut body = completion("stream", max_tokens);
        body["stream"] = true.into();
        self.request(daemon, Method::POST, "/v1/chat/completions", position, &body)
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
        request.body(Full::from(text)).expect("the request is valid")
    }
}

/// Returns the body of a completion request.
pub fn completion(text: &str, max_tokens: u64) -> Value {
    json!({
        "model": "planner-llm",
        "messages": [{ "role": "user", "content": text }],
        "max_tokens": max_tokens,
    })
}

/// Returns the type and the `ran` field of the problem in an error response. `ran` says whether the
/// request ran.
pub fn problem(response: &HttpResponse) -> (String, String) {
    let problem: Value = response.json().expect("the response contains a problem");
    let problem_type = problem["type"]
        .as_str()
        .expect("the problem has a type")
        .rsplit(':')
        .next()
        .expect("the type has a last segment");
    (
        problem_type.to_owned(),
        problem["ran"]
            .as_str()
            .expect("the problem says whether the request ran")
            .to_owned(),
    )
}
