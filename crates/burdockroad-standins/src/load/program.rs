//! A program of a load: sequential calls with pauses and retries.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    error::{Result, StandinError},
    http_client::{self, HttpClient, HttpResponse},
    load::{
        LoadOptions,
        stats::{AccountStats, TokenCounts},
    },
};

/// Backoff before a retry of a call that broke off.
const BROKEN_CALL_BACKOFF: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
const FILLER: &str = "the convoy waits for a passage plan and the buyer for a price ";
const STREAM_END: &str = "data: [DONE]";

/// Parameters common to all programs of a load.
pub(crate) struct ProgramShape {
    targets: Vec<SocketAddr>,
    model: String,
    direct: bool,
    stream: bool,
    turns: u32,
    tool_pause: Duration,
    prompt_bytes: usize,
    max_tokens: u64,
    retries: u32,
}

impl ProgramShape {
    pub(crate) fn new(options: &LoadOptions) -> Self {
        Self {
            targets: options.targets.clone(),
            model: options.model.clone(),
            direct: options.direct,
            stream: options.stream,
            turns: options.turns,
            tool_pause: options.tool_pause,
            prompt_bytes: options.prompt_bytes,
            max_tokens: options.max_tokens,
            retries: options.retries,
        }
    }
}

/// A program to run.
pub(crate) struct Program {
    pub(crate) shape: Arc<ProgramShape>,
    pub(crate) stats: Arc<AccountStats>,
    pub(crate) client: HttpClient,
    pub(crate) key: String,
    /// Text that starts all its prompts, so that they differ from the prompts of other programs.
    pub(crate) label: String,
    /// Offset in the list of targets, so that programs start at different targets.
    pub(crate) first_target: usize,
    /// Time from which the latency counts: the due time, or the actual start if the load has no rate.
    pub(crate) latency_start: Instant,
}

#[derive(Serialize)]
struct NewProgram {
    budget: NewBudget,
}

#[derive(Clone, Copy)]
#[derive(Serialize)]
struct NewBudget {
    max_tokens: u64,
    max_calls: u32,
}

#[derive(Deserialize)]
struct CreatedProgram {
    #[serde(alias = "program_id")]
    id: String,
}

#[derive(Clone)]
#[derive(Serialize)]
struct Message {
    role: &'static str,
    content: String,
}

#[derive(Serialize)]
struct Call<'a> {
    model: &'a str,
    messages: &'a [Message],
    max_tokens: u64,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    stream_options: Option<StreamOptions>,
}

#[derive(Serialize)]
struct StreamOptions {
    include_usage: bool,
}

#[derive(Deserialize)]
struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(alias = "delta")]
    message: ChoiceText,
}

#[derive(Deserialize)]
struct ChoiceText {
    #[serde(default)]
    content: Option<String>,
}

#[derive(Deserialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptTokensDetails>,
}

#[derive(Deserialize)]
struct PromptTokensDetails {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Deserialize)]
struct Problem {
    r#type: Option<String>,
    ran: Option<String>,
}

/// Text and token counts of a completed call.
struct CallCompletion {
    text: String,
    tokens: TokenCounts,
}

/// A failed attempt.
struct AttemptFailure {
    /// Backoff before the next attempt; `None` if the request may not be retried.
    retry_after: Option<Duration>,
}

impl Program {
    /// Runs the program and records its outcome.
    pub(crate) async fn run(self) {
        match self.run_turns().await {
            Ok(()) => self.stats.add_completed(self.latency_start.elapsed()),
            // Failed attempts have been counted already, so only the failed program is counted here.
            Err(_reason) => self.stats.add_failed(),
        }
    }

    async fn run_turns(&self) -> Result<()> {
        let program_id = if self.shape.direct {
            self.label.clone()
        } else {
            self.create().await?
        };
        let mut history = Vec::new();
        for turn in 1..=self.shape.turns {
            if turn > 1 {
                tokio::time::sleep(self.shape.tool_pause).await;
            }
            let user_message = self.user_message(turn);
            let messages = if self.shape.direct {
                history.push(user_message);
                history.clone()
            } else {
                vec![user_message]
            };
            let completion = self.call(&program_id, turn, &messages).await?;
            if self.shape.direct {
                history.push(Message {
                    role: "assistant",
                    content: completion.text,
                });
            }
        }
        Ok(())
    }

    async fn create(&self) -> Result<String> {
        let budget = NewBudget {
            max_tokens: self.shape.max_tokens * u64::from(self.shape.turns),
            max_calls: self.shape.turns,
        };
        let response = self
            .send_with_retries(0, |target| {
                let url = format!("http://{target}/v1/programs");
                let request = http_client::json_request(Method::POST, &url, &NewProgram { budget })?;
                self.authorized(request)
            })
            .await?;
        Ok(response.json::<CreatedProgram>()?.id)
    }

    async fn call(&self, program_id: &str, turn: u32, messages: &[Message]) -> Result<CallCompletion> {
        let started_at = Instant::now();
        let response = self
            .send_with_retries(turn, |target| {
                self.call_request(target, program_id, turn, messages)
            })
            .await?;
        let completion = parse_completion(&response)?;
        self.stats.add_call(started_at.elapsed(), completion.tokens);
        Ok(completion)
    }

