//! The HTTP server for callers.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use burdockroad::gateway::MemoryBudget;
use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    body::{Frame as BodyFrame, Incoming},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    server::graceful::GracefulShutdown,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::{Semaphore, watch},
};

use crate::{
    answer::{Frame, Head},
    calls::{Caller, EVENT_STREAM_CONTENT_TYPE},
    config_watch::InForceReceiver,
    edge::{Edge, Frames},
    http::{
        CallerMemory,
        intake::{self, IntakeLimits},
        requires_length, with_length,
    },
    problem::{PROBLEM_CONTENT_TYPE, Problem, ProblemKind, Ran},
    settings::LimitSettings,
};

/// The body of a response to a caller.
type ResponseBody = UnsyncBoxBody<Bytes, io::Error>;

/// Delay between the last event of a truncated stream and the abort of its connection.
const TRUNCATION_DELAY: Duration = Duration::from_millis(50);

/// Longest response to an HTTP/1.0 caller, in bytes.
const BUFFERED_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Retry delay for a caller whose request reaches a stopping host.
const STOPPING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The dependencies of [`CallerServer`].
#[derive(Clone, Debug)]
pub struct CallerServerParts {
    /// Router that serves the requests.
    pub edge: Edge,
    /// Document in force.
    pub in_force: InForceReceiver,
    /// Limits that apply to callers.
    pub limits: LimitSettings,
}

/// The HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer {
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl CallerServer {
    /// Starts serving connections of a listener.
    pub fn start(listener: TcpListener, parts: CallerServerParts) -> Self {
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept(listener, parts, stopped));
        Self { stop, task }
    }

    /// Stops accepting requests, and waits up to `timeout` for running responses to complete.
    pub async fn close(self, timeout: Duration) {
        self.stop.send_replace(true);
        if tokio::time::timeout(timeout, self.task).await.is_err() {
            log::warn!("event=shutdown_cut_short waited_ms={}", timeout.as_millis());
        }
    }
}

