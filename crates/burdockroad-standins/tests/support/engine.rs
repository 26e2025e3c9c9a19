//! An engine stand-in and a client of it.

use std::time::Duration;

use burdockroad_standins::{
    engine::{EngineOptions, EngineStandin, Load},
    http_client::{self, HttpResponse, HttpClient, HttpStream},
};
use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};

/// Longest wait for something that has to come; a wait that ends by it is a failure.
pub(crate) const DEADLINE: Duration = Duration::from_secs(20);

/// An engine and a client of it.
pub(crate) struct Fixture {
    pub(crate) engine: EngineStandin,
    pub(crate) client: HttpClient,
}

impl Fixture {
    pub(crate) async fn start(options: EngineOptions) -> Self {
        Self {
            engine: EngineStandin::start(options).await.unwrap(),
            client: HttpClient::new(),
        }
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.engine.address())
    }

    pub(crate) fn chat(&self, headers: &[(&'static str, &str)], body: &Value) -> Request<Full<Bytes>> {
        let url = self.url("/v1/chat/completions");
        let mut request = http_client::json_request(Method::POST, &url, body).unwrap();
        for (name, value) in headers {
            let value = HeaderValue::from_str(value).unwrap();
            request.headers_mut().insert(HeaderName::from_static(name), value);
        }
        request
    }

    pub(crate) async fn complete(&self, headers: &[(&'static str, &str)], body: &Value) -> HttpResponse {
        self.client.send(self.chat(headers, body)).await.unwrap()
    }

    pub(crate) async fn open(&self, headers: &[(&'static str, &str)], body: &Value) -> HttpStream {
        self.client.open(self.chat(headers, body)).await.unwrap()
    }

    pub(crate) async fn send(&self, method: Method, path: &str) -> HttpResponse {
        let request = http_client::request(method, &self.url(path), Bytes::new()).unwrap();
        self.client.send(request).await.unwrap()
    }

    pub(crate) async fn wait_for_load(&self, expected: impl Fn(Load) -> bool) {
        let reached = async {
            while !expected(self.engine.load()) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(DEADLINE, reached).await.unwrap();
    }
}

pub(crate) fn body(text: &str, max_tokens: u64) -> Value {
    json!({"model": "m", "max_tokens": max_tokens, "messages": [{"role": "user", "content": text}]})
}

pub(crate) fn streaming(mut body: Value) -> Value {
    body["stream"] = json!(true);
    body["stream_options"] = json!({"include_usage": true});
    body
}

pub(crate) fn answer_text(answer: &HttpResponse) -> String {
    let answer: Value = answer.json().unwrap();
    answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap()
        .to_owned()
}