    fn call_request(
        &self,
        target: SocketAddr,
        program_id: &str,
        turn: u32,
        messages: &[Message],
    ) -> Result<Request<Full<Bytes>>> {
        let url = format!("http://{target}/v1/chat/completions");
        let call = Call {
            model: &self.shape.model,
            messages,
            max_tokens: self.shape.max_tokens,
            stream: self.shape.stream,
            stream_options: self.shape.stream.then_some(StreamOptions { include_usage: true }),
        };
        let mut request = http_client::json_request(Method::POST, &url, &call)?;
        let headers = request.headers_mut();
        if self.shape.direct {
            headers.insert(HeaderName::from_static("x-program-id"), header_value(program_id)?);
        } else {
            headers.insert(HeaderName::from_static("program-id"), header_value(program_id)?);
            headers.insert(HeaderName::from_static("call-number"), HeaderValue::from(turn));
        }
        self.authorized(request)
    }

    fn authorized(&self, mut request: Request<Full<Bytes>>) -> Result<Request<Full<Bytes>>> {
        if !self.key.is_empty() && !self.shape.direct {
            let mut value = header_value(&format!("Bearer {}", self.key))?;
            value.set_sensitive(true);
            request.headers_mut().insert(header::AUTHORIZATION, value);
        }
        Ok(request)
    }

    /// Sends a request until it succeeds, may not be retried, or has used up its retries.
    ///
    /// Each attempt goes to the next target.
    async fn send_with_retries(
        &self,
        turn: u32,
        make_request: impl Fn(SocketAddr) -> Result<Request<Full<Bytes>>> + Send + Sync,
    ) -> Result<HttpResponse> {
        for attempt in 0..=self.shape.retries {
            if attempt > 0 {
                self.stats.add_retry();
            }
            let target = self.target(turn, attempt);
            match self.send_once(make_request(target)?).await {
                Ok(response) => return Ok(response),
                Err(AttemptFailure {
                    retry_after: Some(backoff),
                }) if attempt < self.shape.retries => tokio::time::sleep(backoff).await,
                Err(_final_failure) => break,
            }
        }
        Err(StandinError::Request(format!(
            "{}: call {turn} failed",
            self.label
        )))
    }

    async fn send_once(
        &self,
        request: Request<Full<Bytes>>,
    ) -> std::result::Result<HttpResponse, AttemptFailure> {
        let broken = AttemptFailure {
            retry_after: Some(BROKEN_CALL_BACKOFF),
        };
        let Ok(response) = self.client.send(request).await else {
            self.stats.add_broken();
            return Err(broken);
        };
        if response.status.is_success() {
            if is_complete(&response) {
                return Ok(response);
            }
            self.stats.add_broken();
            return Err(broken);
        }
        let problem = response.json::<Problem>().ok();
        self.stats
            .add_refusal(&refusal_kind(problem.as_ref(), response.status));
        let ran = problem.and_then(|problem| problem.ran);
        let may_retry = ran.as_deref() != Some("yes");
        Err(AttemptFailure {
            retry_after: retry_after(&response).filter(|_| may_retry),
        })
    }

    fn target(&self, turn: u32, attempt: u32) -> SocketAddr {
        let offset = usize::try_from(turn + attempt).unwrap_or_default();
        self.shape.targets[(self.first_target + offset) % self.shape.targets.len()]
    }

    fn user_message(&self, turn: u32) -> Message {
        let start = format!("{} turn {turn}: ", self.label);
        let content = start.chars().chain(FILLER.chars().cycle());
        let length = self.shape.prompt_bytes.max(start.len());
        Message {
            role: "user",
            content: content.take(length).collect(),
        }
    }
}

fn header_value(text: &str) -> Result<HeaderValue> {
    HeaderValue::from_str(text)
        .map_err(|_unprintable| StandinError::Option("a header value is not ASCII".to_owned()))
}

/// Returns whether a response is complete; a streamed one must end with `[DONE]`.
fn is_complete(response: &HttpResponse) -> bool {
    let is_stream = response
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    !is_stream || response.text().trim_end().ends_with(STREAM_END)
}

fn parse_completion(response: &HttpResponse) -> Result<CallCompletion> {
    let text = response.text();
    let chunks: Vec<Completion> = if text.starts_with("data:") {
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        events
            .filter_map(|event| serde_json::from_str(event).ok())
            .collect()
    } else {
        vec![response.json()?]
    };
    let usage = chunks.iter().rev().find_map(|chunk| chunk.usage.as_ref());
    let tokens = usage.map_or_else(TokenCounts::default, |usage| TokenCounts {
        prompt: usage.prompt_tokens,
        cached: usage
            .prompt_tokens_details
            .as_ref()
            .map_or(0, |details| details.cached_tokens),
        completion: usage.completion_tokens,
    });
    let choices = chunks.iter().flat_map(|chunk| &chunk.choices);
    let text = choices
        .filter_map(|choice| choice.message.content.as_deref())
        .collect();
    Ok(CallCompletion { text, tokens })
}

fn refusal_kind(problem: Option<&Problem>, status: StatusCode) -> String {
    let kind = problem.and_then(|problem| problem.r#type.as_deref());
    let last = kind.and_then(|kind| kind.rsplit([':', '/']).next());
    last.map_or_else(|| format!("status-{}", status.as_u16()), str::to_owned)
}

fn retry_after(response: &HttpResponse) -> Option<Duration> {
    let value = response.headers.get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds).min(RETRY_AFTER_MAX))
}