async fn accept(listener: TcpListener, parts: CallerServerParts, mut stopped: watch::Receiver<bool>) {
    let memory = CallerMemory::new(MemoryBudget::of(parts.limits.bodies_max_bytes));
    let permits = Arc::new(Semaphore::new(parts.limits.connections_max));
    let graceful = GracefulShutdown::new();
    let parts = Arc::new(parts);
    loop {
        let permit = tokio::select! {
            permit = Arc::clone(&permits).acquire_owned() => permit,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.wait_for(|stopped| *stopped) => break,
        };
        match accepted {
            Ok((socket, _)) => {
                let connection = connection(socket, Arc::clone(&parts), Arc::clone(&memory), stopped.clone());
                let tracked = graceful.watch(connection);
                tokio::spawn(async move {
                    if let Err(error) = tracked.await {
                        log::debug!("event=connection_ended reason=\"{error}\"");
                    }
                    drop(permit);
                });
            }
            // Accepting fails temporarily when the process has no free file descriptors.
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connection(
    socket: TcpStream,
    parts: Arc<CallerServerParts>,
    memory: Arc<CallerMemory>,
    stopped: watch::Receiver<bool>,
) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> {
    if let Err(error) = socket.set_nodelay(true) {
        log::debug!("event=nodelay_failed reason=\"{error}\"");
    }
    let limits = parts.limits.clone();
    let service = service_fn(move |request| {
        let parts = Arc::clone(&parts);
        let memory = Arc::clone(&memory);
        let stopping = *stopped.borrow();
        async move { Ok::<_, Infallible>(respond(request, &parts, &memory, stopping).await) }
    });
    http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_secs(limits.head_timeout_s))
        .max_buf_size(limits.head_max_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(socket), service)
}

async fn respond(
    request: Request<Incoming>,
    parts: &CallerServerParts,
    memory: &Arc<CallerMemory>,
    stopping: bool,
) -> Response<ResponseBody> {
    if stopping {
        let problem = Problem::new(ProblemKind::Stopping, "this host is stopping; retry the request");
        return problem_response(&problem.retry_after(STOPPING_RETRY_AFTER));
    }
    let version = request.version();
    let response = match serve(request, parts, memory).await {
        Ok((caller, frames)) => stream_response(parts, caller, frames).await,
        Err(problem) => problem_response(&problem),
    };
    if requires_length(version) {
        return buffered_response(response).await;
    }
    response
}

/// Returns a response with its length, or a problem if it was truncated.
async fn buffered_response(response: Response<ResponseBody>) -> Response<ResponseBody> {
    match with_length(response, BUFFERED_MAX_BYTES).await {
        Ok(response) => response.map(|body| body.map_err(|never| match never {}).boxed_unsync()),
        Err(error) => {
            let problem = Problem::new(ProblemKind::EndpointFailed, error.to_string());
            problem_response(&problem.ran(Ran::Unknown))
        }
    }
}

async fn serve(
    request: Request<Incoming>,
    parts: &CallerServerParts,
    memory: &Arc<CallerMemory>,
) -> Result<(Caller, Frames), Problem> {
    let in_force = Arc::clone(&parts.in_force.borrow());
    let limits = IntakeLimits {
        body_max_bytes: parts.limits.body_max_bytes,
        body_timeout: Duration::from_secs(parts.limits.body_timeout_s),
        call_timeout: Duration::from_secs(parts.limits.call_timeout_s),
    };
    let request = intake::read(request, &in_force, limits, memory).await?;
    let caller = request.caller.clone();
    let frames = parts.edge.serve(request).await?;
    Ok((caller, frames))
}

async fn stream_response(
    parts: &CallerServerParts,
    caller: Caller,
    mut frames: Frames,
) -> Response<ResponseBody> {
    let first = tokio::select! {
        first = frames.next() => first,
        () = crate::calls::wait_until_key_withdrawn(&parts.in_force, &caller) => {
            return problem_response(&key_withdrawn_problem())
        }
    };
    let head = match first {
        Some(Frame::Head(head)) => head,
        Some(Frame::Truncated(problem)) => return problem_response(&problem),
        Some(Frame::Data(_) | Frame::End) | None => {
            let problem = Problem::new(ProblemKind::Internal, "the response has no status and headers");
            return problem_response(&problem.ran(Ran::Unknown));
        }
    };
    let is_event_stream = has_content_type(&head, EVENT_STREAM_CONTENT_TYPE);
    // A problem response is never truncated: the call may already have been stopped because its key was
    // withdrawn, and the caller must receive that problem.
    let frames = if has_content_type(&head, PROBLEM_CONTENT_TYPE) {
        frames
    } else {
        truncate_when_key_withdrawn(frames, caller, parts.in_force.clone()).boxed()
    };
    let body = StreamBody::new(body_frames(frames, is_event_stream));
    response(head, BodyExt::boxed_unsync(body))
}

fn key_withdrawn_problem() -> Problem {
    Problem::new(ProblemKind::InvalidKey, "the key was withdrawn").ran(Ran::Unknown)
}

/// Truncates a response as soon as the caller's key is withdrawn.
fn truncate_when_key_withdrawn(
    frames: Frames,
    caller: Caller,
    in_force: InForceReceiver,
) -> impl Stream<Item = Frame> + Send {
    let withdrawn = stream::once(async move {
        crate::calls::wait_until_key_withdrawn(&in_force, &caller).await;
        Frame::Truncated(key_withdrawn_problem())
    });
    let end = stream::once(async { None });
    let frames = frames.map(Some).chain(end);
    let mut ended = false;
    stream::select(frames, withdrawn.map(Some))
        .take_while(move |frame| {
            let include = !ended && frame.is_some();
            ended = ended || matches!(frame, Some(Frame::Truncated(_) | Frame::End) | None);
            std::future::ready(include)
        })
        .filter_map(std::future::ready)
}

/// Returns the body of a response.
///
/// A truncated body ends with an error, so that the caller never takes it for a complete one.
fn body_frames(
    frames: impl Stream<Item = Frame> + Send + 'static,
    is_event_stream: bool,
) -> impl Stream<Item = Result<BodyFrame<Bytes>, io::Error>> + Send {
    frames.flat_map(move |frame| match frame {
        Frame::Data(data) => stream::iter(vec![Ok(BodyFrame::data(data))]).left_stream(),
        Frame::Head(_) | Frame::End => stream::iter(Vec::new()).left_stream(),
        Frame::Truncated(problem) => truncation_frames(&problem, is_event_stream).right_stream(),
    })
}

fn truncation_frames(
    problem: &Problem,
    is_event_stream: bool,
) -> impl Stream<Item = Result<BodyFrame<Bytes>, io::Error>> + Send + use<> {
    let error = io::Error::other(problem.detail.clone());
    let mut event = Vec::new();
    if is_event_stream {
        event.extend_from_slice(b"data: ");
        event.extend_from_slice(&problem.to_json());
        event.extend_from_slice(b"\n\n");
    }
    let event_frame = stream::iter([Ok(BodyFrame::data(Bytes::from(event)))]);
    // Aborting the connection discards unwritten data, so the event gets `TRUNCATION_DELAY` to be sent.
    let error_frame = stream::once(async move {
        tokio::time::sleep(TRUNCATION_DELAY).await;
        Err(error)
    });
    event_frame.chain(error_frame)
}

fn has_content_type(head: &Head, content_type: &str) -> bool {
    let value = head
        .headers
        .get(header::CONTENT_TYPE)
        .and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.starts_with(content_type))
}

fn problem_response(problem: &Problem) -> Response<ResponseBody> {
    let mut head = Head::new(problem.kind.status(), PROBLEM_CONTENT_TYPE);
    if let Some(retry_after_s) = problem.retry_after_s() {
        head.headers.insert(header::RETRY_AFTER, retry_after_s.into());
    }
    if problem.kind == ProblemKind::InvalidKey {
        head.headers
            .insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    let body = Full::new(problem.to_json()).map_err(|never| match never {});
    response(head, BodyExt::boxed_unsync(body))
}

fn response(head: Head, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = http::StatusCode::from_u16(head.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    *response.headers_mut() = head.headers;
    response
}
