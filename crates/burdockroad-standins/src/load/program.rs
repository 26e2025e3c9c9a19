//! One program of a load: its calls in their order, with pauses and retries.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    error::{Result, StandinError},
    http_client::{self, HttpResponse, HttpClient},
    load::{
        LoadOptions,
        figures::{Figures, TokenCounts},
    },
};

/// Wait before a call that broke off is tried again.
const BROKEN_RETRY: Duration = Duration::from_millis(100);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(30);
const FILLER: &str = "the convoy waits for a passage plan and the buyer for a price ";
const END_MARK: &str = "data: [DONE]";

/// What all programs of a load have in common.
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

/// One program that is to be run.
pub(crate) struct Program {
    pub(crate) shape: Arc<ProgramShape>,
    pub(crate) figures: Arc<Figures>,
    pub(crate) client: HttpClient,
    pub(crate) key: String,
    /// Tells this program's texts from those of all others.
    pub(crate) label: String,
    pub(crate) first_target: usize,
    /// When the program was due.
    pub(crate) begun: Instant,
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

/// A whole answer to a call.
struct CallAnswer {
    text: String,
    tokens: TokenCounts,
}

/// What a try came to, short of an answer.
struct Refusal {
    retry_after: Option<Duration>,
}

impl Program {
    /// Runs the program and adds to the figures what came of it.
    pub(crate) async fn run(self) {
        match self.run_turns().await {
            Ok(()) => self.figures.add_completed(self.begun.elapsed()),
            // Why a try failed is counted where it failed; what is left to say is that the program did.
            Err(_reason) => self.figures.add_failed(),
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
            let question = self.question(turn);
            let messages = if self.shape.direct {
                history.push(question);
                history.clone()
            } else {
                vec![question]
            };
            let answer = self.call(&program_id, turn, &messages).await?;
            if self.shape.direct {
                history.push(Message {
                    role: "assistant",
                    content: answer.text,
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
        let answer = self
            .retried(0, |target| {
                let url = format!("http://{target}/v1/programs");
                let request = http_client::json_request(Method::POST, &url, &NewProgram { budget })?;
                self.authorized(request)
            })
            .await?;
        Ok(answer.json::<CreatedProgram>()?.id)
    }

    async fn call(&self, program_id: &str, turn: u32, messages: &[Message]) -> Result<CallAnswer> {
        let begun = Instant::now();
        let answer = self
            .retried(turn, |target| {
                self.call_request(target, program_id, turn, messages)
            })
            .await?;
        let answer = read_answer(&answer)?;
        self.figures.add_call(begun.elapsed(), answer.tokens);
        Ok(answer)
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

    /// Sends a request until it is answered, to the next target at each try.
    async fn retried(
        &self,
        turn: u32,
        make: impl Fn(SocketAddr) -> Result<Request<Full<Bytes>>> + Send + Sync,
    ) -> Result<HttpResponse> {
        for attempt in 0..=self.shape.retries {
            if attempt > 0 {
                self.figures.add_retry();
            }
            let target = self.target(turn, attempt);
            match self.try_once(make(target)?).await {
                Ok(answer) => return Ok(answer),
                Err(Refusal {
                    retry_after: Some(wait),
                }) if attempt < self.shape.retries => tokio::time::sleep(wait).await,
                Err(_refused_for_good) => break,
            }
        }
        Err(StandinError::Request(format!(
            "{}: call {turn} failed",
            self.label
        )))
    }

    async fn try_once(&self, request: Request<Full<Bytes>>) -> std::result::Result<HttpResponse, Refusal> {
        let broken = Refusal {
            retry_after: Some(BROKEN_RETRY),
        };
        let Ok(answer) = self.client.send(request).await else {
            self.figures.add_broken();
            return Err(broken);
        };
        if answer.status.is_success() {
            if is_whole(&answer) {
                return Ok(answer);
            }
            self.figures.add_broken();
            return Err(broken);
        }
        let problem = answer.json::<Problem>().ok();
        self.figures
            .add_refusal(&kind_of(problem.as_ref(), answer.status));
        let ran = problem.and_then(|problem| problem.ran);
        let may_repeat = ran.as_deref() != Some("yes");
        Err(Refusal {
            retry_after: retry_after(&answer).filter(|_| may_repeat),
        })
    }

    fn target(&self, turn: u32, attempt: u32) -> SocketAddr {
        let step = usize::try_from(turn + attempt).unwrap_or_default();
        self.shape.targets[(self.first_target + step) % self.shape.targets.len()]
    }

    fn question(&self, turn: u32) -> Message {
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

/// Tells whether an answer is whole; one that is streamed ends with its mark.
fn is_whole(answer: &HttpResponse) -> bool {
    let is_stream = answer
        .headers
        .get(header::CONTENT_TYPE)
        .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
    !is_stream || answer.text().trim_end().ends_with(END_MARK)
}

fn read_answer(answer: &HttpResponse) -> Result<CallAnswer> {
    let text = answer.text();
    let pieces: Vec<Completion> = if text.starts_with("data:") {
        let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
        events
            .filter_map(|event| serde_json::from_str(event).ok())
            .collect()
    } else {
        vec![answer.json()?]
    };
    let usage = pieces.iter().rev().find_map(|piece| piece.usage.as_ref());
    let tokens = usage.map_or_else(TokenCounts::default, |usage| TokenCounts {
        prompt: usage.prompt_tokens,
        cached: usage
            .prompt_tokens_details
            .as_ref()
            .map_or(0, |details| details.cached_tokens),
        completion: usage.completion_tokens,
    });
    let choices = pieces.iter().flat_map(|piece| &piece.choices);
    let text = choices
        .filter_map(|choice| choice.message.content.as_deref())
        .collect();
    Ok(CallAnswer { text, tokens })
}

fn kind_of(problem: Option<&Problem>, status: StatusCode) -> String {
    let kind = problem.and_then(|problem| problem.r#type.as_deref());
    let last = kind.and_then(|kind| kind.rsplit([':', '/']).next());
    last.map_or_else(|| format!("status-{}", status.as_u16()), str::to_owned)
}

fn retry_after(answer: &HttpResponse) -> Option<Duration> {
    let value = answer.headers.get(header::RETRY_AFTER)?;
    let seconds = value.to_str().ok()?.parse().ok()?;
    Some(Duration::from_secs(seconds).min(RETRY_AFTER_MAX))
}
